"""Which searcher of a service gets a call.

A VM goes by what it measures itself: how its calls to each searcher compare
with those to the others, and which are still without an answer. What the
searchers report lags, so it only adds to that.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Iterable

SMOOTHING = 0.2
"""Weight of the newest time in a searcher's mean: about the last five calls
count, so that a searcher that turns slow is left within a few calls."""

OTHER_ZONE = 0.8
"""What a searcher in another availability zone costs in the choice, in usual
calls: its bytes are paid for. Less than one, so that a near searcher whose
slots are all taken gives way to a free one elsewhere."""

NEAR_SLOWER = 1.5
"""How much longer a call to a searcher in this VM's zone may last before one
elsewhere is taken, in usual calls: the bytes to another zone are paid for, and
a request to many shards waits for the slowest of them anyway."""

OVERDUE = 4.0
"""What a call that is overdue costs its searcher in the choice, in usual
calls: a searcher that pauses holds everything it has."""

REPORT_FADES_S = 0.25
"""How long a searcher's report of its load counts, in seconds."""

FORGET_S = 3.0
"""In this time a searcher that gets no calls is half forgiven its slowness, in
seconds: only a call shows that it is fast again."""

FAIL_BASE_S = 0.25
"""How long a searcher is left alone after its calls begin to fail, in
seconds; it doubles with each further failure."""

FAIL_MOST_S = 1.0
"""Longest time that a failing searcher is left alone, in seconds. One that is
back must not be missed for long while its shard has few others."""

FAILURE_COST = 6.0
"""What a searcher that fails every call costs in the choice, in usual calls;
one that fails a part of them costs that part. A failed call costs a retry's
time, a new connection and some of the bound on extra calls."""

FAILURE_SMOOTHING = 0.15
"""Weight of the newest outcome in a searcher's share of failed calls."""

TOLERATED = 2
"""Failures in a row from which on a searcher is left alone. Single answers
get lost without the searcher being at fault."""


@dataclasses.dataclass(slots=True)
class Record:
    """What this VM knows of one searcher by its own calls.

    Attributes:
        slots: How many requests it runs at once.
        near: True if it is in this VM's availability zone.
        in_flight: Calls that it has now.
        overdue: Of these, how many are overdue.
        slowness: Its mean time, relative to usual ones; 1 is usual.
        measured_s: When a call last showed it.
        failures: Failures in a row.
        alive: True if the last failure came from the searcher itself, soon:
            an error or a lost answer. One that can't be reached or is silent
            shows no sign of life.
        failed_share: The share of its latest calls that failed, 0 to 1.
        rest_until_s: It is left alone until then.
        trial: True while one call tries whether it is back.
        waiting: Requests that it reported to wait or run beyond ours.
        reported_s: When it reported that.
    """

    slots: int
    near: bool
    in_flight: int = 0
    overdue: int = 0
    slowness: float = 1.0
    measured_s: float = 0.0
    failures: int = 0
    alive: bool = True
    failed_share: float = 0.0
    rest_until_s: float = 0.0
    trial: bool = False
    waiting: float = 0.0
    reported_s: float = -1e9

    def add_time(self, ratio: float, now_s: float) -> None:
        """Takes a call's time, relative to a usual one."""
        ratio = min(ratio, 20.0)
        self.slowness += SMOOTHING * (ratio - self.slowness)
        self.measured_s = now_s

    def add_success(self) -> None:
        """Takes an answer of whatever kind that shows it alive."""
        self.failures = 0
        self.failed_share *= 1.0 - FAILURE_SMOOTHING
        self.rest_until_s = 0.0
        self.trial = False

    def add_failure(
        self, now_s: float, sent: bool = True, silent: bool = False
    ) -> None:
        """Takes a call that failed by the searcher's fault.

        Args:
            now_s: The time.
            sent: False if it could not be reached. That it is down says
                nothing of how it does once it is back.
            silent: True if nothing came of it for long.
        """
        self.failures += 1
        self.alive = sent and not silent
        if sent:
            self.failed_share += FAILURE_SMOOTHING * (1.0 - self.failed_share)
            self.measured_s = now_s
        self.trial = False
        if self.failures >= TOLERATED:
            doublings = min(self.failures - TOLERATED, 8)
            rest_s = min(FAIL_MOST_S, FAIL_BASE_S * 2**doublings)
            self.rest_until_s = now_s + rest_s

    def rests(self, now_s: float) -> bool:
        """Tells whether it is left alone now.

        After its rest one call at a time tries whether it is back. One that
        gave no sign of life gets none before a connection to it could be
        opened: each call that tried it would make its request late.
        """
        if self.failures < TOLERATED:
            return False
        return not self.alive or now_s < self.rest_until_s or self.trial

    def needs_proof(self, now_s: float) -> bool:
        """Tells whether it is time to find out if it lives again."""
        rested = self.failures >= TOLERATED and now_s >= self.rest_until_s
        return rested and not self.alive


def estimate(record: Record, now_s: float) -> float:
    """Estimates how long one more call lasts, relative to a usual one.

    It waits for a slot where all are taken.
    """
    slots = max(1, record.slots)
    ahead = max(0.0, _get_load(record, now_s) + 1 - slots)
    return _get_slowness(record, now_s) * (1.0 + ahead / slots)


def has_queue(record: Record, now_s: float) -> bool:
    """Tells whether calls wait for a slot."""
    return _get_load(record, now_s) > record.slots


def _get_slowness(record: Record, now_s: float) -> float:
    """Returns a searcher's mean time as far as it is not forgiven."""
    if record.slowness < 1.0:
        return record.slowness
    return 1.0 + (record.slowness - 1.0) * _get_kept(record, now_s)


def _get_kept(record: Record, now_s: float) -> float:
    """Returns how much of what was measured still counts, 0 to 1."""
    idle_s = max(0.0, now_s - record.measured_s)
    return math.pow(0.5, idle_s / FORGET_S)


def _get_load(record: Record, now_s: float) -> float:
    """Returns how many calls a searcher has, as far as this VM knows."""
    load = float(record.in_flight)
    if now_s - record.reported_s < REPORT_FADES_S:
        load += record.waiting
    return load


def rate(record: Record, now_s: float) -> float:
    """Rates a searcher for one more call; lower is better."""
    load = _get_load(record, now_s)
    # A call beside another in a free slot hardly waits; one beyond the slots
    # waits for a whole call.
    slowness = _get_slowness(record, now_s)
    if record.near:
        slowness = max(min(slowness, 1.0), slowness - NEAR_SLOWER)
    rating = slowness * (1.0 + (load / max(1, record.slots)) ** 2)
    rating += OVERDUE * record.overdue
    rating += FAILURE_COST * record.failed_share * _get_kept(record, now_s)
    if not record.near:
        rating += OTHER_ZONE
    return rating


def choose(
    records: Iterable[tuple[str, Record]], now_s: float, rng: random.Random
) -> str | None:
    """Chooses among searchers.

    Args:
        records: The ids of those that may be chosen, with their records.
        now_s: The time.
        rng: Breaks ties.

    Returns:
        The id of the best one that is not left alone; None if all are.
    """
    best: str | None = None
    best_rating = 0.0
    for searcher, record in records:
        if record.rests(now_s):
            continue
        rating = rate(record, now_s) * (1.0 + 0.1 * rng.random())
        if best is None or rating < best_rating:
            best, best_rating = searcher, rating
    return best


def choose_unproven(
    records: Iterable[tuple[str, Record]], now_s: float
) -> str | None:
    """Chooses among searchers that may be back, where there are no others.

    After a crash of all searchers of a service and a time without requests the
    first request would else be refused, though they have long been back.

    Args:
        records: The ids of those that may be chosen, with their records.
        now_s: The time.

    Returns:
        The id of the best one that has rested and has no trial yet; None if
        there is none.
    """
    rested = [
        (rate(each, now_s), name)
        for name, each in records
        if each.needs_proof(now_s) and not each.trial
    ]
    return min(rested)[1] if rested else None


def choose_faulty(
    records: Iterable[tuple[str, Record]], now_s: float
) -> str | None:
    """Chooses among searchers that are left alone, as a last resort.

    Where all searchers of a service lose some of their answers, each fails
    twice in a row soon, and requests would be refused though most of them
    could be answered. One that shows no sign of life is no help.

    Args:
        records: The ids of those that may be chosen, with their records.
        now_s: The time.

    Returns:
        The id of the best one; None if none is alive.
    """
    alive = [(rate(each, now_s), name) for name, each in records if each.alive]
    return min(alive)[1] if alive else None
