"""The typed events of a timeline, a closed set; see `timelines`."""

from __future__ import annotations

import msgspec


class Event(msgspec.Struct, frozen=True, kw_only=True, tag_field="event"):
    """Base class of all events, which are tagged by type."""


class RequestAdmitted(Event, frozen=True, kw_only=True, tag="request.admitted"):
    """A coordinator admitted a request and pinned its snapshot."""

    request_id: str
    caller: str
    service: str
    index: str
    version: int
    priority: int
    fingerprint: int
    idempotency_key: str = ""


class RequestAnswered(Event, frozen=True, kw_only=True, tag="request.answered"):
    """A coordinator answered a request.

    Attributes:
        code: `ok`, or the code of the error kind.
        ran: `ran`, `not_run` or `unknown`.
        version: The index version of the answer; 0 for none.
        coverage: The coverage stated in the answer.
        missing: The missing ranges stated in the answer, as (low, high).
        items: Number of items in the answer.
    """

    request_id: str
    code: str
    ran: str
    version: int = 0
    coverage: float = 0.0
    missing: tuple[tuple[int, int], ...] = ()
    items: int = 0
    took_ms: float = 0.0
    idempotency_key: str = ""


class PartDispatched(Event, frozen=True, kw_only=True, tag="part.dispatched"):
    """An owner is about to write a sub-request to a searcher.

    Attributes:
        in_use: Number of requests running on the searcher, including this
            one.
        limit: Current maximum of requests running on the searcher.
        cold: True if the owner treats the searcher as cold.
        lease_ms: Remaining time of the heartbeat lease, in milliseconds.
    """

    request_id: str
    part: int
    searcher: str
    server: str
    zone: str
    version: int
    low: int
    high: int
    in_use: int
    limit: int
    cold: bool
    lease_ms: float
    repeatable: bool = True
    fingerprint: int = 0


class PartEnded(Event, frozen=True, kw_only=True, tag="part.ended"):
    """A coordinator accepted or refused the result of a sub-request.

    Attributes:
        code: `ok`, or the code of the error kind.
        merged: True if the result was merged into the answer.
    """

    request_id: str
    part: int
    searcher: str
    version: int
    low: int
    high: int
    code: str
    merged: bool


class PartChosen(Event, frozen=True, kw_only=True, tag="part.chosen"):
    """A coordinator chose a searcher for a shard.

    Attributes:
        reason: `first`, `hedge` or `retry`.
    """

    request_id: str
    part: int
    shard: str
    searcher: str
    owner: str
    reason: str


class IdempotencyChanged(
    Event, frozen=True, kw_only=True, tag="idempotency.changed"
):
    """An idempotency record changed, as seen by this VM.

    Attributes:
        state: `claimed`, `finished`, `unknown`, `released` or `replayed`.
    """

    key: str
    request_id: str
    state: str


class ConfigurationApplied(
    Event, frozen=True, kw_only=True, tag="configuration.applied"
):
    """A configuration revision came into force on this VM.

    Attributes:
        source: `store`, `peers`, or the name of the VM that sent it.
        changed: The changed resources as `kind/name`, at most 32 of them.
        zones_out: The availability zones that are out of service.
        leaving: The backend servers that are leaving.
    """

    revision: int
    source: str
    changed: tuple[str, ...]
    zones_out: tuple[str, ...]
    leaving: tuple[str, ...] = ()


class ConfigurationAccepted(
    Event, frozen=True, kw_only=True, tag="configuration.accepted"
):
    """An operator's stored change was accepted by a majority of the VMs."""

    resource_kind: str
    name: str
    revision: int


class ServingChanged(Event, frozen=True, kw_only=True, tag="serving.changed"):
    """This VM started or stopped accepting new work.

    Attributes:
        state: A value of `blackboard.Serving`.
        revision: The configuration revision in force.
    """

    state: str
    revision: int


class MemberChanged(Event, frozen=True, kw_only=True, tag="membership.member"):
    """This VM's view of another VM changed."""

    vm: str
    incarnation: int
    state: str


class OwnerChanged(Event, frozen=True, kw_only=True, tag="membership.owner"):
    """This VM became the owner of a searcher, or is no longer its owner.

    Attributes:
        owned: True if this VM is the owner now.
        reason: `handoff`, `lease_end`, `first` or `released`.
    """

    searcher: str
    owned: bool
    reason: str


class SearcherChanged(Event, frozen=True, kw_only=True, tag="searcher.changed"):
    """An owner's view of a searcher changed.

    Attributes:
        state: `cold`, `warm`, `lost` or `crashed`.
        reason: The reason, as a single word.
    """

    searcher: str
    incarnation: int
    state: str
    reason: str
    limit: int


class FingerprintBlamed(Event, frozen=True, kw_only=True, tag="poison.blamed"):
    """A crash of a backend server was attributed to a request."""

    server: str
    crash_id: str
    fingerprint: int
    crashes: int
    quarantined: bool


class StopChanged(Event, frozen=True, kw_only=True, tag="stop.changed"):
    """This VM's shutdown entered its next step.

    Attributes:
        step: `unadvertised`, `handing_off`, `draining`, `stopped` or `cut`.
        running: Number of requests that are still running; for `cut`, the
            number of aborted requests.
    """

    step: str
    running: int


class ProcessStarted(Event, frozen=True, kw_only=True, tag="process.started"):
    """This process started."""

    incarnation: int
    zone: str


AnyEvent = (
    RequestAdmitted
    | RequestAnswered
    | PartDispatched
    | PartEnded
    | PartChosen
    | IdempotencyChanged
    | ConfigurationApplied
    | ConfigurationAccepted
    | ServingChanged
    | MemberChanged
    | OwnerChanged
    | SearcherChanged
    | FingerprintBlamed
    | StopChanged
    | ProcessStarted
)
