"""Releases idempotency records, again and again until it is settled.

A release must reach the store even if the store is down now. Releases wait
here in memory. What could not be written at once is overdue: that is written
at a bounded rate, so that the return of the service does not meet all that
piled up on all VMs at once.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses

from azureramp.controllers import record_writer
from azureramp.policy import idempotency
from azureramp.ports.store import api

MAX_WAITING = 10_000
"""Most releases that wait; the oldest is given up past this."""

PARALLEL = 16
"""Most releases under way at once."""

OVERDUE_PER_S = 20.0
"""How many overdue releases a VM writes in a second."""


@dataclasses.dataclass(slots=True)
class Release:
    """One claim that is given back.

    Attributes:
        store_key: The record's key in the store.
        record: What to write.
        expected: The revision that it replaces, as far as known.
        overdue: True if it could not be written when it was asked for.
        done: Set once it is settled.
    """

    store_key: str
    record: idempotency.Record
    expected: int
    overdue: bool = False
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class RecordReleases:
    """The releases that wait, and the task that writes them.

    Attributes:
        given_up: Releases that were given up for want of room.
        hurried: True to write overdue ones at once, since this VM leaves.
        waiting: The releases by nonce, oldest first.
    """

    __slots__ = (
        "_overdue_from_s",
        "_running",
        "_wake",
        "_writer",
        "given_up",
        "hurried",
        "waiting",
    )

    def __init__(self, writer: record_writer.RecordWriter) -> None:
        """Makes it with nothing to release.

        Args:
            writer: Writes the records.
        """
        self._writer = writer
        self._wake = asyncio.Event()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._overdue_from_s = 0.0
        self.given_up = 0
        self.hurried = False
        self.waiting: collections.OrderedDict[str, Release] = (
            collections.OrderedDict()
        )

    def add(self, release: Release) -> None:
        """Takes a release.

        Releases of one key are kept apart by their claims' nonces: two
        claims of this VM may both be on their way, and either may land.
        """
        release.overdue = not self._writer.backoff.is_open()
        self.waiting[release.record.nonce] = release
        while len(self.waiting) > MAX_WAITING:
            _, dropped = self.waiting.popitem(last=False)
            dropped.done.set()
            self.given_up += 1
        self._wake.set()

    async def run(self) -> None:
        """Writes the releases, for ever."""
        try:
            while True:
                self._wake.clear()
                wait_s = self._start_some()
                if wait_s is not None:
                    wait_s = max(wait_s, record_writer.LEAST_WAIT_S)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self._wake.wait()
        finally:
            for task in self._running.values():
                task.cancel()

    def _start_some(self) -> float | None:
        """Starts what may be started.

        Returns:
            The time until more may be, in seconds; None if only a new release
            or the end of a running one can change anything.
        """
        now_s = asyncio.get_running_loop().time()
        later_s = max(self._overdue_from_s - now_s, 0.0)
        skipped = False
        for release in list(self.waiting.values()):
            if len(self._running) >= PARALLEL:
                return None
            if release.record.nonce in self._running:
                continue
            if release.overdue and later_s > 0 and not self.hurried:
                skipped = True
                continue
            if not self._writer.may_call():
                return self._writer.get_wait_s()
            if release.overdue:
                later_s = 1 / OVERDUE_PER_S
                self._overdue_from_s = now_s + later_s
            task = asyncio.ensure_future(self._try(release))
            self._running[release.record.nonce] = task
        return later_s if skipped else None

    async def _try(self, release: Release) -> None:
        """Makes one attempt to settle a release."""
        try:
            result = await self._writer.write(
                release.store_key,
                idempotency.encode(release.record),
                release.expected,
            )
            if result.is_error():
                self._mark_overdue(release)
                return
            match result.ok:
                case api.Written():
                    self._settle(release)
                case api.Conflicted(present=present):
                    self._meet(release, present)
        finally:
            del self._running[release.record.nonce]
            self._wake.set()

    def _mark_overdue(self, failed: Release) -> None:
        """Marks what can't be written in time: in an outage, everything."""
        failed.overdue = True
        if not self._writer.backoff.is_open():
            for release in self.waiting.values():
                release.overdue = True

    def _meet(self, release: Release, present: api.Entry | None) -> None:
        """Goes on after a conflict: over the claim, or not at all."""
        if present is not None:
            record = idempotency.decode(present.value or b"")
            if idempotency.may_release(record, release.record):
                release.expected = present.revision
                return
        # Nothing of this claim stands there, and nothing can land any more:
        # another write has taken the revision that its own one named. If the
        # key is gone, its retention has ended.
        self._settle(release)

    def _settle(self, release: Release) -> None:
        """Ends a release."""
        self.waiting.pop(release.record.nonce, None)
        release.done.set()
