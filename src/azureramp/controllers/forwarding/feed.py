"""What this VM learns from the platform's store: one watch of everything."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import (
    contact,
    crashes,
    members,
    searchers,
)
from azureramp.policy import routing
from azureramp.ports.store import api as store_api

WATCH_S = 10.0
"""Longest wait of one watch, in seconds. Keepalive probes end one on a
connection that went silent within some 3 s, so a longer wait would save calls
but not cost any time; it is bounded for stores that count waiting calls."""

BATCH_S = 0.4
"""Pause between two watches, in seconds. A storm of changes is read twice a
second instead of once a change; it is a small part of the seconds in which a
change must be in force."""

RETRY_LEAST_S = 0.1
RETRY_MOST_S = 0.5
"""Pause after a failed call, drawn between these, in seconds: VMs that lost
the store together don't come back to it together."""

SETTLE_S = 2.2
"""How long after the store's return a searcher or VM whose entry lapsed is
still used, in seconds. Those that live are back within about two."""

Decode = Callable[[store_api.Entry], catalog.Update | None]
Run = Callable[[], Coroutine[Any, Any, None]]

_logger = logbook.Logger("azureramp.feed")


class Feed:
    """Keeps the blackboard at what the store says.

    Attributes:
        on_configuration: Called after each new configuration.
    """

    __slots__ = (
        "_board",
        "_contact",
        "_crashes",
        "_decode",
        "_known",
        "_members",
        "_rng",
        "_searchers",
        "_store",
        "_unreadable",
        "on_configuration",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        decode: Decode,
        known: searchers.Searchers,
        blames: crashes.Crashes,
        others: members.Members,
        contacts: contact.Contacts,
        rng: random.Random,
    ) -> None:
        """Makes a feed that has read nothing; see `run`."""
        self._board = board
        self._store = store
        self._decode = decode
        self._searchers = known
        self._crashes = blames
        self._members = others
        self._contact = contacts
        self._rng = rng
        self._known: dict[str, int] = {}
        self._unreadable: dict[str, int] = {}
        self.on_configuration: Callable[[catalog.Configuration], None] | None
        self.on_configuration = None

    async def run(self) -> None:
        """Follows the store, forever."""
        settling = asyncio.create_task(self._run_settling())
        try:
            while True:
                revision = await self._read_all()
                await self._follow(revision)
        finally:
            settling.cancel()

    async def _read_all(self) -> int:
        """Reads everything, and drops what is no longer there.

        Returns:
            The revision to watch from.
        """
        while True:
            result = await self._store.read_prefix("")
            if result.is_ok():
                break
            await self._fail(result.error)
        self._contact.note_success()
        listing = result.ok
        present = {entry.key for entry in listing.entries}
        for key in [key for key in self._known if key not in present]:
            gone = store_api.Entry(key, None, listing.revision)
            self._apply(gone)
        for entry in listing.entries:
            self._apply(entry)
        self._searchers.update_limits()
        _logger.info(
            "read {} entries at revision {}",
            len(listing.entries),
            listing.revision,
        )
        return listing.revision

    async def _follow(self, revision: int) -> None:
        """Watches until the changes since a revision are no longer kept."""
        while True:
            result = await self._store.watch("", revision, WATCH_S)
            if result.is_error():
                if result.error.kind is errors.Kind.STORE_HISTORY_GONE:
                    _logger.info("the store's history is gone; reading anew")
                    return
                await self._fail(result.error)
                continue
            self._contact.note_success()
            revision = max(revision, result.ok.revision)
            for entry in result.ok.entries:
                self._apply(entry)
            if result.ok.entries:
                self._searchers.update_limits()
            await asyncio.sleep(BATCH_S)

    async def _fail(self, failure: errors.Failure) -> None:
        """Takes a failed call, and waits a moment."""
        self._contact.note_failure(failure)
        await asyncio.sleep(self._rng.uniform(RETRY_LEAST_S, RETRY_MOST_S))

    def _apply(self, entry: store_api.Entry) -> None:
        """Takes one entry, unless a newer one of its key is known."""
        if entry.revision < self._known.get(entry.key, 0):
            return
        if entry.value is None:
            self._known.pop(entry.key, None)
        else:
            self._known[entry.key] = entry.revision
        match self._decode(entry):
            case catalog.ConfigurationDeclared(configuration=configuration):
                self._take_configuration(configuration)
            case catalog.SearcherSeen(searcher=searcher):
                self._searchers.put(searcher)
            case catalog.SearcherGone(id=searcher):
                self._take_gone(searcher, entry)
            case catalog.ZoneEvacuated(zone=zone, out=out):
                self._take_evacuation(zone, out)
            case catalog.MemberSeen(member=member):
                self._members.put(member)
            case catalog.MemberGone(vm=vm):
                self._members.remove(vm, self._contact.is_settled(SETTLE_S))
            case catalog.RequestBlamed() as blamed:
                self._crashes.adopt(blamed)
            case catalog.Unreadable(reason=reason):
                _logger.warning("skipped an entry: {}", reason)
            case _:
                pass

    def _take_configuration(self, new: catalog.Configuration) -> None:
        """Puts a configuration into force unless a newer one is."""
        board = self._board
        if (
            board.configuration is not None
            and new.version <= board.configuration.version
        ):
            return
        board.configuration = new
        board.table = routing.Table(new)
        _logger.info("configuration {} is in force", new.version)
        if self.on_configuration is not None:
            self.on_configuration(new)

    def _take_gone(self, searcher: str, entry: store_api.Entry) -> None:
        """Takes that a searcher's entry is gone or can't be used.

        An entry may lapse while the store is away though the searcher lives;
        it is used until the store has been back for long enough.
        """
        if entry.value is not None:
            _logger.warning("skipped the entry of searcher {}", searcher)
            self._searchers.remove(searcher)
        elif self._contact.is_settled(SETTLE_S):
            self._searchers.remove(searcher)
        else:
            self._searchers.lapse(searcher)

    def _take_evacuation(self, zone: str, out: bool) -> None:
        """Takes an availability zone out of use, or back."""
        if out:
            self._board.zones_out.add(zone)
        else:
            self._board.zones_out.discard(zone)
        _logger.info("zone {} is {}", zone, "out" if out else "in")

    async def _run_settling(self) -> None:
        """Drops what lapsed once the store has been back for long enough."""
        while True:
            await self._contact.wait_settled(SETTLE_S)
            self._searchers.drop_lapsed()
            self._members.drop_lapsed()
            self._searchers.update_limits()
