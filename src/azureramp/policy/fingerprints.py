"""The hash that identifies a request to which crashes are attributed."""

from __future__ import annotations

import msgspec
import xxhash


def compute_fingerprint(index: str, body: bytes) -> int:
    """Computes the fingerprint of a request.

    The body is first converted to a canonical form (sorted keys, no spaces),
    since a caller may encode a retry differently.

    Args:
        index: The index.
        body: The query as JSON. A body that can't be parsed is hashed as it
            is.

    Returns:
        A 64-bit hash.
    """
    try:
        value = msgspec.json.decode(body)
        canonical = msgspec.json.encode(value, order="deterministic")
    except (msgspec.MsgspecError, RecursionError, ValueError):
        canonical = body
    return xxhash.xxh64_intdigest(index.encode() + b"\0" + canonical)
