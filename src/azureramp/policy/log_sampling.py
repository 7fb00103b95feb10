"""Rate limit for the log lines of successful requests."""

from __future__ import annotations


class LogLimiter:
    """A token bucket that counts the log lines it rejects.

    Attributes:
        skipped: Lines omitted since `pop_skipped_count` was last called.
    """

    __slots__ = ("_burst", "_per_s", "_tokens", "_updated_s", "skipped")

    def __init__(self, per_s: float, burst: float) -> None:
        """Creates a full bucket.

        Args:
            per_s: Sustained rate, in lines per second.
            burst: Maximum burst, in lines.
        """
        self._per_s = per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = 0.0
        self.skipped = 0

    def allow(self, now_s: float) -> bool:
        """Returns True if a line may be written now."""
        earned = (now_s - self._updated_s) * self._per_s
        self._tokens = min(self._burst, self._tokens + max(0.0, earned))
        self._updated_s = now_s
        if self._tokens < 1.0:
            self.skipped += 1
            return False
        self._tokens -= 1.0
        return True

    def pop_skipped_count(self) -> int:
        """Returns the number of omitted lines and resets it to 0."""
        left_out, self.skipped = self.skipped, 0
        return left_out
