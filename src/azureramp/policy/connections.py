"""Which pooled connection may be used: half-open ones are avoided."""

from __future__ import annotations

REUSE_S = 4.0
"""Longest time that a connection may have been idle to be used again."""


def may_reuse(
    opened_s: float, used_s: float, now_s: float, suspect_before_s: float
) -> bool:
    """Tells whether an idle connection may carry another request.

    Args:
        opened_s: When it was opened.
        used_s: When it last ended an exchange.
        now_s: The time.
        suspect_before_s: Connections opened before this are suspect, since
            one of them went silent.
    """
    return now_s - used_s <= REUSE_S and opened_s >= suspect_before_s
