"""Updates a searcher's statistics from the outcomes of its calls."""

from __future__ import annotations

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    load_reports as load_reports_module,
)
from azureramp.controllers.forwarding import route_timings
from azureramp.ports.forwarding import api

MIN_SILENCE_S = 0.2
"""Duration from which on a call that this VM aborted without an answer counts
against the searcher, in seconds: twice the length of a searcher's pause."""

REJECTED_SLOWNESS = 2.0
"""Duration recorded for a rejected call, as a multiple of the usual one."""


def record_reply(
    target: board_module.Target,
    reply: api.Reply,
    timings: route_timings.RouteTimings,
    load_reports: load_reports_module.LoadReports,
    took_s: float,
    now_s: float,
) -> None:
    """Updates a searcher's statistics from its answer.

    Args:
        target: The searcher.
        reply: The answer.
        timings: Call durations of the route; updated as well.
        load_reports: Records its load report.
        took_s: How long the call took, in seconds.
        now_s: The current time.
    """
    stats = target.stats
    if reply.misdirected:
        target.misdirected = True
        return
    load_reports.record(target, reply.load, stats.in_flight + 1, now_s)
    if reply.cold_s:
        target.cold_until_s = max(target.cold_until_s, now_s + reply.cold_s)
    if reply.is_success():
        stats.record_success()
        stats.record_time(timings.record_duration(took_s), now_s)
    elif reply.ran is api.Execution.NO:
        # The searcher is full, not faulty: it is skipped briefly.
        stats.reported_load = max(stats.reported_load, stats.slots)
        stats.reported_s = now_s
        stats.record_time(REJECTED_SLOWNESS, now_s)
    elif reply.status >= 500:
        stats.record_failure(now_s)


def record_loss(
    target: board_module.Target, took_s: float, now_s: float
) -> None:
    """Updates a searcher's statistics after a sent call without an answer.

    Args:
        target: The searcher.
        took_s: How long the call waited, in seconds.
        now_s: The current time.
    """
    silent = took_s >= MIN_SILENCE_S
    if silent:
        target.pool.close_stale(now_s - took_s)
    target.stats.record_failure(now_s, silent=silent)
