"""The paths and bodies of the key-value service's HTTP protocol.

They are shared by the client in `http` and by the platform stand-in, which is
the server. docs/reference/platform.md describes the protocol.
"""

from __future__ import annotations

import msgspec

KEYS = "/v1/keys"
WATCH = "/v1/watch"
LEASES = "/v1/leases"


class EntryBody(msgspec.Struct, frozen=True):
    """An entry; see `api.Entry`. JSON encodes the value as base64."""

    key: str
    value: bytes | None
    revision: int


class ListingBody(msgspec.Struct, frozen=True):
    """Entries and a store revision; see `api.Listing`."""

    entries: tuple[EntryBody, ...]
    revision: int


class WrittenBody(msgspec.Struct, frozen=True):
    """The result of a successful write."""

    revision: int


class ConflictBody(msgspec.Struct, frozen=True):
    """The current entry, which conflicts with a write."""

    present: EntryBody | None


class LeaseBody(msgspec.Struct, frozen=True):
    """A lease."""

    lease: str
