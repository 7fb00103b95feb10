"""The cold-start ramp of a searcher: how much it may get at once."""

from __future__ import annotations

import collections
import enum
import statistics

NORMAL_FACTOR = 2.0
"""A latency up to this many times the usual one is normal."""

COLD_FACTOR = 3.0
"""Recent latencies this many times the usual one say: cold again."""

RECENT = 4
"""How many of the last latencies are the recent ones."""

SLOW_OF_RECENT = 3
"""So many slow ones among the recent say: cold again. Stragglers of one in a
hundred make this happen by chance about once in 250,000 calls."""

HISTORY = 64
"""How many latencies make the usual one, by their median."""

REFRESH = 8
"""After how many latencies the median is worked out anew: sorting them for
each question took a tenth of a call's processor time."""

SETTLED = 0.7
"""Latencies have settled if the later half's median is no lower than this
share of the earlier half's: a searcher that warms up still gets faster."""

UNKNOWN_CALLS = 8
"""Successes to watch for settling where no usual latency is known."""

CHANGED_CALLS = 32
"""Successes to watch before another usual latency is believed."""

FAILURES = 3
"""Failures in a row that put a warm searcher back to cold."""


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
        epoch: Counts the turns to cold. A call that began in an earlier
            epoch says nothing of this one.
        held: True while the searcher reports to be cold and its report is
            heeded; it delays the ramp only where no usual latency is known.
    """

    __slots__ = (
        "_cold_limit",
        "_failures",
        "_latencies_ms",
        "_median_ms",
        "_slots",
        "_slow",
        "_streak",
        "_unseen",
        "_usual_ms",
        "_watched_ms",
        "epoch",
        "held",
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
        self._cold_limit = max(1, min(cold_limit, slots))
        self._latencies_ms: collections.deque[float] = collections.deque(
            maxlen=HISTORY
        )
        self._watched_ms: collections.deque[float] = collections.deque(
            maxlen=CHANGED_CALLS
        )
        self._slow: collections.deque[bool] = collections.deque(maxlen=RECENT)
        self._usual_ms = 0.0
        self._median_ms = 0.0
        self._unseen = 0
        self._streak = 0
        self._failures = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = "new"
        self.epoch = 0
        self.held = False

    def resume(self, limit: int, usual_ms: float, slow: int = 0) -> None:
        """Goes on where another owner's ramp was.

        A searcher that turned cold shortly before a handoff would otherwise
        have to give every sign of it anew, to each of its owners.

        Args:
            limit: The other ramp's limit.
            usual_ms: Its usual service time, in milliseconds; 0 if unknown.
            slow: How many of its recent calls were slow.
        """
        self._slow.extend([True] * min(slow, SLOW_OF_RECENT - 1))
        self._usual_ms = usual_ms
        self.limit = max(1, min(limit, self._slots))
        self.reason = "handoff"
        if self.limit >= self._slots:
            self.state = State.WARM

    def resize(self, slots: int, cold_limit: int) -> None:
        """Takes other declared limits; a warm searcher stays warm."""
        self._slots = slots
        self._cold_limit = max(1, min(cold_limit, slots))
        if self.state is State.WARM:
            self.limit = slots
        else:
            self.limit = min(self.limit, slots)

    def adopt_usual(self, usual_ms: float) -> None:
        """Takes other searchers' usual service time if none is known."""
        if self._usual_ms == 0.0 and not self._latencies_ms:
            self._usual_ms = usual_ms

    def get_usual_ms(self) -> float:
        """Returns the usual service time, in milliseconds; 0 if unknown."""
        if self.state is State.WARM and self._median_ms:
            return self._median_ms
        return self._usual_ms

    def count_slow(self) -> int:
        """Returns how many of the recent calls were slow."""
        return sum(self._slow)

    def get_expected_ms(self) -> float:
        """Returns what a call takes now, in milliseconds; 0 if unknown.

        A cold searcher takes longer than usual.
        """
        if self.state is State.COLD and self._watched_ms:
            latest = list(self._watched_ms)[-RECENT:]
            return max(self._usual_ms, statistics.median_low(latest))
        return self.get_usual_ms()

    def turn_cold(self, reason: str) -> None:
        """Goes back to the cold limit.

        Args:
            reason: Why, in a word.
        """
        self._usual_ms = self.get_usual_ms()
        self._latencies_ms.clear()
        self._median_ms = 0.0
        self._watched_ms.clear()
        self._slow.clear()
        self._streak = 0
        self._failures = 0
        self.limit = self._cold_limit
        self.state = State.COLD
        self.reason = reason
        self.epoch += 1

    def succeed(self, took_ms: float, epoch: int) -> None:
        """Takes a success.

        Args:
            took_ms: The service time, in milliseconds.
            epoch: The ramp's epoch when the call was dispatched.
        """
        if epoch != self.epoch:
            return
        self._failures = 0
        match self.state:
            case State.WARM:
                self._see(took_ms)
            case State.COLD:
                self._climb(took_ms)

    def end_unanswered(self, after_ms: float, epoch: int) -> None:
        """Takes a call that was given up after some time.

        A hedged call's loser is cancelled before it ends, so a searcher that
        turned cold would show by no latency at all; that it took at least
        this long is known. A hedge begins where few usual calls still run,
        so a time that is not normal any more is enough to count as slow.

        Args:
            after_ms: The time, in milliseconds.
            epoch: The ramp's epoch when the call was dispatched.
        """
        usual_ms = self.get_usual_ms()
        if epoch != self.epoch or not usual_ms:
            return
        if after_ms > usual_ms * NORMAL_FACTOR:
            self._streak = 0
            if self.state is State.WARM:
                self._judge(True)

    def fail(self, epoch: int) -> None:
        """Takes a failure or a shed; see `succeed`."""
        if epoch != self.epoch:
            return
        self._streak = 0
        self._failures += 1
        if self.state is State.COLD:
            self.limit = max(1, self.limit // 2)
        elif self._failures >= FAILURES:
            self.turn_cold("failures")

    def _see(self, took_ms: float) -> None:
        """Takes a success of a warm searcher."""
        usual_ms = self.get_usual_ms()
        slow = usual_ms > 0 and took_ms > usual_ms * COLD_FACTOR
        self._latencies_ms.append(took_ms)
        self._unseen += 1
        known = len(self._latencies_ms)
        if self._unseen >= REFRESH or RECENT <= known < HISTORY // 2:
            self._unseen = 0
            self._median_ms = statistics.median_low(self._latencies_ms)
        self._judge(slow)

    def _judge(self, slow: bool) -> None:
        """Turns cold if the recent latencies say so."""
        self._slow.append(slow)
        if sum(self._slow) >= SLOW_OF_RECENT:
            self.turn_cold("latency")

    def _climb(self, took_ms: float) -> None:
        """Takes a success of a cold searcher."""
        self._watched_ms.append(took_ms)
        if self._usual_ms and took_ms <= self._usual_ms * NORMAL_FACTOR:
            self._streak += 1
            if self._streak >= self.limit:
                self._double()
            return
        self._streak = 0
        if self._has_settled():
            # Without a usual latency, or with one that the searcher doesn't
            # reach any more (a larger index), one that no longer falls is
            # taken for usual; else the ramp would stay low for good.
            later = list(self._watched_ms)[len(self._watched_ms) // 2 :]
            self._usual_ms = statistics.median_low(later)
            self._double()

    def _has_settled(self) -> bool:
        """Tells whether a cold searcher's latencies no longer fall."""
        needed = CHANGED_CALLS if self._usual_ms else UNKNOWN_CALLS
        if self.held or len(self._watched_ms) < needed:
            return False
        watched = list(self._watched_ms)
        middle = len(watched) // 2
        earlier = statistics.median_low(watched[:middle])
        return statistics.median_low(watched[middle:]) >= earlier * SETTLED

    def _double(self) -> None:
        """Raises the limit one step."""
        self._streak = 0
        self._watched_ms.clear()
        self.limit = min(self._slots, self.limit * 2)
        if self.limit >= self._slots:
            self.state = State.WARM
            self.reason = "ramp"
            self._slow.clear()
