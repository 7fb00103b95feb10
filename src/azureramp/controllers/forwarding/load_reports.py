"""Load reports of the searchers: statistics, metrics and log lines."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from azureramp import metrics
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import change_log
from azureramp.ports.forwarding import api

SLOW_FROM = 1.5
"""Slowness from which on a call counts as one to a slow searcher, as a multiple
of the usual time."""

_logger = logbook.Logger("azureramp.searchers")


HandleSlowness = Callable[[board_module.Target, float, float], None]
"""Handles a searcher's figure, received at a time in seconds."""


class LoadReports:
    """Records the load reports in the answers of searchers.

    Attributes:
        on_slowness: Called with each report of slowness before it is recorded.
    """

    __slots__ = ("_log", "_metrics", "on_slowness")

    def __init__(
        self, counters: metrics.Metrics, log: change_log.ChangeLog
    ) -> None:
        """Creates an instance that has recorded nothing."""
        self._metrics = counters
        self._log = log
        self.on_slowness: HandleSlowness = _ignore

    def record(
        self,
        target: board_module.Target,
        load: api.Load | api.UnreadableLoad | None,
        own_calls: int,
        now_s: float,
    ) -> None:
        """Updates a searcher's statistics from its load report.

        Args:
            target: The searcher.
            load: The report; None if there was none.
            own_calls: Number of this VM's calls that the report counts.
            now_s: The current time.
        """
        stats = target.stats
        match load:
            case api.Load(running=running, waiting=waiting, slowness=slowness):
                stats.reported_load = max(0, running + waiting - own_calls)
                stats.reported_s = now_s
                if slowness is not None:
                    self.on_slowness(target, slowness, now_s)
                    stats.server.record(slowness, now_s)
                    self._metrics.count("report.received")
                    if slowness >= SLOW_FROM:
                        self._metrics.count("report.slow")
            case api.UnreadableLoad(text=text):
                self._metrics.count("report.unreadable")
                self._log_unreadable(target, text, now_s)
            case None:
                pass

    def record_choice(self, target: board_module.Target, now_s: float) -> None:
        """Records how old the report is on which a choice was based."""
        server = target.stats.server
        if server.is_known():
            age_ms = (now_s - server.get_latest()[1]) * 1000
            self._metrics.record_ms("report.age_ms", age_ms)

    def _log_unreadable(
        self, target: board_module.Target, text: str, now_s: float
    ) -> None:
        """Logs a searcher's first unreadable report."""
        if target.reports_unreadable:
            return
        target.reports_unreadable = True
        searcher = target.searcher
        self._log.log_line(
            _logger,
            f"searcher {searcher.id} of {searcher.service} sends a load report"
            f" that can't be read: {text!r}",
            now_s,
        )


def _ignore(target: board_module.Target, figure: float, now_s: float) -> None:
    """Ignores a report: nobody is to be told of it."""
