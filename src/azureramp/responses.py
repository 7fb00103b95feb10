"""The JSON bodies of the responses to callers and operators."""

from __future__ import annotations

import msgspec

from azureramp import resources


class KeyRange(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A half-open range of the key space.

    Attributes:
        low: The first key.
        high: The first key after the range.
    """

    low: int
    high: int


class QueryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a query.

    Attributes:
        request_id: The id of the request.
        index: The index.
        version: The index version from which all items come.
        complete: True if every key range was answered.
        coverage: The share of the index's documents in the answered ranges,
            0 to 1, rounded down; 1 only if complete.
        missing: The key ranges that were not answered, in ascending order,
            with adjacent ranges joined.
        items: The merged items, a JSON array.
        took_ms: Time from admission to this answer, in milliseconds.
    """

    request_id: str
    index: str
    version: int
    complete: bool
    coverage: float
    missing: tuple[KeyRange, ...]
    items: msgspec.Raw
    took_ms: float


class ExecuteAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a non-idempotent request.

    Attributes:
        request_id: The id of the request that ran.
        idempotency_key: The caller's key.
        replayed: True if this is the recorded outcome of an earlier run.
        result: The backend server's result, JSON.
        took_ms: Time from admission to this answer, in milliseconds.
    """

    request_id: str
    idempotency_key: str
    replayed: bool
    result: msgspec.Raw
    took_ms: float


class AddressAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs that a caller should use, best first.

    Attributes:
        addresses: `IP:port` of the VMs' HTTP interfaces.
        lifetime_ms: How long the answer may be cached, in milliseconds.
    """

    addresses: tuple[str, ...]
    lifetime_ms: int


class FieldProblem(msgspec.Struct, frozen=True, kw_only=True):
    """One rule that one field of a resource violates.

    Attributes:
        field: The field's path, such as `shards[1].low`.
        rule: The rule's stable code.
        value: The invalid value, or the expected one.
        text_en: The rule in English.
        text_hu: The rule in Hungarian.
    """

    field: str
    rule: str
    value: str
    text_en: str
    text_hu: str


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The body of every error response.

    Attributes:
        code: The stable code of the error kind.
        ran: `not_run`, `ran` or `unknown`.
        retry: How to proceed, a value of `errors.Retry`.
        retry_after_ms: Time after which a retry can succeed, in milliseconds.
        text_en: The meaning in English.
        text_hu: The meaning in Hungarian.
        detail: What is wrong with this request, if it may be disclosed.
        request_id: The id of the request, if it was admitted.
        addresses: Other VMs to use, `IP:port`.
        present: The current state, if a change conflicted with it.
        problems: What is wrong with a resource, by field.
    """

    code: str
    ran: str
    retry: str
    retry_after_ms: int
    text_en: str
    text_hu: str
    detail: str = ""
    request_id: str = ""
    addresses: tuple[str, ...] = ()
    present: resources.Versioned | None = None
    problems: tuple[FieldProblem, ...] = ()
