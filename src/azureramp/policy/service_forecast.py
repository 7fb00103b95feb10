"""Forecasts whether a request can be answered in time at all.

Load: all searchers of some shards are gone, or have longer queues than a
request's time allows. Inputs: what this VM knows of the searchers of each
service that the request needs, and the time left. Outcome: the request is sent,
or refused as not run at once instead of being held until its deadline.

Only what is certain refuses a request: a lower bound of each searcher's time is
used, and a searcher of which nothing recent is known may answer at once.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterable, Sequence

from azureramp import errors
from azureramp.policy import searcher_selection, searcher_stats

CERTAIN_SHARE = 0.5
"""Share of the estimated duration of a call that it certainly takes: those that
it waits for may be about to end, and its own work may be short."""

MAX_KNOWLEDGE_AGE_S = 1.0
"""Age from which on measurements of a searcher say nothing about its next
call, in seconds."""

DEFAULT_RETURN_S = 0.3
"""When a caller may return if nothing is known of the missing searchers, in
seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Forecast:
    """What is known of the searchers that a request needs.

    Attributes:
        reachable: Number of services with a searcher that may get a call.
        needed: Number of services that must answer.
        earliest_s: The earliest time until that many can have answered, in
            seconds; infinite if too few are reachable.
        age_s: Age of the oldest measurement that this rests on, in seconds; 0
            if none was used.
    """

    reachable: int
    needed: int
    earliest_s: float
    age_s: float

    def describe(self, left_s: float) -> str:
        """Describes the forecast for a log line.

        Args:
            left_s: The time left for the answer, in seconds.
        """
        if self.reachable < self.needed:
            return f"{self.reachable} shards available, {self.needed} required"
        return (
            f"{self.needed} shards take {self.earliest_s * 1000:.0f} ms at "
            f"least, {left_s * 1000:.0f} ms left; known for "
            f"{self.age_s * 1000:.0f} ms"
        )


def make_forecast(
    services: Iterable[Sequence[searcher_stats.SearcherStats]],
    needed: int,
    usual_s: float,
    now_s: float,
) -> Forecast:
    """Forecasts the earliest answer of a request.

    Args:
        services: For each service that the request needs, the searchers that
            may get a call.
        needed: Number of services that must answer.
        usual_s: The usual duration of the route's calls, in seconds; 0 if it
            has not been measured.
        now_s: The current time, in seconds.
    """
    earliest_s: list[float] = []
    oldest_s = now_s
    least_s = CERTAIN_SHARE * usual_s
    for searchers in services:
        if not searchers:
            continue
        quickest_s = math.inf
        for each in searchers:
            quickest_s = min(quickest_s, _bound_call_s(each, usual_s, now_s))
            if quickest_s <= least_s:
                break
        else:
            oldest_s = min(
                oldest_s, *(_get_known_s(each) for each in searchers)
            )
        earliest_s.append(quickest_s)
    earliest_s.sort()
    reached = len(earliest_s) >= needed
    return Forecast(
        reachable=len(earliest_s),
        needed=needed,
        earliest_s=earliest_s[needed - 1] if reached else math.inf,
        age_s=now_s - oldest_s,
    )


def check(forecast: Forecast, left_s: float) -> errors.Kind | None:
    """Returns why a request certainly can't be served; None if it may be.

    Args:
        forecast: The forecast.
        left_s: The time left for the answer, in seconds.
    """
    if forecast.reachable < forecast.needed:
        return errors.Kind.SHARDS_UNREACHABLE
    if forecast.earliest_s > left_s:
        return errors.Kind.DEADLINE_TOO_SHORT
    return None


def compute_return_s(available_after_s: Sequence[float], missing: int) -> float:
    """Computes when a request that lacks services can be served again.

    Args:
        available_after_s: For each service without a searcher, when one may
            get a call again, in seconds from now; infinite if unknown.
        missing: How many of them the request needs.
    """
    ranked = sorted(available_after_s)
    if not 0 < missing <= len(ranked) or math.isinf(ranked[missing - 1]):
        return DEFAULT_RETURN_S
    return ranked[missing - 1]


def _get_known_s(stats: searcher_stats.SearcherStats) -> float:
    """Returns when a searcher was last measured or reported its load."""
    return max(stats.updated_s, stats.reported_s)


def _bound_call_s(
    stats: searcher_stats.SearcherStats, usual_s: float, now_s: float
) -> float:
    """Returns a lower bound of a call's duration, in seconds."""
    if now_s - _get_known_s(stats) > MAX_KNOWLEDGE_AGE_S:
        return 0.0
    relative = searcher_selection.estimate_relative_time(stats, now_s)
    return CERTAIN_SHARE * usual_s * relative
