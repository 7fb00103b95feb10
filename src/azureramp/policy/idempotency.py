"""The states of an idempotency record and the transitions between them.

There is one record for each caller and key, changed only by compare-and-swap:

    absent -> claimed -> released | unknown
    released -> claimed            (by any VM, replacing the released revision)

A record is only deleted when its retention ends. Each write names the revision
that it replaces. A write whose reply was lost is resolved by replacing that
revision with another write: once that succeeds, the lost write can't apply.

The outcome of a claim, finished or unknown, is stored in the group that the
claim names. It completes a record in state claimed or unknown.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib

import msgspec

from azureramp import errors

PREFIX = "/azureramp/idempotency/records/"

GROUP_PREFIX = "/azureramp/idempotency/outcomes/"

MAX_GROUP_CLAIMS = 64
"""Maximum number of claims whose outcomes share a group; also bounds the size
of the group."""

DISPATCH_WINDOW_S = 10.0
"""How long after the start of its claim a holder may dispatch, in seconds."""

UNKNOWN_AFTER_S = 60.0
"""After how long another VM treats a claim's outcome as unknown, in seconds.

This counts from when that VM first read the claim, which is after the claim was
sent. It is much longer than `DISPATCH_WINDOW_S`, so that no caller is
advised to check the effects and send another request while the holder may still
dispatch.
"""

MAX_RESULT_BYTES = 4096
"""Maximum size of a result that is stored."""


class State(enum.Enum):
    """The state of a record's request."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    RELEASED = "released"


class Record(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One idempotency record.

    Attributes:
        state: The state of the request.
        nonce: Unique for the claim; whoever created it is the holder.
        request_hash: The hash of the request's content.
        request_id: The id of the request that claimed the record.
        vm: The VM that claimed the record.
        group: The group in which the claim's outcome will be stored.
        result: The backend server's result; empty unless finished.
        whole: False if the result was too large to be stored.
    """

    state: State
    nonce: str
    request_hash: int
    request_id: str
    vm: str
    group: str = ""
    result: bytes = b""
    whole: bool = True


class Outcome(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The outcome of a claim, as stored in its group.

    Attributes:
        state: `FINISHED` or `UNKNOWN`.
        result: As in `Record`.
        whole: As in `Record`.
    """

    state: State
    result: bytes = b""
    whole: bool = True


Outcomes = dict[str, Outcome]
"""The outcomes in one group, by the nonces of the claims."""


@dataclasses.dataclass(slots=True, frozen=True)
class Owned:
    """The record belongs to this claim."""


@dataclasses.dataclass(slots=True, frozen=True)
class Claimable:
    """The record may be claimed by replacing its current revision."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replay:
    """The request has run; its recorded outcome is the answer."""

    record: Record


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """The request must not run under this claim.

    Attributes:
        kind: `KEY_REUSED`, `IN_PROGRESS` or `OUTCOME_UNKNOWN`.
    """

    kind: errors.Kind


Verdict = Owned | Claimable | Replay | Refuse


def make_store_key(caller: str, key: str) -> str:
    """Returns the store key of a caller's idempotency key.

    Hashing bounds its length for any caller's key, and the separator prevents
    collisions between the keys of different callers.
    """
    digest = hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()
    return PREFIX + digest


def encode_record(record: Record) -> bytes:
    """Encodes a record for the store."""
    return msgspec.json.encode(record)


def decode_record(data: bytes) -> Record | None:
    """Decodes a record; returns None if it is invalid."""
    try:
        return msgspec.json.decode(data, type=Record)
    except msgspec.DecodeError:
        return None


def evaluate_claim(
    record: Record | None, nonce: str, request_hash: int, age_s: float
) -> Verdict:
    """Decides how a claim proceeds when a record exists.

    Args:
        record: The current record, completed; None if it can't be decoded.
        nonce: The claim's nonce; empty if it has none yet.
        request_hash: The hash of the claim's request.
        age_s: The time since this VM first read the current claim, in seconds.
    """
    if record is None:
        # Written by a newer version of the program. The request may have run,
        # so it must not run again.
        return Refuse(errors.Kind.OUTCOME_UNKNOWN)
    if record.state is State.RELEASED:
        return Claimable()
    if record.nonce == nonce and record.state is State.CLAIMED:
        return Owned()
    if record.request_hash != request_hash:
        return Refuse(errors.Kind.KEY_REUSED)
    match record.state:
        case State.FINISHED:
            return Replay(record)
        case State.CLAIMED if age_s < UNKNOWN_AFTER_S:
            return Refuse(errors.Kind.IN_PROGRESS)
        case _:
            return Refuse(errors.Kind.OUTCOME_UNKNOWN)


def with_state(record: Record, state: State) -> Record:
    """Returns a copy of the record in another state."""
    return msgspec.structs.replace(record, state=state)


def make_finished(result: bytes) -> Outcome:
    """Returns the outcome of a request that ran, without a too large result."""
    if len(result) > MAX_RESULT_BYTES:
        return Outcome(state=State.FINISHED, result=b"null", whole=False)
    return Outcome(state=State.FINISHED, result=result)


def may_release(record: Record | None, release: Record) -> bool:
    """Returns True if a holder may replace the current record by its release.

    Args:
        record: The current record; None if it can't be decoded.
        release: The released record that the holder wants to write.
    """
    if record is None or record.nonce != release.nonce:
        return False
    return record.state is State.CLAIMED


def with_outcome(record: Record, outcome: Outcome | None) -> Record:
    """Returns the record with its claim's outcome, if there is one."""
    if outcome is None or record.state not in (State.CLAIMED, State.UNKNOWN):
        return record
    return msgspec.structs.replace(
        record,
        state=outcome.state,
        result=outcome.result,
        whole=outcome.whole,
    )


def encode_group(outcomes: Outcomes) -> bytes:
    """Encodes a group's outcomes for the store."""
    return msgspec.json.encode(outcomes)


def decode_group(data: bytes) -> Outcomes | None:
    """Decodes a group's outcomes; returns None if they are invalid."""
    try:
        return msgspec.json.decode(data, type=Outcomes)
    except msgspec.DecodeError:
        return None
