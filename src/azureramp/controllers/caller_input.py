"""Validation of callers' input: body schemas and limits."""

from __future__ import annotations

from typing import Annotated

import msgspec

from azureramp import errors
from azureramp.ports.web import api as web_api

MAX_BODY_BYTES = 262_144
"""Maximum size of a request body, in bytes."""

MAX_KEY_CHARACTERS = 200
"""Maximum length of an idempotency key."""

MAX_DEADLINE_MS = 600_000

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]
_Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
_Key = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]


class QueryBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of POST /v1/query.

    Unknown fields are refused: a misspelt `minimum_coverage` must not be
    treated as if there were none.

    Attributes:
        service: The service's name.
        index: The index.
        query: The query, any JSON.
        deadline_ms: How long the caller waits, in milliseconds.
        minimum_coverage: The minimum coverage that the caller accepts.
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
    """Returns a failure if the body is too large."""
    if len(request.body) > MAX_BODY_BYTES:
        return errors.Failure(
            errors.Kind.TOO_LARGE, f"most is {MAX_BODY_BYTES} bytes"
        )
    return None


def check_key(key: str) -> errors.Failure | None:
    """Returns a failure if an idempotency key is missing or invalid."""
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
    """Makes the failure for a body that could not be decoded."""
    match error:
        case msgspec.MsgspecError() | UnicodeError():
            detail = str(error)[:200]
        case _:
            detail = "the body is nested too deeply"
    return errors.Failure(errors.Kind.BAD_REQUEST, detail)
