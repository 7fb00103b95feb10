"""What this process has measured of the searchers, for its own decisions."""

from __future__ import annotations

import random

from azureramp import resources
from azureramp.policy import admission, assembly, budgets, hedging, replicas


class Measurements:
    """The query path's own measurements and budgets.

    Attributes:
        scoreboard: Each searcher's.
        delays: Each shard's hedge delay.
        hedges: The budget of hedges.
        retries: The budget of retries.
        level: How much is taken.
        times: Service times and waits.
        running: Requests that run now.
        random: Draws among equal choices.
    """

    __slots__ = (
        "delays",
        "hedges",
        "level",
        "random",
        "retries",
        "running",
        "scoreboard",
        "times",
    )

    def __init__(self, rng: random.Random) -> None:
        """Makes measurements of nothing yet."""
        self.scoreboard = replicas.Scoreboard()
        self.delays = hedging.Delays()
        self.hedges = budgets.Budget()
        self.retries = budgets.Budget(budgets.BURST)
        self.level = admission.Level()
        self.times = admission.Times()
        self.running = 0
        self.random = rng

    def earn(self, needed: int, policy: resources.Policy) -> None:
        """Adds some needed calls' shares to the budgets."""
        self.hedges.earn(needed, policy.hedge_budget)
        self.retries.earn(needed, policy.retry_budget)

    def finish(
        self, place: hedging.Place, attempt: assembly.Attempt, now_s: float
    ) -> None:
        """Counts an attempt that brought a result."""
        took_ms = (now_s - attempt.sent_s) * 1000
        self.scoreboard.finish(attempt.searcher, took_ms, now_s)
        if attempt.reason != "hedge":
            self.delays.add(place, took_ms)

    def fail(self, attempt: assembly.Attempt, now_s: float) -> None:
        """Counts an attempt that failed."""
        self.scoreboard.fail(attempt.searcher, now_s)

    def abandon(
        self, place: hedging.Place, attempt: assembly.Attempt, now_s: float
    ) -> None:
        """Counts an attempt for whose result nobody waits any more."""
        took_ms = (now_s - attempt.sent_s) * 1000
        self.scoreboard.abandon(attempt.searcher, took_ms, now_s)
        if attempt.reason != "hedge":
            self.delays.add(place, took_ms)
