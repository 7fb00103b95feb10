"""Requests and answers of the operators' interface.

Used by the server and by the command-line tool.
"""

from __future__ import annotations

import enum

import msgspec

from azureramp import resources, responses, timelines


class ChangeState(enum.Enum):
    """The progress of a change, or of a revision.

    A change only moves forward through the states. A VM reports `UNKNOWN` for
    a revision that it does not have.
    """

    UNKNOWN = "unknown"
    STORED = "stored"
    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one kind, or the changes since a revision.

    Attributes:
        revision: The configuration revision that the answer reflects; a
            watch continues after it.
        whole: True if the entries are the full configuration, because some
            changes after the given revision are no longer known: resources
            that are not among them have been deleted.
        entries: The resources; deleted ones are included only in changes.
    """

    revision: int
    whole: bool = False
    entries: tuple[resources.Versioned, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a change.

    Attributes:
        state: The change's progress; always `stored`.
        entry: The resource in its new state.
    """

    state: ChangeState
    entry: resources.Versioned


class CheckItem(msgspec.Struct, frozen=True, kw_only=True):
    """A resource to check.

    Attributes:
        resource: The resource.
        expected: The revision that it must currently have; None for any.
    """

    resource: resources.AnyResource
    expected: int | None = None


class CheckRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Resources to check together; each may refer to earlier ones.

    Attributes:
        resources: The resources, in the order in which they would be written.
    """

    resources: tuple[CheckItem, ...]


class CheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of checking one resource.

    Attributes:
        entry: The resource as it would be stored, with revision 0.
        before: The current entry; None if there is none.
        error: Why the change would be refused; None if it would not.
    """

    entry: resources.Versioned
    before: resources.Versioned | None = None
    error: responses.ErrorAnswer | None = None


class CheckAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a dry run.

    Attributes:
        revision: The configuration revision that was used for the check.
        results: The result for each resource, in the order of the request.
    """

    revision: int
    results: tuple[CheckResult, ...]


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a VM as seen by another VM.

    Attributes:
        vm: The VM's name.
        zone: Its availability zone.
        address: `IP:port` of its HTTP interface.
        state: Its state as seen by the answering VM, a value of
            `blackboard.MemberState`.
        ready: True if it serves callers.
        revision: Its configuration revision, from its last acknowledgement.
        heard_age_ms: Time since its last message was received, in
            milliseconds; None if there was none.
    """

    vm: str
    zone: str
    address: str
    state: str
    ready: bool
    revision: int
    heard_age_ms: float | None


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a VM, and of the other VMs as seen by it.

    Attributes:
        vm: The answering VM.
        zone: Its availability zone.
        serving: Whether it accepts new work, a value of `blackboard.Serving`.
        incarnation: The start number of its process.
        revision: Its configuration revision.
        confirmed_age_ms: Maximum age of the platform's confirmation that this
            revision is current, in milliseconds; None if there is none.
        accepted_revision: The highest revision that a majority of VMs has.
        running: Number of requests that are running on it.
        asked_revision: The requested revision; `revision` if none was.
        state: The progress of the requested revision.
        in_force: Number of VMs that have that revision or a newer one in
            force.
        listed: Number of VMs.
        without: The VMs that are not known to have that revision. Once its
            state is `in_force`, these accept no new work until they have it.
        members: The VMs, sorted by name.
    """

    vm: str
    zone: str
    serving: str
    incarnation: int
    revision: int
    confirmed_age_ms: float | None
    accepted_revision: int
    running: int
    asked_revision: int
    state: ChangeState
    in_force: int
    listed: int
    without: tuple[str, ...]
    members: tuple[MemberStatus, ...]


class TimelineAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A part of a VM's timeline.

    Attributes:
        vm: The VM.
        dropped: Number of records that it has dropped because of the size
            limit.
        more: True if there are later records.
        records: The records, in ascending order of the clock.
    """

    vm: str
    dropped: int
    more: bool
    records: tuple[timelines.Record, ...]
