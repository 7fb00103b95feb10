"""Acquires and releases searchers, and applies changes of their entries."""

from __future__ import annotations

import asyncio

from azureramp import blackboard, errors, events, messages
from azureramp.controllers import (
    directory,
    handoffs,
    health_probes,
    owned_searcher,
    part_runner,
)
from azureramp.policy import connections
from azureramp.ports.searchers import api as searchers_api

HELD_MARGIN_S = 0.05
"""Time for which a former owner's slots stay reserved after its calls'
deadlines, in seconds."""

OwnedSearcher = owned_searcher.OwnedSearcher


class OwnershipReconciler:
    """Reconciles the searchers that this VM holds with the assigned ones.

    Attributes:
        draining: True once all searchers must be released.
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
        places: directory.SearcherDirectory,
        holdings: owned_searcher.Holdings,
        transfers: handoffs.Handoffs,
        prober: health_probes.Prober,
        runner: part_runner.PartRunner,
    ) -> None:
        """Creates an instance without owned searchers."""
        self.draining = False
        self._board = board
        self._port = port
        self._directory = places
        self._holdings = holdings
        self._handoffs = transfers
        self._prober = prober
        self._runner = runner

    def update(self) -> None:
        """Acquires newly assigned searchers and releases the others."""
        places = self._directory.get_locations()
        for name, owned in list(self._holdings.owned.items()):
            place = places.get(name)
            if place is None or self.draining or not self._is_mine(name):
                self._release(name, owned)
            elif place is not owned.place:
                self._update_place(owned, place)
        for name, vm in self._board.owners.items():
            if vm != self._board.settings.vm or self.draining:
                continue
            if name in places and name not in self._holdings.owned:
                self._try_acquire(name, places[name])

    def _is_mine(self, name: str) -> bool:
        """Returns True if this VM is the searcher's owner in its own view."""
        return self._board.owners.get(name) == self._board.settings.vm

    def _try_acquire(
        self, name: str, place: directory.SearcherLocation
    ) -> None:
        """Acquires a searcher if its former owner can no longer use it."""
        received = self._handoffs.pop_valid(name)
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
        self, owned: OwnedSearcher, received: handoffs.ReceivedHandoff
    ) -> None:
        """Continues with the state that the former owner handed off."""
        message = received.message
        if message.incarnation:
            owned.ramp.restore(message.limit, message.service_ms, message.slow)
            # Treated as reachable, so that no coordinator finds it unusable
            # in the meantime. Nothing is sent until the first health read has
            # compared the incarnation with this one.
            owned.health = searchers_api.Health(
                message.incarnation, False, message.in_use, message.versions
            )
            owned.reachable = True
        reserve_slots(owned, received.sender, message)

    def _open(self, owned: OwnedSearcher) -> None:
        """Allows connections to a searcher: half of those it accepts."""
        share = connections.get_connection_limit(
            owned.place.searcher.connections
        )
        self._port.set_limit(owned.get_address(), share)
        owned.confirmed_lost = self._port.count_connections(
            owned.get_address()
        ).lost_count

    def _update_place(
        self, owned: OwnedSearcher, place: directory.SearcherLocation
    ) -> None:
        """Applies a change of a searcher's zone, server or declaration."""
        before, owned.place = owned.place, place
        searcher = place.searcher
        if before.searcher.address != searcher.address:
            self._port.set_limit(before.searcher.address, 0)
            self._prober.mark_unreachable(owned, "moved")
        owned.ramp.resize(searcher.slots, searcher.cold_limit)
        if place.refusal_kind is not None:
            self._prober.mark_unreachable(owned, "out")
            self._prober.forget(owned.get_name())
            self._port.set_limit(owned.get_address(), 0)
            self._runner.fail_waiting(owned, errors.Failure(place.refusal_kind))
        else:
            self._open(owned)
            self._prober.probe_if_due(owned)

    def _release(self, name: str, owned: OwnedSearcher) -> None:
        """Releases a searcher and sends the new owner a handoff."""
        del self._holdings.owned[name]
        self._prober.forget(name)
        self._port.set_limit(owned.get_address(), 0)
        self._runner.fail_waiting(owned, errors.Failure(errors.Kind.NOT_OWNER))
        self._record_owner(name, False, "released")
        vm = self._board.owners.get(name, "")
        if vm not in ("", self._board.settings.vm):
            self._handoffs.hand_off(owned, vm)

    def _record_owner(self, name: str, owned: bool, reason: str) -> None:
        """Records that this VM acquired or released a searcher."""
        self._board.timeline.record(
            events.OwnerChanged(searcher=name, owned=owned, reason=reason),
            _now_s(),
        )


def reserve_slots(
    owned: OwnedSearcher, former: str, message: messages.Handoff
) -> None:
    """Reserves the slots that the former owner still uses."""
    running_s = message.running_ms / 1000 + HELD_MARGIN_S
    owned.reserve(former, message.in_use, _now_s() + running_s)


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
