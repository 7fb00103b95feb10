"""How many log lines are written for requests that went well."""

from __future__ import annotations


class Sampler:
    """A token bucket that counts what it turned away.

    Attributes:
        left_out: Lines left out since they were last told of.
    """

    __slots__ = ("_burst", "_per_s", "_taken_s", "_tokens", "left_out")

    def __init__(self, per_s: float, burst: float) -> None:
        """Makes a full bucket.

        Args:
            per_s: Lines a second in the long run.
            burst: Lines at once.
        """
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._taken_s = 0.0
        self.left_out = 0

    def take(self, now_s: float) -> bool:
        """Tells whether a line may be written now."""
        earned = (now_s - self._taken_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._taken_s = now_s
        if self._tokens < 1.0:
            self.left_out += 1
            return False
        self._tokens -= 1.0
        return True

    def take_left_out(self) -> int:
        """Returns how many lines were left out, and begins anew."""
        left_out, self.left_out = self.left_out, 0
        return left_out
