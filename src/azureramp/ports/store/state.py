"""The key-value service's state machine, without any transport.

The in-memory store and the platform stand-in both serve it. It keeps what a
test of faults needs: earlier values, for reads from the past, and the
revisions of deleted keys, for watches.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Sequence

from azureramp.ports.store import api

PAST_ENTRIES = 32
"""How many earlier entries of a key can be read from the past."""

LEAST_WAIT_S = 0.001
"""Shortest wait for a change, in seconds, so that time surely goes on."""


@dataclasses.dataclass(slots=True)
class Lease:
    """One lease.

    Attributes:
        ttl_s: Its length, in seconds.
        until_s: When it lapses, on the clock that the caller passes in.
        keys: The keys that its end deletes.
    """

    ttl_s: float
    until_s: float
    keys: set[str] = dataclasses.field(default_factory=set)


class State:
    """Keys, revisions, leases and waiting watches.

    Attributes:
        revision: The store's revision: how many writes there were.
    """

    __slots__ = ("_changed", "_leases", "_numbers", "_past", "revision")

    def __init__(self) -> None:
        """Makes an empty store."""
        self.revision = 0
        self._past: dict[str, list[api.Entry]] = {}
        self._leases: dict[str, Lease] = {}
        self._numbers = itertools.count(1)
        self._changed: asyncio.Future[None] | None = None

    def read(self, key: str, at: int | None = None) -> api.Entry | None:
        """Reads a key, as of an earlier revision if `at` is given."""
        entry = self._find(key, at)
        return None if entry is None or entry.value is None else entry

    def list(self, prefix: str, at: int | None = None) -> api.Listing:
        """Reads the keys that start with a prefix, ascending."""
        found = (
            self.read(key, at)
            for key in sorted(self._past)
            if key.startswith(prefix)
        )
        entries = tuple(entry for entry in found if entry is not None)
        return api.Listing(entries, self.revision if at is None else at)

    def list_changes(self, prefix: str, after: int) -> api.Listing:
        """Reads each key's newest change after a revision, in that order."""
        changes = [
            entries[-1]
            for key, entries in self._past.items()
            if key.startswith(prefix) and entries[-1].revision > after
        ]
        changes.sort(key=lambda entry: entry.revision)
        return api.Listing(tuple(changes), self.revision)

    def write(
        self, key: str, value: bytes | None, expected: int, lease: str = ""
    ) -> api.Write | None:
        """Writes or, with the value None, deletes by compare-and-swap.

        Returns:
            The outcome; None if the lease does not exist.
        """
        present = self.read(key)
        if (present.revision if present else api.CREATE) != expected:
            return api.Conflicted(present)
        if value is None and present is None:
            return api.Conflicted(None)
        if lease and lease not in self._leases:
            return None
        for other in self._leases.values():
            other.keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        return api.Written(self._append(key, value))

    def write_all(self, changes: Sequence[api.Change]) -> api.BatchWrite | None:
        """Makes all changes, or none if a revision isn't the expected one.

        Returns:
            The outcome; None if a lease does not exist.
        """
        present = {change.key: self.read(change.key) for change in changes}
        revisions = {
            key: entry.revision if entry else api.CREATE
            for key, entry in present.items()
        }
        if any(revisions[each.key] != each.expected for each in changes):
            return api.BatchConflicted(revisions)
        if any(
            each.lease and each.lease not in self._leases for each in changes
        ):
            return None
        before = self.revision
        for change in changes:
            if change.value is not None or present[change.key] is not None:
                # All keys of a batch have the same revision.
                self.revision = before
                self.write(
                    change.key, change.value, change.expected, change.lease
                )
        return api.Written(self.revision)

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Makes a lease and returns its id."""
        lease = f"lease-{next(self._numbers)}"
        self._leases[lease] = Lease(ttl_s, now_s + ttl_s)
        return lease

    def keep_lease(self, lease: str, now_s: float) -> bool:
        """Prolongs a lease; False if there is none."""
        kept = self._leases.get(lease)
        if kept is None:
            return False
        kept.until_s = now_s + kept.ttl_s
        return True

    def expire_leases(self, now_s: float) -> None:
        """Ends the leases whose time is over, and deletes their keys."""
        for lease, kept in list(self._leases.items()):
            if kept.until_s <= now_s:
                del self._leases[lease]
                for key in sorted(kept.keys):
                    self._append(key, None)

    def get_next_expiry_s(self) -> float | None:
        """Returns when the next lease lapses; None if there is none."""
        times = [kept.until_s for kept in self._leases.values()]
        return min(times, default=None)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until any key changes, or for the timeout."""
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        wait_s = max(timeout_s, LEAST_WAIT_S)
        await asyncio.wait({self._changed}, timeout=wait_s)

    def _find(self, key: str, at: int | None) -> api.Entry | None:
        """Finds a key's entry at a revision; None if it had none yet."""
        for entry in reversed(self._past.get(key, [])):
            if at is None or entry.revision <= at:
                return entry
        return None

    def _append(self, key: str, value: bytes | None) -> int:
        """Makes a change and wakes the watches."""
        self.revision += 1
        past = self._past.setdefault(key, [])
        past.append(api.Entry(key, value, self.revision))
        del past[:-PAST_ENTRIES]
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)
        return self.revision
