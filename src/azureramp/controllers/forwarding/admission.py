"""Admits requests to the searchers that they need, or refuses them at once."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Sequence

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import fan_out, part, requests
from azureramp.controllers.forwarding import searchers as searchers_module
from azureramp.policy import (
    admission_gate,
    competition,
    congestion,
    fair_queue,
    service_forecast,
    waits,
)

WAIT_TARGET_SHARE = 0.15
"""Maximum wait for a turn as a share of the route's target; a caller that is
refused after it still has time to return."""

MIN_RETURN_WAIT_S = admission_gate.MIN_RETURN_MS / 1000
"""Minimum time that a caller has waited if it returns as it was told to, in
seconds; one that repeats its request at once has waited less."""

TRIED_SHARE = 0.05
"""Share of the requests that can't be served in time by the forecast and are
sent nevertheless, to measure its error."""

LEAST_COUNTED_PRIORITY = 2
"""Refusals of this and of less urgent priorities are counted together."""

_logger = logbook.Logger("azureramp.admission")


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request that asks for admission.

    Attributes:
        route: Its route.
        services: The services that it needs one searcher of each.
        account: The name of its client account; empty if it has none.
        priority: Its priority; 0 is the highest.
        answer_by_s: When its answer must be sent, on the loop's clock.
        began_s: When it arrived, on the loop's clock.
        waited_s: How long its caller had waited before, in seconds.
        usual_s: The usual duration of the route's calls, in seconds; 0 if it
            has not been measured.
    """

    route: catalog.Route
    services: tuple[str, ...]
    account: str
    priority: int
    answer_by_s: float
    began_s: float
    waited_s: float
    usual_s: float

    def count_needed(self) -> int:
        """Returns how many of the services must answer."""
        match self.route.destination:
            case catalog.FanoutDestination() as destination:
                return fan_out.compute_min_shards(destination)
            case catalog.SplitDestination():
                return 1


@dataclasses.dataclass(slots=True)
class _Admitted:
    """An admitted request.

    Attributes:
        gate: The gate that admitted it.
        admitted_s: When it was admitted.
        against_forecast: True if it was expected not to be served.
        outcome: What its calls met; None until it was answered.
    """

    gate: admission_gate.Gate
    admitted_s: float
    against_forecast: bool
    outcome: congestion.Outcome | None = None


class Admission:
    """Decides which requests are sent, in which order."""

    __slots__ = (
        "_admitted",
        "_board",
        "_configuration",
        "_groups",
        "_mean_rate_per_s",
        "_rng",
        "_searchers",
        "_turns",
    )

    def __init__(
        self,
        board: board_module.Board,
        searchers: searchers_module.Searchers,
        rng: random.Random,
    ) -> None:
        """Creates an admission control without running requests.

        Args:
            board: The process's state.
            searchers: The searchers.
            rng: Random source that spreads the times to return.
        """
        self._board = board
        self._searchers = searchers
        self._rng = rng
        self._configuration: catalog.Configuration | None = None
        self._groups: dict[competition.Services, str] = {}
        self._mean_rate_per_s = 0.0
        self._admitted: dict[int, _Admitted] = {}
        self._turns: dict[fair_queue.Ticket, asyncio.Future[None]] = {}

    def is_on(self, demand: Demand) -> bool:
        """Returns True if other requests compete for the same searchers."""
        if self._board.configuration is not self._configuration:
            self._apply_configuration()
        return demand.services in self._groups

    async def admit(self, demand: Demand) -> errors.Failure | None:
        """Admits a request, after a short wait if that is certain to help.

        Args:
            demand: The request.

        Returns:
            None if it may be sent now, in which case `release` must be called
            once it has ended; otherwise the reason, which states that it has
            not run and when it can be served.
        """
        if not self.is_on(demand):
            return None
        now_s = asyncio.get_running_loop().time()
        against_forecast = False
        failure = self._check_forecast(demand, now_s)
        if failure is not None:
            against_forecast = (
                failure.kind is errors.Kind.DEADLINE_TOO_SHORT
                and self._rng.random() < TRIED_SHARE
            )
            if not against_forecast:
                self._count_refusal("admission.refused_forecast", demand)
                return failure
            self._board.metrics.count("admission.tried")
        gate = self._get_gate(demand)
        failure = await self._wait_for_turn(gate, demand, now_s)
        if failure is not None:
            return failure
        admitted_s = asyncio.get_running_loop().time()
        self._admitted[id(demand)] = _Admitted(
            gate, admitted_s, against_forecast
        )
        counters = self._board.metrics
        counters.count("admission.admitted")
        counters.record_ms("admission.wait_ms", (admitted_s - now_s) * 1000)
        return None

    def record_answer(
        self,
        demand: Demand,
        parts: Sequence[part.Part],
        answer: requests.Answer,
    ) -> None:
        """Records what an admitted request's calls met, before `release`.

        Args:
            demand: The request.
            parts: Its parts.
            answer: Its answer.
        """
        admitted = self._admitted.get(id(demand))
        if admitted is None:
            return
        now_s = asyncio.get_running_loop().time()
        admitted.outcome = measure_outcome(demand, parts, now_s)
        counters = self._board.metrics
        if isinstance(answer, requests.Refusal):
            counters.count("admission.unserved")
            return
        if admitted.against_forecast:
            counters.count("admission.tried_served")
        took_s = demand.waited_s + now_s - demand.began_s
        if took_s > demand.route.target_latency_s:
            counters.count("admission.late")

    def release(self, demand: Demand) -> None:
        """Records that an admitted request has ended."""
        admitted = self._admitted.pop(id(demand), None)
        if admitted is not None:
            self._end(admitted.gate, admitted.admitted_s, admitted.outcome)

    def _check_forecast(
        self, demand: Demand, now_s: float
    ) -> errors.Failure | None:
        """Returns why a request certainly can't be served; None if it may."""
        forecast = service_forecast.make_forecast(
            (
                self._searchers.list_usable(service, now_s)
                for service in demand.services
            ),
            demand.count_needed(),
            demand.usual_s,
            now_s,
        )
        left_s = demand.answer_by_s - now_s
        kind = service_forecast.check(forecast, left_s)
        if kind is None:
            return None
        return_s = forecast.earliest_s
        if kind is errors.Kind.SHARDS_UNREACHABLE:
            return_s = self._compute_return_s(demand, forecast, now_s)
        return errors.Failure(
            kind,
            forecast.describe(left_s),
            waits.compute_retry_ms(
                return_s * 1000,
                self._rng.random(),
                admission_gate.MIN_RETURN_MS,
            ),
        )

    def _compute_return_s(
        self,
        demand: Demand,
        forecast: service_forecast.Forecast,
        now_s: float,
    ) -> float:
        """Computes when enough services may have a searcher again."""
        delays_s: list[float] = []
        for service in demand.services:
            if self._searchers.count_usable(service, now_s):
                continue
            targets = self._board.by_service.get(service, {})
            delays_s.append(
                min(
                    (
                        max(0.0, target.stats.backoff_until_s - now_s)
                        for target in targets.values()
                        if target.searcher.state is catalog.SearcherState.READY
                    ),
                    default=math.inf,
                )
            )
        missing = forecast.needed - forecast.reachable
        return service_forecast.compute_return_s(delays_s, missing)

    async def _wait_for_turn(
        self, gate: admission_gate.Gate, demand: Demand, now_s: float
    ) -> errors.Failure | None:
        """Waits until a request may be sent; returns why it may not be."""
        ticket = self._make_ticket(gate, demand, now_s)
        if ticket.returning:
            self._board.metrics.count("admission.returned")
        decision = gate.arrive(ticket, now_s)
        if isinstance(decision, admission_gate.Queued):
            turn = asyncio.get_running_loop().create_future()
            self._turns[ticket] = turn
            try:
                await asyncio.wait({turn}, timeout=decision.patience_s)
            except asyncio.CancelledError:
                if not gate.withdraw(ticket):
                    self._end(gate, now_s, None)
                raise
            finally:
                del self._turns[ticket]
            if turn.done() or not gate.withdraw(ticket):
                return None
            now_s = asyncio.get_running_loop().time()
            decision = gate.refuse(ticket, now_s)
        if isinstance(decision, admission_gate.Refused):
            over = gate.shares.asks_for_more(demand.account)
            reason = "refused_over" if over else "refused_turn"
            self._count_refusal(f"admission.{reason}", demand)
            return errors.Failure(
                errors.Kind.OVERLOADED, decision.detail, decision.return_ms
            )
        return None

    def _make_ticket(
        self, gate: admission_gate.Gate, demand: Demand, now_s: float
    ) -> fair_queue.Ticket:
        """Makes a request's ticket for its gate."""
        slack_s = demand.answer_by_s - now_s - gate.get_mean_s()
        patience_s = WAIT_TARGET_SHARE * demand.route.target_latency_s
        return fair_queue.Ticket(
            account=demand.account,
            priority=demand.priority,
            weight=self._get_weight(demand.account),
            returning=demand.waited_s >= MIN_RETURN_WAIT_S,
            patience_s=max(0.0, min(patience_s, slack_s)),
            draw=self._rng.random(),
        )

    def _end(
        self,
        gate: admission_gate.Gate,
        admitted_s: float,
        outcome: congestion.Outcome | None,
    ) -> None:
        """Ends an admitted request and lets the next ones run."""
        now_s = asyncio.get_running_loop().time()
        limited = math.isfinite(gate.limit.value)
        for ticket in gate.end(admitted_s, outcome, now_s):
            turn = self._turns.get(ticket)
            if turn is not None and not turn.done():
                turn.set_result(None)
        if limited != math.isfinite(gate.limit.value):
            self._log_change(gate, outcome)

    def _log_change(
        self, gate: admission_gate.Gate, outcome: congestion.Outcome | None
    ) -> None:
        """Logs that a set of searchers is limited now, or no longer."""
        limits = [each.limit.value for each in self._board.gates.values()]
        limited = sum(map(math.isfinite, limits))
        self._board.metrics.set_gauge("admission.limited", limited)
        name = next(
            (name for name, each in self._board.gates.items() if each is gate),
            "",
        )
        if math.isinf(gate.limit.value):
            _logger.info("requests to {} are no longer limited", name)
        else:
            _logger.info(
                "requests to {} are limited to {:.1f} at once; {}",
                name,
                gate.limit.value,
                outcome,
            )

    def _count_refusal(self, reason: str, demand: Demand) -> None:
        """Counts a refusal by its reason and its priority."""
        counters = self._board.metrics
        counters.count(reason)
        rank = min(max(0, demand.priority), LEAST_COUNTED_PRIORITY)
        counters.count(f"admission.refused_{rank}")

    def _get_gate(self, demand: Demand) -> admission_gate.Gate:
        """Returns the gate of the searchers that a request needs."""
        name = self._groups[demand.services]
        gate = self._board.gates.get(name)
        if gate is None:
            gate = self._board.gates[name] = admission_gate.Gate()
        return gate

    def _get_weight(self, account: str) -> float:
        """Returns an account's share of the room, relative to others."""
        accounts = self._board.get_accounts()
        declared = accounts.by_name.get(account) if accounts else None
        if declared is None or declared.rate_per_s <= 0:
            return 1.0
        return declared.rate_per_s / self._mean_rate_per_s

    def _apply_configuration(self) -> None:
        """Finds out where requests compete in a new configuration."""
        configuration = self._configuration = self._board.configuration
        self._groups = {}
        if configuration is None:
            return
        accounts = configuration.accounts
        self._groups = competition.find_competing_sets(
            configuration.routes, accounts is not None
        )
        names = set(self._groups.values())
        self._board.gates = {
            name: gate
            for name, gate in self._board.gates.items()
            if name in names
        }
        rates = [
            each.rate_per_s
            for each in (accounts.by_name.values() if accounts else ())
            if each.rate_per_s > 0
        ]
        self._mean_rate_per_s = sum(rates) / max(1, len(rates))


def measure_outcome(
    demand: Demand, parts: Sequence[part.Part], now_s: float
) -> congestion.Outcome:
    """Summarizes what a request's calls met.

    Args:
        demand: The request.
        parts: Its parts.
        now_s: The current time.
    """
    full = queued = slow = 0
    for each in parts:
        reply = each.reply
        if reply is None:
            full += bool(each.rejections)
        elif reply.load is not None:
            queued += congestion.is_queued(reply.load.waiting, reply.load.slots)
        slow += congestion.is_slow(
            each.get_waited_s(now_s),
            demand.usual_s,
            demand.route.target_latency_s,
        )
    needed = min(len(parts), demand.count_needed())
    return congestion.Outcome(len(parts), needed, full, queued, slow)
