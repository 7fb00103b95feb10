"""Which VM hears of the store's changes from which.

A watch by every VM costs a call for each change and VM, and the store's rates
grow more slowly than the tier. One VM of each availability zone watches and
tells the others of its zone.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable

from azureramp import catalog
from azureramp.ports.store import api as store_api

MOST_REMOVALS = 2048
"""Most deleted keys that are remembered; older changes are then told by
telling everything anew."""


def choose_relay(
    vm: str,
    zone: str,
    members: Iterable[catalog.Member],
    avoided: Collection[str],
) -> catalog.Member | None:
    """Chooses whom a VM asks.

    Args:
        vm: The VM.
        zone: Its availability zone.
        members: The VMs that are known.
        avoided: The names of those that didn't answer just now.

    Returns:
        The VM to ask; None if this one should watch the store itself. All VMs
        of a zone choose the same one while they know the same members.
    """
    candidates = [
        member
        for member in members
        if member.zone == zone
        and member.peer_address
        and not member.leaving
        and member.vm not in avoided
    ]
    first = min(candidates, key=lambda member: member.vm, default=None)
    if first is None or first.vm >= vm:
        return None
    return first


class Copy:
    """The newest entry of each key, to tell others of.

    Attributes:
        revision: The store's revision that it has followed to.
        floor: Changes up to this revision may be forgotten.
    """

    __slots__ = ("_entries", "_removed", "floor", "revision")

    def __init__(self) -> None:
        """Makes an empty copy."""
        self._entries: dict[str, store_api.Entry] = {}
        self._removed: collections.OrderedDict[str, store_api.Entry] = (
            collections.OrderedDict()
        )
        self.revision = 0
        self.floor = 0

    def put(self, entry: store_api.Entry) -> bool:
        """Takes an entry; False if a newer one of its key is known."""
        known = self._entries.get(entry.key) or self._removed.get(entry.key)
        if known is not None and entry.revision < known.revision:
            return False
        if entry.value is not None:
            self._removed.pop(entry.key, None)
            self._entries[entry.key] = entry
            return True
        self._entries.pop(entry.key, None)
        self._removed.pop(entry.key, None)
        self._removed[entry.key] = entry
        if len(self._removed) > MOST_REMOVALS:
            _, oldest = self._removed.popitem(last=False)
            self.floor = max(self.floor, oldest.revision)
        return True

    def list_keys(self) -> list[str]:
        """Returns the keys that exist."""
        return list(self._entries)

    def list_changes(self, after: int) -> tuple[store_api.Entry, ...] | None:
        """Returns the changes after a revision, by revision.

        Returns:
            The changes; for revision 0 everything that exists; None if some
            may be forgotten.
        """
        if after == 0:
            changes = list(self._entries.values())
        elif after < self.floor:
            return None
        else:
            both = (*self._entries.values(), *self._removed.values())
            changes = [entry for entry in both if entry.revision > after]
        changes.sort(key=lambda entry: entry.revision)
        return tuple(changes)
