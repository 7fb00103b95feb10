"""The greatest records of many parts."""

from __future__ import annotations

from collections.abc import Iterable

RECORD_BYTES = 16
"""Length of one record."""


def split(body: bytes) -> list[bytes]:
    """Splits a part into its records; a remainder at the end is none."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge(parts: Iterable[bytes], most: int) -> bytes:
    """Returns the greatest records of all parts, greatest first.

    Args:
        parts: The parts' bodies, their records in any order. Equal records
            all count.
        most: How many records to return at most.
    """
    records: list[bytes] = []
    for part in parts:
        records += split(part)
    records.sort(reverse=True)
    return b"".join(records[:most])
