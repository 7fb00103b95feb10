"""Deadline propagation with a margin for each hop.

Each hop subtracts a margin, so that the hop nearer to the caller still has time
to send an answer, possibly an incomplete one, before the caller times out.
"""

from __future__ import annotations

ANSWER_MARGIN_MS = 5.0
"""Margin for building the answer and sending it to the caller."""

HOP_MARGIN_MS = 3.0
"""Margin for sending a result from the owner to the coordinator."""

MAX_MARGIN_SHARE = 0.1
"""Maximum share of the remaining time that one margin takes, which limits the
margins of short deadlines."""


def get_answer_s(now_s: float, deadline_s: float) -> float:
    """Returns the latest time at which the coordinator answers, in seconds."""
    margin_s = ANSWER_MARGIN_MS / 1000
    return deadline_s - min(margin_s, (deadline_s - now_s) * MAX_MARGIN_SHARE)


def get_remaining_ms(now_s: float, answer_s: float) -> float:
    """Returns an owner's remaining time, in milliseconds.

    Args:
        now_s: The current time, in seconds.
        answer_s: The latest time at which the coordinator answers, in seconds.
    """
    remaining_ms = max(0.0, answer_s - now_s) * 1000
    return remaining_ms - min(HOP_MARGIN_MS, remaining_ms * MAX_MARGIN_SHARE)
