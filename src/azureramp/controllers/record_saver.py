"""Writes the end of idempotency records, again and again until it is settled.

A holder's last word on its record (finished, unknown or released) must reach
the store even if the store is down now. Saves wait here in memory. One that
failed is overdue: overdue ones are written at a bounded rate, so that the
return of the service does not meet all that piled up on all VMs at once.
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
"""Most saves that wait; the oldest is given up past this."""

PARALLEL = 16
"""Most saves under way at once."""

LEAST_WAIT_S = 0.001
"""Shortest wait for the next look, in seconds, so that time goes on."""

OVERDUE_PER_S = 20.0
"""How many overdue saves a VM writes in a second."""


@dataclasses.dataclass(slots=True)
class Save:
    """One holder's last word.

    Attributes:
        store_key: The record's key in the store.
        record: What to write.
        expected: The revision that it replaces, as far as known.
        overdue: True once a write of it has failed.
        done: Set once it is settled.
    """

    store_key: str
    record: idempotency.Record
    expected: int
    overdue: bool = False
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class RecordSaver:
    """The saves that wait, and the task that writes them.

    Attributes:
        given_up: Saves that were given up for want of room.
        hurried: True to write overdue ones at once, since this VM leaves.
        waiting: The saves by store key, oldest first.
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
        """Makes a saver with nothing to save.

        Args:
            writer: Writes the records.
        """
        self._writer = writer
        self._wake = asyncio.Event()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._overdue_from_s = 0.0
        self.given_up = 0
        self.hurried = False
        self.waiting: collections.OrderedDict[str, Save] = (
            collections.OrderedDict()
        )

    def add(self, save: Save) -> None:
        """Takes a save; it replaces an earlier one for the same key.

        Only the key's present claim can have a last word, so the earlier
        one is either of the same claim or of one that can't land any more.
        """
        replaced = self.waiting.pop(save.store_key, None)
        if replaced is not None:
            replaced.done.set()
        self.waiting[save.store_key] = save
        while len(self.waiting) > MAX_WAITING:
            _, dropped = self.waiting.popitem(last=False)
            dropped.done.set()
            self.given_up += 1
        self._wake.set()

    async def run(self) -> None:
        """Writes the saves, for ever."""
        try:
            while True:
                self._wake.clear()
                wait_s = self._start_some()
                if wait_s is not None:
                    wait_s = max(wait_s, LEAST_WAIT_S)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await self._wake.wait()
        finally:
            for task in self._running.values():
                task.cancel()

    def _start_some(self) -> float | None:
        """Starts what may be started.

        Returns:
            The time until more may be, in seconds; None if only a new save
            or the end of a running one can change anything.
        """
        now_s = asyncio.get_running_loop().time()
        later_s = max(self._overdue_from_s - now_s, 0.0)
        skipped = False
        for save in list(self.waiting.values()):
            if len(self._running) >= PARALLEL:
                return None
            if save.store_key in self._running:
                continue
            if save.overdue and later_s > 0 and not self.hurried:
                skipped = True
                continue
            if not self._writer.may_call():
                return self._writer.get_wait_s()
            if save.overdue:
                later_s = 1 / OVERDUE_PER_S
                self._overdue_from_s = now_s + later_s
            task = asyncio.ensure_future(self._try(save))
            self._running[save.store_key] = task
        return later_s if skipped else None

    async def _try(self, save: Save) -> None:
        """Makes one attempt to settle a save."""
        try:
            result = await self._writer.write(
                save.store_key, save.record, save.expected
            )
            if result.is_error():
                save.overdue = True
                return
            match result.ok:
                case api.Written():
                    self._settle(save)
                case api.Conflicted(present=present):
                    self._meet(save, present)
        finally:
            del self._running[save.store_key]
            self._wake.set()

    def _meet(self, save: Save, present: api.Entry | None) -> None:
        """Goes on after a conflict: over the claim, or not at all."""
        if present is not None:
            record = idempotency.decode(present.value or b"")
            if idempotency.may_replace(record, save.record):
                save.expected = present.revision
                return
        # Nothing of this claim stands there, and nothing can land any more:
        # another write has taken the revision that its own one named. If the
        # key is gone, its retention has ended.
        self._settle(save)

    def _settle(self, save: Save) -> None:
        """Ends a save."""
        if self.waiting.get(save.store_key) is save:
            del self.waiting[save.store_key]
        save.done.set()
