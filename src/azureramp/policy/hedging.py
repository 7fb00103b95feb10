"""Determines when a sub-request is late enough for a hedge or a retry.

The delay is measured for each shard separately: an extra call does not help if
the whole shard is slow.
"""

from __future__ import annotations

import dataclasses
import enum
import math

from azureramp import resources

HEDGE_QUANTILE = 0.99
"""A sub-request later than this quantile of its shard may be hedged. Most of
that time is spent in queues; it covers delays that owners can't report, such
as a slow owner or a slow network link.
"""

LONG_CALL_QUANTILE = 0.98
"""An owner reports a call that runs longer than this quantile of its searcher's
service times, queueing excluded.
"""

LOST_DELAY_FACTOR = 3.0
"""A sub-request later than this many hedge delays is treated as lost and may
also be retried. An unresponsive VM or link loses an eighth of a query's
sub-requests at once, which is more than the hedge budget covers.
"""

MIN_DELAY_MS = 1.0
"""Minimum hedge delay; a shorter one would hedge because of scheduling jitter.
"""

DEFAULT_DELAY_SHARE = 0.25
"""Hedge delay without measurements, as a share of the remaining time."""

_BUCKETS_PER_OCTAVE = 8
_LOWEST_OCTAVE = -6
_OCTAVES = 26
_MAX_SAMPLES = 512
_MIN_SAMPLES = 20
_RECOMPUTE_EVERY = 16


class QuantileSketch:
    """A histogram of durations with exponential buckets, each 9 % wider.

    All counts are halved whenever the total reaches its maximum, so that the
    last few hundred samples have the largest weight.
    """

    __slots__ = (
        "_cached",
        "_counts",
        "_quantiles",
        "_since_recompute",
        "_total",
    )

    def __init__(self, *quantiles: float) -> None:
        """Creates an empty sketch.

        Args:
            quantiles: The quantiles that it provides, 0 to 1.
        """
        self._quantiles = quantiles
        self._counts = [0] * (_OCTAVES * _BUCKETS_PER_OCTAVE)
        self._total = 0
        self._since_recompute = 0
        self._cached: tuple[float, ...] | None = None

    def add(self, took_ms: float) -> None:
        """Adds a duration, in milliseconds."""
        octave = math.log2(took_ms) if took_ms > 0 else _LOWEST_OCTAVE
        bucket = int((octave - _LOWEST_OCTAVE) * _BUCKETS_PER_OCTAVE)
        last = len(self._counts) - 1
        self._counts[min(max(bucket, 0), last)] += 1
        self._total += 1
        self._since_recompute += 1
        if self._total >= _MAX_SAMPLES:
            self._counts = [count // 2 for count in self._counts]
            self._total = sum(self._counts)

    def get_quantile_ms(self, index: int = 0) -> float | None:
        """Returns a quantile in milliseconds; None with too few samples.

        Args:
            index: The index of the quantile in the constructor's arguments.
        """
        if self._total < _MIN_SAMPLES:
            return None
        if self._cached is None or self._since_recompute >= _RECOMPUTE_EVERY:
            self._cached = tuple(
                self._compute(quantile) for quantile in self._quantiles
            )
            self._since_recompute = 0
        return self._cached[index]

    def _compute(self, quantile: float) -> float:
        """Returns the upper bound of a quantile's bucket, in milliseconds."""
        target = quantile * self._total
        cumulative = 0
        edge = 0
        for count in self._counts:
            cumulative += count
            edge += 1
            if cumulative >= target:
                break
        return float(2 ** (edge / _BUCKETS_PER_OCTAVE + _LOWEST_OCTAVE))


@dataclasses.dataclass(slots=True, frozen=True)
class DelayKey:
    """A group of sub-requests whose durations are comparable.

    The owners' queues are ordered by priority, so the durations of deferrable
    sub-requests do not apply to urgent ones.

    Attributes:
        index: The index.
        shard: The shard's name.
        priority: The priority.
    """

    index: str
    shard: str
    priority: resources.Priority


class HedgeDelays:
    """The hedge delays by shard and priority, from this VM's measurements."""

    __slots__ = ("_by_index", "_by_place")

    MAX_PLACES = 8192
    """Maximum number of places kept; the oldest one is dropped first."""

    def __init__(self) -> None:
        """Creates an instance without measurements."""
        self._by_place: dict[DelayKey, QuantileSketch] = {}
        self._by_index: dict[
            tuple[str, resources.Priority], QuantileSketch
        ] = {}

    def add(self, place: DelayKey, took_ms: float) -> None:
        """Adds the duration of a sub-request, queueing included.

        Cancelled losers are added too, with the time until their cancellation:
        they were later than the quantile, and omitting them would bias the
        quantile downwards.
        """
        for sketch in self._find(place):
            sketch.add(took_ms)

    def get_delay_ms(self, place: DelayKey, left_ms: float) -> float:
        """Returns the hedge delay of a sub-request, in milliseconds.

        Args:
            place: The sub-request's place.
            left_ms: Time left until the answer is due, in milliseconds.
        """
        for sketch in self._find(place):
            quantile_ms = sketch.get_quantile_ms()
            if quantile_ms is not None:
                return max(MIN_DELAY_MS, quantile_ms)
        return max(MIN_DELAY_MS, left_ms * DEFAULT_DELAY_SHARE)

    def get_index_quantile_ms(
        self, index: str, priority: resources.Priority
    ) -> float:
        """Returns an index's `HEDGE_QUANTILE` in milliseconds; 0 if unknown."""
        sketch = self._by_index.get((index, priority))
        return (sketch.get_quantile_ms() if sketch else None) or 0.0

    def _find(self, place: DelayKey) -> tuple[QuantileSketch, QuantileSketch]:
        """Returns the sketches of a place and its index, created if missing."""
        by_place = self._by_place.get(place)
        if by_place is None:
            if len(self._by_place) >= self.MAX_PLACES:
                self._by_place.pop(next(iter(self._by_place)))
            by_place = self._by_place[place] = QuantileSketch(HEDGE_QUANTILE)
        key = (place.index, place.priority)
        by_index = self._by_index.get(key)
        if by_index is None:
            by_index = self._by_index[key] = QuantileSketch(HEDGE_QUANTILE)
        return by_place, by_index


class Action(enum.Enum):
    """The action for a sub-request without a result."""

    WAIT = "wait"
    HEDGE = "hedge"
    RETRY = "replace"


def decide(elapsed_ms: float, delay_ms: float) -> Action:
    """Decides whether to wait for, hedge or replace a sub-request.

    Args:
        elapsed_ms: Time since the sub-request was sent, in milliseconds.
        delay_ms: Its hedge delay, in milliseconds.
    """
    if elapsed_ms >= delay_ms * LOST_DELAY_FACTOR:
        return Action.RETRY
    if elapsed_ms >= delay_ms:
        return Action.HEDGE
    return Action.WAIT
