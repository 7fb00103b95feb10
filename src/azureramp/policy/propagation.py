"""How configuration entries become the configuration in force."""

from __future__ import annotations

from collections.abc import Iterable

from azureramp import resources

Key = tuple[str, str]
"""A resource's kind and name."""


def select_newer(
    configuration: resources.Configuration,
    entries: Iterable[resources.Versioned],
) -> list[resources.Versioned]:
    """Selects the entries to apply: those of higher revision than ours.

    Guards against a source that answers from the past, and against messages
    that come late or twice: an entry that is not newer than the one in force
    is dropped, so nothing is ever reverted.

    Args:
        configuration: The configuration in force.
        entries: Entries from the store or a peer, in any order.

    Returns:
        At most one entry for each key, the newest, ascending by revision.
    """
    newest: dict[Key, resources.Versioned] = {}
    for entry in entries:
        key = (entry.kind, entry.name)
        known = newest.get(key) or configuration.entries.get(key)
        if known is None or entry.revision > known.revision:
            newest[key] = entry
    return sorted(newest.values(), key=lambda entry: entry.revision)


def make_tombstones(
    configuration: resources.Configuration,
    listed: frozenset[Key],
    revision: int,
) -> list[resources.Versioned]:
    """Makes entries for what was deleted while nobody watched.

    A whole listing holds no deleted keys, so a deletion shows only by the
    absence of a key that we have. A listing from the past lacks keys that
    were created after it: those have a higher revision than the listing and
    stay.

    Args:
        configuration: The configuration in force.
        listed: The keys of a whole listing.
        revision: The store revision that the listing reflects.

    Returns:
        A deletion at the listing's revision for each missing key.
    """
    return [
        resources.Versioned(None, entry.kind, entry.name, revision)
        for key, entry in configuration.entries.items()
        if key not in listed
        and entry.resource is not None
        and entry.revision <= revision
    ]


def apply(
    configuration: resources.Configuration,
    entries: Iterable[resources.Versioned],
    revision: int,
) -> list[resources.Versioned]:
    """Brings newer entries into force.

    Args:
        configuration: Changed in place.
        entries: Entries from one source.
        revision: The revision that the source's state reflects.

    Returns:
        The entries that were newer, ascending by revision.
    """
    changed = select_newer(configuration, entries)
    for entry in changed:
        configuration.entries[(entry.kind, entry.name)] = entry
    configuration.revision = max(configuration.revision, revision)
    return changed
