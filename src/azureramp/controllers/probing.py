"""Looking at the owned searchers: are they there, and who are they."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable

import expression

from azureramp import blackboard, errors, events
from azureramp.controllers import owned_searcher
from azureramp.ports.searchers import api as searchers_api

MISSES = 2
"""Health reads in a row without answer that make a searcher unreachable."""

HELD_S = 30.0
"""Longest time that a searcher's report to be cold is heeded, in seconds: a
report may mislead, and must not hold a searcher back for longer."""

OwnedSearcher = owned_searcher.OwnedSearcher


class Prober:
    """Reads the searchers' health, and takes in what it means.

    Attributes:
        on_change: Called with a searcher after each look at it.
    """

    __slots__ = (
        "_board",
        "_cold_since_s",
        "_due_s",
        "_holdings",
        "_port",
        "_probes",
        "_rng",
        "on_change",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        port: searchers_api.Searchers,
        holdings: owned_searcher.Holdings,
        rng: random.Random,
        on_change: Callable[[OwnedSearcher], None],
    ) -> None:
        """Makes a prober that has looked at nothing yet."""
        self.on_change = on_change
        self._board = board
        self._port = port
        self._holdings = holdings
        self._rng = rng
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._due_s: dict[str, float] = {}
        self._cold_since_s: dict[str, float] = {}

    def probe_if_due(self, owned: OwnedSearcher) -> None:
        """Begins a health read if the last one is long ago."""
        now_s = _now_s()
        name = owned.get_name()
        if owned.place.refusal is None and now_s >= self._due_s.get(name, 0.0):
            # Spread, so that owners of many searchers don't read in step.
            spread = 0.75 + 0.5 * self._rng.random()
            probe_s = self._board.settings.probe_ms / 1000
            self._due_s[name] = now_s + probe_s * spread
            self.probe(owned)

    def probe(self, owned: OwnedSearcher) -> None:
        """Begins a health read, unless one is under way."""
        name = owned.get_name()
        if name in self._probes or owned.place.refusal is not None:
            return
        probe = asyncio.ensure_future(self._probe(owned))
        self._probes[name] = probe
        probe.add_done_callback(lambda _: self._probes.pop(name, None))

    def is_confirmed(self, owned: OwnedSearcher) -> bool:
        """Tells whether a searcher is surely the process last looked at.

        A searcher that restarts is cold at once, but its next health read
        may be half a second away. It shows by connections that it has lost:
        one to it is always open. So after any loss nothing is sent until
        the incarnation was read again.
        """
        links = self._port.get_links(owned.get_address())
        return owned.reachable and links.lost == owned.confirmed_lost

    def forget(self, name: str) -> None:
        """Forgets a searcher that is owned no more."""
        self._due_s.pop(name, None)
        self._cold_since_s.pop(name, None)
        probe = self._probes.pop(name, None)
        if probe is not None:
            probe.cancel()

    def close(self) -> None:
        """Ends all health reads."""
        for name in list(self._probes):
            self.forget(name)

    def lose(self, owned: OwnedSearcher, reason: str) -> None:
        """Takes a searcher for gone until it is looked at again."""
        if owned.reachable:
            owned.reachable = False
            owned.ramp.turn_cold(reason)
        self.note(owned)

    def note(self, owned: OwnedSearcher) -> None:
        """Records a searcher's state if it has changed."""
        incarnation = owned.health.incarnation if owned.health else 0
        state = owned.ramp.state.value if owned.reachable else "lost"
        if owned.noted == (state, incarnation):
            return
        owned.noted = (state, incarnation)
        self._board.timeline.record(
            events.SearcherChanged(
                searcher=owned.get_name(),
                incarnation=incarnation,
                state=state,
                reason=owned.ramp.reason,
                limit=owned.ramp.limit,
            ),
            _now_s(),
        )

    async def _probe(self, owned: OwnedSearcher) -> None:
        """Reads a searcher's health and takes it in."""
        address = owned.get_address()
        before = self._port.get_links(address)
        began_s = _now_s()
        report = await self._port.read_health(address)
        if self._holdings.owned.get(owned.get_name()) is not owned:
            return
        match report:
            case expression.Result(tag="ok", ok=health):
                self._take_report(owned, health, before)
            case expression.Result(error=failure):
                self._take_silence(owned, failure, began_s)
        self.note(owned)
        self.on_change(owned)

    def _take_report(
        self,
        owned: OwnedSearcher,
        health: searchers_api.Health,
        before: searchers_api.Links,
    ) -> None:
        """Takes a searcher's report in."""
        known = owned.health
        lost_all = before.open == 0 and owned.confirmed_lost not in (
            before.lost,
            owned_searcher.UNCONFIRMED,
        )
        if known is not None and known.incarnation != health.incarnation:
            owned.ramp.turn_cold("incarnation")
        elif known is not None and owned.reachable and lost_all:
            owned.ramp.turn_cold("lost")
        owned.health = health
        owned.misses = 0
        owned.reachable = True
        owned.confirmed_lost = before.lost
        self._hold(owned, health.cold)
        if owned.is_cold():
            owned.ramp.adopt_usual(self._get_usual_of_others(owned))

    def _take_silence(
        self, owned: OwnedSearcher, failure: errors.Failure, began_s: float
    ) -> None:
        """Takes in that a health read failed."""
        if failure.kind is errors.Kind.DEADLINE_PASSED:
            if owned.succeeded_s >= began_s:
                return
            owned.misses += 1
            if owned.misses < MISSES:
                return
        self.lose(owned, "lost")

    def _hold(self, owned: OwnedSearcher, reported_cold: bool) -> None:
        """Heeds a report to be cold, for a bounded time."""
        name = owned.get_name()
        if not reported_cold or not owned.is_cold():
            self._cold_since_s.pop(name, None)
            owned.ramp.held = False
            return
        since_s = self._cold_since_s.setdefault(name, _now_s())
        owned.ramp.held = _now_s() - since_s < HELD_S

    def _get_usual_of_others(self, owned: OwnedSearcher) -> float:
        """Returns the usual service time of searchers of the same service."""
        service = owned.place.server.service
        known_ms = [
            other.ramp.get_usual_ms()
            for other in self._holdings.owned.values()
            if other.place.server.service == service
            and other.ramp.get_usual_ms() > 0
        ]
        return statistics.median_low(known_ms) if known_ms else 0.0


def _now_s() -> float:
    """Reads the loop's clock, in seconds."""
    return asyncio.get_running_loop().time()
