"""What this VM learns of the platform's store, by itself or from another VM."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

import expression
import logbook

from azureramp import errors
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
"""Longest wait of a watch while the store may be away, in seconds; with the
time for its answer, a return is noticed within a second and a half."""

UNKEPT_WATCH_S = 1.0
"""Longest wait of a watch of a VM that holds no lease, in seconds: no renewal
that fails would tell it that the store is silent."""

FRESH_S = 1.0
"""Age of the last changes, and of the store's last word, up to which a VM that
lost the one that it asked looks for another one before it watches the store, in
seconds."""

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

REFUSED_S = 0.5
"""The same for one that refused at once, in seconds: it has just started, or
is about to follow the store."""

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
    """Follows the store's entries.

    Attributes:
        on_relay: Called when this VM becomes the one that others ask.
    """

    __slots__ = (
        "_apply",
        "_avoided_until_s",
        "_board",
        "_contact",
        "_heard_s",
        "_is_seed",
        "_relay",
        "_relays",
        "_rng",
        "_seeds",
        "_source",
        "_store",
        "on_relay",
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
        own_address = board.identity.peer_address
        self._is_seed = own_address in seeds
        self._seeds = [seed for seed in seeds if seed != own_address]
        self.on_relay: Callable[[], None] | None = None
        self._relay = own
        self._contact = contacts
        self._apply = apply
        self._rng = rng
        self._avoided_until_s: dict[str, float] = {}
        self._source = ""
        self._heard_s = -math.inf

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
        question = relays_api.Question(self._board.identity.vm, 0, 0)
        for address in self._seeds:
            result = await self._relays.ask(address, question)
            if result.is_ok():
                heard = result.ok
                _logger.info(
                    "took {} entries from {}, {} ms old",
                    len(heard.entries),
                    address,
                    heard.age_ms,
                )
                self._take(heard.entries, heard.revision)
                return

    async def _follow(self) -> bool:
        """Hears of changes once; False if everything must be read anew."""
        chosen = self._choose_relay()
        if chosen is not None:
            if await self._follow_relay(chosen):
                return True
            if self._is_fresh():
                await asyncio.sleep(RELAY_PAUSE_S)
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

    def _is_fresh(self) -> bool:
        """Tells whether changes were heard of just now, and are no older."""
        heard_s = asyncio.get_running_loop().time() - self._heard_s
        return max(heard_s, self._contact.get_age_s()) < FRESH_S

    async def _watch(
        self,
    ) -> expression.Result[store_api.Listing, errors.Failure]:
        """Watches the store once.

        A store that goes silent may never answer a watch that waited then,
        also after it is back. So one is given up once another call fails, and
        until one works again, watches are short.
        """
        after = self._relay.copy.revision
        old = self._contact.get_age_s() * 1000 > RELAY_AGE_MS
        if old or not self._board.contact.reachable:
            return await self._store.watch("", after, SHORT_WATCH_S)
        if not self._board.lease:
            return await self._store.watch("", after, UNKEPT_WATCH_S)
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

    def _choose_relay(self) -> str | None:
        """Chooses the address of the VM to ask; None to watch the store."""
        now_s = asyncio.get_running_loop().time()
        for address, until_s in list(self._avoided_until_s.items()):
            if until_s <= now_s:
                del self._avoided_until_s[address]
        identity = self._board.identity
        seeds = [] if self._is_seed else self._seeds
        chosen = relaying.choose_relay(
            identity.vm,
            identity.zone,
            self._board.members.values(),
            self._rng.sample(seeds, len(seeds)),
            self._avoided_until_s,
        )
        self._note_relay(chosen is None and not self._avoided_until_s)
        return chosen

    def _note_relay(self, is_relay: bool) -> None:
        """Keeps whether this VM is the one that others ask."""
        became = is_relay and not self._board.is_relay
        self._board.is_relay = is_relay
        if became and self.on_relay is not None:
            self.on_relay()

    async def _follow_relay(self, address: str) -> bool:
        """Hears of changes from a VM; False if it is of no use now."""
        self._note_source(address)
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        result = await self._relays.ask(address, self._make_question())
        if result.is_error() or result.ok.age_ms > RELAY_AGE_MS:
            now_s = loop.time()
            waited = now_s - asked_s > RELAY_WAIT_S
            avoid_s = AVOID_S if waited or result.is_ok() else REFUSED_S
            self._avoided_until_s[address] = now_s + avoid_s
            reason = "is behind"
            if result.is_error():
                reason = result.error.detail or result.error.kind.value
            _logger.info("not following {} for now: {}", address, reason)
            return False
        heard = result.ok
        self._contact.note_relayed(
            heard.age_ms / 1000, heard.regained_ms / 1000
        )
        if heard.announced:
            self._board.announced_s = loop.time()
        self._take(heard.entries, heard.revision)
        # An answer may come at once, and again: changes that the other VM has
        # only read half, or a wait that it cut short without the store.
        await asyncio.sleep(RELAY_PAUSE_S)
        return True

    def _make_question(self) -> relays_api.Question:
        """Makes the question for what is new.

        It announces this VM by the one that is asked, unless this VM does that
        itself.
        """
        board = self._board
        announced = (
            board.identity.serves_callers
            and board.is_ready()
            and not board.announces_itself
        )
        return relays_api.Question(
            board.identity.vm,
            self._relay.copy.revision,
            round(RELAY_WAIT_S * 1000),
            board.describe() if announced else None,
        )

    def _take(self, entries: Sequence[store_api.Entry], revision: int) -> None:
        """Takes entries, those that are new to be applied."""
        self._heard_s = asyncio.get_running_loop().time()
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
            self._relay.wake()
            _logger.info("hearing of changes from {}", source)

    async def _pause(self) -> None:
        """Waits a moment after a failed call."""
        await asyncio.sleep(self._rng.uniform(RETRY_LEAST_S, RETRY_MOST_S))
