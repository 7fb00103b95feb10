"""Detects that a VM's CPU is too busy to answer in time."""

from __future__ import annotations

SMOOTHING = 0.2
"""Weight of the newest timer delay in the mean, which covers about five timers.
"""

BUSY_DELAY_S = 0.02
"""Mean timer delay above which a VM is busy, in seconds: a request to all
shards passes through the event loop twice and has some tens of milliseconds in
total."""

MIN_PAUSE_S = 1.0
"""Timer delay from which on the whole process was paused, in seconds; such a
delay does not indicate load."""

BUSY_HOLD_S = 20.0
"""How long a VM stays marked as busy after its last overload, in seconds. The
load drops at once when callers move to other VMs; a short time would make them
move back and forth."""


class OverloadDetector:
    """Detects overload by the delay of timers."""

    __slots__ = ("_busy_until_s", "_mean_s")

    def __init__(self) -> None:
        """Creates a detector without measurements."""
        self._mean_s = 0.0
        self._busy_until_s = float("-inf")

    def record_delay(self, late_s: float, now_s: float) -> bool:
        """Records the delay of a timer; returns True if the VM is busy.

        Args:
            late_s: The delay of the timer, in seconds.
            now_s: The current time, in seconds.
        """
        if late_s < MIN_PAUSE_S:
            self._mean_s += SMOOTHING * (max(0.0, late_s) - self._mean_s)
        if self._mean_s > BUSY_DELAY_S:
            self._busy_until_s = now_s + BUSY_HOLD_S
        return now_s < self._busy_until_s
