"""What this VM learns of the platform's store, by itself or from another VM."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import expression
import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import contact, relay
from azureramp.policy import relaying
from azureramp.ports.relays import api as relays_api
from azureramp.ports.store import api as store_api

WATCH_S = 10.0
"""Longest wait of one watch, in seconds. Keepalive probes end one on a
connection that went silent within some 3 s, so a longer wait would save calls
but not cost any time; it is bounded for stores that count waiting calls."""

SHORT_WATCH_S = 0.3
"""Longest wait of a watch while the store can't be reached, in seconds; with
the time for its answer, a return is noticed within a second and a half."""

BATCH_S = 0.4
"""Pause between two watches, in seconds. A storm of changes is read twice a
second instead of once a change; it is a small part of the seconds in which a
change must be in force."""

RELAY_WAIT_S = 1.0
"""Longest wait of a question to another VM, in seconds. One that stands still
is left after this and the answer's time, so that there is still time to hear
of a change from the store."""

RELAY_PAUSE_S = 0.2
"""Pause between two questions to another VM, in seconds."""

RELAY_AGE_MS = 2200
"""Longest time since the store answered a VM for which it is believed, in
milliseconds: two of its lease's renewals."""

AVOID_S = 3.0
"""How long a VM that didn't answer, or is behind, is not asked, in seconds."""

RETRY_LEAST_S = 0.1
RETRY_MOST_S = 0.5
"""Pause after a failed call, drawn between these, in seconds: VMs that lost
the store together don't come back to it together."""

STORE = "store"
"""The source of changes that were heard of from the store itself."""

Run = Callable[[], Coroutine[Any, Any, None]]
Apply = Callable[[Sequence[store_api.Entry]], None]
"""Takes entries that are new, in the order of their revisions."""

_logger = logbook.Logger("azureramp.feed")


class Feed:
    """Follows the store's entries."""

    __slots__ = (
        "_apply",
        "_avoided_until_s",
        "_board",
        "_contact",
        "_relay",
        "_relays",
        "_rng",
        "_seeds",
        "_source",
        "_store",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        relays: relays_api.Relays,
        seeds: Sequence[str],
        own: relay.Relay,
        contacts: contact.Contacts,
        apply: Apply,
        rng: random.Random,
    ) -> None:
        """Makes a feed that has read nothing; see `run`.

        Args:
            board: The state.
            store: The store.
            relays: The other VMs.
            seeds: Addresses of some VMs, which may be down.
            own: Keeps this VM's copy.
            contacts: Told of calls that worked or failed.
            apply: Takes what is new.
            rng: Draws the pauses.
        """
        self._board = board
        self._store = store
        self._relays = relays
        self._seeds = seeds
        self._relay = own
        self._contact = contacts
        self._apply = apply
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}
        self._source = ""

    async def run(self) -> None:
        """Follows the store, forever."""
        while True:
            await self._read_all()
            while await self._follow():
                pass

    async def _read_all(self) -> None:
        """Reads everything from the store.

        While the store can't be reached and nothing is known, another VM's
        copy is better than none, however old.
        """
        while True:
            result = await self._store.read_prefix("")
            if result.is_ok():
                break
            self._contact.note_failure(result.error)
            if not self._relay.copy.revision:
                await self._borrow()
            await self._pause()
        self._contact.note_success()
        listing = result.ok
        present = {entry.key for entry in listing.entries}
        gone = [
            store_api.Entry(key, None, listing.revision)
            for key in self._relay.copy.list_keys()
            if key not in present
        ]
        self._take((*gone, *listing.entries), listing.revision)
        _logger.info(
            "read {} entries at revision {}",
            len(listing.entries),
            listing.revision,
        )

    async def _borrow(self) -> None:
        """Takes another VM's copy, as a start."""
        for address in self._seeds:
            if address == self._board.identity.peer_address:
                continue
            result = await self._relays.ask(address, 0, 0.0)
            if result.is_ok():
                told = result.ok
                _logger.info(
                    "took {} entries from {}, {} ms old",
                    len(told.entries),
                    address,
                    told.age_ms,
                )
                self._take(told.entries, told.revision)
                return

    async def _follow(self) -> bool:
        """Hears of changes once; False if everything must be read anew."""
        chosen = self._choose_relay()
        if chosen is not None and await self._follow_relay(chosen):
            return True
        self._note_source(STORE)
        result = await self._watch()
        if result.is_error():
            if result.error.kind is errors.Kind.STORE_HISTORY_GONE:
                _logger.info("the store's history is gone; reading anew")
                return False
            self._contact.note_failure(result.error)
            await self._pause()
            return True
        self._contact.note_success()
        self._take(result.ok.entries, result.ok.revision)
        await asyncio.sleep(BATCH_S)
        return True

    async def _watch(
        self,
    ) -> expression.Result[store_api.Listing, errors.Failure]:
        """Watches the store once.

        A store that goes silent may never answer a watch that waited then,
        also after it is back. So one is given up once another call fails, and
        until one works again, watches are short.
        """
        after = self._relay.copy.revision
        if not self._board.contact.reachable:
            return await self._store.watch("", after, SHORT_WATCH_S)
        watching = asyncio.ensure_future(self._store.watch("", after, WATCH_S))
        lost = asyncio.ensure_future(self._contact.wait_lost())
        try:
            await asyncio.wait(
                {watching, lost}, return_when=asyncio.FIRST_COMPLETED
            )
            if watching.done():
                return watching.result()
        finally:
            lost.cancel()
            watching.cancel()
        detail = "another call failed"
        return expression.Error(
            errors.Failure(errors.Kind.STORE_UNAVAILABLE, detail)
        )

    def _choose_relay(self) -> catalog.Member | None:
        """Chooses the VM to ask; None to watch the store."""
        now_s = asyncio.get_running_loop().time()
        avoided = [
            vm
            for vm, until_s in self._avoided_until_s.items()
            if now_s < until_s
        ]
        identity = self._board.identity
        return relaying.choose_relay(
            identity.vm, identity.zone, self._board.members.values(), avoided
        )

    async def _follow_relay(self, chosen: catalog.Member) -> bool:
        """Hears of changes from a VM; False if it is of no use now."""
        self._note_source(chosen.vm)
        copy = self._relay.copy
        result = await self._relays.ask(
            chosen.peer_address, copy.revision, RELAY_WAIT_S
        )
        if result.is_error() or result.ok.age_ms > RELAY_AGE_MS:
            now_s = asyncio.get_running_loop().time()
            self._avoided_until_s[chosen.vm] = now_s + AVOID_S
            reason = "is behind"
            if result.is_error():
                reason = result.error.detail or result.error.kind.value
            _logger.info("not following {} for now: {}", chosen.vm, reason)
            return False
        self._take(result.ok.entries, result.ok.revision)
        # An answer may come at once, and again: changes that the other VM has
        # only read half, or a wait that it cut short without the store.
        await asyncio.sleep(RELAY_PAUSE_S)
        return True

    def _take(self, entries: Sequence[store_api.Entry], revision: int) -> None:
        """Takes entries, those that are new to be applied."""
        copy = self._relay.copy
        new = [entry for entry in entries if copy.put(entry)]
        copy.revision = max(copy.revision, revision)
        if new:
            self._apply(new)
            self._relay.wake()

    def _note_source(self, source: str) -> None:
        """Keeps from whom changes are heard."""
        self._board.follows_store = source == STORE
        if source != self._source:
            self._source = source
            _logger.info("hearing of changes from {}", source)

    async def _pause(self) -> None:
        """Waits a moment after a failed call."""
        await asyncio.sleep(self._rng.uniform(RETRY_LEAST_S, RETRY_MOST_S))
