"""Counts by client account, with a bounded number of names.

The largest accounts and those near a limit have series of their own; the rest
are counted together. A series is removed only when its account has been quiet
for a while, and counts from 0 if it comes back, so each series only grows while
it exists.
"""

from __future__ import annotations

import collections

MAX_NAMES = 40
"""Maximum number of accounts with series of their own."""

REST = "(others)"
"""The name under which all other accounts are counted."""

HALF_LIFE = 1000
"""Number of counted events after which an account's size counts half."""


class AccountCounts:
    """Counts of events by account and kind.

    Attributes:
        counts: The counts by account name, or `REST`, and kind.
    """

    __slots__ = ("_events", "_max_names", "_named", "_sizes", "counts")

    def __init__(self, max_names: int = MAX_NAMES) -> None:
        """Creates counts of no events.

        Args:
            max_names: Maximum number of accounts with series of their own.
        """
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._max_names = max_names
        self._named: set[str] = set()
        self._sizes: collections.Counter[str] = collections.Counter()
        self._events = 0

    def count(self, account: str, kind: str, near_limit: bool = False) -> None:
        """Counts an event.

        Args:
            account: The account's name.
            kind: The kind of event.
            near_limit: True if the account is near its limit; it then gets a
                series before larger accounts.
        """
        self._sizes[account] += 10 if near_limit else 1
        self._events += 1
        if self._events >= HALF_LIFE:
            self._halve()
        if account not in self._named:
            self._name(account)
        self.counts[account if account in self._named else REST, kind] += 1

    def _name(self, account: str) -> None:
        """Gives an account a series if it is among the largest."""
        if len(self._named) >= self._max_names:
            smallest = min(self._named, key=lambda name: self._sizes[name])
            # A large margin keeps accounts of similar size from taking turns.
            if self._sizes[account] <= 2 * self._sizes[smallest] + 1:
                return
            self._named.remove(smallest)
            for key in [key for key in self.counts if key[0] == smallest]:
                self.counts[REST, key[1]] += self.counts.pop(key)
        self._named.add(account)

    def _halve(self) -> None:
        """Lets old events count less, and forgets the smallest accounts."""
        self._events = 0
        self._sizes = collections.Counter(
            {name: size // 2 for name, size in self._sizes.items() if size > 1}
        )
