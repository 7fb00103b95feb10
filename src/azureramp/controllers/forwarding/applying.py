"""Bringing the store's entries into force on the blackboard."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import logbook

from azureramp import catalog
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
        "_members",
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
    ) -> None:
        """Makes a controller that has taken nothing."""
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
        self._searchers.update_limits()

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
