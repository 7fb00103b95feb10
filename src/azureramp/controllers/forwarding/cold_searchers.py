"""Determines which searchers are cold or must be treated as cold.

A cold searcher can take a few requests per second; more of them crash it, along
with everything that it is running.
"""

from __future__ import annotations

from azureramp.controllers.forwarding import board as board_module

WINDOW_S = 1.0
"""Length of the window in which requests to a cold searcher are limited, in
seconds; the operators' limit is a number per second."""

ENTRY_LAG_S = 2.0
"""How long after a searcher's return its store entry may be outdated, in
seconds: one heartbeat plus propagation through the store."""


def is_cold(
    target: board_module.Target, now_s: float, pause: board_module.Pause
) -> bool:
    """Returns True if a searcher is cold or must be treated as cold.

    A searcher that was unavailable has most likely restarted with empty caches.
    Its entry says so only up to one heartbeat later; until then the usual calls
    of all VMs would crash it again. After a pause of this process, the same
    applies to searchers without a connection that was open throughout the
    pause.

    Args:
        target: The searcher.
        now_s: The current time.
        pause: The last pause of this process.
    """
    if now_s < target.cold_until_s or target.pool.unavailable:
        return True
    if now_s < target.pool.available_since_s + ENTRY_LAG_S:
        return True
    return (
        now_s < pause.ended_s + ENTRY_LAG_S
        and target.pool.connected_since_s > pause.began_s
    )


def record_call(target: board_module.Target, now_s: float) -> None:
    """Records a call; the searcher may later prove to have been cold."""
    target.call_times_s.append(now_s)
    while target.call_times_s[0] <= now_s - WINDOW_S:
        target.call_times_s.popleft()


def count_recent_calls(target: board_module.Target, now_s: float) -> int:
    """Returns how many calls a searcher got within the window."""
    oldest_s = now_s - WINDOW_S
    return sum(at_s > oldest_s for at_s in target.call_times_s)
