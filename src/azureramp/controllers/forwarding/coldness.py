"""Searchers that are cold, and those that must be taken to be.

A cold searcher bears a few requests a second; more crash it, and with it all
that it runs.
"""

from __future__ import annotations

from azureramp.controllers.forwarding import board as board_module

WINDOW_S = 1.0
"""The span in which the requests to a cold searcher are bounded, in seconds;
the operators' bound is a number a second."""

ENTRY_LAG_S = 2.0
"""How long after a searcher's return its entry may still be that of before, in
seconds: a heartbeat, and the way through the store."""


def is_cold(
    target: board_module.Target, now_s: float, pause: board_module.Pause
) -> bool:
    """Tells whether a searcher is cold, or must be taken to be.

    One that was away has most likely started anew and holds nothing. Its entry
    says so only up to a heartbeat later; until then the usual calls of all VMs
    would crash it again. The same holds after a pause of this process for a
    searcher to which no connection has outlasted the pause.

    Args:
        target: The searcher.
        now_s: The time.
        pause: When this process last stood still.
    """
    if now_s < target.cold_until_s or target.pool.away:
        return True
    if now_s < target.pool.returned_s + ENTRY_LAG_S:
        return True
    return (
        now_s < pause.ended_s + ENTRY_LAG_S
        and target.pool.linked_s > pause.began_s
    )


def note_call(target: board_module.Target, now_s: float) -> None:
    """Counts a call, since the searcher may turn out to be cold."""
    target.sent_s.append(now_s)
    while target.sent_s[0] <= now_s - WINDOW_S:
        target.sent_s.popleft()


def count_recent_calls(target: board_module.Target, now_s: float) -> int:
    """Returns how many calls a searcher got in the last span."""
    oldest_s = now_s - WINDOW_S
    return sum(at_s > oldest_s for at_s in target.sent_s)
