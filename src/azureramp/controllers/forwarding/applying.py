"""Bringing the store's entries into force on the blackboard."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import (
    board as board_module,
)
from azureramp.controllers.forwarding import (
    change_log,
    contact,
    crashes,
    members,
    rollouts,
    searchers,
)
from azureramp.policy import routing
from azureramp.ports.store import api as store_api

SETTLE_S = 2.2
"""How long after the store's return a searcher or VM whose entry lapsed is
still used, in seconds. Those that live are back within about two."""

Decode = Callable[[store_api.Entry], catalog.Update | None]

_logger = logbook.Logger("azureramp.applying")


class Applying:
    """Keeps the blackboard at what the entries say.

    Attributes:
        on_configuration: Called after each new configuration.
    """

    __slots__ = (
        "_board",
        "_contact",
        "_crashes",
        "_decode",
        "_log",
        "_members",
        "_revision",
        "_rollouts",
        "_searchers",
        "on_configuration",
    )

    def __init__(
        self,
        board: board_module.Board,
        decode: Decode,
        known: searchers.Searchers,
        blames: crashes.Crashes,
        others: members.Members,
        contacts: contact.Contacts,
        log: change_log.ChangeLog,
        known_rollouts: rollouts.Rollouts,
    ) -> None:
        """Makes a controller that has taken nothing."""
        self._rollouts = known_rollouts
        self._log = log
        self._revision = 0
        self._board = board
        self._decode = decode
        self._searchers = known
        self._crashes = blames
        self._members = others
        self._contact = contacts
        self.on_configuration: Callable[[catalog.Configuration], None] | None
        self.on_configuration = None

    def apply(self, entries: Sequence[store_api.Entry]) -> None:
        """Takes entries that are new."""
        for entry in entries:
            self._apply_one(entry)
            self._revision = max(self._revision, entry.revision)
        self._searchers.update_limits()
        self._flush()

    async def run_log(self) -> None:
        """Writes the counts of changes that had to wait, forever."""
        while True:
            await asyncio.sleep(change_log.SPAN_S)
            self._flush()

    def _flush(self) -> None:
        """Writes the counts of changes if it is time."""
        self._log.flush(asyncio.get_running_loop().time(), self._revision)

    async def run(self) -> None:
        """Drops what lapsed once the store has been back, forever."""
        while True:
            await self._contact.wait_settled(SETTLE_S)
            self._searchers.drop_lapsed()
            self._members.drop_lapsed()
            self._searchers.update_limits()

    def _apply_one(self, entry: store_api.Entry) -> None:
        """Takes one entry."""
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
            case catalog.RolloutOrdered(order=order):
                self._rollouts.take_order(order)
            case catalog.RolloutWithdrawn(service=service):
                self._rollouts.withdraw(service)
            case catalog.RolloutRecorded(record=record, revision=revision):
                self._rollouts.take_record(record, revision)
            case catalog.Unreadable(reason=reason):
                self._skip(reason)
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
            self._skip(f"the entry of searcher {searcher} can't be used")
            self._searchers.remove(searcher)
        elif self._contact.is_settled(SETTLE_S):
            self._searchers.remove(searcher)
        else:
            self._searchers.lapse(searcher)

    def _skip(self, reason: str) -> None:
        """Tells of an entry that is not applied."""
        self._log.count(change_log.Change.SKIPPED)
        now_s = asyncio.get_running_loop().time()
        self._log.tell(_logger, f"skipped an entry: {reason}", now_s)

    def _take_evacuation(self, zone: str, out: bool) -> None:
        """Takes an availability zone out of use, or back."""
        if out:
            self._board.zones_out.add(zone)
        else:
            self._board.zones_out.discard(zone)
        _logger.info("zone {} is {}", zone, "out" if out else "in")
