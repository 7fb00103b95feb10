"""Exponential backoff with jitter for calls to a failing service.

After a few consecutive failures, calls are refused at once and only one call at
a time probes the service. The delays double and are randomized: an outage
begins and ends for all VMs at the same time, and they must not all retry at the
same time.
"""

from __future__ import annotations

import random

MIN_FAILURES = 3
"""Consecutive failures that start the backoff; fewer are isolated losses."""

MAX_FIRST_DELAY_S = 0.2
"""Upper limit of the first delay, in seconds."""

MAX_DELAY_S = 3.0
"""Upper limit of any delay, in seconds."""


class Backoff:
    """One VM's backoff state for one service.

    Attributes:
        failures: The number of failed calls since the last success.
        retry_at_s: The earliest time of the next call, on the caller's clock.
    """

    __slots__ = ("_probing_until_s", "failures", "retry_at_s")

    def __init__(self) -> None:
        """Creates a backoff that allows calls."""
        self.failures = 0
        self.retry_at_s = 0.0
        self._probing_until_s = 0.0

    def is_working(self) -> bool:
        """Returns True if the service is treated as working."""
        return self.failures < MIN_FAILURES

    def may_call(self, now_s: float, probe_s: float) -> bool:
        """Returns True if a call may be made now.

        During a backoff this returns True to one caller, whose call is the
        probe, and False to the others until the probe has ended or timed out.

        Args:
            now_s: The current time, in seconds.
            probe_s: The timeout of a probe, in seconds.
        """
        if self.is_working():
            return True
        if self.get_delay_s(now_s) > 0:
            return False
        self._probing_until_s = now_s + probe_s
        return True

    def get_delay_s(self, now_s: float) -> float:
        """Returns the time until a call may be made, in seconds."""
        if self.is_working():
            return 0.0
        return max(self.retry_at_s - now_s, self._probing_until_s - now_s, 0.0)

    def record_success(self) -> None:
        """Ends the backoff after a successful call."""
        self.failures = 0
        self.retry_at_s = 0.0
        self._probing_until_s = 0.0

    def record_failure(self, now_s: float, rng: random.Random) -> None:
        """Counts a failed call and draws the next delay.

        Calls that were in flight when an outage began fail together; they
        count as one more failure and don't double the delay many times.

        Args:
            now_s: The current time, in seconds.
            rng: Draws the delay from half its upper limit to the full limit.
        """
        if not self.is_working() and now_s < self.retry_at_s:
            return
        self.failures += 1
        if self.is_working():
            return
        doublings = min(self.failures - MIN_FAILURES, 16)
        ceiling_s = min(MAX_FIRST_DELAY_S * 2**doublings, MAX_DELAY_S)
        self.retry_at_s = now_s + ceiling_s * rng.uniform(0.5, 1.0)
        self._probing_until_s = 0.0
