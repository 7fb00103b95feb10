"""What the outcome of a call shows of its searcher."""

from __future__ import annotations

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import pacing
from azureramp.ports.forwarding import api

SILENT_S = 0.2
"""A call cut by this side after this time without an answer counts against the
searcher, in seconds: twice the pauses that searchers make."""

REJECTED_SLOWNESS = 2.0
"""What a rejected call is taken to have lasted, in usual times."""


def learn_from_reply(
    target: board_module.Target,
    reply: api.Reply,
    pace: pacing.Pace,
    took_s: float,
    now_s: float,
) -> None:
    """Learns of a searcher from its answer.

    Args:
        target: The searcher.
        reply: The answer.
        pace: How long calls of the route usually last; learns as well.
        took_s: How long the call lasted, in seconds.
        now_s: The time.
    """
    record = target.record
    if reply.misdirected:
        target.misdirected = True
        return
    if reply.load is not None:
        beyond = reply.load.running + reply.load.waiting
        record.waiting = max(0, beyond - record.in_flight - 1)
        record.reported_s = now_s
    if reply.cold_s:
        target.cold_until_s = max(target.cold_until_s, now_s + reply.cold_s)
    if reply.is_success():
        record.add_success()
        record.add_time(pace.add(took_s), now_s)
    elif reply.ran is api.Ran.NO:
        # Full, not broken: it is passed over for a moment.
        record.waiting = max(record.waiting, record.slots)
        record.reported_s = now_s
        record.add_time(REJECTED_SLOWNESS, now_s)
    elif reply.status >= 500:
        record.add_failure(now_s)


def learn_from_loss(
    target: board_module.Target, took_s: float, now_s: float
) -> None:
    """Learns of a searcher from a call that was sent and not answered.

    Args:
        target: The searcher.
        took_s: How long the call waited, in seconds.
        now_s: The time.
    """
    silent = took_s >= SILENT_S
    if silent:
        target.pool.retire(now_s - took_s)
    target.record.add_failure(now_s, silent=silent)
