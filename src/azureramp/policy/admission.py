"""Whether a request is taken now, or refused at once as not run.

Nothing waits here: a request is either sent on or refused, and the owners'
queues have bounds in length and time. So all the decision needs is whether
those queues let a request of this priority through in time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from azureramp import errors, messages, resources

MOST_RUNNING: Mapping[resources.Priority, int] = {
    resources.Priority.URGENT: 512,
    resources.Priority.NORMAL: 384,
    resources.Priority.DEFERRABLE: 256,
}
"""Most requests that run at once on a VM when one more of a priority comes."""

WINDOW_S = 0.1
"""Time over which waits are judged."""

DECREASE = 0.05
"""How far the level falls in a window, times by how much waits are over."""

STEEPEST = 4.0
"""Most of that factor; also what a sub-request refused by a queue counts."""

INCREASE = 0.02
"""How far the level rises in a window without overload."""

MOST_WINDOWS = 1000.0
"""Most windows without a sample that are made up for at once."""

LOWEST_LEVEL = 0.1
"""Share of urgent requests that are taken at the least, to keep measuring."""

DEADLINE_SHARE = 0.25
"""A mean wait of so much of the deadline is the most that is no overload."""

QUEUE_SHARE = 0.5
"""The same, of the longest time that a sub-request may be queued."""

SMOOTHING = 0.1
HALF_LIFE_S = 0.5
"""A measured wait counts half after this time without a new one: when all is
refused nothing is measured, and the refusals must end by themselves.
"""

SHORTEST_RETRY_MS = 200
LONGEST_RETRY_MS = 30_000


class Level:
    """How much is taken, as one number: how many priorities, the urgent first.

    3 takes everything; 2.4 takes four in ten of the deferrable requests; 1
    takes none but urgent ones. It falls while the least urgent requests that
    are taken wait too long, and rises slowly when they don't.

    Attributes:
        value: The level.
    """

    __slots__ = ("_counts", "_ends_s", "_overloaded", "_ratios", "value")

    def __init__(self) -> None:
        """Makes a level that takes everything."""
        self.value = float(len(resources.Priority))
        self._overloaded = False
        self._ends_s = 0.0
        self._ratios = [0.0] * len(resources.Priority)
        self._counts = [0] * len(resources.Priority)

    def observe(
        self, priority: resources.Priority, ratio: float, now_s: float
    ) -> None:
        """Takes in how long a request's parts waited.

        Args:
            priority: The request's priority.
            ratio: The mean wait, over the most that is no overload.
            now_s: The time now, in seconds.
        """
        self._end_window(now_s)
        self._ratios[priority] += min(STEEPEST, ratio)
        self._counts[priority] += 1

    def get_share(self, priority: resources.Priority, now_s: float) -> float:
        """Returns the share of a priority's requests that are taken."""
        self._end_window(now_s)
        return min(1.0, max(0.0, self.value - priority))

    def is_overloaded(self, now_s: float) -> bool:
        """Tells whether anything is shed or waited too long just now."""
        self._end_window(now_s)
        return self._overloaded or self.value < len(resources.Priority)

    def _end_window(self, now_s: float) -> None:
        """Moves the level once a window is over."""
        if now_s < self._ends_s:
            return
        silent = min(MOST_WINDOWS, (now_s - self._ends_s) / WINDOW_S)
        self._ends_s = now_s + WINDOW_S
        worst = self._find_overloaded()
        if worst is None:
            silent += 1.0
        else:
            floor = max(LOWEST_LEVEL, float(worst))
            mean = self._ratios[worst] / self._counts[worst]
            fallen = max(floor, self.value - DECREASE * mean)
            self.value = min(self.value, fallen)
        # In the windows since then nobody waited: what is refused measures
        # nothing, and a level that only samples raise would never rise.
        self.value = min(
            float(len(resources.Priority)), self.value + INCREASE * silent
        )
        self._overloaded = worst is not None and silent < 1.0
        for priority in resources.Priority:
            self._ratios[priority] = 0.0
            self._counts[priority] = 0

    def _find_overloaded(self) -> resources.Priority | None:
        """Finds the most urgent priority whose requests wait too long."""
        for priority in resources.Priority:
            count = self._counts[priority]
            if count and self._ratios[priority] / count > 1.0:
                return priority
        return None


@dataclasses.dataclass(slots=True)
class _Wait:
    """A smoothed wait.

    Attributes:
        wait_ms: The wait.
        at_s: When it was measured.
    """

    wait_ms: float = 0.0
    at_s: float = 0.0


class Times:
    """Today's service times and waits of each index."""

    __slots__ = ("_service_ms", "_waits")

    def __init__(self) -> None:
        """Makes times without measurements."""
        self._service_ms: dict[str, float] = {}
        self._waits: dict[tuple[str, resources.Priority], _Wait] = {}

    def observe(
        self,
        index: str,
        priority: resources.Priority,
        service_ms: float,
        wait_ms: float,
        now_s: float,
    ) -> None:
        """Takes in the means of a request's parts.

        Args:
            index: The index.
            priority: The request's priority.
            service_ms: How long the searchers took.
            wait_ms: All the other time, the queues' above all.
            now_s: The time now, in seconds.
        """
        known_ms = self._service_ms.get(index, service_ms)
        known_ms += SMOOTHING * (service_ms - known_ms)
        self._service_ms[index] = known_ms
        wait = self._waits.setdefault((index, priority), _Wait())
        faded_ms = _fade(wait, now_s)
        wait.wait_ms = faded_ms + SMOOTHING * (wait_ms - faded_ms)
        wait.at_s = now_s

    def estimate_ms(
        self, index: str, priority: resources.Priority, now_s: float
    ) -> float:
        """Estimates how long a request takes; 0 while nothing is known."""
        wait = self._waits.get((index, priority))
        wait_ms = _fade(wait, now_s) if wait else 0.0
        return self._service_ms.get(index, 0.0) + wait_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request that asks to be taken.

    Attributes:
        priority: Its priority.
        left_ms: Time left until its answer is due, in milliseconds.
        needed_ms: Time that it takes at today's service time.
        running: How many requests run on this VM.
        share: The share of its priority that is taken now.
    """

    priority: resources.Priority
    left_ms: float
    needed_ms: float
    running: int
    share: float


def decide(demand: Demand, draw: float) -> errors.Kind | None:
    """Decides whether to take a request.

    Args:
        demand: The request.
        draw: Evenly from 0 to 1.

    Returns:
        None if it is taken; else `DEADLINE_TOO_SHORT` or `OVERLOADED`, both
        not run.
    """
    if demand.left_ms <= 0 or demand.left_ms < demand.needed_ms:
        return errors.Kind.DEADLINE_TOO_SHORT
    if demand.running >= MOST_RUNNING[demand.priority]:
        return errors.Kind.OVERLOADED
    if draw >= demand.share:
        return errors.Kind.OVERLOADED
    return None


def compute_retry_ms(drain_ms: float, draw: float) -> int:
    """Computes when to come back, from the time in which queues drain.

    Args:
        drain_ms: That time, in milliseconds.
        draw: Evenly from 0 to 1; it spreads those who were refused together,
            who must not come back together.
    """
    spread_ms = drain_ms * (1.0 + draw / 2)
    return int(min(LONGEST_RETRY_MS, max(SHORTEST_RETRY_MS, spread_ms)))


def compute_ratio(wait_ms: float, allowed_ms: float, queue_ms: float) -> float:
    """Computes a wait over the most that is no overload.

    Args:
        wait_ms: The mean wait of a request's parts.
        allowed_ms: The time from the request's admission to its deadline.
        queue_ms: Longest time that a sub-request may be queued.
    """
    most_ms = min(allowed_ms * DEADLINE_SHARE, queue_ms * QUEUE_SHARE)
    return wait_ms / max(1.0, most_ms)


def estimate_drain_ms(
    shards: Sequence[resources.Shard],
    states: Mapping[str, messages.SearcherState],
) -> float:
    """Estimates when the fullest shard's queues have drained.

    Args:
        shards: The index's shards.
        states: What the owners tell of their searchers.

    Returns:
        For the shard that needs longest, the time of its quickest replica.
    """
    longest_ms = 0.0
    for shard in shards:
        drains_ms = [
            state.queued * state.service_ms / max(1, state.limit)
            for name in shard.searchers
            if (state := states.get(name)) is not None and state.usable
        ]
        if drains_ms:
            longest_ms = max(longest_ms, min(drains_ms))
    return longest_ms


def _fade(wait: _Wait, now_s: float) -> float:
    """Returns a wait as it counts now."""
    return float(wait.wait_ms * 0.5 ** ((now_s - wait.at_s) / HALF_LIFE_S))


def compute_refusal_ratio(refused: int, parts: int) -> float:
    """Computes what sub-requests refused by a queue add to the ratio.

    A full queue is the surest sign of overload; but one sick searcher, which
    refuses all that it gets, must not shed the whole index's load.

    Args:
        refused: How many were refused.
        parts: How many parts the request has.
    """
    return STEEPEST * min(1.0, 5.0 * refused / max(1, parts))
