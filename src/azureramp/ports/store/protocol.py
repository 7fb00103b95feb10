"""The bodies of the key-value service's HTTP protocol.

Both ends use them: `http` as the client, the platform stand-in as the
server. docs/reference/platform.md describes the protocol.
"""

from __future__ import annotations

import msgspec

KEYS = "/v1/keys"
WATCH = "/v1/watch"
LEASES = "/v1/leases"


class EntryBody(msgspec.Struct, frozen=True):
    """One entry; see `api.Entry`. JSON carries the value as base64."""

    key: str
    value: bytes | None
    revision: int


class ListingBody(msgspec.Struct, frozen=True):
    """Entries and a store revision; see `api.Listing`."""

    entries: tuple[EntryBody, ...]
    revision: int


class WrittenBody(msgspec.Struct, frozen=True):
    """A write that took effect."""

    revision: int


class ConflictBody(msgspec.Struct, frozen=True):
    """The present entry that a write ran into."""

    present: EntryBody | None


class LeaseBody(msgspec.Struct, frozen=True):
    """A lease."""

    lease: str
