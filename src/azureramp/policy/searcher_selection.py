"""Choice of a searcher of a service for a call.

The load it answers: searchers of one shard that differ in speed, pause, turn
slow and fill up, called by VMs of which each makes few calls to each searcher.

A VM uses its own measurements: the duration of its calls to each searcher
relative to the others, and the calls still in flight. The searchers' load
reports are delayed, so they only supplement the measurements. If they state how
slow the backend server is, they count less and less as they age.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from azureramp.policy import searcher_stats

CROSS_ZONE_COST = 0.8
"""Extra cost of a searcher in another availability zone, as a multiple of a
usual call, since traffic between zones is charged. It is less than 1, so that a
free searcher in another zone is preferred to one in this zone whose slots are
all in use."""

SAME_ZONE_TOLERANCE = 1.5
"""How much longer a call to a searcher in this VM's zone may take before one in
another zone is preferred, as a multiple of a usual call. Traffic between zones
is charged, and a request to many shards waits for the slowest of them
anyway."""

SAME_ZONE_TARGET_SHARE = 1 / 3
"""Share of the route's target that a call in this VM's zone may take before one
in another zone is preferred, if searchers report how slow they are: the rest is
left for a hedge, for merging and for the way to the caller."""

MAX_SAME_ZONE_TOLERANCE = 3.0
"""Upper limit of the tolerance derived from the target: slower searchers soon
have a queue."""

OVERDUE_COST = 4.0
"""Extra cost per overdue call, as a multiple of a usual call: a searcher that
pauses delays all calls in flight on it."""

MAX_REPORT_AGE_S = 0.25
"""Age after which a searcher's load report is ignored, in seconds, if it does
not state how slow the backend server is."""

HALF_LIFE_S = 3.0
"""Half-life of the measurements of a searcher that gets no calls, in seconds.
Only a new call can show that a slow searcher is fast again."""

FAILURE_COST = 6.0
"""Extra cost of a searcher that fails every call, as a multiple of a usual
call; it is scaled by the share of failed calls. A failed call costs the time of
a retry, a new connection and some of the budget for extra calls."""


def estimate_relative_time(
    stats: searcher_stats.SearcherStats, now_s: float
) -> float:
    """Estimates the duration of one more call, relative to the usual one.

    The estimate includes the wait for a slot if all are in use.
    """
    slots = max(1, stats.slots)
    ahead = max(0.0, _get_load(stats, now_s) + 1 - slots)
    return _get_slowness(stats, now_s) * (1.0 + ahead / slots)


def has_free_slot(stats: searcher_stats.SearcherStats, now_s: float) -> bool:
    """Returns True unless all slots are known to be in use."""
    return _get_load(stats, now_s) < stats.slots


def has_queued_calls(stats: searcher_stats.SearcherStats, now_s: float) -> bool:
    """Returns True if calls are waiting for a slot."""
    return _get_load(stats, now_s) > stats.slots


def _get_slowness(stats: searcher_stats.SearcherStats, now_s: float) -> float:
    """Returns a searcher's expected relative duration.

    What it reported counts less the older it is. The measured duration, which
    takes its place, decays toward the usual one.
    """
    slowness = stats.relative_time
    if slowness > 1.0:
        slowness = 1.0 + (slowness - 1.0) * _compute_decay(stats, now_s)
    if stats.server.is_known():
        weight = stats.server.compute_weight(now_s)
        slowness += (stats.server.estimate() - slowness) * weight
    return slowness


def _compute_decay(stats: searcher_stats.SearcherStats, now_s: float) -> float:
    """Returns the weight of measurements of this age, 0 to 1."""
    idle_s = max(0.0, now_s - stats.updated_s)
    return math.pow(0.5, idle_s / HALF_LIFE_S)


def _get_load(stats: searcher_stats.SearcherStats, now_s: float) -> float:
    """Returns a searcher's number of calls, as far as this VM knows it."""
    if stats.server.is_known():
        age_s = now_s - stats.reported_s
        weight = stats.server.persistence.compute_weight(age_s)
        return stats.in_flight + stats.reported_load * weight
    load = float(stats.in_flight)
    if now_s - stats.reported_s < MAX_REPORT_AGE_S:
        load += stats.reported_load
    return load


def compute_same_zone_tolerance(target_s: float, usual_s: float) -> float:
    """Returns how much longer than usual a call in the own zone may take.

    Args:
        target_s: The route's target latency, in seconds.
        usual_s: The usual duration of its calls, in seconds; 0 if unknown.

    Returns:
        The tolerance, as a multiple of a usual call.
    """
    if usual_s <= 0:
        return SAME_ZONE_TOLERANCE
    allowed = SAME_ZONE_TARGET_SHARE * target_s / usual_s - 1.0
    return min(MAX_SAME_ZONE_TOLERANCE, max(SAME_ZONE_TOLERANCE, allowed))


def compute_cost(
    stats: searcher_stats.SearcherStats,
    now_s: float,
    tolerance: float = SAME_ZONE_TOLERANCE,
) -> float:
    """Returns a searcher's cost for one more call; lower is better.

    Args:
        stats: The searcher's statistics.
        now_s: The current time, in seconds.
        tolerance: How much longer than usual a call in the own zone may take,
            as a multiple of a usual call; used if the searcher reports how slow
            it is.
    """
    load = _get_load(stats, now_s)
    # While slots are free, concurrent calls hardly delay each other. A call
    # beyond the slots waits for the duration of a whole call.
    slowness = _get_slowness(stats, now_s)
    if stats.same_zone:
        if not stats.server.is_known():
            tolerance = SAME_ZONE_TOLERANCE
        slowness = max(min(slowness, 1.0), slowness - tolerance)
    cost = slowness * (1.0 + (load / max(1, stats.slots)) ** 2)
    cost += OVERDUE_COST * stats.overdue
    cost += FAILURE_COST * stats.failure_rate * _compute_decay(stats, now_s)
    if not stats.same_zone:
        cost += CROSS_ZONE_COST
    return cost


def choose(
    candidates: Iterable[tuple[str, searcher_stats.SearcherStats]],
    now_s: float,
    rng: random.Random,
    tolerance: float = SAME_ZONE_TOLERANCE,
) -> str | None:
    """Chooses the best searcher.

    Args:
        candidates: The searchers' ids and statistics.
        now_s: The current time, in seconds.
        rng: Random source that varies the costs, to break ties.
        tolerance: As in `compute_cost`.

    Returns:
        The id of the best searcher that may get calls; None if there is none.
    """
    best: str | None = None
    best_cost = 0.0
    for searcher, stats in candidates:
        if stats.is_excluded(now_s):
            continue
        cost = compute_cost(stats, now_s, tolerance)
        cost *= 1.0 + 0.1 * rng.random()
        if best is None or cost < best_cost:
            best, best_cost = searcher, cost
    return best


def choose_for_probe(
    candidates: Iterable[tuple[str, searcher_stats.SearcherStats]], now_s: float
) -> str | None:
    """Chooses among searchers that may have recovered, if there are no others.

    If all searchers of a service crashed and no requests came for a while, the
    first request would otherwise be rejected, although the searchers have long
    been up again.

    Args:
        candidates: The searchers' ids and statistics.
        now_s: The current time, in seconds.

    Returns:
        The id of the best searcher whose backoff has ended and that is not yet
        being probed; None if there is none.
    """
    recovering = [
        (compute_cost(each, now_s), name)
        for name, each in candidates
        if each.needs_probe(now_s) and not each.probing
    ]
    return min(recovering)[1] if recovering else None


def choose_in_backoff(
    candidates: Iterable[tuple[str, searcher_stats.SearcherStats]], now_s: float
) -> str | None:
    """Chooses among searchers in backoff, as a last resort.

    If all searchers of a service lose some of their answers, each soon fails
    twice in a row, and requests would be rejected although most of them could
    be answered. Searchers that may be down are excluded.

    Args:
        candidates: The searchers' ids and statistics.
        now_s: The current time, in seconds.

    Returns:
        The id of the best searcher; None if all may be down.
    """
    failing = [
        (compute_cost(each, now_s), name)
        for name, each in candidates
        if each.responsive
    ]
    return min(failing)[1] if failing else None
