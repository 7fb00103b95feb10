"""Merges the largest records of several shards' answers."""

from __future__ import annotations

from collections.abc import Iterable

RECORD_BYTES = 16
"""Length of one record, in bytes."""


def split(body: bytes) -> list[bytes]:
    """Splits a part into its records; an incomplete last record is ignored."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge(parts: Iterable[bytes], limit: int) -> bytes:
    """Returns the largest records of all parts, in descending order.

    Args:
        parts: The bodies of the parts, with records in any order. Duplicate
            records are kept.
        limit: The maximum number of records to return.
    """
    records: list[bytes] = []
    for part in parts:
        records += split(part)
    records.sort(reverse=True)
    return b"".join(records[:limit])
