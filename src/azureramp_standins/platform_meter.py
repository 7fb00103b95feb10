"""Counts the calls to the platform's test double, by kind and second."""

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
        peak_second: Maximum calls in any whole second, by kind.
        waiting: The number of watches that are waiting.
    """

    totals: dict[str, int]
    last_second: dict[str, int]
    peak_second: dict[str, int]
    waiting: int


class CallMeter:
    """Counts calls by kind and second.

    Attributes:
        last_second: Calls in the last whole second, by kind.
        peak_second: Maximum calls in any whole second, by kind.
        waiting: The number of watches that are waiting.
    """

    __slots__ = (
        "_current",
        "_second",
        "_totals",
        "last_second",
        "peak_second",
        "waiting",
    )

    def __init__(self) -> None:
        """Makes a meter without calls."""
        self._totals: collections.Counter[str] = collections.Counter()
        self._current: collections.Counter[str] = collections.Counter()
        self._second = -1
        self.last_second: dict[str, int] = {}
        self.peak_second: dict[str, int] = {}
        self.waiting = 0

    def count(self, kind: str) -> None:
        """Counts one call of a kind."""
        self._roll_over()
        self._totals[kind] += 1
        self._current[kind] += 1

    def get_stats(self) -> Stats:
        """Returns the counts."""
        self._roll_over()
        return Stats(
            totals=dict(self._totals),
            last_second=self.last_second,
            peak_second=self.peak_second,
            waiting=self.waiting,
        )

    def _roll_over(self) -> None:
        """Completes the previous second's counts once a new second begins."""
        second = int(asyncio.get_running_loop().time())
        if second == self._second:
            return
        ended = dict(self._current)
        for kind, calls in ended.items():
            self.peak_second[kind] = max(self.peak_second.get(kind, 0), calls)
        self.last_second = ended if second == self._second + 1 else {}
        self._current.clear()
        self._second = second
