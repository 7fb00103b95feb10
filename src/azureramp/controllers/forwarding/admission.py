"""Admits requests to the searchers that they need, or refuses them at once."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Sequence

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import demands, part, requests, turns
from azureramp.controllers.forwarding import searchers as searchers_module
from azureramp.policy import (
    admission_gate,
    competition,
    congestion,
    service_forecast,
    waits,
)

TRIED_SHARE = 0.05
"""Share of the requests that can't be served in time by the forecast and are
sent nevertheless, to measure its error."""


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
        "_rng",
        "_searchers",
        "_turns",
    )

    def __init__(
        self,
        board: board_module.Board,
        searchers: searchers_module.Searchers,
        rng: random.Random,
        scope: competition.Scope,
    ) -> None:
        """Creates an admission control without running requests.

        Args:
            board: The process's state.
            searchers: The searchers.
            rng: Random source that spreads the times to return.
            scope: Where admission control is on.
        """
        self._board = board
        self._searchers = searchers
        self._rng = rng
        self._turns = turns.Turns(board, rng, scope)
        self._admitted: dict[int, _Admitted] = {}

    def is_on(self, demand: demands.Demand) -> bool:
        """Returns True if other requests compete for the same searchers."""
        return self._turns.is_on(demand)

    async def admit(self, demand: demands.Demand) -> errors.Failure | None:
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
                self._turns.count_refusal("admission.refused_forecast", demand)
                return failure
            self._board.metrics.count("admission.tried")
        turn = await self._turns.take(demand)
        if turn.is_error():
            return turn.error
        admitted_s = asyncio.get_running_loop().time()
        self._admitted[id(demand)] = _Admitted(
            turn.ok, admitted_s, against_forecast
        )
        counters = self._board.metrics
        counters.count("admission.admitted")
        counters.record_ms("admission.wait_ms", (admitted_s - now_s) * 1000)
        return None

    def record_answer(
        self,
        demand: demands.Demand,
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
        admitted.outcome = demands.measure_outcome(demand, parts, now_s)
        counters = self._board.metrics
        if isinstance(answer, requests.Refusal):
            counters.count("admission.unserved")
            return
        if admitted.against_forecast:
            counters.count("admission.tried_served")
        took_s = demand.waited_s + now_s - demand.began_s
        if took_s > demand.route.target_latency_s:
            counters.count("admission.late")

    def release(self, demand: demands.Demand) -> None:
        """Records that an admitted request has ended."""
        admitted = self._admitted.pop(id(demand), None)
        if admitted is not None:
            self._turns.end(
                admitted.gate, admitted.admitted_s, admitted.outcome
            )

    def _check_forecast(
        self, demand: demands.Demand, now_s: float
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
        demand: demands.Demand,
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
