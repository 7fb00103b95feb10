"""The answers of the operators' interface, for it and for the tool."""

from __future__ import annotations

import enum

import msgspec

from azureramp import resources, responses, timelines


class ChangeState(enum.Enum):
    """How far a change, and with it a revision, has come.

    A change only ever goes from one state to the next. `UNKNOWN` is what a
    VM says of a revision that it does not have.
    """

    UNKNOWN = "unknown"
    STORED = "stored"
    ACCEPTED = "accepted"
    IN_FORCE = "in_force"


class ListAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of one kind, or the changes since a revision.

    Attributes:
        revision: The configuration revision that the answer reflects; a
            watch goes on after it.
        whole: True if the entries are everything there is, since not all
            changes after the given revision are known any more: what is not
            among them was deleted.
        entries: The resources; deleted ones only among changes.
    """

    revision: int
    whole: bool = False
    entries: tuple[resources.Versioned, ...]


class ChangeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a change.

    Attributes:
        state: `stored`.
        entry: The resource as it is now.
    """

    state: ChangeState
    entry: resources.Versioned


class Checked(msgspec.Struct, frozen=True, kw_only=True):
    """A resource to be checked.

    Attributes:
        resource: The resource.
        expected: The revision that it must have now; None for any.
    """

    resource: resources.AnyResource
    expected: int | None = None


class CheckRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Resources to be checked together; each may refer to earlier ones.

    Attributes:
        resources: The resources, in the order of writing.
    """

    resources: tuple[Checked, ...]


class CheckResult(msgspec.Struct, frozen=True, kw_only=True):
    """What would become of one resource.

    Attributes:
        entry: The resource as it would be, at revision 0.
        before: As it is; None if there is none.
        error: Why it would be refused; None if it would not.
    """

    entry: resources.Versioned
    before: resources.Versioned | None = None
    error: responses.ErrorAnswer | None = None


class CheckAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a dry run.

    Attributes:
        revision: The configuration revision that it was checked against.
        results: One for each resource.
    """

    revision: int
    results: tuple[CheckResult, ...]


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A VM as another one sees it.

    Attributes:
        vm: Its name.
        zone: Its availability zone.
        address: `IP:port` of its HTTP interface.
        state: What the answering VM thinks of it.
        ready: True if it serves callers.
        revision: Its configuration revision, as it last acknowledged.
        heard_age_ms: How long ago it was heard; None if never.
    """

    vm: str
    zone: str
    address: str
    state: str
    ready: bool
    revision: int
    heard_age_ms: float | None


class StatusAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The state of a VM, and of the others as it sees them.

    Attributes:
        vm: The answering VM.
        zone: Its availability zone.
        serving: Whether it takes new work, a value of `blackboard.Serving`.
        incarnation: Its process's start number.
        revision: Its configuration revision.
        confirmed_age_ms: How long ago the platform confirmed that, at most;
            None if never.
        accepted_revision: Changes up to here are held by a majority.
        running: Requests that run on it now.
        asked_revision: The revision asked for, else `revision`.
        state: How far the asked revision has come.
        in_force: How many VMs have that revision or a newer one in force.
        listed: How many VMs there are.
        without: The VMs that are not known to have it. Once its state is
            `in_force`, these take no new work until they have it.
        members: The VMs, by name.
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
        dropped: Records that it has dropped for want of room.
        more: True if there are later records still.
        records: The records, ascending by clock.
    """

    vm: str
    dropped: int
    more: bool
    records: tuple[timelines.Record, ...]
