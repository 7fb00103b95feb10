"""The cold-start ramp of a searcher: how much it may get at once."""

from __future__ import annotations

import collections
import enum
import statistics

NORMAL_FACTOR = 2.0
"""A latency up to this many times the median is normal."""

COLD_FACTOR = 3.0
"""A recent median this many times the usual one says: cold again."""

RECENT = 4
"""How many of the last latencies make the recent median."""

HISTORY = 64
"""How many latencies make the usual median."""


class State(enum.Enum):
    """Whether a searcher bears its full load."""

    COLD = "cold"
    WARM = "warm"


class Ramp:
    """The limit of one searcher, as its owner may use it.

    It begins cold at the declared cold limit, doubles after as many
    successes at normal latency as the limit is high, and is warm once it
    reaches the slots. A failure halves it, and each reason to take the
    searcher for cold puts it back to the cold limit.

    Attributes:
        state: Cold or warm.
        limit: How many requests the searcher gets at once now.
        reason: Why the state is what it is, in a word.
    """

    __slots__ = (
        "_cold_limit",
        "_latencies_ms",
        "_recent_ms",
        "_slots",
        "_streak",
        "_usual_ms",
        "limit",
        "reason",
        "state",
    )

    def __init__(self, slots: int, cold_limit: int) -> None:
        """Makes the ramp of a searcher of which nothing is known: cold.

        Args:
            slots: The searcher's slots.
            cold_limit: How many requests it bears at once in cold start.
        """
        self._slots = slots
        self._cold_limit = min(cold_limit, slots)
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=HISTORY
        )
        self._recent_ms: collections.deque[float] = collections.deque(
            maxlen=RECENT
        )
        self._usual_ms = 0.0
        self._streak = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = "new"

    def resume(self, limit: int, usual_ms: float) -> None:
        """Goes on where another owner's ramp was.

        Args:
            limit: The other ramp's limit.
            usual_ms: Its median service time, in milliseconds; 0 if unknown.
        """
        self._usual_ms = usual_ms
        self.limit = max(1, min(limit, self._slots))
        self.reason = "handoff"
        warm = self.limit >= self._slots
        self.state = State.WARM if warm else State.COLD

    def turn_cold(self, reason: str) -> None:
        """Goes back to the cold limit.

        Args:
            reason: Why, in a word.
        """
        if self._latencies_ms:
            self._usual_ms = self.get_usual_ms()
            self._latencies_ms.clear()
        self._recent_ms.clear()
        self._streak = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = reason

    def get_usual_ms(self) -> float:
        """Returns the usual service time, in milliseconds; 0 if unknown."""
        if self.state is State.WARM and len(self._latencies_ms) >= RECENT:
            return statistics.median(self._latencies_ms)
        return self._usual_ms

    def succeed(self, took_ms: float) -> None:
        """Takes a success.

        Args:
            took_ms: The service time, in milliseconds.
        """
        usual_ms = self.get_usual_ms()
        self._recent_ms.append(took_ms)
        if self.state is State.WARM:
            self._judge_warm(usual_ms)
            if self.state is State.WARM:
                self._latencies_ms.append(took_ms)
            return
        if usual_ms and took_ms > usual_ms * NORMAL_FACTOR:
            self._streak = 0
            return
        self._streak += 1
        if self._streak >= self.limit:
            self._double()

    def fail(self) -> None:
        """Takes a failure or a shed."""
        self._streak = 0
        if self.state is State.COLD:
            self.limit = max(1, min(self._cold_limit, self.limit // 2))

    def _double(self) -> None:
        """Raises the limit one step."""
        self._streak = 0
        self.limit = min(self._slots, self.limit * 2)
        if self.limit >= self._slots:
            self.state = State.WARM
            self.reason = "ramp"
            self._recent_ms.clear()

    def _judge_warm(self, usual_ms: float) -> None:
        """Turns cold if the recent latencies say so."""
        if not usual_ms or len(self._recent_ms) < RECENT:
            return
        if statistics.median(self._recent_ms) > usual_ms * COLD_FACTOR:
            self.turn_cold("latency")
