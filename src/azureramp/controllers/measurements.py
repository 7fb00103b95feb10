"""Measurements of the searchers on which this process bases its decisions."""

from __future__ import annotations

import random

from azureramp import resources
from azureramp.policy import admission, assembly, budgets, hedging, replicas


class Measurements:
    """The measurements and budgets of this process's query path.

    Attributes:
        scoreboard: Measurements of each searcher, for choosing replicas.
        delays: The hedge delay of each shard.
        hedges: The budget of hedges.
        retries: The budget of retries.
        admission_level: The share of requests that is admitted.
        service_times: Service times and waiting times.
        running: Number of requests that are running.
        rng: Source of randomness for load shedding and for breaking ties.
    """

    __slots__ = (
        "admission_level",
        "delays",
        "hedges",
        "retries",
        "rng",
        "running",
        "scoreboard",
        "service_times",
    )

    def __init__(self, rng: random.Random) -> None:
        """Creates empty measurements."""
        self.scoreboard = replicas.Scoreboard()
        self.delays = hedging.HedgeDelays()
        self.hedges = budgets.Budget()
        self.retries = budgets.Budget(budgets.MAX_TOKENS)
        self.admission_level = admission.Level()
        self.service_times = admission.LatencyEstimates()
        self.running = 0
        self.rng = rng

    def earn(self, needed: int, policy: resources.Policy) -> None:
        """Adds the budgets' shares for a number of needed calls."""
        self.hedges.earn(needed, policy.hedge_budget)
        self.retries.earn(needed, policy.retry_budget)

    def finish(
        self, place: hedging.DelayKey, attempt: assembly.Attempt, now_s: float
    ) -> None:
        """Records an attempt that returned a result."""
        took_ms = (now_s - attempt.sent_s) * 1000
        self.scoreboard.record_result(attempt.searcher, took_ms, now_s)
        if attempt.reason != "hedge":
            self.delays.add(place, took_ms)

    def fail(self, attempt: assembly.Attempt, now_s: float) -> None:
        """Records an attempt that failed."""
        self.scoreboard.record_failure(attempt.searcher, now_s)

    def abandon(
        self, place: hedging.DelayKey, attempt: assembly.Attempt, now_s: float
    ) -> None:
        """Records an attempt that was cancelled before its result."""
        took_ms = (now_s - attempt.sent_s) * 1000
        self.scoreboard.record_cancelled(attempt.searcher, took_ms, now_s)
        if attempt.reason != "hedge":
            self.delays.add(place, took_ms)
