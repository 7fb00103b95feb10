"""Starting on searchers, giving them up, and taking in their changes."""

from __future__ import annotations

import asyncio

from azureramp import blackboard, errors, events, messages
from azureramp.controllers import (
    directory,
    handoffs,
    owned_searcher,
    part_runner,
    probing,
)
from azureramp.policy import connections
from azureramp.ports.searchers import api as searchers_api

HELD_MARGIN_S = 0.05
"""A former owner's slots stay taken so much longer than its calls' deadlines,
in seconds."""

OwnedSearcher = owned_searcher.OwnedSearcher


class OwnershipChanges:
    """Brings what this VM owns in line with what it should own.

    Attributes:
        draining: True once nothing may be owned any more.
    """

    __slots__ = (
        "_board",
        "_directory",
        "_handoffs",
        "_holdings",
        "_port",
        "_prober",
        "_runner",
        "draining",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        port: searchers_api.Searchers,
        places: directory.Directory,
        holdings: owned_searcher.Holdings,
        given: handoffs.Handoffs,
        prober: probing.Prober,
        runner: part_runner.PartRunner,
    ) -> None:
        """Makes it with nothing owned."""
        self.draining = False
        self._board = board
        self._port = port
        self._directory = places
        self._holdings = holdings
        self._handoffs = given
        self._prober = prober
        self._runner = runner

    def update(self) -> None:
        """Starts on searchers that are this VM's now, and gives up others."""
        places = self._directory.get_places()
        for name, owned in list(self._holdings.owned.items()):
            place = places.get(name)
            if place is None or self.draining or not self._is_mine(name):
                self._release(name, owned)
            elif place is not owned.place:
                self._take_place(owned, place)
        for name, vm in self._board.owners.items():
            if vm != self._board.settings.vm or self.draining:
                continue
            if name in places and name not in self._holdings.owned:
                self._try_start(name, places[name])

    def _is_mine(self, name: str) -> bool:
        """Tells whether this VM owns a searcher, as far as it knows."""
        return self._board.owners.get(name) == self._board.settings.vm

    def _try_start(self, name: str, place: directory.Place) -> None:
        """Starts on a searcher if its former owner can't use it any more."""
        received = self._handoffs.take(name)
        if received is None and not self._handoffs.may_start(name):
            return
        owned = OwnedSearcher(place)
        if received is not None:
            self._resume(owned, received)
        self._holdings.owned[name] = owned
        self._open(owned)
        owned.confirmed_lost = owned_searcher.UNCONFIRMED
        self._record_owner(name, True, "handoff" if received else "lease_end")
        self._prober.probe(owned)

    def _resume(
        self, owned: OwnedSearcher, received: handoffs.Received
    ) -> None:
        """Goes on where the former owner was."""
        message = received.message
        if message.incarnation:
            owned.ramp.resume(message.limit, message.service_ms, message.slow)
            # Taken for there, so that nobody finds it unusable meanwhile;
            # but nothing is sent until the first health read has compared
            # the incarnation with this one.
            owned.health = searchers_api.Health(
                message.incarnation, False, message.in_use, message.versions
            )
            owned.reachable = True
        hold_slots(owned, received.sender, message)

    def _open(self, owned: OwnedSearcher) -> None:
        """Allows connections to a searcher: half of what it accepts."""
        share = connections.get_share(owned.place.searcher.connections)
        self._port.set_limit(owned.get_address(), share)
        owned.confirmed_lost = self._port.get_links(owned.get_address()).lost

    def _take_place(self, owned: OwnedSearcher, place: directory.Place) -> None:
        """Takes in that a searcher's zone, server or declaration changed."""
        before, owned.place = owned.place, place
        searcher = place.searcher
        if before.searcher.address != searcher.address:
            self._port.set_limit(before.searcher.address, 0)
            self._prober.lose(owned, "moved")
        owned.ramp.resize(searcher.slots, searcher.cold_limit)
        if place.refusal is not None:
            self._prober.lose(owned, "out")
            self._prober.forget(owned.get_name())
            self._port.set_limit(owned.get_address(), 0)
            self._runner.fail_waiting(owned, errors.Failure(place.refusal))
        else:
            self._open(owned)
            self._prober.probe_if_due(owned)

    def _release(self, name: str, owned: OwnedSearcher) -> None:
        """Gives a searcher up, and tells the new owner."""
        del self._holdings.owned[name]
        self._prober.forget(name)
        self._port.set_limit(owned.get_address(), 0)
        self._runner.fail_waiting(owned, errors.Failure(errors.Kind.NOT_OWNER))
        self._record_owner(name, False, "released")
        vm = self._board.owners.get(name, "")
        if vm not in ("", self._board.settings.vm):
            self._handoffs.give(owned, vm)

    def _record_owner(self, name: str, owned: bool, reason: str) -> None:
        """Records that this VM began or ceased to own a searcher."""
        self._board.timeline.record(
            events.OwnerChanged(searcher=name, owned=owned, reason=reason),
            _now_s(),
        )


def hold_slots(
    owned: OwnedSearcher, former: str, message: messages.Handoff
) -> None:
    """Leaves the slots free that the former owner still uses."""
    running_s = message.running_ms / 1000 + HELD_MARGIN_S
    owned.hold(former, message.in_use, _now_s() + running_s)


def _now_s() -> float:
    """Reads the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
