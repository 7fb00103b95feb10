"""The state machine of the key-value service, independent of the transport.

It is used by the in-memory store and by the platform stand-in. For fault tests
it also retains earlier values, for reads at an earlier revision, and the
revisions of deleted keys, for watches.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Sequence

from azureramp.ports.store import api

MAX_HISTORY_ENTRIES = 32
"""Number of entries retained for each key, including deletions. Older ones
can't be read at an earlier revision."""

MIN_WAIT_S = 0.001
"""Minimum wait for a change, in seconds, so that virtual time advances."""


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease.

    Attributes:
        ttl_s: Its time to live, in seconds.
        expires_s: When it expires, in seconds on the clock of the caller.
        keys: The keys that are deleted when it expires.
    """

    ttl_s: float
    expires_s: float
    keys: set[str] = dataclasses.field(default_factory=set)


class State:
    """Keys, revisions, leases and waiting watches.

    Attributes:
        revision: The revision of the store: the number of writes so far.
    """

    __slots__ = (
        "_changed",
        "_lease_numbers",
        "_leases",
        "_past",
        "revision",
    )

    def __init__(self) -> None:
        """Makes an empty store."""
        self.revision = 0
        self._past: dict[str, list[api.Entry]] = {}
        self._leases: dict[str, Lease] = {}
        self._lease_numbers = itertools.count(1)
        self._changed: asyncio.Future[None] | None = None

    def read(self, key: str, at: int | None = None) -> api.Entry | None:
        """Reads a key, at an earlier revision if `at` is given."""
        entry = self._get_entry(key, at)
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
        """Returns the newest change of each key after a revision, in order."""
        changes = [
            entries[-1]
            for key, entries in self._past.items()
            if key.startswith(prefix) and entries[-1].revision > after
        ]
        changes.sort(key=lambda entry: entry.revision)
        return api.Listing(tuple(changes), self.revision)

    def list_events(self, prefix: str, after: int) -> api.Listing:
        """Returns every retained change after a revision, in order.

        Unlike `list_changes`, it returns each value that a key had.
        """
        events = [
            entry
            for key, entries in self._past.items()
            if key.startswith(prefix)
            for entry in entries
            if entry.revision > after
        ]
        events.sort(key=lambda entry: entry.revision)
        return api.Listing(tuple(events), self.revision)

    def write(
        self,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease: str = "",
    ) -> api.WriteOutcome | None:
        """Writes a key, or deletes it if the value is None.

        The write is a compare-and-swap on the revision of the key.

        Returns:
            The outcome; None if the lease does not exist.
        """
        current = self.read(key)
        if (
            current.revision if current else api.NO_REVISION
        ) != expected_revision:
            return api.Conflict(current)
        if value is None and current is None:
            return api.Conflict(None)
        if lease and lease not in self._leases:
            return None
        for other in self._leases.values():
            other.keys.discard(key)
        if lease:
            self._leases[lease].keys.add(key)
        return api.Written(self._append(key, value))

    def write_batch(
        self, changes: Sequence[api.Change]
    ) -> api.BatchOutcome | None:
        """Makes all changes, or none if any revision is not the expected one.

        Returns:
            The outcome; None if a lease does not exist.
        """
        current = {change.key: self.read(change.key) for change in changes}
        revisions = {
            key: entry.revision if entry else api.NO_REVISION
            for key, entry in current.items()
        }
        if any(
            revisions[each.key] != each.expected_revision for each in changes
        ):
            return api.BatchConflict(revisions)
        if any(
            each.lease and each.lease not in self._leases for each in changes
        ):
            return None
        before = self.revision
        for change in changes:
            if change.value is not None or current[change.key] is not None:
                # All keys of a batch get the same revision.
                self.revision = before
                self.write(
                    change.key,
                    change.value,
                    change.expected_revision,
                    change.lease,
                )
        return api.Written(self.revision)

    def grant_lease(self, ttl_s: float, now_s: float) -> str:
        """Creates a lease and returns its id."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = Lease(ttl_s, now_s + ttl_s)
        return lease

    def renew_lease(self, lease: str, now_s: float) -> bool:
        """Renews a lease; returns False if it does not exist."""
        record = self._leases.get(lease)
        if record is None:
            return False
        record.expires_s = now_s + record.ttl_s
        return True

    def expire_leases(self, now_s: float) -> None:
        """Removes the expired leases and deletes their keys."""
        for lease, record in list(self._leases.items()):
            if record.expires_s <= now_s:
                del self._leases[lease]
                for key in sorted(record.keys):
                    self._append(key, None)

    def get_next_lease_expiry_s(self) -> float | None:
        """Returns when the next lease expires; None if there is no lease."""
        times = [record.expires_s for record in self._leases.values()]
        return min(times, default=None)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits until any key changes or the timeout expires."""
        if self._changed is None or self._changed.done():
            self._changed = asyncio.get_running_loop().create_future()
        wait_s = max(timeout_s, MIN_WAIT_S)
        await asyncio.wait({self._changed}, timeout=wait_s)

    def _get_entry(self, key: str, at: int | None) -> api.Entry | None:
        """Returns the entry of a key at a revision; None if there was none."""
        for entry in reversed(self._past.get(key, [])):
            if at is None or entry.revision <= at:
                return entry
        return None

    def _append(self, key: str, value: bytes | None) -> int:
        """Records a change and wakes the waiting watches."""
        self.revision += 1
        history = self._past.setdefault(key, [])
        history.append(api.Entry(key, value, self.revision))
        del history[:-MAX_HISTORY_ENTRIES]
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)
        return self.revision
