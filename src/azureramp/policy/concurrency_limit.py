"""Limits how many requests a VM runs at once at a set of searchers.

Load: more requests than the searchers can take, as when one kind of request
bursts. Inputs: for each ended request whether it met full searchers or took
many times the usual time, and how many were running. Outcome: the number that
may run at once; no limit while the searchers keep up.

The limit falls by a share and rises by a step (AIMD), so that VMs that see the
same congestion reach similar limits without a message: each sees it in its own
calls, however few they are.
"""

from __future__ import annotations

import math

from azureramp.policy import congestion

MIN_LIMITS = {congestion.Evidence.SLOW: 4.0, congestion.Evidence.FULL: 1.0}
"""Minimum number of requests that may run at once. Long durations may have
another cause than congestion, as a VM without processor time, so they alone
never limit a VM to less than a few."""

DECREASE_FACTOR = 0.9
INCREASE_SHARE = 0.1
MIN_INCREASE = 0.5
"""The limit rises in each window without congestion by this number of requests,
or by `INCREASE_SHARE` of itself if that is more."""

WINDOW_S = 0.1
"""Interval between two changes of the limit, in seconds."""

LIFT_SHARE = 0.5
"""The limit is lifted once no more than this share of it has been in use."""

LIFT_AFTER_S = 1.0
"""Time without congestion after which the limit may be lifted, in seconds."""


class ConcurrencyLimit:
    """The adaptive limit of one set of searchers.

    Attributes:
        value: The number of requests that may run at once; infinite if there is
            no limit.
        congested_s: When a request last showed congestion, in seconds.
    """

    __slots__ = ("_changed_s", "_last_peak", "_peak", "congested_s", "value")

    def __init__(self) -> None:
        """Creates an instance that limits nothing."""
        self.value = math.inf
        self._changed_s = -math.inf
        self.congested_s = -math.inf
        self._last_peak = self._peak = 0

    def record_running(self, running: int, now_s: float) -> None:
        """Records how many requests are running when another one arrives.

        Args:
            running: The number of requests running, including the new one.
            now_s: The current time, in seconds.
        """
        self.update(now_s)
        self._peak = max(self._peak, running)

    def record_end(
        self,
        evidence: congestion.Evidence,
        started_s: float,
        running: int,
        now_s: float,
    ) -> None:
        """Records that a request has ended.

        Args:
            evidence: What the latest requests show of the searchers.
            started_s: When it was sent. A request that was sent before the last
                decrease says nothing about the new limit.
            running: The number of requests that ran, including this one.
            now_s: The current time, in seconds.
        """
        least = MIN_LIMITS.get(evidence)
        if least is None:
            self.update(now_s)
            return
        if started_s < self.congested_s:
            return
        self.congested_s = self._changed_s = now_s
        used = min(self.value, max(running, self._peak, self._last_peak))
        self.value = min(self.value, max(least, used * DECREASE_FACTOR))
        self._last_peak = self._peak = running

    def update(self, now_s: float) -> None:
        """Raises or lifts the limit as time without congestion passes."""
        unlimited = math.isinf(self.value)
        window_s = LIFT_AFTER_S if unlimited else WINDOW_S
        quiet_s = now_s - self._changed_s
        if quiet_s < window_s:
            return
        self._changed_s = now_s
        idle = self._peak <= LIFT_SHARE * self.value
        if quiet_s >= LIFT_AFTER_S:
            # Nothing arrived or ended since; what was in use before is past.
            idle = True
        if idle and now_s - self.congested_s >= LIFT_AFTER_S:
            self.value = math.inf
        elif not idle:
            # A limit that isn't in use says nothing about a higher one.
            self.value += max(MIN_INCREASE, INCREASE_SHARE * self.value)
        self._last_peak, self._peak = self._peak, 0
