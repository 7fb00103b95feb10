"""Aggregated logging of the store's changes.

Every VM receives the changes of every searcher and VM. Logging each of them on
each VM would produce a number of lines that grows with the product of both.
Therefore, a VM logs counts, and a single line only for a searcher that its
requests use.
"""

from __future__ import annotations

import collections
import enum

import logbook

from azureramp.policy import log_sampling

FLUSH_INTERVAL_S = 5.0
"""Minimum time between two lines with counts, in seconds."""

LINES_PER_S = 5.0
LINE_BURST = 20.0
"""Rate limit of the lines on single searchers: sustained lines per second, and
the size of a burst in lines."""


class Change(enum.Enum):
    """Kinds of counted changes; the value is the name of the log field."""

    SEARCHER_READY = "searchers_ready"
    SEARCHER_DRAINING = "searchers_draining"
    SEARCHER_MISSING = "searchers_missing"
    SEARCHER_GONE = "searchers_gone"
    VM_SEEN = "vms_seen"
    VM_GONE = "vms_gone"
    SKIPPED = "entries_skipped"


class ChangeLog:
    """Counts and logs the changes that one process receives."""

    __slots__ = ("_counts", "_due_s", "_logger", "_sampler")

    def __init__(self) -> None:
        """Creates a log without counted changes."""
        self._counts: collections.Counter[Change] = collections.Counter()
        self._due_s = 0.0
        self._logger = logbook.Logger("azureramp.changes")
        self._sampler = log_sampling.LogLimiter(LINES_PER_S, LINE_BURST)

    def count(self, change: Change) -> None:
        """Counts a change for the next line with counts."""
        self._counts[change] += 1

    def log_line(
        self,
        channel: logbook.Logger,
        text: str,
        now_s: float,
        **fields: str | int,
    ) -> None:
        """Logs a line on a single searcher unless the rate limit is reached.

        Args:
            channel: The logger to use.
            text: The line.
            now_s: The current time, in seconds.
            **fields: Further fields of the line.
        """
        if not self._sampler.allow(now_s):
            return
        left_out = self._sampler.pop_skipped_count()
        if left_out:
            fields["lines_left_out"] = left_out
        channel.info(text, extra=fields)

    def flush(self, now_s: float, revision: int) -> None:
        """Logs the counts, at most once per `FLUSH_INTERVAL_S`.

        Args:
            now_s: The current time, in seconds.
            revision: The store's revision up to which changes are applied.
        """
        if not self._counts or now_s < self._due_s:
            return
        self._due_s = now_s + FLUSH_INTERVAL_S
        fields = {change.value: n for change, n in self._counts.items()}
        self._counts.clear()
        self._logger.info("changes", extra={"revision": revision, **fields})
