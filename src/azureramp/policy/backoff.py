"""When to call a service again that has failed: jittered backoff.

Once a few calls in a row have failed, callers are refused at once and only
one call at a time probes the service. The waits double and are drawn at
random, so that the VMs, which all saw the same outage begin and end, don't
come back together.
"""

from __future__ import annotations

import random

TOLERATED = 3
"""So many failures in a row begin the backoff; fewer are single losses."""

FIRST_S = 0.2
"""Upper end of the first wait, in seconds."""

LONGEST_S = 3.0
"""Upper end of the longest wait, in seconds."""


class Backoff:
    """The state of one VM's backoff from one service.

    Attributes:
        failures: Failed calls since the last success.
        until_s: No call before this time, on the caller's clock.
    """

    __slots__ = ("_probing_until_s", "failures", "until_s")

    def __init__(self) -> None:
        """Makes a backoff that allows calls."""
        self.failures = 0
        self.until_s = 0.0
        self._probing_until_s = 0.0

    def is_open(self) -> bool:
        """Tells whether the service is taken for working."""
        return self.failures < TOLERATED

    def may_call(self, now_s: float, probe_s: float) -> bool:
        """Tells whether a call may be made now.

        During a backoff this says yes to one caller, which probes, and no to
        the others until the probe has ended or its time is over.

        Args:
            now_s: The time, in seconds.
            probe_s: Longest time that a probe takes, in seconds.
        """
        if self.is_open():
            return True
        if self.get_wait_s(now_s) > 0:
            return False
        self._probing_until_s = now_s + probe_s
        return True

    def get_wait_s(self, now_s: float) -> float:
        """Returns the time until a call may be made, in seconds."""
        if self.is_open():
            return 0.0
        return max(self.until_s - now_s, self._probing_until_s - now_s, 0.0)

    def record_success(self) -> None:
        """Allows calls again."""
        self.failures = 0
        self.until_s = 0.0
        self._probing_until_s = 0.0

    def record_failure(self, now_s: float, rng: random.Random) -> None:
        """Draws the next wait.

        The calls that were under way when an outage began fail together and
        count as one failure more, not as many doublings.

        Args:
            now_s: The time, in seconds.
            rng: Draws the wait between half of its upper end and all of it.
        """
        if not self.is_open() and now_s < self.until_s:
            return
        self.failures += 1
        if self.is_open():
            return
        doublings = min(self.failures - TOLERATED, 16)
        ceiling_s = min(FIRST_S * 2**doublings, LONGEST_S)
        self.until_s = now_s + ceiling_s * rng.uniform(0.5, 1.0)
        self._probing_until_s = 0.0
