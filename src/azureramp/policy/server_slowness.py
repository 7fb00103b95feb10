"""How slow a searcher's backend server is, from the searcher's load reports.

The load it answers: machines that are shared with other work, and for that
turn slow and fast again many times per second, between the calls that a VM
makes to them. Its inputs are the figures with the times at which they were
received, and how long calls took in relation to them; its outcome is how long
work is expected to take now, and how much this says at its age.

What other VMs tell of a searcher counts like its own reports, until this VM
gets a newer one or has not checked for too long.

A searcher may report wrong figures. Therefore a figure counts only in relation
to the measured durations of the calls in whose answers it came: a searcher that
claims to be fast and is slow has long calls for its figures.
"""

from __future__ import annotations

import dataclasses
import math

INITIAL_HALF_LIFE_S = 0.1
MIN_HALF_LIFE_S = 0.02
MAX_HALF_LIFE_S = 2.0
"""Half-life of a report before it is measured, and its bounds, in seconds."""

MAX_GAP_S = 0.5
"""Maximum time between two reports that are compared, in seconds. Longer gaps
say less of how soon reports are outdated."""

MIN_DEVIATIONS = 1.0
"""Minimum sum of squared deviations before the half-life is computed."""

FORGETTING = 0.999
"""Factor on older comparisons at each new one: about the last thousand
count."""

MAX_UNCHECKED_S = 5.0
"""For how long other VMs are believed while this VM makes no call to the
searcher, in seconds."""

SMOOTHING = 0.2
"""Weight of the latest report and of the latest call in the averages."""


class Persistence:
    """Measures for how long the searchers' reports stay true.

    Two reports of a searcher within a short time are compared: how much of the
    first one's deviation from the searcher's mean is left in the second.
    """

    __slots__ = ("_deviations", "_gaps", "_products", "half_life_s")

    def __init__(self) -> None:
        """Creates an instance without comparisons."""
        self._deviations = 0.0
        self._gaps = 0.0
        self._products = 0.0
        self.half_life_s = INITIAL_HALF_LIFE_S

    def compare(self, first: float, second: float, gap_s: float) -> None:
        """Compares two reports of one searcher.

        Args:
            first: The deviation of the first figure from the mean.
            second: The deviation of the second one.
            gap_s: The time between them, in seconds.
        """
        if not 0.0 < gap_s <= MAX_GAP_S:
            return
        self._deviations = self._deviations * FORGETTING + first * first
        self._gaps = self._gaps * FORGETTING + first * first * gap_s
        self._products = self._products * FORGETTING + first * second
        if self._deviations < MIN_DEVIATIONS:
            return
        left = self._products / self._deviations
        mean_gap_s = self._gaps / self._deviations
        if left <= 0.0:
            half_life_s = MIN_HALF_LIFE_S
        elif left >= 1.0:
            half_life_s = MAX_HALF_LIFE_S
        else:
            half_life_s = -mean_gap_s / math.log2(left)
        self.half_life_s = min(
            MAX_HALF_LIFE_S, max(MIN_HALF_LIFE_S, half_life_s)
        )

    def compute_weight(self, age_s: float) -> float:
        """Returns how much a report of this age says about now, 0 to 1."""
        return math.pow(0.5, max(0.0, age_s) / self.half_life_s)


@dataclasses.dataclass(slots=True, frozen=True)
class Told:
    """A searcher's figure that another VM told.

    Attributes:
        vm: The VM that told it.
        figure: The figure.
        reported_s: When that VM had received it, in seconds.
    """

    vm: str
    figure: float
    reported_s: float


@dataclasses.dataclass(slots=True)
class ServerSlowness:
    """What a searcher reported about its backend server.

    Attributes:
        persistence: For how long reports stay true; shared by all searchers.
        latest: The latest figure, as a multiple of the usual time.
        reported_s: When it was received, in seconds; minus infinity if the
            searcher has reported none.
        mean: Moving average of the figures.
        time_per_figure: Moving average of the relative durations of calls,
            divided by the figures in their answers.
        told: What another VM told since the searcher's latest report to this
            VM.
        told_since_s: When the first VM told anything after that report, in
            seconds.
    """

    persistence: Persistence = dataclasses.field(default_factory=Persistence)
    latest: float = 1.0
    reported_s: float = -math.inf
    mean: float = 1.0
    time_per_figure: float = 1.0
    told: Told | None = None
    told_since_s: float = -math.inf

    def is_known(self) -> bool:
        """Returns True if the searcher reports how slow its server is."""
        return self.reported_s > -math.inf or self.told is not None

    def record(self, figure: float, now_s: float) -> None:
        """Records a report.

        Args:
            figure: How long work takes, as a multiple of the usual time.
            now_s: The current time, in seconds.
        """
        if self.reported_s > -math.inf:
            self.persistence.compare(
                self.latest - self.mean,
                figure - self.mean,
                now_s - self.reported_s,
            )
            self.mean += SMOOTHING * (figure - self.mean)
        else:
            self.mean = figure
        self.latest = figure
        self.reported_s = now_s
        self.told = None

    def record_told(self, vm: str, figure: float, reported_s: float) -> None:
        """Records what another VM told, unless there is newer knowledge.

        A searcher of which this VM only hears for too long must prove itself by
        a call: what is told until then is ignored.

        Args:
            vm: The VM that told it.
            figure: The figure.
            reported_s: When that VM had received it, in seconds.
        """
        if reported_s <= self.reported_s:
            return
        told = self.told
        if told is None:
            self.told_since_s = reported_s
        elif reported_s <= told.reported_s:
            return
        elif reported_s - told.reported_s > MAX_UNCHECKED_S:
            self.told_since_s = reported_s
        self.told = Told(vm, figure, reported_s)

    def get_latest(self) -> tuple[float, float]:
        """Returns the latest figure to use, and when it was reported."""
        told = self.told
        if (
            told is not None
            and told.reported_s - self.told_since_s <= MAX_UNCHECKED_S
        ):
            return told.figure, told.reported_s
        return self.latest, self.reported_s

    def record_time(self, ratio: float) -> None:
        """Records the duration of the call that brought the latest report.

        Args:
            ratio: The duration, relative to the usual one.
        """
        self.time_per_figure += SMOOTHING * (
            ratio / self.latest - self.time_per_figure
        )

    def estimate(self) -> float:
        """Estimates a call's relative duration from the latest report."""
        return self.get_latest()[0] * self.time_per_figure

    def compute_weight(self, now_s: float) -> float:
        """Returns how much the latest report says about now, 0 to 1."""
        return self.persistence.compute_weight(now_s - self.get_latest()[1])
