"""Choice of the relay from which a VM receives the store's changes.

If every VM watched the store, each change would cost one call per VM, but the
store's rate limits grow more slowly than the number of VMs. Therefore one VM of
each availability zone watches the store, forwards changes to the other VMs of
its zone and announces them in the store.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Sequence

from azureramp import catalog
from azureramp.ports.store import api as store_api

MAX_DELETIONS = 2048
"""Maximum number of deleted keys kept. A VM that lacks older deletions receives
all entries anew."""


def choose_relay(
    vm: str,
    zone: str,
    members: Collection[catalog.Member],
    seeds: Sequence[str],
    avoided: Collection[str],
) -> str | None:
    """Chooses the VM from which a VM requests changes.

    It is the zone's VM with the most CPU cores, which usually has the link with
    the highest bandwidth. Among equal ones, a VM that already announces others
    is preferred.

    Args:
        vm: The name of the VM that needs a relay.
        zone: Its availability zone.
        members: The known VMs.
        seeds: The addresses of some VMs of any zone, best first, used while no
            VM of the zone is known; empty if this VM is one of them.
        avoided: The addresses of VMs that recently failed to answer.

    Returns:
        The relay's address; None if this VM should watch the store itself. VMs
        of one zone that know the same members choose the same relay.
    """
    near = [member for member in members if member.zone == zone]
    keepers = {member.keeper for member in near}
    candidates = [
        member
        for member in near
        if member.peer_address
        and not member.leaving
        and member.peer_address not in avoided
    ]
    if candidates:
        first = min(
            candidates,
            key=lambda each: (-each.cores, each.vm not in keepers, each.vm),
        )
        return None if first.vm == vm else first.peer_address
    if near:
        return None
    return next((seed for seed in seeds if seed not in avoided), None)


def take_first_changes(
    changes: Sequence[store_api.Entry], max_bytes: int
) -> tuple[store_api.Entry, ...]:
    """Returns the first changes, up to a size and the end of a revision.

    Args:
        changes: The changes, ordered by revision.
        max_bytes: Size of the values above which no further revision begins,
            in bytes.
    """
    size_bytes = 0
    for index, entry in enumerate(changes):
        size_bytes += len(entry.value or b"")
        begins = index > 0 and entry.revision > changes[index - 1].revision
        if size_bytes > max_bytes and begins:
            return tuple(changes[:index])
    return tuple(changes)


class StoreCopy:
    """The newest entry of each key, kept for forwarding to other VMs.

    Attributes:
        revision: The store's revision up to which the copy is complete.
        compacted_revision: Deletions up to this revision may be unknown.
        size_bytes: Total size of the values, in bytes.
    """

    __slots__ = (
        "_deletions",
        "_entries",
        "compacted_revision",
        "revision",
        "size_bytes",
    )

    def __init__(self) -> None:
        """Creates an empty copy."""
        self._entries: dict[str, store_api.Entry] = {}
        self._deletions: collections.OrderedDict[str, store_api.Entry] = (
            collections.OrderedDict()
        )
        self.revision = 0
        self.compacted_revision = 0
        self.size_bytes = 0

    def apply(self, entry: store_api.Entry) -> bool:
        """Stores an entry; returns False if its key has a newer one."""
        current = self._entries.get(entry.key) or self._deletions.get(entry.key)
        if current is not None and entry.revision < current.revision:
            return False
        if current is not None:
            self.size_bytes -= len(current.value or b"")
        self.size_bytes += len(entry.value or b"")
        if entry.value is not None:
            self._deletions.pop(entry.key, None)
            self._entries[entry.key] = entry
            return True
        self._entries.pop(entry.key, None)
        self._deletions.pop(entry.key, None)
        self._deletions[entry.key] = entry
        if len(self._deletions) > MAX_DELETIONS:
            _, oldest = self._deletions.popitem(last=False)
            self.compacted_revision = max(
                self.compacted_revision, oldest.revision
            )
        return True

    def begin_history(self, revision: int) -> None:
        """Records that the entries that existed at a revision were read.

        A copy of entries doesn't contain the deletions before it, so it can't
        give the changes since an earlier revision.

        Args:
            revision: The revision of the copied entries.
        """
        self.compacted_revision = max(self.compacted_revision, revision)

    def get_revision(self, key: str) -> int:
        """Returns the revision of a key's entry; `NO_REVISION` if none."""
        entry = self._entries.get(key)
        return store_api.NO_REVISION if entry is None else entry.revision

    def list_keys(self) -> list[str]:
        """Returns the existing keys."""
        return list(self._entries)

    def list_changes(
        self, after: int, is_initial: bool = False
    ) -> tuple[store_api.Entry, ...] | None:
        """Returns the changes after a revision, in order of revision.

        Args:
            after: The revision.
            is_initial: True if the changes are for a copy that is only made:
                it needs no deletions from before.

        Returns:
            The changes; all existing entries for revision 0; None if some of
            the deletions may be unknown.
        """
        if after == 0:
            changes = list(self._entries.values())
        elif after < self.compacted_revision and not is_initial:
            return None
        else:
            both = (*self._entries.values(), *self._deletions.values())
            changes = [entry for entry in both if entry.revision > after]
        changes.sort(key=lambda entry: entry.revision)
        return tuple(changes)
