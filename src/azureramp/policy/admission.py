"""Admission control: accepts a request, or rejects it before it runs.

Requests do not queue here: each is either forwarded or rejected, and the
owners' queues are bounded in length and time. The decision therefore only
depends on whether those queues let a request of this priority through in time.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence

from azureramp import errors, messages, resources

MAX_RUNNING: Mapping[resources.Priority, int] = {
    resources.Priority.URGENT: 512,
    resources.Priority.NORMAL: 384,
    resources.Priority.DEFERRABLE: 256,
}
"""Number of requests running on a VM from which on it rejects new ones, by
their priority."""

WINDOW_S = 0.1
"""Length of the window over which waits are averaged, in seconds."""

LEVEL_DECREASE = 0.05
"""Decrease of the level in an overloaded window, multiplied by the mean ratio
of the waits to their limit."""

MAX_RATIO = 4.0
"""Maximum of that ratio; also used for a sub-request that a queue refused.
"""

LEVEL_INCREASE = 0.02
"""Increase of the level in a window without overload."""

MAX_IDLE_WINDOWS = 1000.0
"""Maximum number of windows without a sample that are credited at once."""

MIN_LEVEL = 0.1
"""Minimum share of urgent requests accepted, so that waits stay measurable."""

MAX_DEADLINE_SHARE = 0.25
"""Maximum mean wait without overload, as a share of the deadline."""

MAX_QUEUE_SHARE = 0.5
"""Maximum mean wait without overload, as a share of the time limit in queues.
"""

SMOOTHING = 0.1
HALF_LIFE_S = 0.5
"""Half-life of a measured wait, in seconds. While all requests are rejected no
new wait is measured, so the rejections must end without a new measurement.
"""


class Level:
    """The admission level: how many priorities are accepted, urgent first.

    Level 3 accepts everything, 2.4 accepts 40 % of the deferrable requests,
    and 1 accepts only urgent ones. The level falls while the least urgent
    accepted requests wait too long, and otherwise rises slowly.

    Attributes:
        value: The level, at most the number of priorities.
    """

    __slots__ = ("_counts", "_overloaded", "_ratios", "_window_end_s", "value")

    def __init__(self) -> None:
        """Creates a level that accepts everything."""
        self.value = float(len(resources.Priority))
        self._overloaded = False
        self._window_end_s = 0.0
        self._ratios = [0.0] * len(resources.Priority)
        self._counts = [0] * len(resources.Priority)

    def observe(
        self, priority: resources.Priority, ratio: float, now_s: float
    ) -> None:
        """Records how long the sub-requests of a request waited.

        Args:
            priority: The request's priority.
            ratio: The mean wait divided by the longest wait without overload.
            now_s: The current time, in seconds.
        """
        self._end_window(now_s)
        self._ratios[priority] += min(MAX_RATIO, ratio)
        self._counts[priority] += 1

    def get_share(self, priority: resources.Priority, now_s: float) -> float:
        """Returns the share of a priority's requests that are accepted."""
        self._end_window(now_s)
        return min(1.0, max(0.0, self.value - priority))

    def is_overloaded(self, now_s: float) -> bool:
        """Returns True if load is shed or recent waits were too long."""
        self._end_window(now_s)
        return self._overloaded or self.value < len(resources.Priority)

    def _end_window(self, now_s: float) -> None:
        """Adjusts the level at the end of a window."""
        if now_s < self._window_end_s:
            return
        idle_windows = min(
            MAX_IDLE_WINDOWS, (now_s - self._window_end_s) / WINDOW_S
        )
        self._window_end_s = now_s + WINDOW_S
        overloaded = self._find_overloaded()
        if overloaded is None:
            idle_windows += 1.0
        else:
            floor = max(MIN_LEVEL, float(overloaded))
            mean = self._ratios[overloaded] / self._counts[overloaded]
            lowered = max(floor, self.value - LEVEL_DECREASE * mean)
            self.value = min(self.value, lowered)
        # Windows without a sample count as windows without overload: rejected
        # requests give no samples, so the level could never rise otherwise.
        self.value = min(
            float(len(resources.Priority)),
            self.value + LEVEL_INCREASE * idle_windows,
        )
        self._overloaded = overloaded is not None and idle_windows < 1.0
        for priority in resources.Priority:
            self._ratios[priority] = 0.0
            self._counts[priority] = 0

    def _find_overloaded(self) -> resources.Priority | None:
        """Returns the most urgent priority whose requests wait too long."""
        for priority in resources.Priority:
            count = self._counts[priority]
            if count and self._ratios[priority] / count > 1.0:
                return priority
        return None


@dataclasses.dataclass(slots=True)
class _Wait:
    """An exponentially smoothed wait.

    Attributes:
        wait_ms: The wait, in milliseconds.
        at_s: When it was last updated, in seconds.
    """

    wait_ms: float = 0.0
    at_s: float = 0.0


class LatencyEstimates:
    """The recent service times and waits of each index."""

    __slots__ = ("_service_ms", "_waits")

    def __init__(self) -> None:
        """Creates an instance without measurements."""
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
        """Records the mean times of a request's sub-requests.

        Args:
            index: The index.
            priority: The request's priority.
            service_ms: The searchers' service time, in milliseconds.
            wait_ms: All other time, mostly in queues, in milliseconds.
            now_s: The current time, in seconds.
        """
        smoothed_ms = self._service_ms.get(index, service_ms)
        smoothed_ms += SMOOTHING * (service_ms - smoothed_ms)
        self._service_ms[index] = smoothed_ms
        wait = self._waits.setdefault((index, priority), _Wait())
        decayed_ms = _decay(wait, now_s)
        wait.wait_ms = decayed_ms + SMOOTHING * (wait_ms - decayed_ms)
        wait.at_s = now_s

    def estimate_ms(
        self, index: str, priority: resources.Priority, now_s: float
    ) -> float:
        """Estimates how long a request takes, in milliseconds; 0 if unknown."""
        wait = self._waits.get((index, priority))
        wait_ms = _decay(wait, now_s) if wait else 0.0
        return self._service_ms.get(index, 0.0) + wait_ms


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """A request to be accepted or rejected.

    Attributes:
        priority: Its priority.
        left_ms: Time left until its answer is due, in milliseconds.
        needed_ms: Its estimated duration, in milliseconds.
        running: The number of requests running on this VM.
        share: The share of its priority's requests that are accepted now.
    """

    priority: resources.Priority
    left_ms: float
    needed_ms: float
    running: int
    share: float


def decide(demand: Request, draw: float) -> errors.Kind | None:
    """Decides whether to accept a request.

    Args:
        demand: The request.
        draw: A uniform random number from 0 to 1.

    Returns:
        None if the request is accepted; otherwise `DEADLINE_TOO_SHORT` or
        `OVERLOADED`, both of which state that the request did not run.
    """
    if demand.left_ms <= 0 or demand.left_ms < demand.needed_ms:
        return errors.Kind.DEADLINE_TOO_SHORT
    if demand.running >= MAX_RUNNING[demand.priority]:
        return errors.Kind.OVERLOADED
    if draw >= demand.share:
        return errors.Kind.OVERLOADED
    return None


def compute_wait_ratio(
    wait_ms: float, allowed_ms: float, queue_ms: float
) -> float:
    """Computes a wait as a ratio of the longest wait without overload.

    Args:
        wait_ms: The mean wait of a request's sub-requests, in milliseconds.
        allowed_ms: The time from the request's admission to its deadline, in
            milliseconds.
        queue_ms: The longest time that a sub-request may be queued, in
            milliseconds.
    """
    max_ms = min(allowed_ms * MAX_DEADLINE_SHARE, queue_ms * MAX_QUEUE_SHARE)
    return wait_ms / max(1.0, max_ms)


def estimate_drain_ms(
    shards: Sequence[resources.Shard],
    states: Mapping[str, messages.SearcherState],
) -> float:
    """Estimates how long the queues of the most loaded shard take to drain.

    Args:
        shards: The index's shards.
        states: The searchers' states as their owners announce them.

    Returns:
        The maximum over the shards of the time, in milliseconds, in which the
        shard's fastest replica drains.
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


def _decay(wait: _Wait, now_s: float) -> float:
    """Returns a wait with its decay up to now, in milliseconds."""
    return float(wait.wait_ms * 0.5 ** ((now_s - wait.at_s) / HALF_LIFE_S))


def compute_refusal_ratio(refused: int, parts: int) -> float:
    """Computes the ratio that sub-requests refused by a queue contribute.

    A full queue is the clearest sign of overload, but a single faulty searcher
    that refuses everything must not shed the load of the whole index.

    Args:
        refused: The number of refused sub-requests.
        parts: The number of sub-requests of the request.
    """
    return MAX_RATIO * min(1.0, 5.0 * refused / max(1, parts))
