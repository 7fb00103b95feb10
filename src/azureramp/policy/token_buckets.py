"""A token bucket: the use of a limit that refills at a constant rate."""

from __future__ import annotations

import math


class TokenBucket:
    """Tokens that refill at a rate, up to a capacity.

    At most `capacity + rate_per_s * t` tokens are taken in `t` seconds.

    Attributes:
        level: The tokens in it at the time of the last call.
    """

    __slots__ = ("_capacity", "_rate_per_s", "_refilled_s", "level")

    def __init__(
        self, rate_per_s: float, capacity: float, level: float, now_s: float
    ) -> None:
        """Creates a bucket.

        Args:
            rate_per_s: Tokens added each second.
            capacity: Maximum number of tokens.
            level: The tokens in it at first; at most `capacity` are kept.
            now_s: The time from which it refills, in seconds.
        """
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self._refilled_s = now_s
        self.level = min(level, capacity)

    def set_limit(
        self, rate_per_s: float, capacity: float, now_s: float
    ) -> None:
        """Changes the rate and the capacity; tokens above it are dropped."""
        if (rate_per_s, capacity) == (self._rate_per_s, self._capacity):
            return
        self.refill(now_s)
        self._rate_per_s = rate_per_s
        self._capacity = capacity
        self.level = min(self.level, capacity)

    def refill(self, now_s: float) -> None:
        """Adds the tokens of the time since the last call."""
        if now_s > self._refilled_s:
            added = (now_s - self._refilled_s) * self._rate_per_s
            self.level = min(self._capacity, self.level + added)
            self._refilled_s = now_s

    def skip_to(self, now_s: float) -> None:
        """Moves to a later time without adding tokens."""
        self._refilled_s = max(self._refilled_s, now_s)

    def take(self, wanted: int, now_s: float) -> int:
        """Takes whole tokens, as many as there are of those wanted."""
        self.refill(now_s)
        taken = max(0, min(wanted, math.floor(self.level)))
        self.level -= taken
        return taken

    def get_wait_s(self, now_s: float) -> float:
        """Returns the time until there is a whole token, in seconds."""
        self.refill(now_s)
        if self.level >= 1.0:
            return 0.0
        if self._rate_per_s <= 0 or self._capacity < 1.0:
            return math.inf
        return (1.0 - self.level) / self._rate_per_s

    def is_full(self, now_s: float) -> bool:
        """Returns True if no more tokens fit."""
        self.refill(now_s)
        return self.level >= self._capacity
