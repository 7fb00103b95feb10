"""Choice of a searcher for a shard from this VM's own measurements.

The owners' reports are up to a heartbeat old and may be wrong, so they are only
used to break ties: among replicas whose measured score is within
`SCORE_TOLERANCE` of the best, the reports shift the odds by at most
`MAX_REPORT_FACTOR` to 1. Whatever the reports contain, the chosen searcher's
score is at most (1 + SCORE_TOLERANCE) times the best.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence

from azureramp import messages

SCORE_TOLERANCE = 0.25
"""Scores that exceed the best by at most this share of it are treated as
tied."""

MAX_REPORT_FACTOR = 2.0
"""Maximum factor by which reports shift the odds between two tied replicas."""

HALF_LIFE_S = 2.0
"""Time after which a measurement has half its weight, in seconds. A searcher
that was slow is thus tried again."""

SMOOTHING = 0.2
"""Weight of a new measurement in the moving average."""

MAX_TIME_FACTOR = 3.0
"""A measured time is limited to this multiple of the current mean: one
straggler is a weak predictor of the next request, while several in a row are a
strong one."""

FAILURE_COST = 4.0
"""Cost of a recent failed or shed call, as a multiple of the typical time."""


@dataclasses.dataclass(slots=True)
class Measurements:
    """This VM's measurements of one searcher.

    Attributes:
        in_flight: Number of this VM's sub-requests without a result.
        took_ms: Smoothed time from sending to result, in milliseconds; 0 if
            unknown.
        failures: Number of failures, decaying with time.
        at_s: When the measurements were last updated, in seconds.
    """

    in_flight: int = 0
    took_ms: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


class Scoreboard:
    """This VM's measurements of all searchers."""

    __slots__ = ("_measurements", "_typical_ms")

    def __init__(self) -> None:
        """Creates a scoreboard without measurements."""
        self._measurements: dict[str, Measurements] = {}
        self._typical_ms = 0.0

    def record_sent(self, searcher: str) -> None:
        """Records that a sub-request is sent."""
        self._measurements.setdefault(searcher, Measurements()).in_flight += 1

    def record_result(
        self, searcher: str, took_ms: float, now_s: float
    ) -> None:
        """Records the result of a sub-request."""
        measurements = self._record_end(searcher, now_s)
        self._add_time(measurements, took_ms)
        self._typical_ms += SMOOTHING * 0.1 * (took_ms - self._typical_ms)
        if self._typical_ms <= 0 or measurements.took_ms <= 0:
            self._typical_ms = took_ms

    def record_failure(self, searcher: str, now_s: float) -> None:
        """Records a failure, without its time, since failures may be fast."""
        self._record_end(searcher, now_s).failures += 1.0

    def record_cancelled(
        self, searcher: str, took_ms: float, now_s: float
    ) -> None:
        """Records a sub-request that was cancelled without a result.

        The time is a lower bound, so it is used only if it raises the mean. If
        it were ignored, a searcher that stopped responding would keep its good
        score.
        """
        measurements = self._record_end(searcher, now_s)
        if took_ms > measurements.took_ms:
            self._add_time(measurements, took_ms)

    def get_score(self, searcher: str, limit: int, now_s: float) -> float:
        """Returns the expected cost of one more sub-request.

        It is for comparison between searchers; lower is better.

        Args:
            searcher: The searcher's name.
            limit: Its limit of concurrent requests.
            now_s: The current time, in seconds.
        """
        typical_ms = self._typical_ms or 1.0
        measurements = self._measurements.get(searcher)
        if measurements is None:
            return typical_ms
        weight = _compute_decay(now_s - measurements.at_s)
        took_ms = measurements.took_ms or typical_ms
        took_ms = typical_ms + (took_ms - typical_ms) * weight
        busy = 1.0 + measurements.in_flight / max(1, limit)
        failed = measurements.failures * weight * FAILURE_COST * typical_ms
        return took_ms * busy + failed

    def choose(
        self,
        candidates: Sequence[str],
        states: Mapping[str, messages.SearcherState],
        now_s: float,
        rng: random.Random,
    ) -> str:
        """Chooses one of several searchers.

        Args:
            candidates: The searchers' names, at least one.
            states: The states that the owners report.
            now_s: The current time, in seconds.
            rng: Random source for the choice between tied searchers.
        """
        if len(candidates) == 1:
            return candidates[0]
        scores = [
            self.get_score(name, _get_limit(states, name), now_s)
            for name in candidates
        ]
        limit = min(scores) * (1 + SCORE_TOLERANCE)
        tied = [
            name
            for name, score in zip(candidates, scores, strict=True)
            if score <= limit
        ]
        weights = [compute_report_weight(states.get(name)) for name in tied]
        return rng.choices(tied, weights)[0]

    def get_in_flight(self, searcher: str) -> int:
        """Returns the number of this VM's sub-requests on a searcher."""
        measurements = self._measurements.get(searcher)
        return measurements.in_flight if measurements else 0

    def _record_end(self, searcher: str, now_s: float) -> Measurements:
        """Records the end of a sub-request and decays older measurements."""
        measurements = self._measurements.setdefault(searcher, Measurements())
        measurements.in_flight = max(0, measurements.in_flight - 1)
        weight = _compute_decay(now_s - measurements.at_s)
        measurements.failures *= weight
        if measurements.took_ms and self._typical_ms:
            gap_ms = measurements.took_ms - self._typical_ms
            measurements.took_ms = self._typical_ms + gap_ms * weight
        measurements.at_s = now_s
        return measurements

    def _add_time(self, measurements: Measurements, took_ms: float) -> None:
        """Adds a time to the moving average."""
        if not measurements.took_ms:
            measurements.took_ms = took_ms
            return
        clipped_ms = min(took_ms, measurements.took_ms * MAX_TIME_FACTOR)
        measurements.took_ms += SMOOTHING * (clipped_ms - measurements.took_ms)


def compute_report_weight(state: messages.SearcherState | None) -> float:
    """Returns a searcher's weight among equals, 1 / MAX_REPORT_FACTOR to 1."""
    if state is None or state.queued <= 0:
        return 1.0
    queued = state.queued / max(1, state.limit)
    return 1.0 / min(MAX_REPORT_FACTOR, 1.0 + queued)


def _compute_decay(age_s: float) -> float:
    """Returns the weight of a measurement by its age, 0 to 1."""
    return float(0.5 ** (age_s / HALF_LIFE_S))


def _get_limit(
    states: Mapping[str, messages.SearcherState], searcher: str
) -> int:
    """Returns a searcher's limit of concurrent requests."""
    state = states.get(searcher)
    return state.limit if state else 1
