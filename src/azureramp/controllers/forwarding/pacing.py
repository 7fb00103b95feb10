"""How long the calls of each route usually last."""

from __future__ import annotations

import math

from azureramp import catalog
from azureramp.policy import caller_delay, hedging, second_calls

HEDGE_QUANTILE = 0.95
"""A call later than this quantile of its route is hedged: one in twenty, a
quarter of what the operators usually allow for extra calls."""

MEDIAN = 1
"""The number of the median among the quantiles that are measured."""

MOST_ROUTES = 4096
"""Most routes that are measured; the one first seen goes first."""


class Pace:
    """The times of one route's calls and callers.

    Attributes:
        caller_delay: What its callers had spent before.
    """

    __slots__ = ("_first_s", "_sketch", "caller_delay")

    def __init__(self) -> None:
        """Makes one without any time."""
        self._sketch = hedging.Sketch(HEDGE_QUANTILE, 0.5)
        self._first_s = 0.0
        self.caller_delay = caller_delay.CallerDelay()

    def add(self, took_s: float) -> float:
        """Takes a successful call's time.

        Args:
            took_s: The time, in seconds.

        Returns:
            The time relative to the usual one before.
        """
        usual_s = self.get_usual_s()
        self._sketch.add(took_s * 1000)
        if usual_s <= 0:
            self._first_s = took_s
            return 1.0
        return took_s / usual_s

    def get_usual_s(self) -> float:
        """Returns a usual call's time in seconds; 0 if none was measured."""
        median_ms = self._sketch.get(MEDIAN)
        return self._first_s if median_ms is None else median_ms / 1000

    def get_hedge_s(self, target_s: float, left_s: float = math.inf) -> float:
        """Returns after how long a call is hedged, in seconds.

        Args:
            target_s: The route's target.
            left_s: The time within which an answer is of use, in seconds.
        """
        late_ms = self._sketch.get()
        late_s = None if late_ms is None else late_ms / 1000
        return second_calls.choose_time_s(
            late_s, self.get_usual_s(), target_s, left_s
        )


class Paces:
    """The times of all routes, by name."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        """Makes one without any route."""
        self._by_route: dict[str, Pace] = {}

    def get(self, route: catalog.Route) -> Pace:
        """Returns a route's times."""
        pace = self._by_route.get(route.name)
        if pace is None:
            if len(self._by_route) >= MOST_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            pace = self._by_route[route.name] = Pace()
        return pace
