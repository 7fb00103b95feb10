"""Estimates waits in queues, and when a refused caller may return."""

from __future__ import annotations

MIN_RETRY_MS = 200
"""Default shortest delay before a caller returns, in milliseconds."""

MAX_RETRY_MS = 30_000
"""Longest delay before a caller returns, in milliseconds."""


def estimate_wait_ms(
    before: int, in_use: int, limit: int, service_ms: float
) -> float:
    """Estimates how long a new item waits for a slot.

    Args:
        before: Number of queued items that are dispatched before it.
        in_use: Number of slots in use.
        limit: Number of slots that may be in use.
        service_ms: The usual service time, in milliseconds; 0 if unknown.

    Returns:
        The waiting time, in milliseconds.
    """
    rounds = max(0, before + in_use - limit + 1) / max(1, limit)
    return rounds * service_ms


def compute_retry_ms(
    drain_ms: float, draw: float, least_ms: float = MIN_RETRY_MS
) -> int:
    """Computes the retry delay, in milliseconds, from the queues' drain time.

    Args:
        drain_ms: The drain time, in milliseconds.
        draw: A uniform random number from 0 to 1; adds jitter, so that callers
            rejected at the same time do not retry at the same time.
        least_ms: The shortest delay, in milliseconds.
    """
    jittered_ms = drain_ms * (1.0 + draw / 2)
    return int(min(MAX_RETRY_MS, max(least_ms, jittered_ms)))
