"""Bounded queue of a searcher, ordered by priority and then by deadline."""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Callable
from typing import Generic, TypeVar

from azureramp import resources

_T = TypeVar("_T")


@dataclasses.dataclass(slots=True, frozen=True)
class QueuedItem(Generic[_T]):
    """A queued item.

    Attributes:
        priority: The request's priority.
        deadline_s: When the caller stops waiting for the result.
        expires_s: When the item expires in the queue; at most `deadline_s`.
        item: The item itself.
    """

    priority: resources.Priority
    deadline_s: float
    expires_s: float
    item: _T

    def get_sort_key(self) -> tuple[int, float]:
        """Returns the sort key; the lowest is dispatched first."""
        return (int(self.priority), self.deadline_s)


class PriorityQueue(Generic[_T]):
    """A queue bounded in length and in waiting time.

    Priority is strict: deferrable work is never dispatched while more urgent
    work is queued, so it delays urgent work by at most the service time of the
    calls already running. `pop` always returns an item if there is one, so no
    priority starves while there is spare capacity.
    """

    __slots__ = ("_first_end_s", "_heap", "_sequence")

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._heap: list[tuple[tuple[int, float], int, QueuedItem[_T]]] = []
        self._sequence = 0
        self._first_end_s = math.inf

    def __len__(self) -> int:
        """Returns the number of queued items."""
        return len(self._heap)

    def push(
        self, waiting: QueuedItem[_T], limit: int
    ) -> QueuedItem[_T] | None:
        """Adds an item; beyond the limit the last item in order is evicted.

        Args:
            waiting: The item to add.
            limit: Maximum length of the queue.

        Returns:
            The evicted item, which may be the new one; None if the queue is
            within its limit.
        """
        self._sequence += 1
        self._first_end_s = min(self._first_end_s, waiting.expires_s)
        entry = (waiting.get_sort_key(), self._sequence, waiting)
        heapq.heappush(self._heap, entry)
        if len(self._heap) <= limit:
            return None
        worst = max(self._heap, key=lambda entry: entry[:2])
        self._heap.remove(worst)
        heapq.heapify(self._heap)
        return worst[2]

    def peek(self) -> QueuedItem[_T] | None:
        """Returns the next item without removing it; None if empty."""
        return self._heap[0][2] if self._heap else None

    def pop(self) -> QueuedItem[_T]:
        """Removes and returns the next item.

        Raises:
            IndexError: If the queue is empty.
        """
        return heapq.heappop(self._heap)[2]

    def expire(self, now_s: float) -> list[QueuedItem[_T]]:
        """Removes and returns the expired items, in order.

        Args:
            now_s: The current time, in seconds.
        """
        if now_s < self._first_end_s:
            return []
        expired = self._remove_matching(
            lambda waiting: waiting.expires_s <= now_s
        )
        self._first_end_s = min(
            (entry[2].expires_s for entry in self._heap), default=math.inf
        )
        return expired

    def remove(self, content: _T) -> bool:
        """Removes an item; returns False if it is not in the queue."""
        return bool(
            self._remove_matching(lambda waiting: waiting.item is content)
        )

    def clear(self) -> list[QueuedItem[_T]]:
        """Removes and returns all items, in order."""
        return self._remove_matching(lambda waiting: True)

    def count_before(self, priority: resources.Priority) -> int:
        """Counts the items that may be dispatched before a new one.

        Args:
            priority: The new item's priority.
        """
        return sum(entry[2].priority <= priority for entry in self._heap)

    def _remove_matching(
        self, matches: Callable[[QueuedItem[_T]], bool]
    ) -> list[QueuedItem[_T]]:
        """Removes and returns the items that match a predicate, in order."""
        removed = [entry for entry in self._heap if matches(entry[2])]
        if removed:
            self._heap = [
                entry for entry in self._heap if not matches(entry[2])
            ]
            heapq.heapify(self._heap)
        removed.sort(key=lambda entry: entry[:2])
        return [entry[2] for entry in removed]
