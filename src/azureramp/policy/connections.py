"""Rules for the use of pooled connections, which avoid half-open ones.

A connection whose state was lost by a device between its two ends accepts
bytes and returns none, while new connections work. So each connection is
assessed separately, by its last proof of life: the time it was opened, or the
last reply received on it.
"""

from __future__ import annotations

MAX_PROOF_AGE_S = 4.0
"""Maximum age of the last proof of life for reuse without a check, in seconds.
"""

OVERDUE_FACTOR = 5.0
"""Multiple of the usual service time after which a reply is overdue."""

MIN_OVERDUE_MS = 50.0
"""Minimum time before a reply is overdue, in milliseconds."""

DEFAULT_OVERDUE_MS = 250.0
"""Time after which a reply is overdue if the usual service time is unknown, in
milliseconds."""

ABANDON_FACTOR = 4.0
"""Multiple of the overdue time after which a repeatable call is abandoned if a
new connection works meanwhile: twice the time of a straggler that takes ten
times the usual time."""

HEALTH_CONNECTIONS = 2
"""Connections reserved for health checks: one that stays open, and a new one
to distinguish an unresponsive connection from an unresponsive searcher."""


def may_reuse(proven_s: float, now_s: float, suspect_before_s: float) -> bool:
    """Returns True if an idle connection may carry another request.

    Args:
        proven_s: The time of its last proof of life, in seconds.
        now_s: The current time, in seconds.
        suspect_before_s: Connections without proof of life since this time are
            suspect, because a reply is overdue on one that was used then.
    """
    return now_s - proven_s <= MAX_PROOF_AGE_S and proven_s > suspect_before_s


def get_overdue_ms(usual_ms: float) -> float:
    """Returns after how long a reply is overdue, in milliseconds.

    Args:
        usual_ms: The usual service time, in milliseconds; 0 if unknown.
    """
    if usual_ms <= 0:
        return DEFAULT_OVERDUE_MS
    return max(MIN_OVERDUE_MS, usual_ms * OVERDUE_FACTOR)


def get_abandon_ms(usual_ms: float, cold: bool) -> float:
    """Returns after how long a call is abandoned, in milliseconds.

    The service time of a searcher in cold start, or without measurements, has
    no upper bound: abandoning its calls would prevent any measurement of it.

    Args:
        usual_ms: The usual service time, in milliseconds; 0 if unknown.
        cold: True while the searcher is in cold start.

    Returns:
        The time, in milliseconds; 0 for never.
    """
    if cold or usual_ms <= 0:
        return 0.0
    return get_overdue_ms(usual_ms) * ABANDON_FACTOR


def get_connection_limit(connections: int) -> int:
    """Returns how many connections an owner may hold open.

    This is half of the searcher's limit, so that an old and a new owner
    together stay within it.

    Args:
        connections: How many connections the searcher accepts in total.
    """
    return max(1, connections // 2)


def split_connections(share: int) -> tuple[int, int]:
    """Splits an owner's connections into those for calls and health checks.

    Args:
        share: How many connections the owner may hold open; 0 for none.

    Returns:
        The number of connections for calls, and the number for health checks.
        A share of one or two gives one connection for calls; health checks
        get their connections regardless.
    """
    if share <= 0:
        return 0, 0
    return max(1, share - HEALTH_CONNECTIONS), HEALTH_CONNECTIONS
