"""Serves the store's changes to other VMs."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import msgspec

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import roster, store_contact
from azureramp.policy import store_copy
from azureramp.ports.relays import api, encoding
from azureramp.ports.store import api as store_api
from azureramp.ports.web import api as web_api

MAX_WAIT_S = 5.0
"""Maximum time that a request may wait for a change, in seconds."""

READY_TIMEOUT_S = 0.4
"""Maximum time that a request may wait for this VM to follow the store, in
seconds. When a zone loses its relay, the requests of the other VMs arrive just
as this VM begins to watch the store."""

MAX_AGE_S = 3600.0
"""Maximum age given in a response, in seconds."""

MAX_CACHED_SETS = 8
"""Maximum number of cached encoded sets of changes. The VMs of a zone request
the same changes at the same time."""

MAX_CHANGES_BYTES = 1_000_000
"""Size of the values above which changes are sent in several responses, in
bytes. With one more value of the largest size a response is still below its
limit."""

_logger = logbook.Logger("azureramp.relay")


class Relay:
    """Answers other VMs' requests for changes from this VM's copy.

    Attributes:
        copy: This VM's copy of the store's entries.
    """

    __slots__ = (
        "_board",
        "_changed",
        "_contact",
        "_encoded_sets",
        "_roster",
        "copy",
    )

    def __init__(
        self,
        board: board_module.Board,
        copy: store_copy.StoreCopy,
        vm_roster: roster.Roster,
        contacts: store_contact.StoreContactTracker,
    ) -> None:
        """Creates a relay without waiting requests.

        Args:
            board: The process's state.
            copy: This VM's copy of the store's entries.
            vm_roster: The VMs that this one announces.
            contacts: Tracks the store's reachability.
        """
        self._board = board
        self._roster = vm_roster
        self._contact = contacts
        self._changed = asyncio.Event()
        self._encoded_sets: dict[tuple[int, int], encoding.EncodedEntries] = {}
        self.copy = copy

    def wake(self) -> None:
        """Wakes the waiting requests, which check for changes again."""
        self._encoded_sets.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Handles another VM's request for changes.

        Returns:
            Status 200 with the changes; 400 for a malformed request; 404 for
            another path; 410 if this VM no longer has all changes after the
            requested revision; 503 if it can't answer now.
        """
        if request.path != api.CHANGES_PATH:
            return web_api.Response(404)
        try:
            changes_request = encoding.decode_request(request.body)
        except msgspec.DecodeError as error:
            _logger.warning("could not decode a VM's request: {}", error)
            return web_api.Response(400)
        try:
            return await self._answer(changes_request)
        except asyncio.CancelledError:
            self._roster.handle_disconnect(changes_request.vm)
            raise

    async def _answer(
        self, changes_request: api.ChangesRequest
    ) -> web_api.Response:
        """Answers a decoded request, after a wait for changes if necessary."""
        loop = asyncio.get_running_loop()
        wait_s = min(changes_request.wait_ms / 1000, MAX_WAIT_S)
        until_s = loop.time() + wait_s
        ready_s = loop.time() + min(wait_s, READY_TIMEOUT_S)
        while not self._can_answer(changes_request):
            if not await self._wait(ready_s):
                return web_api.Response(503)
        if changes_request.after and not changes_request.is_initial:
            self._roster.handle_request(
                changes_request.vm, changes_request.member
            )
        announced = self._roster.is_announced(changes_request.vm)
        may_wait = True
        while True:
            # Changes are listed again after a timeout too: one may arrive just
            # as the wait ends, and the response contains its revision.
            changes = self.copy.list_changes(
                changes_request.after, changes_request.is_initial
            )
            if changes is None:
                return web_api.Response(410)
            if (
                changes
                or not may_wait
                or announced != self._roster.is_announced(changes_request.vm)
                # The VMs that wait should watch the store themselves.
                or not self._board.contact.reachable
            ):
                return self._encode(changes_request, changes)
            may_wait = await self._wait(until_s)

    def _can_answer(self, changes_request: api.ChangesRequest) -> bool:
        """Returns True if this VM's copy is current enough for a request.

        A VM that follows another VM must not serve updates. Its copy is good
        enough as the initial state of a VM that has none.
        """
        if not self.copy.revision:
            return False
        return (
            not changes_request.after
            or changes_request.is_initial
            or self._board.reads_from_store
        )

    def _encode(
        self,
        changes_request: api.ChangesRequest,
        changes: tuple[store_api.Entry, ...],
    ) -> web_api.Response:
        """Encodes a response with as many of the changes as one may contain.

        Requests for the same changes share one encoded set.
        """
        cache_key = (changes_request.after, self.copy.revision)
        part = store_copy.take_first_changes(changes, MAX_CHANGES_BYTES)
        revision = self.copy.revision
        if len(part) < len(changes):
            # After a full read, entries of its later pages are newer than the
            # revision up to which the copy is complete.
            revision = min(revision, part[-1].revision)
        has_more = revision < self.copy.revision
        encoded = self._encoded_sets.get(cache_key)
        if encoded is None:
            if len(self._encoded_sets) >= MAX_CACHED_SETS:
                del self._encoded_sets[next(iter(self._encoded_sets))]
            encoded = self._encoded_sets[cache_key] = encoding.encode_entries(
                part
            )
        body = encoding.encode_changes(
            revision,
            _to_ms(self._contact.get_time_since_answer_s()),
            _to_ms(self._contact.get_available_s()),
            self._roster.is_announced(changes_request.vm),
            encoded,
            _to_ms(self._contact.get_time_since_confirmation_s()),
            has_more,
        )
        return web_api.Response(200, body, encoding.CONTENT_TYPE)

    async def _wait(self, until_s: float) -> bool:
        """Waits for a change.

        Args:
            until_s: The end of the wait, on the event loop's clock.

        Returns:
            False if the wait timed out.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self._changed.wait()
                return True
        return False


def _to_ms(age_s: float) -> int:
    """Converts an age to whole milliseconds, at most `MAX_AGE_S`."""
    return round(min(age_s, MAX_AGE_S) * 1000)
