"""Tracks whether the platform's store is reachable, for all its users."""

from __future__ import annotations

import asyncio
import math

import logbook

from azureramp import errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import store_availability

_logger = logbook.Logger("azureramp.contact")


class StoreContactTracker:
    """Records the outcome of store calls on the blackboard."""

    __slots__ = ("_answered", "_availability", "_board", "_failed")

    def __init__(self, board: board_module.Board) -> None:
        """Creates a tracker without any recorded call.

        Args:
            board: The process's state, whose `contact` is updated.
        """
        self._board = board
        self._availability = store_availability.StoreAvailability()
        self._answered = asyncio.Event()
        self._failed = asyncio.Event()

    def record_success(self, sent_s: float | None = None) -> None:
        """Records that a call succeeded.

        Args:
            sent_s: When it was sent, if its answer may have taken long: since
                then, new calls may have failed. None for now.
        """
        now_s = asyncio.get_running_loop().time()
        self._board.contact.last_answer_s = now_s
        self._availability.record_answer(
            now_s if sent_s is None else sent_s, self._get_heartbeat_s()
        )
        self._wake()
        self._set_reachable()

    def record_relayed_contact(
        self, age_s: float, confirmed_age_s: float, available_s: float
    ) -> None:
        """Records the contact of another VM, the relay, with the store.

        An update from a relay shows that the store's changes reach this VM. It
        makes the store count as reachable only while this VM holds no lease;
        with a lease, the VM's own renewals decide.

        Args:
            age_s: Time since the store last answered the relay, in seconds.
            confirmed_age_s: Time since the relay sent the newest call that was
                answered, in seconds.
            available_s: How long the store had been available to the relay when
                it sent that call, in seconds.
        """
        contact = self._board.contact
        now_s = asyncio.get_running_loop().time()
        contact.last_answer_s = max(contact.last_answer_s, now_s - age_s)
        self._availability.record_answer(
            now_s - confirmed_age_s, self._get_heartbeat_s(), available_s
        )
        self._wake()
        if not self._board.lease:
            self._set_reachable()

    def _wake(self) -> None:
        """Wakes the waits for the store, which check it again."""
        self._answered.set()
        self._answered = asyncio.Event()

    def _set_reachable(self) -> None:
        """Records that the store is reachable."""
        if not self._board.contact.reachable:
            self._board.contact.reachable = True
            _logger.info("the store is reachable again")

    def _get_heartbeat_s(self) -> float:
        """Returns the interval of the searchers' heartbeats, in seconds."""
        return self._board.bounds.heartbeat_s

    def get_available_s(self) -> float:
        """Returns how long the store had been available when last confirmed.

        Returns:
            The time in seconds since its last known outage.
        """
        return self._availability.available_s

    def get_time_since_confirmation_s(self) -> float:
        """Returns the time since the newest answered call was sent.

        Returns:
            The time in seconds; infinite if the store never answered.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s - self._availability.confirmed_s

    def get_time_since_answer_s(self) -> float:
        """Returns the time since the last confirmed answer of the store.

        Returns:
            The time in seconds; infinite if the store never answered.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s - self._board.contact.last_answer_s

    def record_failure(self, failure: errors.Failure) -> None:
        """Records that a call failed.

        Args:
            failure: The error, which is logged.
        """
        self._availability.record_failure()
        contact = self._board.contact
        if not contact.reachable:
            return
        contact.reachable = False
        self._failed.set()
        self._failed = asyncio.Event()
        _logger.warning(
            "the store is unreachable: {} {}",
            failure.kind.value,
            failure.detail,
        )

    async def wait_for_failure(self) -> None:
        """Waits until a call fails while the store counts as reachable."""
        await self._failed.wait()

    def had_been_available(self, duration_s: float) -> bool:
        """Returns True if the last changes came from a store without an outage.

        Args:
            duration_s: The time for which the store must have been available
                when this VM last received changes, in seconds.
        """
        return self._compute_available_s() >= duration_s

    def _compute_available_s(self) -> float:
        """Returns how long the store had been available at the last update."""
        now_s = asyncio.get_running_loop().time()
        available_s = self._availability.compute_available_s(
            now_s, self._get_heartbeat_s()
        )
        if math.isinf(available_s):
            return available_s
        return available_s - (now_s - self._board.updates.received_s)

    async def wait_until_available(self, duration_s: float) -> None:
        """Waits for changes of a store that has been available for a time.

        Args:
            duration_s: The time in seconds.
        """
        while not self.had_been_available(duration_s):
            await self._answered.wait()
