"""Receives the store's changes, from the store or from another VM.

One VM of each availability zone watches the store and relays its changes to
the other VMs of the zone.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import expression
import logbook

from azureramp import errors
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import full_read, relay, store_contact
from azureramp.policy import store_copy
from azureramp.ports.relays import api as relays_api
from azureramp.ports.store import api as store_api
from azureramp.ports.web import api as web_api

WATCH_TIMEOUT_S = 1.0
"""Maximum duration of one watch, in seconds. A watch whose answer is lost is
silent like one without changes, although other calls are answered: what is not
received until its end must still be in force everywhere within 3 s."""

OUTAGE_WATCH_TIMEOUT_S = 0.3
"""Maximum duration of a watch while the store may be unreachable, in seconds.
Including the time for the answer, the store's recovery is noticed within
1.5 s."""

MAX_RECENT_AGE_S = 1.0
"""Maximum age of the last received changes and of the store's last answer, in
seconds, up to which a VM whose relay failed tries another relay before it
watches the store."""

MIN_WATCH_LIMIT_BYTES = 1_500_000
"""Limit of a watch's answer while the store has few entries, in bytes: one
event with a value of the largest size."""

WATCH_LIMIT_RATIO = 2.0
"""Limit of a watch's answer by the total size of all entries. Reading a larger
one takes longer than reading all entries anew, which encode a value in 4/3 of
its size."""

WATCH_STALL_TIMEOUT_S = 0.5
"""Maximum time between two parts of a watch's answer, in seconds."""

WATCH_PAUSE_S = 0.4
"""Pause between two watches, in seconds. It batches a burst of changes into
about two reads a second instead of one for each change, and is short compared
to the few seconds in which a change must be in force."""

RELAY_WAIT_TIMEOUT_S = 1.0
"""Maximum wait of a request to a relay, in seconds. A relay that hangs is
abandoned after this plus the response timeout, which leaves enough time to
receive a change from the store itself."""

RELAY_PAUSE_S = 0.2
"""Pause between two requests to a relay, in seconds."""

MAX_RELAY_AGE_MS = 2200
"""Maximum time since the store answered a relay, in milliseconds, for the
relay to count as current: two of its lease renewals."""

FAILED_RELAY_AVOID_S = 3.0
"""Time for which a relay is avoided that timed out or is behind, in seconds."""

REFUSING_RELAY_AVOID_S = 0.5
"""Time for which a relay is avoided that refused a request at once, in seconds.
It has just started, or is about to follow the store."""

MIN_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
"""Bounds of the random pause after a failed call, in seconds. It keeps VMs
that lost the store at the same time from retrying at the same time."""

STORE = "store"
"""Name of the source while changes are received from the store itself."""

WATCH_CANCELLED = errors.Failure(
    errors.Kind.STORE_UNAVAILABLE, "another call failed"
)
"""Outcome of a watch that was cancelled before its answer began."""

Run = Callable[[], Coroutine[Any, Any, None]]
Apply = Callable[[Sequence[store_api.Entry]], None]
"""Applies new entries, ordered by revision."""

_logger = logbook.Logger("azureramp.feed")


class RelayOutcome(enum.Enum):
    """Outcome of a request to a relay."""

    RECEIVED = "received"
    HISTORY_GONE = "history_gone"
    UNAVAILABLE = "unavailable"


class StoreFeed:
    """Keeps this VM's copy of the store's entries up to date.

    Attributes:
        on_became_relay: Called when this VM becomes the relay of its zone.
    """

    __slots__ = (
        "_announcer",
        "_apply",
        "_avoided_until_s",
        "_board",
        "_contact",
        "_is_seed",
        "_relay",
        "_relays",
        "_rng",
        "_seeds",
        "_source",
        "_store",
        "_watch_failed",
        "on_became_relay",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.PagedStore,
        relays: relays_api.RelayClient,
        seeds: Sequence[str],
        own_relay: relay.Relay,
        contacts: store_contact.StoreContactTracker,
        apply: Apply,
        rng: random.Random,
    ) -> None:
        """Creates a feed that has read nothing; see `run`.

        Args:
            board: The process's state.
            store: The store.
            relays: Client of the other VMs.
            seeds: Peer addresses of some VMs, which may be down.
            own_relay: This VM's relay, with its copy of the entries.
            contacts: Records the outcome of store calls.
            apply: Applies new entries.
            rng: Source of random pauses and of the order of the seeds.
        """
        self._board = board
        self._store = store
        self._relays = relays
        own_address = board.identity.peer_address
        self._is_seed = own_address in seeds
        self._seeds = [seed for seed in seeds if seed != own_address]
        self.on_became_relay: Callable[[], None] | None = None
        self._relay = own_relay
        self._contact = contacts
        self._apply = apply
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}
        self._announcer = ""
        self._source = ""
        self._watch_failed = False

    async def run(self) -> None:
        """Follows the store. Never returns."""
        while True:
            await self._read_all()
            while await self._receive_once():
                pass

    async def _read_all(self) -> None:
        """Reads all entries from the store; retries until it succeeds.

        While the store is unreachable and this VM has no entries, it starts
        with another VM's copy, however old.
        """
        read = full_read.FullRead(self._store, self._relay.copy)
        while not read.is_complete:
            failure = await read.read_page()
            if failure is None:
                self._contact.record_success()
                continue
            self._contact.record_failure(failure)
            if self._source == STORE:
                self._set_watch_failed(True)
            if not self._relay.copy.revision:
                await self._copy_from_seed()
            await self._pause()
        if self._source == STORE:
            self._set_watch_failed(False)
        changes = read.list_changes()
        if not self._relay.copy.revision:
            self._relay.copy.begin_history(read.revision)
        self._apply_new(changes, read.revision)
        _logger.info(
            "read {} entries at revision {}", read.count(), read.revision
        )

    async def _copy_from_seed(self) -> None:
        """Copies all entries of the first seed that answers."""
        for address in self._seeds:
            if await self._copy_from(address):
                return

    async def _copy_from(self, address: str) -> bool:
        """Copies all entries of another VM, in parts.

        Args:
            address: The VM's peer address.

        Returns:
            False if a part could not be received.
        """
        copied: list[store_api.Entry] = []
        revision = 0
        while True:
            request = relays_api.ChangesRequest(
                self._board.identity.vm, revision, 0, is_initial=True
            )
            result = await self._relays.request_changes(address, request)
            if result.is_error():
                return False
            response = result.ok
            copied += response.entries
            revision = response.revision
            if not response.has_more:
                break
        _logger.info(
            "copied {} entries from {}, {} ms old",
            len(copied),
            address,
            response.age_ms,
        )
        self._relay.copy.begin_history(revision)
        self._apply_new(copied, revision)
        return True

    async def _receive_once(self) -> bool:
        """Receives changes once, from a relay or from the store.

        Returns:
            False if all entries must be read again.
        """
        chosen = self._choose_relay()
        if chosen is not None:
            match await self._receive_from_relay(chosen):
                case RelayOutcome.RECEIVED:
                    return True
                case RelayOutcome.UNAVAILABLE if self._is_recent():
                    await asyncio.sleep(RELAY_PAUSE_S)
                    return True
        self._set_source(STORE)
        sent_s = asyncio.get_running_loop().time()
        result = await self._watch()
        if result.is_error():
            if result.error.kind is errors.Kind.STORE_HISTORY_GONE:
                _logger.info(
                    "the store has compacted its history; reading all entries"
                )
                return False
            if result.error.kind is errors.Kind.STORE_ANSWER_UNUSABLE:
                # The same watch would get the same answer or a larger one.
                _logger.warning(
                    "can't use the store's answer to a watch after revision {}:"
                    " {}; reading all entries",
                    self._relay.copy.revision,
                    result.error.detail,
                )
                await self._read_all()
                await asyncio.sleep(WATCH_PAUSE_S)
                return True
            self._contact.record_failure(result.error)
            self._set_watch_failed(True)
            await self._pause()
            # A store that answers other calls may take too long to begin this
            # answer, and would again.
            return result.error is WATCH_CANCELLED or not self._has_answered(
                sent_s + WATCH_TIMEOUT_S
            )
        self._contact.record_success(sent_s)
        self._set_watch_failed(False)
        self._apply_new(result.ok.entries, result.ok.revision)
        await asyncio.sleep(WATCH_PAUSE_S)
        return True

    def _has_answered(self, after_s: float) -> bool:
        """Returns True if the store has answered a call since a time.

        Args:
            after_s: The time, on the event loop's clock.
        """
        now_s = asyncio.get_running_loop().time()
        return now_s - self._contact.get_time_since_answer_s() > after_s

    def _is_recent(self) -> bool:
        """Returns True if the last update and the store's answer are recent."""
        age_s = (
            asyncio.get_running_loop().time() - self._board.updates.received_s
        )
        return (
            max(age_s, self._contact.get_time_since_answer_s())
            < MAX_RECENT_AGE_S
        )

    async def _watch(
        self,
    ) -> expression.Result[store_api.Listing, errors.Failure]:
        """Watches the store once.

        A store that stops responding may never answer a pending watch, even
        after it has recovered. So the watch is cancelled as soon as another
        call fails, and watches are short until a call succeeds. An answer that
        has begun is received to its end: the next watch would get it again.
        """
        after = self._relay.copy.revision
        outdated = (
            self._contact.get_time_since_answer_s() * 1000 > MAX_RELAY_AGE_MS
        )
        transfer = self._make_transfer()
        if outdated or not self._board.contact.reachable:
            return await self._store.watch(
                "", after, OUTAGE_WATCH_TIMEOUT_S, transfer
            )
        watch = asyncio.ensure_future(
            self._store.watch("", after, WATCH_TIMEOUT_S, transfer)
        )
        failed = asyncio.ensure_future(self._contact.wait_for_failure())
        try:
            await asyncio.wait(
                {watch, failed}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done() or transfer.received_bytes:
                return await watch
        finally:
            failed.cancel()
            watch.cancel()
        return expression.Error(WATCH_CANCELLED)

    def _make_transfer(self) -> web_api.Transfer:
        """Makes the limits of a watch's answer."""
        relative_bytes = round(self._relay.copy.size_bytes * WATCH_LIMIT_RATIO)
        return web_api.Transfer(
            min(
                max(MIN_WATCH_LIMIT_BYTES, relative_bytes),
                web_api.MAX_BODY_BYTES,
            ),
            WATCH_STALL_TIMEOUT_S,
        )

    def _choose_relay(self) -> str | None:
        """Chooses the relay to use.

        Returns:
            The relay's peer address; None if this VM should watch the store.
        """
        now_s = asyncio.get_running_loop().time()
        for address, until_s in list(self._avoided_until_s.items()):
            if until_s <= now_s:
                del self._avoided_until_s[address]
        identity = self._board.identity
        seeds = [] if self._is_seed else self._seeds
        chosen = store_copy.choose_relay(
            identity.vm,
            identity.zone,
            self._board.members.values(),
            self._rng.sample(seeds, len(seeds)),
            self._avoided_until_s,
        )
        self._set_is_relay(chosen is None and not self._avoided_until_s)
        return chosen

    def _set_is_relay(self, is_relay: bool) -> None:
        """Records on the board whether this VM is the relay of its zone."""
        became = is_relay and not self._board.is_relay
        self._board.is_relay = is_relay
        if became and self.on_became_relay is not None:
            self.on_became_relay()

    async def _receive_from_relay(self, address: str) -> RelayOutcome:
        """Requests changes from a relay once.

        Args:
            address: The relay's peer address.

        Returns:
            The outcome. A relay that is unavailable or behind is avoided for a
            while. One without the history since this VM's revision is not: once
            this VM has received the changes from the store, it can follow it.
        """
        self._set_source(address)
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        result = await self._relays.request_changes(
            address, self._make_request(address)
        )
        if (
            result.is_error()
            and result.error.kind is errors.Kind.STORE_HISTORY_GONE
        ):
            _logger.info(
                "the relay {} lacks the history since revision {}",
                address,
                self._relay.copy.revision,
            )
            return RelayOutcome.HISTORY_GONE
        if result.is_error() or result.ok.age_ms > MAX_RELAY_AGE_MS:
            now_s = loop.time()
            waited = now_s - asked_s > RELAY_WAIT_TIMEOUT_S
            avoid_s = (
                FAILED_RELAY_AVOID_S
                if waited or result.is_ok()
                else REFUSING_RELAY_AVOID_S
            )
            self._avoided_until_s[address] = now_s + avoid_s
            reason = "is behind"
            if result.is_error():
                reason = result.error.detail or result.error.kind.value
            _logger.info("avoiding the relay {}: {}", address, reason)
            return RelayOutcome.UNAVAILABLE
        response = result.ok
        confirmed_age_ms = response.confirmed_age_ms
        if confirmed_age_ms is None:
            confirmed_age_ms = response.age_ms
        self._contact.record_relayed_contact(
            response.age_ms / 1000,
            confirmed_age_ms / 1000,
            response.regained_ms / 1000,
        )
        if response.announced:
            self._board.last_announced_s = loop.time()
        self._apply_new(response.entries, response.revision)
        if response.has_more:
            return RelayOutcome.RECEIVED
        # Limits the rate of requests: responses may follow each other without
        # a wait, if the relay can't reach the store and ends waits early.
        await asyncio.sleep(RELAY_PAUSE_S)
        return RelayOutcome.RECEIVED

    def _make_request(self, address: str) -> relays_api.ChangesRequest:
        """Makes a request for the changes after this VM's revision.

        It contains this VM's entry, so that the relay announces it, unless
        this VM announces itself.

        Args:
            address: The relay's peer address.
        """
        board = self._board
        announced = (
            board.identity.serves_callers
            and board.is_ready()
            and not board.announces_own_entry
        )
        if announced and (
            address != self._announcer or board.is_announcement_outdated()
        ):
            self._announcer = address
            board.begin_announcement()
        return relays_api.ChangesRequest(
            board.identity.vm,
            self._relay.copy.revision,
            round(RELAY_WAIT_TIMEOUT_S * 1000),
            board.make_member() if announced else None,
        )

    def _apply_new(
        self, entries: Sequence[store_api.Entry], revision: int
    ) -> None:
        """Updates the copy, and applies the entries that are new to it.

        Args:
            entries: The received entries.
            revision: The store's revision up to which they are complete.
        """
        copy = self._relay.copy
        new = [entry for entry in entries if copy.apply(entry)]
        copy.revision = max(copy.revision, revision)
        self._board.updates = board_module.ReceivedUpdates(
            copy.revision, self._source, asyncio.get_running_loop().time()
        )
        if new:
            self._apply(new)
            self._relay.wake()

    def _set_watch_failed(self, failed: bool) -> None:
        """Records the outcome of a watch.

        Other calls may succeed meanwhile, so after a failed watch this VM sends
        the VMs that follow it elsewhere until a watch succeeds.
        """
        self._watch_failed = failed
        if self._board.reads_from_store == failed:
            self._board.reads_from_store = not failed
            self._relay.wake()

    def _set_source(self, source: str) -> None:
        """Records the source of changes, and logs when it differs."""
        self._board.reads_from_store = (
            source == STORE and not self._watch_failed
        )
        if source != self._source:
            self._source = source
            self._board.updates = dataclasses.replace(
                self._board.updates, source=source
            )
            self._relay.wake()
            _logger.info(
                "receiving changes from {} after revision {}",
                source,
                self._relay.copy.revision,
            )

    async def _pause(self) -> None:
        """Waits for a random pause after a failed call."""
        await asyncio.sleep(
            self._rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
        )
