"""When a sub-request is late enough for a second attempt.

The time is measured for each shard by itself: a shard that is slow as a whole
is not made faster by asking it twice.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from azureramp import resources

HEDGE_QUANTILE = 0.99
"""A sub-request later than this quantile of its shard may be hedged. Most of
that time is the queue's: it catches what the owners' own notices can't, such
as an owner or a link that is late.
"""

LONG_QUANTILE = 0.98
"""An owner tells of a call that runs longer than this quantile of its
searcher's service times, the queue left out.
"""

LOST_FACTOR = 3.0
"""One later than so many hedge delays is taken for lost: a retry may go out
too. A VM or a link that went silent loses an eighth of a query's parts at
once, more than the hedges' budget holds.
"""

SHORTEST_MS = 1.0
"""Shortest hedge delay; below it, scheduling noise would hedge."""

UNKNOWN_SHARE = 0.25
"""Share of the time left after which to hedge while nothing is measured."""

_BUCKETS_PER_OCTAVE = 8
_LOWEST_OCTAVE = -6
_OCTAVES = 26
_DECAY_AT = 512
_FEWEST = 20
_RECOMPUTE_EVERY = 16


class Sketch:
    """A histogram of times with buckets of equal ratio (9 %).

    It halves its counts whenever it is full, so that the last few hundred
    times count most.
    """

    __slots__ = ("_cached", "_counts", "_fresh", "_quantiles", "_total")

    def __init__(self, *quantiles: float) -> None:
        """Makes an empty sketch.

        Args:
            quantiles: The quantiles that it is asked for, 0 to 1.
        """
        self._quantiles = quantiles
        self._counts = [0] * (_OCTAVES * _BUCKETS_PER_OCTAVE)
        self._total = 0
        self._fresh = 0
        self._cached: tuple[float, ...] | None = None

    def add(self, took_ms: float) -> None:
        """Adds a time, in milliseconds."""
        octave = math.log2(took_ms) if took_ms > 0 else _LOWEST_OCTAVE
        bucket = int((octave - _LOWEST_OCTAVE) * _BUCKETS_PER_OCTAVE)
        last = len(self._counts) - 1
        self._counts[min(max(bucket, 0), last)] += 1
        self._total += 1
        self._fresh += 1
        if self._total >= _DECAY_AT:
            self._counts = [count // 2 for count in self._counts]
            self._total = sum(self._counts)

    def get(self, which: int = 0) -> float | None:
        """Returns a quantile in milliseconds; None with too few times.

        Args:
            which: The number of the quantile among those asked for.
        """
        if self._total < _FEWEST:
            return None
        if self._cached is None or self._fresh >= _RECOMPUTE_EVERY:
            self._cached = tuple(
                self._compute(quantile) for quantile in self._quantiles
            )
            self._fresh = 0
        return self._cached[which]

    def _compute(self, quantile: float) -> float:
        """Finds the upper edge of a quantile's bucket."""
        wanted = quantile * self._total
        seen = 0
        edge = 0
        for count in self._counts:
            seen += count
            edge += 1
            if seen >= wanted:
                break
        return float(2 ** (edge / _BUCKETS_PER_OCTAVE + _LOWEST_OCTAVE))


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Whose times are comparable.

    The owners' queues go by priority, so a deferrable sub-request's time says
    nothing of an urgent one's.

    Attributes:
        index: The index.
        shard: The shard's name.
        priority: The priority.
    """

    index: str
    shard: str
    priority: resources.Priority


class Delays:
    """The hedge delays of every shard and priority, from own measurements."""

    __slots__ = ("_by_index", "_by_place")

    MOST_PLACES = 8192
    """Most places kept; the one first seen goes first."""

    def __init__(self) -> None:
        """Makes delays without any measurement."""
        self._by_place: dict[Place, Sketch] = {}
        self._by_index: dict[tuple[str, resources.Priority], Sketch] = {}

    def add(self, place: Place, took_ms: float) -> None:
        """Adds how long a sub-request took, its queue included.

        A cancelled loser is added too, with the time until then: it was later
        than the quantile, and leaving it out would pull the quantile down.
        """
        for sketch in self._find(place):
            sketch.add(took_ms)

    def get_ms(self, place: Place, left_ms: float) -> float:
        """Returns when to hedge a sub-request, in milliseconds after it.

        Args:
            place: The sub-request's place.
            left_ms: Time left until the answer is due, in milliseconds.
        """
        for sketch in self._find(place):
            quantile_ms = sketch.get()
            if quantile_ms is not None:
                return max(SHORTEST_MS, quantile_ms)
        return max(SHORTEST_MS, left_ms * UNKNOWN_SHARE)

    def get_index_ms(self, index: str, priority: resources.Priority) -> float:
        """Returns the high quantile of a whole index; 0 if unknown."""
        sketch = self._by_index.get((index, priority))
        return (sketch.get() if sketch else None) or 0.0

    def _find(self, place: Place) -> tuple[Sketch, Sketch]:
        """Finds or makes the sketches of a place and of its index."""
        by_place = self._by_place.get(place)
        if by_place is None:
            if len(self._by_place) >= self.MOST_PLACES:
                self._by_place.pop(next(iter(self._by_place)))
            by_place = self._by_place[place] = Sketch(HEDGE_QUANTILE)
        key = (place.index, place.priority)
        by_index = self._by_index.get(key)
        if by_index is None:
            by_index = self._by_index[key] = Sketch(HEDGE_QUANTILE)
        return by_place, by_index


class Step(enum.Enum):
    """What to do about a sub-request now."""

    WAIT = "wait"
    HEDGE = "hedge"
    REPLACE = "replace"


def decide(elapsed_ms: float, delay_ms: float) -> Step:
    """Decides what to do about a sub-request without a result.

    Args:
        elapsed_ms: Time since it was sent, in milliseconds.
        delay_ms: Its hedge delay, in milliseconds.
    """
    if elapsed_ms >= delay_ms * LOST_FACTOR:
        return Step.REPLACE
    if elapsed_ms >= delay_ms:
        return Step.HEDGE
    return Step.WAIT
