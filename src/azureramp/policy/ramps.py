"""Cold-start ramp of a searcher: its limit of concurrent requests."""

from __future__ import annotations

import collections
import enum
import statistics

NORMAL_FACTOR = 2.0
"""A latency up to this multiple of the usual one is normal."""

SLOW_FACTOR = 3.0
"""A latency above this multiple of the usual one is slow; several slow calls
indicate that a warm searcher is cold again."""

RECENT_CALLS = 4
"""Number of latest calls that are checked for slow ones."""

SLOW_CALLS_TO_RESET = 3
"""Number of slow calls among the recent ones that resets a warm searcher to
cold. If 1 call in 100 is a straggler, this happens by chance about once in
250,000 calls."""

MEDIAN_WINDOW = 64
"""Number of latencies whose median is the usual latency."""

MEDIAN_INTERVAL = 8
"""Number of calls after which the median is recomputed. Sorting the latencies
on each read took a tenth of a call's CPU time."""

SETTLED_RATIO = 0.7
"""Latencies have settled if the median of the later half is at least this share
of the earlier half's: the latency of a searcher that is warming up still
falls."""

SETTLING_CALLS = 8
"""Number of successes after which latencies may count as settled, while the
usual latency is unknown."""

RELEARNING_CALLS = 32
"""Number of successes after which latencies may count as settled at a level
other than the usual one."""

FAILURES_TO_RESET = 3
"""Consecutive failures that reset a warm searcher to cold."""


class State(enum.Enum):
    """Whether a searcher can handle its full load."""

    COLD = "cold"
    WARM = "warm"


class Ramp:
    """The limit of concurrent requests that an owner applies to one searcher.

    It starts cold at the declared cold limit, doubles after as many
    consecutive successes at normal latency as the current limit, and is warm
    once it reaches the number of slots. A failure halves the limit of a cold
    searcher. Any sign that the searcher is cold resets it to the cold limit.

    Attributes:
        state: Cold or warm.
        limit: Current limit of concurrent requests.
        reason: A one-word reason for the current state.
        epoch: Number of resets to cold. Results of calls that began in an
            earlier epoch are ignored.
        reports_cold: True while the searcher reports that it is cold and the
            report is accepted; it delays the ramp only if no usual latency is
            known.
    """

    __slots__ = (
        "_cold_latencies_ms",
        "_cold_limit",
        "_failures",
        "_latencies_ms",
        "_median_ms",
        "_since_median",
        "_slots",
        "_slow",
        "_streak",
        "_usual_ms",
        "epoch",
        "limit",
        "reason",
        "reports_cold",
        "state",
    )

    def __init__(self, slots: int, cold_limit: int) -> None:
        """Creates the ramp of a searcher without history, in the cold state.

        Args:
            slots: The searcher's number of slots.
            cold_limit: Limit of concurrent requests during a cold start.
        """
        self._slots = slots
        self._cold_limit = max(1, min(cold_limit, slots))
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=MEDIAN_WINDOW
        )
        self._cold_latencies_ms: collections.deque[float] = collections.deque(
            maxlen=RELEARNING_CALLS
        )
        self._slow: collections.deque[bool] = collections.deque(
            maxlen=RECENT_CALLS
        )
        self._usual_ms = 0.0
        self._median_ms = 0.0
        self._since_median = 0
        self._streak = 0
        self._failures = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = "new"
        self.epoch = 0
        self.reports_cold = False

    def restore(self, limit: int, usual_ms: float, slow: int = 0) -> None:
        """Continues from the state of another owner's ramp.

        Without it, a searcher that turned cold shortly before a handoff would
        be detected only after the new owner has seen enough slow calls of its
        own.

        Args:
            limit: The other ramp's limit.
            usual_ms: Its usual service time, in milliseconds; 0 if unknown.
            slow: How many of its recent calls were slow.
        """
        self._slow.extend([True] * min(slow, SLOW_CALLS_TO_RESET - 1))
        self._usual_ms = usual_ms
        self.limit = max(1, min(limit, self._slots))
        self.reason = "handoff"
        if self.limit >= self._slots:
            self.state = State.WARM

    def resize(self, slots: int, cold_limit: int) -> None:
        """Applies changed declared limits; a warm searcher stays warm."""
        self._slots = slots
        self._cold_limit = max(1, min(cold_limit, slots))
        if self.state is State.WARM:
            self.limit = slots
        else:
            self.limit = min(self.limit, slots)

    def set_default_usual_ms(self, usual_ms: float) -> None:
        """Uses other searchers' usual service time if this one has none.

        Args:
            usual_ms: The usual service time, in milliseconds.
        """
        if self._usual_ms == 0.0 and not self._latencies_ms:
            self._usual_ms = usual_ms

    def get_usual_service_ms(self) -> float:
        """Returns the usual service time, in milliseconds; 0 if unknown."""
        if self.state is State.WARM and self._median_ms:
            return self._median_ms
        return self._usual_ms

    def count_slow(self) -> int:
        """Returns how many of the recent calls were slow."""
        return sum(self._slow)

    def get_expected_ms(self) -> float:
        """Returns the expected service time, in milliseconds; 0 if unknown.

        It is longer than usual for a cold searcher.
        """
        if self.state is State.COLD and self._cold_latencies_ms:
            latest = list(self._cold_latencies_ms)[-RECENT_CALLS:]
            return max(self._usual_ms, statistics.median_low(latest))
        return self.get_usual_service_ms()

    def reset_to_cold(self, reason: str) -> None:
        """Resets the ramp to the cold limit.

        Args:
            reason: The reason, in one word.
        """
        self._usual_ms = self.get_usual_service_ms()
        self._latencies_ms.clear()
        self._median_ms = 0.0
        self._cold_latencies_ms.clear()
        self._slow.clear()
        self._streak = 0
        self._failures = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = reason
        self.epoch += 1

    def record_success(self, took_ms: float, epoch: int) -> None:
        """Records a successful call.

        Args:
            took_ms: The service time, in milliseconds.
            epoch: The ramp's epoch when the call was dispatched.
        """
        if epoch != self.epoch:
            return
        self._failures = 0
        match self.state:
            case State.WARM:
                self._record_warm_success(took_ms)
            case State.COLD:
                self._record_cold_success(took_ms)

    def record_cancelled(self, after_ms: float, epoch: int) -> None:
        """Records a call that was cancelled before its reply.

        The slower call of a hedged pair is cancelled, so a searcher that turned
        cold might never return a latency; the time until the cancellation is a
        lower bound of it. Hedges start at a time that few usual calls exceed,
        so a call cancelled after more than the normal latency counts as slow.

        Args:
            after_ms: The time until the cancellation, in milliseconds.
            epoch: The ramp's epoch when the call was dispatched.
        """
        usual_ms = self.get_usual_service_ms()
        if epoch != self.epoch or not usual_ms:
            return
        if after_ms > usual_ms * NORMAL_FACTOR:
            self._streak = 0
            if self.state is State.WARM:
                self._record_speed(True)

    def record_failure(self, epoch: int) -> None:
        """Records a failed or shed call; see `record_success`."""
        if epoch != self.epoch:
            return
        self._streak = 0
        self._failures += 1
        if self.state is State.COLD:
            self.limit = max(1, self.limit // 2)
        elif self._failures >= FAILURES_TO_RESET:
            self.reset_to_cold("failures")

    def _record_warm_success(self, took_ms: float) -> None:
        """Records the latency of a warm searcher's success."""
        usual_ms = self.get_usual_service_ms()
        slow = usual_ms > 0 and took_ms > usual_ms * SLOW_FACTOR
        self._latencies_ms.append(took_ms)
        self._since_median += 1
        sample_count = len(self._latencies_ms)
        if (
            self._since_median >= MEDIAN_INTERVAL
            or RECENT_CALLS <= sample_count < MEDIAN_WINDOW // 2
        ):
            self._since_median = 0
            self._median_ms = statistics.median_low(self._latencies_ms)
        self._record_speed(slow)

    def _record_speed(self, slow: bool) -> None:
        """Records whether a call was slow; resets to cold after several."""
        self._slow.append(slow)
        if sum(self._slow) >= SLOW_CALLS_TO_RESET:
            self.reset_to_cold("latency")

    def _record_cold_success(self, took_ms: float) -> None:
        """Records the latency of a cold searcher's success."""
        self._cold_latencies_ms.append(took_ms)
        if self._usual_ms and took_ms <= self._usual_ms * NORMAL_FACTOR:
            self._streak += 1
            if self._streak >= self.limit:
                self._double_limit()
            return
        self._streak = 0
        if self._has_settled():
            # If no usual latency is known, or the searcher no longer reaches it
            # (because of a larger index), the latency at which it has settled
            # becomes the usual one. Otherwise the limit would never rise.
            later = list(self._cold_latencies_ms)[
                len(self._cold_latencies_ms) // 2 :
            ]
            self._usual_ms = statistics.median_low(later)
            self._double_limit()

    def _has_settled(self) -> bool:
        """Returns True if a cold searcher's latencies have stopped falling."""
        needed = RELEARNING_CALLS if self._usual_ms else SETTLING_CALLS
        if self.reports_cold or len(self._cold_latencies_ms) < needed:
            return False
        latencies = list(self._cold_latencies_ms)
        middle = len(latencies) // 2
        earlier = statistics.median_low(latencies[:middle])
        return (
            statistics.median_low(latencies[middle:]) >= earlier * SETTLED_RATIO
        )

    def _double_limit(self) -> None:
        """Doubles the limit; at the number of slots the searcher is warm."""
        self._streak = 0
        self._cold_latencies_ms.clear()
        self.limit = min(self._slots, self.limit * 2)
        if self.limit >= self._slots:
            self.state = State.WARM
            self.reason = "ramp"
            self._slow.clear()
