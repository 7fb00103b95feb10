"""Releases idempotency records, with retries until the outcome is known.

A release must reach the store even if the store is currently down, so pending
releases are kept in memory. A release that could not be written at once is
overdue. Overdue releases are written at a bounded rate, so that the store is
not flooded with the backlog of all VMs when it comes back.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses

from azureramp.controllers import record_writer
from azureramp.policy import idempotency
from azureramp.ports.store import api

MAX_PENDING = 10_000
"""Maximum number of pending releases; beyond it the oldest is dropped."""

MAX_CONCURRENT = 16
"""Maximum number of concurrent writes."""

OVERDUE_PER_S = 20.0
"""Maximum number of overdue releases that a VM writes per second."""


@dataclasses.dataclass(slots=True)
class Release:
    """The release of one claim.

    Attributes:
        store_key: The record's key in the store.
        record: The record to write.
        expected: The revision that the write is expected to replace.
        overdue: True if the release could not be written immediately.
        done: Set once no further write is needed, or the release is dropped.
    """

    store_key: str
    record: idempotency.Record
    expected: int
    overdue: bool = False
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class RecordReleases:
    """The pending releases, and the task that writes them.

    Attributes:
        dropped_count: Number of releases dropped because of `MAX_PENDING`.
        draining: True to write overdue releases without the rate limit, while
            this VM shuts down.
        pending: The pending releases by nonce, oldest first.
    """

    __slots__ = (
        "_next_overdue_s",
        "_running",
        "_wake",
        "_writer",
        "draining",
        "dropped_count",
        "pending",
    )

    def __init__(self, writer: record_writer.RecordWriter) -> None:
        """Creates an instance without pending releases.

        Args:
            writer: Writes the records.
        """
        self._writer = writer
        self._wake = asyncio.Event()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._next_overdue_s = 0.0
        self.dropped_count = 0
        self.draining = False
        self.pending: collections.OrderedDict[str, Release] = (
            collections.OrderedDict()
        )

    def add(self, release: Release) -> None:
        """Adds a release.

        Releases are stored by nonce, not by key: two claims of this VM for
        one key may both be in flight, and either may take effect.
        """
        release.overdue = not self._writer.backoff.is_working()
        self.pending[release.record.nonce] = release
        while len(self.pending) > MAX_PENDING:
            _, dropped = self.pending.popitem(last=False)
            dropped.done.set()
            self.dropped_count += 1
        self._wake.set()

    async def run(self) -> None:
        """Writes the releases, forever."""
        try:
            while True:
                self._wake.clear()
                wait_s = self._start_writes()
                if wait_s is not None:
                    wait_s = max(wait_s, record_writer.MIN_WAIT_S)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self._wake.wait()
        finally:
            for task in self._running.values():
                task.cancel()

    def _start_writes(self) -> float | None:
        """Starts as many writes as the limits allow.

        Returns:
            The time until more may be started, in seconds; None if this
            depends only on a new release or on the end of a running write.
        """
        now_s = asyncio.get_running_loop().time()
        later_s = max(self._next_overdue_s - now_s, 0.0)
        skipped = False
        for release in list(self.pending.values()):
            if len(self._running) >= MAX_CONCURRENT:
                return None
            if release.record.nonce in self._running:
                continue
            if release.overdue and later_s > 0 and not self.draining:
                skipped = True
                continue
            if not self._writer.may_call():
                return self._writer.get_wait_s()
            if release.overdue:
                later_s = 1 / OVERDUE_PER_S
                self._next_overdue_s = now_s + later_s
            task = asyncio.ensure_future(self._write(release))
            self._running[release.record.nonce] = task
        return later_s if skipped else None

    async def _write(self, release: Release) -> None:
        """Makes one attempt to write a release."""
        try:
            result = await self._writer.write(
                release.store_key,
                idempotency.encode_record(release.record),
                release.expected,
            )
            if result.is_error():
                self._mark_overdue(release)
                return
            match result.ok:
                case api.Written():
                    self._finish(release)
                case api.Conflict(current=current):
                    self._handle_conflict(release, current)
        finally:
            del self._running[release.record.nonce]
            self._wake.set()

    def _mark_overdue(self, failed: Release) -> None:
        """Marks a failed release as overdue; in an outage, all releases."""
        failed.overdue = True
        if not self._writer.backoff.is_working():
            for release in self.pending.values():
                release.overdue = True

    def _handle_conflict(
        self, release: Release, current: api.Entry | None
    ) -> None:
        """Prepares the next write after a conflict, or ends the release."""
        if current is not None:
            record = idempotency.decode_record(current.value or b"")
            if idempotency.may_release(record, release.record):
                release.expected = current.revision
                return
        # The store doesn't hold this claim, and the claim's own write can no
        # longer take effect: another write has used up the revision that it
        # expected. If the key is gone, its retention has ended.
        self._finish(release)

    def _finish(self, release: Release) -> None:
        """Removes a release and sets its event."""
        self.pending.pop(release.record.nonce, None)
        release.done.set()
