"""How a deadline shrinks on its way.

Each hop keeps a margin back, so that whoever is nearer to the caller still
has the time to answer, short if need be, before the caller gives up.
"""

from __future__ import annotations

ANSWER_MARGIN_MS = 5.0
"""Kept back to make the answer and bring it to the caller."""

HOP_MARGIN_MS = 3.0
"""Kept back for a result's way from the owner to the coordinator."""

LARGEST_SHARE = 0.1
"""Most of the time left that one margin may take, of short deadlines."""


def get_answer_s(now_s: float, deadline_s: float) -> float:
    """Returns when the coordinator answers at the latest, in seconds."""
    margin_s = ANSWER_MARGIN_MS / 1000
    return deadline_s - min(margin_s, (deadline_s - now_s) * LARGEST_SHARE)


def get_remaining_ms(now_s: float, answer_s: float) -> float:
    """Returns the time that an owner has left, in milliseconds.

    Args:
        now_s: The time now, in seconds.
        answer_s: When the coordinator answers at the latest, in seconds.
    """
    remaining_ms = max(0.0, answer_s - now_s) * 1000
    return remaining_ms - min(HOP_MARGIN_MS, remaining_ms * LARGEST_SHARE)
