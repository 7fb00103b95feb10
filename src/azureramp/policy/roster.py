"""The roster entries that a VM writes to the store for other VMs.

If every VM wrote its own entry under its own lease, the number of store calls,
constant renewals included, would grow with the number of VMs. The relay of an
availability zone receives requests from all its VMs anyway, so it writes their
entries under its own lease, several in one call.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from azureramp import catalog

FOLLOWER_TIMEOUT_S = 2.6
"""How long a VM that sends no request is still treated as running, in seconds:
two of its requests may be lost."""

DISCONNECT_TIMEOUT_S = 0.7
"""The same after the connection of its request was closed, in seconds: this is
how a killed process is detected, and a running one soon sends another
request."""


@dataclasses.dataclass(slots=True)
class Follower:
    """A VM that requests changes from this one.

    Attributes:
        member: The member entry to write for it.
        alive_until_s: When it is no longer treated as running, in seconds.
        written_revision: The revision of this VM's latest write of the entry;
            None if it has not written it.
        attempt_revision: The store's revision before a write whose answer was
            lost; None if there is none.
    """

    member: catalog.Member
    alive_until_s: float
    written_revision: int | None = None
    attempt_revision: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class StoredEntry:
    """A VM's entry in this VM's copy of the store.

    Attributes:
        member: The entry's content.
        revision: The entry's revision.
    """

    member: catalog.Member
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class EntryUpdate:
    """An entry to write or delete.

    Attributes:
        vm: The VM that the entry describes.
        member: The content to write; None to delete the entry.
        expected_revision: The entry's current revision; 0 if there is none.
    """

    vm: str
    member: catalog.Member | None
    expected_revision: int


def drop_inactive_followers(
    followers: dict[str, Follower],
    present: Mapping[str, StoredEntry],
    revision: int,
    now_s: float,
) -> None:
    """Drops the followers that have stopped or are announced by other VMs.

    If another VM changed or deleted an entry after this VM wrote it, then the
    follower has left or another VM announces it now. An entry with a higher
    announcement number shows that the follower has since asked another VM, or
    announces itself: a relay asked earlier would replace that entry and delete
    it once its own requests time out. A follower that is dropped but still
    sends requests to this VM is added again by the next one.

    Args:
        followers: The followers by name; lost ones are removed.
        present: The entries in the store by VM.
        revision: The store's revision that `present` reflects.
        now_s: The current time, in seconds.
    """
    for vm, follower in list(followers.items()):
        _confirm_write(follower, present.get(vm))
        written = follower.written_revision
        current = present.get(vm)
        lost = (
            current is not None
            and current.member.announcement > follower.member.announcement
        )
        if written is not None and written <= revision:
            lost = lost or current is None or current.revision > written
        if lost or follower.alive_until_s <= now_s:
            del followers[vm]


def plan_updates(
    keeper: str,
    followers: Mapping[str, Follower],
    present: Mapping[str, StoredEntry],
    revision: int,
) -> list[EntryUpdate]:
    """Plans the writes that bring the store in line with the followers.

    An entry whose keeper is this VM is deleted if its VM no longer sends
    requests, even if the answer to the write that created it was lost.

    Args:
        keeper: This VM's name.
        followers: The followers by name, without those that are lost.
        present: The entries in the store by VM.
        revision: The store's revision that `present` reflects.
    """
    updates: list[EntryUpdate] = []
    for vm, follower in followers.items():
        if (
            follower.written_revision is not None
            and follower.written_revision > revision
        ):
            # The copy doesn't contain this VM's last write yet.
            continue
        current = present.get(vm)
        if (
            follower.written_revision is None
            or current is None
            or current.member != follower.member
        ):
            expected = 0 if current is None else current.revision
            updates.append(EntryUpdate(vm, follower.member, expected))
    updates += [
        EntryUpdate(vm, None, current.revision)
        for vm, current in present.items()
        if current.member.keeper == keeper and vm not in followers
    ]
    return updates


def _confirm_write(follower: Follower, current: StoredEntry | None) -> None:
    """Treats a write whose answer was lost as done if the copy contains it."""
    if follower.attempt_revision is None or current is None:
        return
    if (
        current.revision > follower.attempt_revision
        and current.member == follower.member
    ):
        follower.written_revision = current.revision
        follower.attempt_revision = None
