"""The queue before a searcher: by priority, then by deadline, bounded."""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Callable
from typing import Generic, TypeVar

from azureramp import resources

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, frozen=True)
class Waiting(Generic[_T]):
    """One thing that waits.

    Attributes:
        priority: How urgent it is.
        deadline_s: When it is of no more use to anybody.
        end_s: When it gives up waiting, at the deadline or before.
        content: The thing.
    """

    priority: resources.Priority
    deadline_s: float
    end_s: float
    content: _T

    def get_rank(self) -> tuple[int, float]:
        """Returns the sort key: the lower goes first."""
        return (int(self.priority), self.deadline_s)


class Queue(Generic[_T]):
    """A queue bounded in length and in time.

    The order is strict by priority, so deferrable work is never chosen while
    something more urgent waits: it delays urgent work at most by the service
    time of what already runs. And something is chosen whenever anything
    waits, so nothing starves while there is spare capacity.
    """

    __slots__ = ("_first_end_s", "_heap", "_sequence")

    def __init__(self) -> None:
        """Makes an empty queue."""
        self._heap: list[tuple[tuple[int, float], int, Waiting[_T]]] = []
        self._sequence = 0
        self._first_end_s = math.inf

    def __len__(self) -> int:
        """Returns how many wait."""
        return len(self._heap)

    def push(self, waiting: Waiting[_T], limit: int) -> Waiting[_T] | None:
        """Adds one; past the limit the last in order falls out.

        Args:
            waiting: The thing to add.
            limit: Most that may wait.

        Returns:
            The one that had to go, which may be the new one; None if all
            have room.
        """
        self._sequence += 1
        self._first_end_s = min(self._first_end_s, waiting.end_s)
        entry = (waiting.get_rank(), self._sequence, waiting)
        heapq.heappush(self._heap, entry)
        if len(self._heap) <= limit:
            return None
        worst = max(self._heap, key=lambda entry: entry[:2])
        self._heap.remove(worst)
        heapq.heapify(self._heap)
        return worst[2]

    def peek(self) -> Waiting[_T] | None:
        """Returns the next one without taking it; None if none waits."""
        return self._heap[0][2] if self._heap else None

    def pop(self) -> Waiting[_T]:
        """Takes the next one; there must be one."""
        return heapq.heappop(self._heap)[2]

    def expire(self, now_s: float) -> list[Waiting[_T]]:
        """Takes out all that have waited to their end, in order.

        Args:
            now_s: The time.
        """
        if now_s < self._first_end_s:
            return []
        expired = self._take(lambda waiting: waiting.end_s <= now_s)
        self._first_end_s = min(
            (entry[2].end_s for entry in self._heap), default=math.inf
        )
        return expired

    def remove(self, content: _T) -> bool:
        """Takes one thing out; False if it doesn't wait."""
        return bool(self._take(lambda waiting: waiting.content is content))

    def clear(self) -> list[Waiting[_T]]:
        """Takes all out, in order."""
        return self._take(lambda waiting: True)

    def count_before(self, priority: resources.Priority) -> int:
        """Counts those that may go before a new one of this priority."""
        return sum(entry[2].priority <= priority for entry in self._heap)

    def _take(
        self, is_taken: Callable[[Waiting[_T]], bool]
    ) -> list[Waiting[_T]]:
        """Takes out all of a sort, in order."""
        taken = [entry for entry in self._heap if is_taken(entry[2])]
        if taken:
            self._heap = [
                entry for entry in self._heap if not is_taken(entry[2])
            ]
            heapq.heapify(self._heap)
        taken.sort(key=lambda entry: entry[:2])
        return [entry[2] for entry in taken]


def estimate_wait_ms(
    before: int, in_use: int, limit: int, service_ms: float
) -> float:
    """Estimates how long a new one will wait for its slot.

    Args:
        before: How many wait that go before it.
        in_use: Slots in use.
        limit: Slots that may be in use.
        service_ms: The usual service time, in milliseconds; 0 if unknown.

    Returns:
        The time in milliseconds.
    """
    rounds = max(0, before + in_use - limit + 1) / max(1, limit)
    return rounds * service_ms
