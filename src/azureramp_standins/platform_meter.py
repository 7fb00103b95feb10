"""Counts the calls that the platform stand-in gets, by kind and second."""

from __future__ import annotations

import asyncio
import collections

import msgspec


class Stats(msgspec.Struct, kw_only=True):
    """The answer to `GET /stats`.

    Attributes:
        totals: Calls since the start, by kind: `reads`, `writes`, `watches`,
            `leases` and `list`.
        last_second: Calls in the last whole second, by kind.
        peak_second: The most calls in any whole second, by kind.
        waiting: Watches that wait now.
    """

    totals: dict[str, int]
    last_second: dict[str, int]
    peak_second: dict[str, int]
    waiting: int


class Meter:
    """Counts calls by kind and second."""

    __slots__ = ("_now", "_second", "_totals", "last", "peak", "waiting")

    def __init__(self) -> None:
        """Makes a meter at zero."""
        self._totals: collections.Counter[str] = collections.Counter()
        self._now: collections.Counter[str] = collections.Counter()
        self._second = -1
        self.last: dict[str, int] = {}
        self.peak: dict[str, int] = {}
        self.waiting = 0

    def count(self, kind: str) -> None:
        """Counts one call."""
        self._advance()
        self._totals[kind] += 1
        self._now[kind] += 1

    def get_stats(self) -> Stats:
        """Returns the counts."""
        self._advance()
        return Stats(
            totals=dict(self._totals),
            last_second=self.last,
            peak_second=self.peak,
            waiting=self.waiting,
        )

    def _advance(self) -> None:
        """Closes the second that has ended, if one has."""
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            return
        ended = dict(self._now)
        for kind, calls in ended.items():
            self.peak[kind] = max(self.peak.get(kind, 0), calls)
        self.last = ended if second == self._second + 1 else {}
        self._now.clear()
        self._second = second
