"""Which pooled connection may be used: half-open ones are avoided.

A connection that something between its two ends has lost track of takes
bytes and gives none back, while new connections work. So the judgement is by
connection, from its last proof of life: its opening, or the last reply that
came on it.
"""

from __future__ import annotations

REUSE_S = 4.0
"""Longest time since the last proof of life to be used without asking."""

OVERDUE_FACTOR = 5.0
"""A reply is overdue after this many times the usual service time."""

OVERDUE_LEAST_MS = 50.0
"""No reply is overdue before this, in milliseconds."""

OVERDUE_UNKNOWN_MS = 250.0
"""When a reply is overdue where no usual service time is known."""

GIVE_UP_FACTOR = 4.0
"""A repeatable call is given up after this many times the overdue time, if a
fresh connection works meanwhile: twice a straggler of ten times."""

HEALTH_LINKS = 2
"""Connections kept free for health reads: one that stays open, and a fresh
one to tell a silent connection from a silent searcher."""


def may_reuse(proven_s: float, now_s: float, suspect_before_s: float) -> bool:
    """Tells whether an idle connection may carry another request.

    Args:
        proven_s: When it last gave proof of life.
        now_s: The time.
        suspect_before_s: Connections without proof of life since then are
            suspect, since a reply is overdue on one that was used then.
    """
    return now_s - proven_s <= REUSE_S and proven_s > suspect_before_s


def get_overdue_ms(usual_ms: float) -> float:
    """Returns after how long a reply is overdue, in milliseconds.

    Args:
        usual_ms: The usual service time, in milliseconds; 0 if unknown.
    """
    if usual_ms <= 0:
        return OVERDUE_UNKNOWN_MS
    return max(OVERDUE_LEAST_MS, usual_ms * OVERDUE_FACTOR)


def get_give_up_ms(usual_ms: float, cold: bool) -> float:
    """Returns after how long a call is given up, in milliseconds.

    A searcher in cold start, or one that nothing is known of, may need any
    time: giving its calls up would keep it from ever showing how long.

    Args:
        usual_ms: The usual service time, in milliseconds; 0 if unknown.
        cold: True while the searcher is in cold start.

    Returns:
        The time; 0 for never.
    """
    if cold or usual_ms <= 0:
        return 0.0
    return get_overdue_ms(usual_ms) * GIVE_UP_FACTOR


def get_share(connections: int) -> int:
    """Returns how many connections an owner may hold open.

    Half of the searcher's cap, so that an old and a new owner together stay
    within it.

    Args:
        connections: How many the searcher accepts from everybody.
    """
    return max(1, connections // 2)


def split_share(share: int) -> tuple[int, int]:
    """Splits an owner's connections by their use.

    Args:
        share: How many it may hold open; 0 for none.

    Returns:
        How many for calls, and how many for health reads. A share of one or
        two leaves one for calls, and health is read all the same.
    """
    if share <= 0:
        return 0, 0
    return max(1, share - HEALTH_LINKS), HEALTH_LINKS
