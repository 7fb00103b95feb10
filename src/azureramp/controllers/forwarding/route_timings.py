"""Measured call durations of each route."""

from __future__ import annotations

import math

from azureramp import catalog
from azureramp.policy import caller_delay, hedge_delay, hedging

HEDGE_QUANTILE = 0.95
"""Quantile of a route's call durations after which a call is hedged: one in
twenty, which is a quarter of the extra calls that operators usually allow."""

MEDIAN_INDEX = 1
"""Index of the median among the measured quantiles."""

MAX_ROUTES = 4096
"""Maximum number of routes that are measured; the oldest is evicted first."""


class RouteTimings:
    """Call durations and caller delays of one route.

    Attributes:
        caller_delay: Estimates how long its callers have already waited.
    """

    __slots__ = ("_first_s", "_sketch", "caller_delay")

    def __init__(self) -> None:
        """Creates an instance without measurements."""
        self._sketch = hedging.QuantileSketch(HEDGE_QUANTILE, 0.5)
        self._first_s = 0.0
        self.caller_delay = caller_delay.CallerDelay()

    def record_duration(self, took_s: float) -> float:
        """Records the duration of a successful call.

        Args:
            took_s: The duration, in seconds.

        Returns:
            The duration relative to the usual one before this call.
        """
        usual_s = self.get_usual_s()
        self._sketch.add(took_s * 1000)
        if usual_s <= 0:
            self._first_s = took_s
            return 1.0
        return took_s / usual_s

    def get_usual_s(self) -> float:
        """Returns the median call duration in seconds; 0 if not measured."""
        median_ms = self._sketch.get_quantile_ms(MEDIAN_INDEX)
        return self._first_s if median_ms is None else median_ms / 1000

    def get_hedge_s(self, target_s: float, left_s: float = math.inf) -> float:
        """Returns the delay after which a call is hedged, in seconds.

        Args:
            target_s: The route's target, in seconds.
            left_s: The time within which an answer is useful, in seconds.
        """
        late_ms = self._sketch.get_quantile_ms()
        late_s = None if late_ms is None else late_ms / 1000
        return hedge_delay.compute_hedge_delay_s(
            late_s, self.get_usual_s(), target_s, left_s
        )


class RouteTimingsTable:
    """Call durations of all routes, by route name."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        """Creates an instance without routes."""
        self._by_route: dict[str, RouteTimings] = {}

    def get(self, route: catalog.Route) -> RouteTimings:
        """Returns a route's call durations, adding the route if it is new."""
        timings = self._by_route.get(route.name)
        if timings is None:
            if len(self._by_route) >= MAX_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            timings = self._by_route[route.name] = RouteTimings()
        return timings
