"""Rejected design: idempotency records in shared log segments.

It is kept for measurements only. Each bucket is a log. A VM appends its pending
changes as one segment, by create-if-absent on the log's next number. A change
takes effect only if the key has the expected version when the log is read in
order, so safety depends on compare-and-swap alone. docs/design/idempotency.md
explains why this design was rejected.
"""

from __future__ import annotations

import asyncio
import dataclasses
import zlib

import expression
import msgspec

from azureramp import errors
from azureramp.ports.store import api

PREFIX = "/azureramp/idempotency/log/"


class Change(msgspec.Struct, frozen=True, array_like=True):
    """Compare-and-swap of one key within a segment."""

    key: str
    value: bytes
    expected: int


class Segment(msgspec.Struct, frozen=True, array_like=True):
    """Changes that one VM appended together."""

    nonce: str
    changes: tuple[Change, ...]


@dataclasses.dataclass(slots=True)
class Bucket:
    """One VM's view of one log."""

    tail: int = 1
    revision: int = 0
    entries: dict[str, api.Entry] = dataclasses.field(default_factory=dict)
    pending: list[tuple[Change, asyncio.Future[api.WriteOutcome]]] = (
        dataclasses.field(default_factory=list)
    )
    flusher: asyncio.Task[None] | None = None


class GroupedStore:
    """Store that implements writes of single keys on top of segment logs."""

    def __init__(
        self, store: api.Store, vm: str, buckets: int, linger_s: float
    ) -> None:
        """Creates a store whose view of each log is empty."""
        self._store = store
        self._vm = vm
        self._buckets = [Bucket() for _ in range(buckets)]
        self._linger_s = linger_s
        self._number = 0
        self.segments = 0

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Requests a lease from the underlying store."""
        return await self._store.grant_lease(ttl_s)

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Appends a change to its log and returns the outcome."""
        number = zlib.crc32(key.encode()) % len(self._buckets)
        bucket = self._buckets[number]
        done: asyncio.Future[api.WriteOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        bucket.pending.append((Change(key, value, expected_revision), done))
        if bucket.flusher is None or bucket.flusher.done():
            bucket.flusher = asyncio.ensure_future(
                self._flush(number, bucket, lease)
            )
        return expression.Ok(await done)

    def count_claims(self) -> int:
        """Returns the number of claims that this VM holds in memory."""
        return sum(
            key.startswith("/")
            for bucket in self._buckets
            for key in bucket.entries
        )

    async def _flush(self, number: int, bucket: Bucket, lease: str) -> None:
        """Appends pending changes to a log until there are none."""
        prefix = f"{PREFIX}{number:03d}/"
        while bucket.pending:
            await asyncio.sleep(self._linger_s)
            batch, bucket.pending = bucket.pending, []
            self._number += 1
            segment = Segment(
                f"{self._vm}.{self._number}",
                tuple(change for change, _ in batch),
            )
            data = msgspec.msgpack.encode(segment)
            while True:
                # Reads first: most segments are from other VMs, so most
                # appends at the cached tail would be wasted writes.
                listing = (
                    await self._store.watch(prefix, bucket.revision, 0.0)
                ).ok
                for entry in listing.entries:
                    self._apply(bucket, entry.value or b"")
                bucket.revision = listing.revision
                written = (
                    await self._store.write(
                        f"{prefix}{bucket.tail:012d}",
                        data,
                        api.NO_REVISION,
                        lease,
                    )
                ).ok
                if isinstance(written, api.Written):
                    self.segments += 1
                    break
            bucket.revision = max(bucket.revision, written.revision)
            for (_, done), outcome in zip(
                batch, self._apply(bucket, data), strict=True
            ):
                if not done.done():
                    done.set_result(outcome)

    def _apply(self, bucket: Bucket, data: bytes) -> list[api.WriteOutcome]:
        """Applies the changes of the segment at the tail, in order."""
        segment = msgspec.msgpack.decode(data, type=Segment)
        outcomes: list[api.WriteOutcome] = []
        for position, change in enumerate(segment.changes):
            current = bucket.entries.get(change.key)
            version = current.revision if current else api.NO_REVISION
            if version != change.expected:
                outcomes.append(api.Conflict(current))
                continue
            version = bucket.tail << 16 | position
            bucket.entries[change.key] = api.Entry(
                change.key, change.value, version
            )
            outcomes.append(api.Written(version))
        bucket.tail += 1
        return outcomes
