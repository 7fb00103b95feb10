"""Tracks whether the platform's store is reachable, for all its users."""

from __future__ import annotations

import asyncio

import logbook

from azureramp import errors
from azureramp.controllers.forwarding import board as board_module

_logger = logbook.Logger("azureramp.contact")


class StoreContactTracker:
    """Records the outcome of store calls on the blackboard."""

    __slots__ = ("_board", "_failed", "_recovered")

    def __init__(self, board: board_module.Board) -> None:
        """Creates a tracker without any recorded call.

        Args:
            board: The process's state, whose `contact` is updated.
        """
        self._board = board
        self._recovered = asyncio.Event()
        self._failed = asyncio.Event()

    def record_success(self) -> None:
        """Records that a call succeeded."""
        contact = self._board.contact
        contact.last_answer_s = asyncio.get_running_loop().time()
        if contact.reachable:
            return
        contact.reachable = True
        contact.recovered_s = contact.last_answer_s
        self._recovered.set()
        _logger.info("the store is reachable again")

    def record_relayed_contact(
        self, age_s: float, recovered_age_s: float
    ) -> None:
        """Records the contact of another VM, the relay, with the store.

        An update from a relay shows that the store's changes reach this VM. It
        makes the store count as reachable only while this VM holds no lease;
        with a lease, the VM's own renewals decide.

        Args:
            age_s: Time since the store last answered the relay, in seconds.
            recovered_age_s: Time since the relay reached the store again, in
                seconds.
        """
        contact = self._board.contact
        now_s = asyncio.get_running_loop().time()
        before_s = contact.last_answer_s
        if not self._board.lease:
            self.record_success()
        contact.last_answer_s = max(before_s, now_s - age_s)
        if now_s - recovered_age_s > contact.recovered_s:
            contact.recovered_s = now_s - recovered_age_s
            self._recovered.set()

    def get_time_since_recovery_s(self) -> float:
        """Returns the time since the store became reachable again.

        Returns:
            The time in seconds; infinite if there was no recovery.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s - self._board.contact.recovered_s

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

    def has_been_reachable(self, duration_s: float) -> bool:
        """Returns True if the store has been reachable for a given time.

        Args:
            duration_s: The time in seconds.
        """
        contact = self._board.contact
        now_s = asyncio.get_running_loop().time()
        return contact.reachable and now_s - contact.recovered_s >= duration_s

    async def wait_until_stable(self, duration_s: float) -> None:
        """Waits until the store has been reachable again for a time.

        If the store becomes unreachable in the meantime, the wait restarts
        instead of ending: otherwise, entries that expired earlier would stay in
        use until the next outage.

        Args:
            duration_s: The time in seconds.
        """
        contact = self._board.contact
        await self._recovered.wait()
        while True:
            self._recovered.clear()
            await asyncio.sleep(duration_s)
            if self.has_been_reachable(duration_s - 0.01):
                return
            if not contact.reachable:
                await self._recovered.wait()
