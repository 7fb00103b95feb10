"""The configuration's link to the store: whole reads, watches, confirmations.

A confirmation must be an upper bound on the age of what we have, even if the
store answers reads from the past. Writes can't come from the past, since a
compare-and-swap is decided on the present state. So a confirmation begins
with a write, whose revision is a barrier: a read that reflects the barrier
or later reflects every change stored before the write began.
"""

from __future__ import annotations

import asyncio
import dataclasses

import logbook
import msgspec
import xxhash

from azureramp import blackboard, resources
from azureramp.policy import propagation
from azureramp.ports.store import api as store_api

PREFIX = "/azureramp/resources/"

BARRIERS = "/azureramp/barriers/"

BARRIER_KEYS = 64
"""How many keys all VMs share for their barriers, so that they stay few."""

BARRIER_TRIES = 4
"""Most writes for one barrier; others may write the same key."""

_logger = logbook.Logger("azureramp.configuration")


@dataclasses.dataclass(slots=True, frozen=True)
class Decoded:
    """Store entries as resources.

    Attributes:
        entries: Those that could be decoded.
        present: The keys of all, the others included.
    """

    entries: list[resources.Versioned]
    present: frozenset[propagation.Key]


def make_key(kind: str, name: str) -> str:
    """Makes the store's key of a resource."""
    return f"{PREFIX}{kind}/{name}"


def decode_entry(entry: store_api.Entry) -> resources.Versioned | None:
    """Decodes a store entry; None if it is no resource."""
    kind, name = _split_key(entry.key)
    if entry.value is None:
        return resources.Versioned(None, kind, name, entry.revision)
    try:
        resource = msgspec.json.decode(entry.value, type=resources.AnyResource)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        _logger.error("entry {} is no resource: {}", entry.key, error)
        return None
    if resource.name != name or not isinstance(
        resource, resources.KINDS.get(kind, type(None))
    ):
        _logger.error("entry {} holds another resource", entry.key)
        return None
    return resources.Versioned(resource, kind, name, entry.revision)


def decode(listing: store_api.Listing) -> Decoded:
    """Decodes a listing.

    An entry that can't be decoded, such as one that somebody else wrote,
    changes nothing: what was in force for its key stays.
    """
    decoded = (decode_entry(entry) for entry in listing.entries)
    return Decoded(
        [entry for entry in decoded if entry is not None],
        frozenset(_split_key(entry.key) for entry in listing.entries),
    )


def _split_key(key: str) -> propagation.Key:
    kind, _, name = key.removeprefix(PREFIX).partition("/")
    return kind, name


class StoreLink:
    """Brings a copy of the configuration up to the store's state.

    Attributes:
        confirmed_s: When the store confirmed the copy's revision, at the
            earliest, by this VM's own calls.
    """

    __slots__ = (
        "_barrier_key",
        "_barrier_revision",
        "_copy",
        "_cursor",
        "_needs_whole",
        "_store",
        "confirmed_s",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        copy: propagation.Copy,
        store: store_api.Store,
    ) -> None:
        """Makes a link for one VM's copy."""
        self._copy = copy
        self._store = store
        self._cursor = 0
        self._needs_whole = False
        number = xxhash.xxh3_64_intdigest(board.settings.vm.encode())
        self._barrier_key = f"{BARRIERS}{number % BARRIER_KEYS}"
        self._barrier_revision = store_api.CREATE
        self.confirmed_s = float("-inf")

    async def confirm(self) -> list[resources.Versioned] | None:
        """Brings the copy up to now, and proves it.

        Returns:
            The entries that came into force; None if there is no proof,
            since the store is down or answered from the past.
        """
        begun_s = asyncio.get_running_loop().time()
        barrier = await self._write_barrier()
        if barrier is None:
            return None
        changed = await self.catch_up(barrier)
        if changed is None:
            # The store takes writes, so it may no longer know the changes
            # since our revision: then only the whole helps.
            self._needs_whole = True
        else:
            self.confirmed_s = max(self.confirmed_s, begun_s)
        return changed

    async def catch_up(self, revision: int) -> list[resources.Versioned] | None:
        """Reads on until the copy reflects a store revision.

        Returns:
            The entries that came into force; None if it could not be read,
            or the answer was from before that revision.
        """
        if self._needs_whole or self._copy.configuration.revision == 0:
            return await self._read_whole(revision)
        return await self._read_changes(0.0, revision)

    async def watch(self, wait_s: float) -> list[resources.Versioned] | None:
        """Waits for changes once; None if the store is down."""
        return await self._read_changes(wait_s, 0)

    async def _read_whole(self, least: int) -> list[resources.Versioned] | None:
        result = await self._store.read_prefix(PREFIX)
        if result.is_error():
            return None
        listing = result.ok
        revision = self._copy.configuration.revision
        if listing.revision < max(least, revision):
            return None
        decoded = decode(listing)
        self._needs_whole = False
        self._cursor = max(self._cursor, listing.revision)
        if revision > 0 and not self._has_news(decoded):
            return []
        return self._copy.take_whole(
            decoded.entries, decoded.present, listing.revision
        )

    def _has_news(self, decoded: Decoded) -> bool:
        """Tells whether a whole listing differs from the copy.

        The store's revision counts the writes of other keys too. If nothing
        of ours changed, the copy's revision stays, so that the peers don't
        all take it for a change.
        """
        configuration = self._copy.configuration
        known = {
            key
            for key, entry in configuration.entries.items()
            if entry.resource is not None
        }
        return not known <= decoded.present or any(
            entry.revision > configuration.revision for entry in decoded.entries
        )

    async def _read_changes(
        self, wait_s: float, least: int
    ) -> list[resources.Versioned] | None:
        cursor = max(self._cursor, self._copy.configuration.revision)
        result = await self._store.watch(PREFIX, cursor, wait_s)
        if result.is_error():
            return None
        listing = result.ok
        if listing.revision < max(cursor, least):
            return None
        self._cursor = max(self._cursor, listing.revision)
        if not listing.entries:
            return []
        revision = max(entry.revision for entry in listing.entries)
        # The watch is complete after the cursor, and nothing of ours changed
        # between the copy's revision and the cursor.
        return self._copy.take_changes(
            decode(listing).entries, self._copy.configuration.revision, revision
        )

    async def _write_barrier(self) -> int | None:
        """Writes to this VM's barrier key; returns the store's revision."""
        for _ in range(BARRIER_TRIES):
            result = await self._store.write(
                self._barrier_key, b"", self._barrier_revision
            )
            if result.is_error():
                return None
            match result.ok:
                case store_api.Written(revision):
                    self._barrier_revision = revision
                    return revision
                case store_api.Conflicted(None):
                    self._barrier_revision = store_api.CREATE
                case store_api.Conflicted(present) if present is not None:
                    self._barrier_revision = present.revision
        return None
