"""The interface of the platform's key-value service.

The service accounts for each call as one operation, including a waiting watch.
Keys are UTF-8 strings, values are up to `MAX_VALUE_BYTES` bytes. Revisions are
ascending and count the writes to the entire store.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Protocol

import expression

from azureramp import errors
from azureramp.ports.web import api as web_api

MAX_VALUE_BYTES = 1_000_000

NO_REVISION = 0
"""The expected revision of a key that must not exist yet."""


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """The current value of a key.

    Attributes:
        key: The key.
        value: The value; None if the key was deleted at `revision`.
        revision: The store revision of the write.
    """

    key: str
    value: bytes | None = dataclasses.field(repr=False)
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Listing:
    """Entries and the store revision at which they were read.

    Attributes:
        entries: The entries, ascending by key (from a watch: by revision).
        revision: The store's revision at the time of reading.
        calls: Number of calls to the service that were needed.
    """

    entries: tuple[Entry, ...]
    revision: int
    calls: int = 1


@dataclasses.dataclass(slots=True, frozen=True)
class Written:
    """A write took effect.

    Attributes:
        revision: The new revision of the entry.
    """

    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class Conflict:
    """A write was rejected since the key has a different revision.

    Attributes:
        current: The current entry; None if there is none.
    """

    current: Entry | None


WriteOutcome = Written | Conflict


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """The change of one key in a batch.

    Attributes:
        key: The key.
        value: The new value; None deletes the key.
        expected_revision: The current revision of the key, or `NO_REVISION`.
        lease: The lease whose expiry deletes the key; empty for none.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class BatchConflict:
    """A batch was rejected since a key has a different revision.

    Attributes:
        revisions: The current revision of each key in the batch; `NO_REVISION`
            for a key that does not exist.
    """

    revisions: Mapping[str, int]


BatchOutcome = Written | BatchConflict

MAX_BATCH_CHANGES = 16
"""Maximum number of changes in a batch."""


class Store(Protocol):
    """The key-value service.

    Errors: `STORE_UNAVAILABLE` if the call certainly had no effect and never
    will; `STORE_OUTCOME_UNKNOWN` if a write may have taken effect or may still
    take effect; `STORE_HISTORY_GONE` if a watch starts before the oldest
    retained change; `STORE_ANSWER_UNUSABLE` if a read was answered, but the
    answer is too large, incomplete or can't be decoded; `TOO_LARGE` if a value
    exceeds the limit.
    """

    async def read(
        self, key: str
    ) -> expression.Result[Entry | None, errors.Failure]:
        """Reads one key; returns None if it does not exist."""
        ...

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[Listing, errors.Failure]:
        """Reads all keys that start with the prefix."""
        ...

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[WriteOutcome, errors.Failure]:
        """Writes a key if its revision is the expected one.

        Args:
            key: The key.
            value: The new value.
            expected_revision: The current revision of the key, or
                `NO_REVISION`.
            lease: The lease whose expiry deletes the key; empty for none.

        Returns:
            The outcome of the write, or the reason why it is unknown.
        """
        ...

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[WriteOutcome, errors.Failure]:
        """Deletes a key if its revision is the expected one."""
        ...

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[Listing, errors.Failure]:
        """Waits for changes to keys that start with the prefix.

        Args:
            prefix: The prefix.
            after: The store revision after which changes are returned.
            wait_s: Maximum wait, in seconds.

        Returns:
            The changes, ascending by revision, and the store revision up to
            which they are complete. There are none if the wait ended first.
        """
        ...

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Creates a lease that expires unless it is renewed.

        Args:
            ttl_s: The time to live, in seconds.

        Returns:
            The id of the lease.
        """
        ...

    async def renew_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Renews a lease; returns False if it has already expired."""
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Page:
    """Some of the entries of a prefix.

    Attributes:
        entries: The entries, ascending by key.
        revision: The store's revision at the time of reading.
        has_more: True if there are further entries.
    """

    entries: tuple[Entry, ...]
    revision: int
    has_more: bool


class PagedStore(Store, Protocol):
    """A key-value service with answers of limited size.

    A watch returns each value that a key had, so its answer grows with the
    number of changes.
    """

    async def read_page(
        self, prefix: str, after: str
    ) -> expression.Result[Page, errors.Failure]:
        """Reads the first keys that start with the prefix.

        Args:
            prefix: The prefix.
            after: The key after which the page begins; empty for the first one.
        """
        ...

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        transfer: web_api.Transfer | None = None,
    ) -> expression.Result[Listing, errors.Failure]:
        """Waits for changes; see `Store`.

        Args:
            prefix: The prefix.
            after: The store revision after which changes are returned.
            wait_s: Maximum wait, in seconds.
            transfer: Limits of the answer, and its progress; None for the
                default limits.
        """
        ...


class BatchStore(Store, Protocol):
    """A key-value service with atomic writes to several keys."""

    async def write_batch(
        self, changes: Sequence[Change]
    ) -> expression.Result[BatchOutcome, errors.Failure]:
        """Makes all changes, or none if any revision is not the expected one.

        Args:
            changes: At most `MAX_BATCH_CHANGES` changes to different keys.

        Returns:
            The outcome, with the revision of all written keys; `NOT_FOUND` if
            a lease does not exist; otherwise the reason why the outcome is
            unknown.
        """
        ...


class PlatformStore(PagedStore, BatchStore, Protocol):
    """The key-value service of the users' platform."""
