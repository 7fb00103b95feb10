"""The choice of a searcher for a shard, by own measurements.

What the owners report lags by a heartbeat and may mislead, so it only breaks
ties: among replicas whose own score is within `TIE` of the best, the reports
shift the odds by at most `REPORT_ODDS` to 1. Whatever a reporter says, the
searcher taken has a score of at most (1 + TIE) times the best.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence

from azureramp import messages

TIE = 0.25
"""Scores within this share of the best are taken for equal."""

REPORT_ODDS = 2.0
"""Most that a report shifts the odds between two equal replicas."""

HALF_LIFE_S = 2.0
"""A measurement counts half after this time, so that a searcher that was slow
is tried again.
"""

SMOOTHING = 0.2
"""Weight of a new measurement."""

CLIP = 3.0
"""A time counts for at most so many times the present mean: one straggler
says little of the next request, a second and third say more.
"""

FAILURE_COST = 4.0
"""A fresh failure or shed counts as so many typical times."""


@dataclasses.dataclass(slots=True)
class Measured:
    """What is known of one searcher.

    Attributes:
        in_flight: Own sub-requests without a result.
        took_ms: Smoothed time from sending to result; 0 if unknown.
        failures: Smoothed count of failures.
        at_s: When it was last measured.
    """

    in_flight: int = 0
    took_ms: float = 0.0
    failures: float = 0.0
    at_s: float = 0.0


class Scoreboard:
    """Own measurements of every searcher."""

    __slots__ = ("_measured", "_typical_ms")

    def __init__(self) -> None:
        """Makes a scoreboard without measurements."""
        self._measured: dict[str, Measured] = {}
        self._typical_ms = 0.0

    def begin(self, searcher: str) -> None:
        """Counts a sub-request that is sent."""
        self._measured.setdefault(searcher, Measured()).in_flight += 1

    def finish(self, searcher: str, took_ms: float, now_s: float) -> None:
        """Counts a result."""
        measured = self._settle(searcher, now_s)
        self._mix(measured, took_ms)
        self._typical_ms += SMOOTHING * 0.1 * (took_ms - self._typical_ms)
        if self._typical_ms <= 0 or measured.took_ms <= 0:
            self._typical_ms = took_ms

    def fail(self, searcher: str, now_s: float) -> None:
        """Counts a failure, which may come fast: its time says nothing."""
        self._settle(searcher, now_s).failures += 1.0

    def abandon(self, searcher: str, took_ms: float, now_s: float) -> None:
        """Counts a sub-request that was cancelled without a result.

        It took at least this long: that can only make the searcher look
        slower. Without it, one that went silent would keep its good score.
        """
        measured = self._settle(searcher, now_s)
        if took_ms > measured.took_ms:
            self._mix(measured, took_ms)

    def get_score(self, searcher: str, limit: int, now_s: float) -> float:
        """Returns the expected time of one more sub-request, comparable.

        Args:
            searcher: The searcher.
            limit: How many requests it gets at once.
            now_s: The time now, in seconds.
        """
        typical_ms = self._typical_ms or 1.0
        measured = self._measured.get(searcher)
        if measured is None:
            return typical_ms
        weight = _fade(now_s - measured.at_s)
        took_ms = measured.took_ms or typical_ms
        took_ms = typical_ms + (took_ms - typical_ms) * weight
        busy = 1.0 + measured.in_flight / max(1, limit)
        failed = measured.failures * weight * FAILURE_COST * typical_ms
        return took_ms * busy + failed

    def choose(
        self,
        candidates: Sequence[str],
        states: Mapping[str, messages.SearcherState],
        now_s: float,
        rng: random.Random,
    ) -> str:
        """Chooses one of some searchers.

        Args:
            candidates: Their names, at least one.
            states: What the owners report.
            now_s: The time now, in seconds.
            rng: Draws among equals.
        """
        if len(candidates) == 1:
            return candidates[0]
        scores = [
            self.get_score(name, _get_limit(states, name), now_s)
            for name in candidates
        ]
        most = min(scores) * (1 + TIE)
        equal = [
            name
            for name, score in zip(candidates, scores, strict=True)
            if score <= most
        ]
        weights = [compute_odds(states.get(name)) for name in equal]
        return rng.choices(equal, weights)[0]

    def get_in_flight(self, searcher: str) -> int:
        """Returns how many own sub-requests run on a searcher."""
        measured = self._measured.get(searcher)
        return measured.in_flight if measured else 0

    def _settle(self, searcher: str, now_s: float) -> Measured:
        """Ends one sub-request, and lets older measurements fade."""
        measured = self._measured.setdefault(searcher, Measured())
        measured.in_flight = max(0, measured.in_flight - 1)
        weight = _fade(now_s - measured.at_s)
        measured.failures *= weight
        if measured.took_ms and self._typical_ms:
            gap_ms = measured.took_ms - self._typical_ms
            measured.took_ms = self._typical_ms + gap_ms * weight
        measured.at_s = now_s
        return measured

    def _mix(self, measured: Measured, took_ms: float) -> None:
        """Mixes a time in."""
        if not measured.took_ms:
            measured.took_ms = took_ms
            return
        clipped_ms = min(took_ms, measured.took_ms * CLIP)
        measured.took_ms += SMOOTHING * (clipped_ms - measured.took_ms)


def compute_odds(state: messages.SearcherState | None) -> float:
    """Returns a searcher's weight among equals, 1 / REPORT_ODDS to 1."""
    if state is None or state.queued <= 0:
        return 1.0
    queued = state.queued / max(1, state.limit)
    return 1.0 / min(REPORT_ODDS, 1.0 + queued)


def _fade(age_s: float) -> float:
    """Returns how much a measurement of some age counts, 0 to 1."""
    return float(0.5 ** (age_s / HALF_LIFE_S))


def _get_limit(
    states: Mapping[str, messages.SearcherState], searcher: str
) -> int:
    """Returns how many requests a searcher gets at once."""
    state = states.get(searcher)
    return state.limit if state else 1
