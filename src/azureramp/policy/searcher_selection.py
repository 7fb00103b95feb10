"""Choice of a searcher of a service for a call.

A VM uses its own measurements: the duration of its calls to each searcher
relative to the others, and the calls still in flight. The searchers' load
reports are delayed, so they only supplement the measurements.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

SMOOTHING = 0.2
"""Weight of the latest call's duration in a searcher's moving average. It
covers about the last five calls, so that a searcher that becomes slow is
avoided within a few calls."""

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

OVERDUE_COST = 4.0
"""Extra cost per overdue call, as a multiple of a usual call: a searcher that
pauses delays all calls in flight on it."""

MAX_REPORT_AGE_S = 0.25
"""Age after which a searcher's load report is ignored, in seconds."""

HALF_LIFE_S = 3.0
"""Half-life of the measurements of a searcher that gets no calls, in seconds.
Only a new call can show that a slow searcher is fast again."""

BASE_BACKOFF_S = 0.25
"""First backoff of a failing searcher, in seconds; it doubles with each further
failure."""

MAX_BACKOFF_S = 1.0
"""Maximum backoff of a failing searcher, in seconds. It is short because a
recovered searcher is needed soon if its shard has few others."""

FAILURE_COST = 6.0
"""Extra cost of a searcher that fails every call, as a multiple of a usual
call; it is scaled by the share of failed calls. A failed call costs the time of
a retry, a new connection and some of the budget for extra calls."""

FAILURE_SMOOTHING = 0.15
"""Weight of the latest outcome in a searcher's share of failed calls."""

FAILURES_TO_BACKOFF = 2
"""Number of consecutive failures that start a searcher's backoff. A single
answer may be lost although the searcher is healthy."""


@dataclasses.dataclass(slots=True)
class SearcherStats:
    """This VM's measurements of one searcher.

    Attributes:
        slots: Number of requests that it runs concurrently.
        same_zone: True if it is in this VM's availability zone.
        in_flight: Number of this VM's calls in flight.
        overdue: Number of these that are overdue.
        relative_time: Average duration of its calls relative to the usual one;
            1 is usual.
        updated_s: When a call last updated the measurements, in seconds.
        failures: Number of consecutive failures.
        responsive: False if the last failure shows that the searcher may be
            down: it could not be reached, or did not respond for a long time.
            True after an error or a lost answer.
        failure_rate: Moving average of the share of failed calls, 0 to 1.
        backoff_until_s: When its backoff ends, in seconds.
        probing: True while a single call probes whether it has recovered.
        reported_load: Reported number of other VMs' requests queued or running.
        reported_s: When this was reported, in seconds.
    """

    slots: int
    same_zone: bool
    in_flight: int = 0
    overdue: int = 0
    relative_time: float = 1.0
    updated_s: float = 0.0
    failures: int = 0
    responsive: bool = True
    failure_rate: float = 0.0
    backoff_until_s: float = 0.0
    probing: bool = False
    reported_load: float = 0.0
    reported_s: float = -1e9

    def record_time(self, ratio: float, now_s: float) -> None:
        """Records the duration of a call.

        Args:
            ratio: The duration, relative to the usual one.
            now_s: The current time, in seconds.
        """
        ratio = min(ratio, 20.0)
        self.relative_time += SMOOTHING * (ratio - self.relative_time)
        self.updated_s = now_s

    def record_success(self) -> None:
        """Records an answer of any kind that shows that the searcher is up."""
        self.failures = 0
        self.failure_rate *= 1.0 - FAILURE_SMOOTHING
        self.backoff_until_s = 0.0
        self.probing = False

    def record_failure(
        self, now_s: float, sent: bool = True, silent: bool = False
    ) -> None:
        """Records a call that failed because of the searcher.

        Args:
            now_s: The current time, in seconds.
            sent: False if the searcher could not be reached. Such a failure
                does not count in the share of failed calls, since it does not
                predict the searcher's behavior once it is up again.
            silent: True if the searcher did not respond for a long time.
        """
        self.failures += 1
        self.responsive = sent and not silent
        if sent:
            self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate)
            self.updated_s = now_s
        self.probing = False
        if self.failures >= FAILURES_TO_BACKOFF:
            doublings = min(self.failures - FAILURES_TO_BACKOFF, 8)
            backoff_s = min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2**doublings)
            self.backoff_until_s = now_s + backoff_s

    def is_excluded(self, now_s: float) -> bool:
        """Returns True if the searcher must not get calls now.

        After the backoff, one call at a time probes whether it has recovered.
        A searcher that may be down gets no call until a connection to it could
        be opened, since each call that probed it would make its request late.
        """
        if self.failures < FAILURES_TO_BACKOFF:
            return False
        return (
            not self.responsive or now_s < self.backoff_until_s or self.probing
        )

    def needs_probe(self, now_s: float) -> bool:
        """Returns True if it may be down and its backoff has ended."""
        backoff_ended = (
            self.failures >= FAILURES_TO_BACKOFF
            and now_s >= self.backoff_until_s
        )
        return backoff_ended and not self.responsive


def estimate_relative_time(stats: SearcherStats, now_s: float) -> float:
    """Estimates the duration of one more call, relative to the usual one.

    The estimate includes the wait for a slot if all are in use.
    """
    slots = max(1, stats.slots)
    ahead = max(0.0, _get_load(stats, now_s) + 1 - slots)
    return _get_slowness(stats, now_s) * (1.0 + ahead / slots)


def has_free_slot(stats: SearcherStats, now_s: float) -> bool:
    """Returns True unless all slots are known to be in use."""
    return _get_load(stats, now_s) < stats.slots


def has_queued_calls(stats: SearcherStats, now_s: float) -> bool:
    """Returns True if calls are waiting for a slot."""
    return _get_load(stats, now_s) > stats.slots


def _get_slowness(stats: SearcherStats, now_s: float) -> float:
    """Returns a searcher's relative duration, decayed toward the usual one."""
    if stats.relative_time < 1.0:
        return stats.relative_time
    return 1.0 + (stats.relative_time - 1.0) * _compute_decay(stats, now_s)


def _compute_decay(stats: SearcherStats, now_s: float) -> float:
    """Returns the weight of measurements of this age, 0 to 1."""
    idle_s = max(0.0, now_s - stats.updated_s)
    return math.pow(0.5, idle_s / HALF_LIFE_S)


def _get_load(stats: SearcherStats, now_s: float) -> float:
    """Returns a searcher's number of calls, as far as this VM knows it."""
    load = float(stats.in_flight)
    if now_s - stats.reported_s < MAX_REPORT_AGE_S:
        load += stats.reported_load
    return load


def compute_cost(stats: SearcherStats, now_s: float) -> float:
    """Returns a searcher's cost for one more call; lower is better."""
    load = _get_load(stats, now_s)
    # While slots are free, concurrent calls hardly delay each other. A call
    # beyond the slots waits for the duration of a whole call.
    slowness = _get_slowness(stats, now_s)
    if stats.same_zone:
        slowness = max(min(slowness, 1.0), slowness - SAME_ZONE_TOLERANCE)
    cost = slowness * (1.0 + (load / max(1, stats.slots)) ** 2)
    cost += OVERDUE_COST * stats.overdue
    cost += FAILURE_COST * stats.failure_rate * _compute_decay(stats, now_s)
    if not stats.same_zone:
        cost += CROSS_ZONE_COST
    return cost


def choose(
    candidates: Iterable[tuple[str, SearcherStats]],
    now_s: float,
    rng: random.Random,
) -> str | None:
    """Chooses the best searcher.

    Args:
        candidates: The searchers' ids and statistics.
        now_s: The current time, in seconds.
        rng: Random source that varies the costs, to break ties.

    Returns:
        The id of the best searcher that may get calls; None if there is none.
    """
    best: str | None = None
    best_cost = 0.0
    for searcher, stats in candidates:
        if stats.is_excluded(now_s):
            continue
        cost = compute_cost(stats, now_s) * (1.0 + 0.1 * rng.random())
        if best is None or cost < best_cost:
            best, best_cost = searcher, cost
    return best


def choose_for_probe(
    candidates: Iterable[tuple[str, SearcherStats]], now_s: float
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
    candidates: Iterable[tuple[str, SearcherStats]], now_s: float
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
