"""A bounded cache for detecting duplicates."""

from __future__ import annotations

import collections
from typing import Generic, TypeVar

_K = TypeVar("_K")


class DuplicateCache(Generic[_K]):
    """Keeps keys for a fixed time, and refuses new keys when it is full.

    Messages may arrive twice or late. Evicting the oldest key when the cache is
    full would let a late duplicate of it through. Refusing a new key instead is
    safe, since its message has not been processed.
    """

    __slots__ = ("_capacity", "_keep_s", "_seen")

    def __init__(self, keep_s: float, capacity: int) -> None:
        """Creates an empty cache.

        Args:
            keep_s: How long a key is kept, in seconds.
            capacity: The maximum number of keys.
        """
        self._keep_s = keep_s
        self._capacity = capacity
        self._seen: collections.OrderedDict[_K, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: _K) -> bool:
        """Returns True if the cache contains a key."""
        return key in self._seen

    def add(self, key: _K, now_s: float) -> bool:
        """Adds a key; returns False if the cache is full.

        Args:
            key: The key, which is not in the cache yet.
            now_s: The current time, in seconds.
        """
        while self._seen:
            oldest, at_s = next(iter(self._seen.items()))
            if now_s - at_s <= self._keep_s:
                break
            del self._seen[oldest]
        if len(self._seen) >= self._capacity:
            return False
        self._seen[key] = now_s
        return True
