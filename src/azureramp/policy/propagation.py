"""One VM's copy of the configuration, and what may be added to it.

Two rules keep it from ever reverting. The revision of a copy means that it
holds every change up to that revision; so a change that is not newer than
the revision is known already, whoever tells it and however late. And a
change is applied only if it is newer than what the copy has of that key.

A single change may be ahead of the revision: it is in force at once, while
the revision waits until what lies between is known too.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from azureramp import resources

Key = tuple[str, str]
"""A resource's kind and name."""

MAX_TOMBSTONES = 10_000
"""Most deleted entries to keep, so that a long life can't fill the memory."""


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """What one copy tells another.

    Attributes:
        after: The entries are all the changes after this revision; 0 if they
            are the whole configuration.
        revision: The revision that they lead to.
        entries: The entries, ascending by revision.
    """

    after: int
    revision: int
    entries: tuple[resources.Versioned, ...]


class Copy:
    """One VM's copy of the configuration.

    Attributes:
        configuration: The copy.
        floor: The copy knows of every deletion after this revision, so it
            can tell the changes since then; of earlier ones only the whole.
    """

    __slots__ = ("configuration", "floor")

    def __init__(self) -> None:
        """Makes an empty copy, at revision 0."""
        self.configuration = resources.Configuration()
        self.floor = 0

    def take_whole(
        self,
        entries: Iterable[resources.Versioned],
        present: Collection[Key],
        revision: int,
    ) -> list[resources.Versioned]:
        """Takes the whole configuration as it was at a revision.

        A whole holds no deleted keys: a deletion shows only by the absence
        of a key that we have. A whole from the past lacks what came after
        it, and is dropped whole.

        Args:
            entries: The entries.
            present: The keys that are there, those that can't be decoded
                included.
            revision: The revision that it reflects.

        Returns:
            The entries that came into force.
        """
        if revision <= self.configuration.revision:
            return []
        missing = [
            resources.Versioned(None, entry.kind, entry.name, revision)
            for key, entry in self.configuration.entries.items()
            if key not in present
            and entry.resource is not None
            and entry.revision <= revision
        ]
        changed = self.apply_newer([*entries, *missing])
        self.configuration.revision = revision
        self.floor = revision
        return changed

    def take_changes(
        self, entries: Iterable[resources.Versioned], after: int, revision: int
    ) -> list[resources.Versioned]:
        """Takes all the changes between two revisions.

        If the copy does not reach up to `after`, the changes come into force
        ahead of the revision, which stays.

        Args:
            entries: All the changes after `after`, up to `revision`; later
                ones may be among them.
            after: Where they begin.
            revision: Where they end.

        Returns:
            The entries that came into force.
        """
        changed = self.apply_newer(entries)
        if after <= self.configuration.revision:
            self.configuration.revision = max(
                self.configuration.revision, revision
            )
        self._drop_tombstones()
        return changed

    def apply_newer(
        self, entries: Iterable[resources.Versioned]
    ) -> list[resources.Versioned]:
        """Applies what is newer than the revision and the key's entry.

        Guards against sources that answer from the past and messages that
        come late or twice: nothing older ever replaces anything.

        Returns:
            The entries that came into force, ascending by revision.
        """
        known = self.configuration.entries
        newest: dict[Key, resources.Versioned] = {}
        for entry in entries:
            key = (entry.kind, entry.name)
            other = newest.get(key) or known.get(key)
            if entry.revision <= self.configuration.revision:
                continue
            if other is None or entry.revision > other.revision:
                newest[key] = entry
        known.update(newest)
        return sorted(newest.values(), key=lambda entry: entry.revision)

    def select_since(self, after: int) -> Part:
        """Selects what another copy lacks that is at a revision.

        Args:
            after: The other copy's revision.

        Returns:
            The changes since, or the whole if not every deletion since is
            known here any more.
        """
        whole = after < self.floor
        entries = [
            entry
            for entry in self.configuration.entries.values()
            if (entry.resource is not None if whole else entry.revision > after)
        ]
        entries.sort(key=lambda entry: entry.revision)
        return Part(
            0 if whole else after, self.configuration.revision, tuple(entries)
        )

    def take_part(self, part: Part) -> list[resources.Versioned]:
        """Takes what another copy told; see `select_since`.

        Returns:
            The entries that came into force.
        """
        if part.after == 0:
            present = {(entry.kind, entry.name) for entry in part.entries}
            return self.take_whole(part.entries, present, part.revision)
        return self.take_changes(part.entries, part.after, part.revision)

    def _drop_tombstones(self) -> None:
        """Drops the oldest deleted entries past the limit.

        The rule that nothing up to the revision is applied still keeps them
        deleted. The floor rises, so that a copy that lacks the deletion gets
        the whole.
        """
        deleted = [
            entry
            for entry in self.configuration.entries.values()
            if entry.resource is None
        ]
        if len(deleted) <= MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda entry: entry.revision)
        for entry in deleted[: len(deleted) - MAX_TOMBSTONES // 2]:
            if entry.revision <= self.configuration.revision:
                del self.configuration.entries[(entry.kind, entry.name)]
                self.floor = max(self.floor, entry.revision)
