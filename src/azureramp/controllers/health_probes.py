"""Health probes of the owned searchers: reachability and incarnation."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Callable

import expression

from azureramp import blackboard, errors, events
from azureramp.controllers import owned_searcher
from azureramp.ports.searchers import api as searchers_api

MAX_MISSES = 2
"""Consecutive timed-out health reads after which a searcher is treated as
unreachable."""

MAX_REPORTED_COLD_S = 30.0
"""Maximum time for which a searcher's own report of cold start is followed, in
seconds: a report may be wrong and must not delay a searcher for longer."""

OwnedSearcher = owned_searcher.OwnedSearcher


class Prober:
    """Reads the searchers' health and updates their states.

    Attributes:
        on_change: Called with a searcher after each health read.
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
        """Creates a prober that has not read any health yet."""
        self.on_change = on_change
        self._board = board
        self._port = port
        self._holdings = holdings
        self._rng = rng
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._due_s: dict[str, float] = {}
        self._cold_since_s: dict[str, float] = {}

    def probe_if_due(self, owned: OwnedSearcher) -> None:
        """Starts a health read if the next one is due."""
        now_s = _now_s()
        name = owned.get_name()
        if owned.place.refusal_kind is None and now_s >= self._due_s.get(
            name, 0.0
        ):
            # Jitter, so that an owner's reads of many searchers don't
            # coincide.
            spread = 0.75 + 0.5 * self._rng.random()
            probe_s = self._board.settings.probe_ms / 1000
            self._due_s[name] = now_s + probe_s * spread
            self.probe(owned)

    def probe(self, owned: OwnedSearcher) -> None:
        """Starts a health read unless one is in progress."""
        name = owned.get_name()
        if name in self._probes or owned.place.refusal_kind is not None:
            return
        probe = asyncio.ensure_future(self._probe(owned))
        self._probes[name] = probe
        probe.add_done_callback(lambda _: self._probes.pop(name, None))

    def is_confirmed(self, owned: OwnedSearcher) -> bool:
        """Returns True if a searcher is certainly the process last probed.

        A searcher that restarts is cold immediately, but its next health read
        may be half a second away. A restart shows as a lost connection,
        because one connection is always open. So after any loss nothing is
        sent until the incarnation has been read again.
        """
        links = self._port.count_connections(owned.get_address())
        return owned.reachable and links.lost_count == owned.confirmed_lost

    def forget(self, name: str) -> None:
        """Removes the probe state of a searcher that is no longer owned."""
        self._due_s.pop(name, None)
        self._cold_since_s.pop(name, None)
        probe = self._probes.pop(name, None)
        if probe is not None:
            probe.cancel()

    def close(self) -> None:
        """Cancels all health reads."""
        for name in list(self._probes):
            self.forget(name)

    def mark_unreachable(self, owned: OwnedSearcher, reason: str) -> None:
        """Treats a searcher as unreachable until its next health report."""
        if owned.reachable:
            owned.reachable = False
            owned.ramp.reset_to_cold(reason)
        self.record_state(owned)

    def record_state(self, owned: OwnedSearcher) -> None:
        """Records a searcher's state in the timeline if it has changed."""
        incarnation = owned.health.incarnation if owned.health else 0
        state = owned.ramp.state.value if owned.reachable else "lost"
        if owned.recorded_state == (state, incarnation):
            return
        owned.recorded_state = (state, incarnation)
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
        """Reads a searcher's health and applies the result."""
        address = owned.get_address()
        before = self._port.count_connections(address)
        began_s = _now_s()
        report = await self._port.read_health(address)
        if self._holdings.owned.get(owned.get_name()) is not owned:
            return
        match report:
            case expression.Result(tag="ok", ok=health):
                self._apply_report(owned, health, before)
            case expression.Result(error=failure):
                self._handle_probe_failure(owned, failure, began_s)
        self.record_state(owned)
        self.on_change(owned)

    def _apply_report(
        self,
        owned: OwnedSearcher,
        health: searchers_api.Health,
        before: searchers_api.ConnectionCounts,
    ) -> None:
        """Applies a searcher's health report."""
        last_health = owned.health
        lost_all = before.open_count == 0 and owned.confirmed_lost not in (
            before.lost_count,
            owned_searcher.UNCONFIRMED,
        )
        if (
            last_health is not None
            and last_health.incarnation != health.incarnation
        ):
            owned.ramp.reset_to_cold("incarnation")
        elif last_health is not None and owned.reachable and lost_all:
            owned.ramp.reset_to_cold("lost")
        owned.health = health
        owned.missed_reads = 0
        owned.reachable = True
        owned.confirmed_lost = before.lost_count
        self._apply_reported_cold(owned, health.cold)
        if owned.is_cold():
            owned.ramp.set_default_usual_ms(self._get_usual_of_others(owned))

    def _handle_probe_failure(
        self, owned: OwnedSearcher, failure: errors.Failure, began_s: float
    ) -> None:
        """Handles a failed health read."""
        if failure.kind is errors.Kind.DEADLINE_PASSED:
            if owned.succeeded_s >= began_s:
                return
            owned.missed_reads += 1
            if owned.missed_reads < MAX_MISSES:
                return
        self.mark_unreachable(owned, "lost")

    def _apply_reported_cold(
        self, owned: OwnedSearcher, reported_cold: bool
    ) -> None:
        """Follows a report of cold start for a limited time."""
        name = owned.get_name()
        if not reported_cold or not owned.is_cold():
            self._cold_since_s.pop(name, None)
            owned.ramp.reports_cold = False
            return
        since_s = self._cold_since_s.setdefault(name, _now_s())
        owned.ramp.reports_cold = _now_s() - since_s < MAX_REPORTED_COLD_S

    def _get_usual_of_others(self, owned: OwnedSearcher) -> float:
        """Returns the usual service time of other searchers of the service.

        It is in milliseconds; 0 if unknown.
        """
        service = owned.place.server.service
        known_ms = [
            other.ramp.get_usual_service_ms()
            for other in self._holdings.owned.values()
            if other.place.server.service == service
            and other.ramp.get_usual_service_ms() > 0
        ]
        return statistics.median_low(known_ms) if known_ms else 0.0


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
