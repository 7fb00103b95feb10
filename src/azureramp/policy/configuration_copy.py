"""One VM's copy of the configuration and the rules for updating it.

Two rules prevent the copy from ever reverting. A copy at a revision contains
every change up to it, so a change that is not newer than the revision is
ignored, whatever its source and however late it arrives. And a change is
applied only if it is newer than the copy's entry for its key.

A single change may be ahead of the copy's revision: it is in force immediately,
while the revision advances only once the changes in between have arrived.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable

from azureramp import resources

Key = tuple[str, str]
"""A resource's kind and name."""

MAX_TOMBSTONES = 10_000
"""Maximum number of deleted entries kept, to bound the memory of a long-running
process."""


@dataclasses.dataclass(slots=True, frozen=True)
class Update:
    """An update that one copy sends to another.

    Attributes:
        after: The entries are all changes after this revision; 0 if they are
            the whole configuration.
        revision: The revision of a copy that has applied them.
        entries: The entries, ascending by revision.
    """

    after: int
    revision: int
    entries: tuple[resources.Versioned, ...]


class ConfigurationCopy:
    """One VM's copy of the configuration.

    Attributes:
        configuration: The copy.
        floor: The copy has every deletion after this revision, so it can send
            the changes since then; a copy that is further behind needs the
            whole configuration.
    """

    __slots__ = ("configuration", "floor")

    def __init__(self) -> None:
        """Creates an empty copy, at revision 0."""
        self.configuration = resources.Configuration()
        self.floor = 0

    def apply_snapshot(
        self,
        entries: Iterable[resources.Versioned],
        present: Collection[Key],
        revision: int,
    ) -> list[resources.Versioned]:
        """Applies a complete configuration as of some revision.

        It contains no deleted keys: a key that this copy has and that is
        absent from it was deleted. A complete configuration that is not newer
        than this copy lacks later changes, so it is ignored altogether.

        Args:
            entries: The entries.
            present: The existing keys, including those whose values can't be
                decoded.
            revision: The revision of the complete configuration.

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

    def apply_changes(
        self, entries: Iterable[resources.Versioned], after: int, revision: int
    ) -> list[resources.Versioned]:
        """Applies all changes between two revisions.

        If the copy's revision is below `after`, the changes come into force
        but the copy's revision stays as it is.

        Args:
            entries: All changes after `after` up to `revision`; they may
                include later ones.
            after: The revision before the first change.
            revision: The revision of the last change.

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
        """Applies entries newer than the revision and the key's own entry.

        Outdated reads and late or duplicate messages have no effect: an older
        entry never replaces a newer one.

        Returns:
            The entries that came into force, ascending by revision.
        """
        current = self.configuration.entries
        newest: dict[Key, resources.Versioned] = {}
        for entry in entries:
            key = (entry.kind, entry.name)
            other = newest.get(key) or current.get(key)
            if entry.revision <= self.configuration.revision:
                continue
            if other is None or entry.revision > other.revision:
                newest[key] = entry
        current.update(newest)
        return sorted(newest.values(), key=lambda entry: entry.revision)

    def make_update(self, after: int) -> Update:
        """Selects the entries that a copy at some revision lacks.

        Args:
            after: The other copy's revision.

        Returns:
            The changes since then, or the whole configuration if this copy no
            longer has every deletion since then.
        """
        complete = after < self.floor
        entries = [
            entry
            for entry in self.configuration.entries.values()
            if (
                entry.resource is not None
                if complete
                else entry.revision > after
            )
        ]
        entries.sort(key=lambda entry: entry.revision)
        return Update(
            0 if complete else after,
            self.configuration.revision,
            tuple(entries),
        )

    def apply_update(self, part: Update) -> list[resources.Versioned]:
        """Applies an update from another copy; see `make_update`.

        Returns:
            The entries that came into force.
        """
        if part.after == 0:
            present = {(entry.kind, entry.name) for entry in part.entries}
            return self.apply_snapshot(part.entries, present, part.revision)
        return self.apply_changes(part.entries, part.after, part.revision)

    def _drop_tombstones(self) -> None:
        """Drops the oldest deleted entries beyond the limit.

        They stay deleted, since no entry up to the revision is ever applied.
        The floor rises, so that a copy that lacks one of these deletions gets
        the whole configuration.
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
