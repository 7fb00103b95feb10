"""The hash by which crashes are blamed on a request."""

from __future__ import annotations

import msgspec
import xxhash


def compute(index: str, body: bytes) -> int:
    """Hashes a request.

    The body is brought into one form first (keys sorted, no spaces), since a
    caller that sends a request again may encode it another way.

    Args:
        index: The index.
        body: The query, JSON.

    Returns:
        64 bits.
    """
    try:
        value = msgspec.json.decode(body)
        canonical = msgspec.json.encode(value, order="deterministic")
    except (msgspec.MsgspecError, RecursionError, ValueError):
        canonical = body
    return xxhash.xxh64_intdigest(index.encode() + b"\0" + canonical)
