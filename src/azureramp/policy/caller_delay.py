"""Estimates how long callers had waited before their request arrived.

A request states its remaining timeout. The callers of a route mostly start
with the same timeout, so a lower value means that the difference was already
spent: on address lookup, on connecting, or on an earlier attempt. An answer
that is due a short time after the caller started must be sent earlier by that
difference.
"""

from __future__ import annotations

import collections

MAX_SAMPLES = 128
"""Number of recent requests kept per route."""

MIN_QUANTILE_SAMPLES = 5
"""Minimum number of requests for a quantile; with fewer, the maximum is used.
Each VM of a large deployment gets only one request per second of a route, and
an estimate that is too small does no harm. From this number on,
`INITIAL_QUANTILE` excludes the largest timeout."""

INITIAL_QUANTILE = 0.9
"""The initial timeout of callers is estimated as this quantile of the stated
timeouts. The maximum may come from a single outlier; at least a tenth of the
requests arrive on open connections, so their callers have spent no time yet."""

REFRESH_SAMPLES = 4
"""Number of requests after which the quantile is recomputed."""


class CallerDelay:
    """The remaining timeouts stated by the callers of one route."""

    __slots__ = ("_initial_s", "_since_refresh", "_stated_s")

    def __init__(self) -> None:
        """Creates an estimator without requests."""
        self._stated_s: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._since_refresh = 0
        self._initial_s: float | None = None

    def record_timeout(self, stated_s: float) -> None:
        """Records a caller's remaining timeout, in seconds."""
        self._stated_s.append(stated_s)
        self._since_refresh += 1
        if len(self._stated_s) < MIN_QUANTILE_SAMPLES:
            self._initial_s = max(self._stated_s)
        elif (
            self._since_refresh >= REFRESH_SAMPLES
            or len(self._stated_s) == MIN_QUANTILE_SAMPLES
        ):
            ranked = sorted(self._stated_s)
            self._initial_s = ranked[int(INITIAL_QUANTILE * (len(ranked) - 1))]
            self._since_refresh = 0

    def estimate_wait_s(self, stated_s: float, max_wait_s: float) -> float:
        """Estimates how long a caller had waited, in seconds.

        Args:
            stated_s: The caller's remaining timeout, in seconds.
            max_wait_s: The longest plausible wait, in seconds. If the estimate
                is longer, 0 is returned: the request is a late retry, or its
                caller started with a shorter timeout.
        """
        if self._initial_s is None:
            return 0.0
        spent_s = max(0.0, self._initial_s - stated_s)
        return spent_s if spent_s <= max_wait_s else 0.0
