"""How slow a searcher's backend server is, from the searcher's load reports.

The load it answers: machines that are shared with other work, and for that
turn slow and fast again many times per second. A report soon says nothing of
the present, so it fades into the mean of the reports. Its inputs are the
figures with the times at which they were received; its outcome is how long
work is expected to take now.

A searcher may report wrong figures. Its calls are therefore measured in
relation to what it reported, see `SearcherStats.record_time`: one that claims
to be fast and is slow has long calls, and one that claims to be slow and is
fast has short ones, so that the product of both comes out right.
"""

from __future__ import annotations

import dataclasses
import math

HALF_LIFE_S = 0.1
"""Half-life of a report, in seconds."""

MEAN_SMOOTHING = 0.1
"""Weight of the latest report in the mean."""


@dataclasses.dataclass(slots=True)
class ServerSlowness:
    """What a searcher reported about its backend server.

    Attributes:
        latest: The latest figure, as a multiple of the usual time.
        reported_s: When it was received, in seconds; minus infinity if the
            searcher has reported none.
        mean: Moving average of the figures.
    """

    latest: float = 1.0
    reported_s: float = -math.inf
    mean: float = 1.0

    def is_known(self) -> bool:
        """Returns True if the searcher reports how slow its server is."""
        return self.reported_s > -math.inf

    def record(self, figure: float, now_s: float) -> None:
        """Records a report.

        Args:
            figure: How long work takes, as a multiple of the usual time.
            now_s: The current time, in seconds.
        """
        if self.is_known():
            self.mean += MEAN_SMOOTHING * (figure - self.mean)
        else:
            self.mean = figure
        self.latest = figure
        self.reported_s = now_s

    def estimate(self, now_s: float) -> float:
        """Estimates how long work takes now; 1 if nothing was reported."""
        weight = compute_weight(now_s - self.reported_s)
        return self.mean + (self.latest - self.mean) * weight


def compute_weight(age_s: float) -> float:
    """Returns how much a report of this age says about now, 0 to 1."""
    return math.pow(0.5, max(0.0, age_s) / HALF_LIFE_S)
