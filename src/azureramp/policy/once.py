"""A bounded memory of what may be taken only once."""

from __future__ import annotations

import collections
from typing import Generic, TypeVar

_K = TypeVar("_K")


class Once(Generic[_K]):
    """Remembers keys for some time, and refuses rather than forgets early.

    Messages may come doubled or late. Forgetting the oldest key to make
    room would let a late copy of it through; so with no room a new key is
    refused, which is safe, since nothing was done for it.
    """

    __slots__ = ("_capacity", "_keep_s", "_seen")

    def __init__(self, keep_s: float, capacity: int) -> None:
        """Makes an empty memory.

        Args:
            keep_s: How long a key is remembered, in seconds.
            capacity: Most keys.
        """
        self._keep_s = keep_s
        self._capacity = capacity
        self._seen: collections.OrderedDict[_K, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: _K) -> bool:
        """Tells whether a key is remembered."""
        return key in self._seen

    def add(self, key: _K, now_s: float) -> bool:
        """Remembers a key; False if there is no room for it.

        Args:
            key: The key, not remembered yet.
            now_s: The time.
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
