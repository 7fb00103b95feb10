"""Tells congested searchers from a few slow or paused ones.

Load: searchers pause often, and some of them are many times slower for a while;
hedges rescue such requests, so that nothing has to be refused. Inputs: what the
calls of ended requests met. Outcome: whether the searchers as a whole can't
keep up, and how certain that is.

A request shows congestion if it met so many full shards that it could not be
answered, or if most of its calls were queued or slow. A single slow searcher,
or a small share of them, is never the majority.
"""

from __future__ import annotations

import dataclasses
import enum

MAJORITY = 0.5

MIN_CALLS = 8
"""Number of calls that together are evidence; a request with fewer counts in
proportion."""

SLOW_FACTOR = 2.0
"""Minimum duration of a slow call as a multiple of the usual one."""

SLOW_TARGET_SHARE = 0.5
"""Minimum duration of a slow call as a share of the route's target: shorter
ones don't endanger the answer, however unusual they are."""


QUEUED_ROUNDS = 2
"""Number of waiting requests for each slot from which on a searcher counts as
queued; short queues form and vanish by chance."""


LOST_SHARE = 0.2
"""Share of the latest requests that full searchers kept from being answered,
from which on it is not chance. One lost request to many shards is enough; of
requests to one searcher it takes two."""


class Evidence(enum.Enum):
    """What the ended requests show."""

    NONE = "none"
    SLOW = "slow"
    FULL = "full"


@dataclasses.dataclass(slots=True, frozen=True)
class Outcome:
    """What the calls of a request met.

    Attributes:
        shards: Number of shards asked.
        needed: Number of shards that had to answer.
        full: Number of shards that did not answer because all searchers asked
            were full.
        queued: Number of shards whose answer came from a searcher with a long
            queue.
        slow: Number of shards that answered slowly, or not in such a time.
    """

    shards: int
    needed: int
    full: int
    queued: int
    slow: int

    def is_lost(self) -> bool:
        """Returns True if full shards kept it from being answered."""
        return self.full > self.shards - self.needed


class CongestionDetector:
    """Follows the outcomes of the requests to one set of searchers.

    Attributes:
        congested_share: Share of the latest requests that met full searchers,
            or mostly queued ones.
        mean_congested: Moving average of the same over `MIN_CALLS` requests.
    """

    __slots__ = ("_slow", "congested_share", "mean_congested")

    def __init__(self) -> None:
        """Creates a detector without evidence."""
        self._slow = 0.0
        self.congested_share = 0.0
        self.mean_congested = 0.0

    def record(self, outcome: Outcome) -> Evidence:
        """Records a request and returns what the latest ones show."""
        weight = min(1.0, outcome.shards / MIN_CALLS)
        half = MAJORITY * outcome.shards
        lost = outcome.is_lost()
        congested = lost or outcome.queued > half
        self.congested_share += weight * (congested - self.congested_share)
        self.mean_congested += (congested - self.mean_congested) / MIN_CALLS
        self._slow += weight * ((outcome.slow > half) - self._slow)
        least = LOST_SHARE if lost else MAJORITY
        if self.congested_share > least:
            return Evidence.FULL
        return Evidence.SLOW if self._slow > MAJORITY else Evidence.NONE


def is_slow(took_s: float, usual_s: float, target_s: float) -> bool:
    """Returns True if a call took so long that it endangers its request.

    Args:
        took_s: Its duration, or how long it has been waiting, in seconds.
        usual_s: The usual duration of the route's calls, in seconds.
        target_s: The route's target, in seconds.
    """
    return took_s > max(SLOW_FACTOR * usual_s, SLOW_TARGET_SHARE * target_s)


def is_queued(waiting: int, slots: int) -> bool:
    """Returns True if a searcher's queue is long.

    Args:
        waiting: The number of requests that wait in it.
        slots: The number of requests that it runs at once.
    """
    return waiting >= QUEUED_ROUNDS * max(1, slots)
