"""Operators' changes: one compare-and-swap each, even if replies are lost.

Each change has an id, which is stored with the value. A write whose reply was
lost is retried with the same expected revision: at most one attempt can take
effect, and a retry that finds its own id in the store shows that one did.
Comparing values instead would treat another operator's equal change as this
one, and could not distinguish a change that took effect from one that others
made and reverted.
"""

from __future__ import annotations

import asyncio
import dataclasses

import expression
import msgspec

from azureramp import errors, resources
from azureramp.controllers import store_link
from azureramp.ports.store import api as store_api

SETTLE_S = 3.0
"""How long a write with an unknown outcome is retried, in seconds."""

RETRY_S = 0.2
"""Time between two attempts, in seconds."""

CHANGE_ID = "change_id"
"""The field of a stored value that contains the id of its change."""


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A change that did not take effect, or whose outcome is unknown.

    Attributes:
        failure: The reason.
        current: The current state, if the change conflicted with it.
    """

    failure: errors.Failure
    current: resources.Versioned | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A change requested by an operator.

    Attributes:
        kind: The resource's kind.
        name: The resource's name.
        resource: The resource; None to delete it.
        expected: The revision that the operator read; 0 for none.
        change_id: Unique among all changes.
    """

    kind: str
    name: str
    resource: resources.AnyResource | None
    expected: int
    change_id: str


async def write(
    store: store_api.Store, change: Change
) -> expression.Result[int, Refusal]:
    """Writes a change.

    Returns:
        The store revision of the change, or the failure: `CONFLICT` if
        another change came first, `STORE_UNAVAILABLE` if the change did not
        take effect, `STORE_OUTCOME_UNKNOWN` if it may have.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + SETTLE_S
    uncertain = False
    while True:
        result = await _write_once(store, change)
        if result.is_ok():
            match result.ok:
                case store_api.Written(revision):
                    return expression.Ok(revision)
                case store_api.Conflict(current):
                    return _resolve_conflict(change, current, uncertain)
        failure = result.error
        if failure.kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
            uncertain = True
        elif not uncertain:
            return expression.Error(Refusal(failure))
        if loop.time() + RETRY_S > until_s:
            unknown = errors.Failure(
                errors.Kind.STORE_OUTCOME_UNKNOWN, failure.detail
            )
            return expression.Error(Refusal(unknown))
        await asyncio.sleep(RETRY_S)


async def _write_once(
    store: store_api.Store, change: Change
) -> expression.Result[store_api.WriteOutcome, errors.Failure]:
    key = store_link.make_key(change.kind, change.name)
    if change.resource is None:
        return await store.delete(key, change.expected)
    fields = msgspec.to_builtins(change.resource)
    fields[CHANGE_ID] = change.change_id
    return await store.write(key, msgspec.json.encode(fields), change.expected)


def _resolve_conflict(
    change: Change, current: store_api.Entry | None, uncertain: bool
) -> expression.Result[int, Refusal]:
    """Returns the outcome of a write that found an unexpected revision."""
    if current is None:
        # A deletion leaves no id. The key is gone, as requested; whether this
        # attempt or another operator deleted it makes no difference.
        if change.resource is None and uncertain:
            return expression.Ok(0)
        return expression.Error(Refusal(errors.Failure(errors.Kind.CONFLICT)))
    if change.resource is not None and _get_id(current) == change.change_id:
        return expression.Ok(current.revision)
    # After a lost reply, this change may have taken effect before the current
    # entry replaced it, so answering "not run" could be wrong.
    kind = errors.Kind.CONFLICT
    if uncertain:
        kind = errors.Kind.STORE_OUTCOME_UNKNOWN
    return expression.Error(
        Refusal(errors.Failure(kind), store_link.decode_entry(current))
    )


def _get_id(entry: store_api.Entry) -> str:
    """Returns the id of the change that wrote an entry; empty if none."""
    try:
        fields = msgspec.json.decode(entry.value or b"", type=dict)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return ""
    return str(fields.get(CHANGE_ID, ""))
