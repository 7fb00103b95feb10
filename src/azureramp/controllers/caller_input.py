"""What callers may send: the bodies' shapes and the bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

from azureramp import errors
from azureramp.ports.web import api as web_api

MAX_BODY_BYTES = 262_144
"""Largest body of a request, in bytes."""

MAX_KEY_CHARACTERS = 200
"""Longest idempotency key."""

MAX_DEADLINE_MS = 600_000

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Key = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/query.

    An unknown field is refused: a misspelt `minimum_coverage` must not turn
    into none.

    Attributes:
        service: The service's name.
        index: The index.
        query: The query, any JSON.
        deadline_ms: How long the caller waits, in milliseconds.
        minimum_coverage: The least coverage that it takes.
    """

    service: _Name
    index: _Name
    query: msgspec.Raw
    deadline_ms: _DeadlineMs
    minimum_coverage: _Share = 0.0


class ExecuteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/execute.

    Attributes:
        service: The service's name.
        index: The index.
        key: A key of the key space; its shard runs the operation.
        operation: The operation, any JSON.
        deadline_ms: How long the caller waits, in milliseconds.
    """

    service: _Name
    index: _Name
    key: _Key
    operation: msgspec.Raw
    deadline_ms: _DeadlineMs


def check_size(request: web_api.Request) -> errors.Failure | None:
    """Refuses a body that is too large."""
    if len(request.body) > MAX_BODY_BYTES:
        return errors.Failure(
            errors.Kind.TOO_LARGE, f"most is {MAX_BODY_BYTES} bytes"
        )
    return None


def check_key(key: str) -> errors.Failure | None:
    """Refuses an idempotency key that is missing or not plain."""
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        return errors.Failure(
            errors.Kind.BAD_REQUEST,
            f"Idempotency-Key: 1 to {MAX_KEY_CHARACTERS} characters",
        )
    if not (key.isascii() and key.isprintable()):
        return errors.Failure(
            errors.Kind.BAD_REQUEST, "Idempotency-Key: printable ASCII only"
        )
    return None


def describe(error: Exception) -> errors.Failure:
    """Makes a refusal of a body that can't be read."""
    match error:
        case msgspec.MsgspecError() | UnicodeError():
            detail = str(error)[:200]
        case _:
            detail = "the body is nested too deeply"
    return errors.Failure(errors.Kind.BAD_REQUEST, detail)
