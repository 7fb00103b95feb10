"""Writes the end of idempotency records, again and again until it is settled.

A holder's last word on its record (finished, unknown or released) must reach
the store even if the store is down now. Saves wait here in memory; after a
failure only one is tried at a time, with backoff, so that the return of the
service meets a few calls and not all that piled up.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable

import expression

from azureramp import errors
from azureramp.policy import backoff, idempotency
from azureramp.ports.store import api

MAX_WAITING = 10_000
"""Most saves that wait; the oldest is given up past this."""

CALL_S = 2.0
"""Longest time that a call of the store takes, in seconds."""

PARALLEL = 8
"""How many saves are under way at once while the service answers."""

GetLease = Callable[[], Awaitable[expression.Result[str, errors.Failure]]]


@dataclasses.dataclass(slots=True)
class Save:
    """One holder's last word.

    Attributes:
        store_key: The record's key in the store.
        record: What to write.
        expected: The revision that it replaces, as far as known.
        done: Set once it is settled.
    """

    store_key: str
    record: idempotency.Record
    expected: int
    done: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class RecordSaver:
    """The saves that wait, and the task that writes them.

    Attributes:
        given_up: Saves that were given up for want of room.
        waiting: The saves by store key, oldest first.
    """

    __slots__ = (
        "_backoff",
        "_get_lease",
        "_rng",
        "_store",
        "_wake",
        "given_up",
        "waiting",
    )

    def __init__(
        self,
        store: api.Store,
        get_lease: GetLease,
        store_backoff: backoff.Backoff,
        rng: random.Random,
    ) -> None:
        """Makes a saver with nothing to save.

        Args:
            store: Where records are.
            get_lease: Gets the lease of the records' retention.
            store_backoff: The VM's backoff from the store, shared with the
                claims.
            rng: Draws the waits.
        """
        self._store = store
        self._get_lease = get_lease
        self._backoff = store_backoff
        self._rng = rng
        self._wake = asyncio.Event()
        self.given_up = 0
        self.waiting: collections.OrderedDict[str, Save] = (
            collections.OrderedDict()
        )

    def add(self, save: Save) -> None:
        """Takes a save; one for the same key is replaced by it."""
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
        loop = asyncio.get_running_loop()
        while True:
            if not self.waiting:
                self._wake.clear()
                await self._wake.wait()
            wait_s = self._backoff.get_wait_s(loop.time())
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if not self._backoff.may_call(loop.time(), CALL_S):
                continue
            count = 1 if self._backoff.failures else PARALLEL
            batch = list(self.waiting.values())[:count]
            await asyncio.gather(*(self.try_save(save) for save in batch))

    async def try_save(self, save: Save) -> None:
        """Makes one attempt to settle a save."""
        lease = await self._get_lease()
        if lease.is_error():
            return
        data = idempotency.encode(save.record)
        result = await self._store.write(
            save.store_key, data, save.expected, lease.ok
        )
        if result.is_error():
            now_s = asyncio.get_running_loop().time()
            self._backoff.record_failure(now_s, self._rng)
            return
        self._backoff.record_success()
        match result.ok:
            case api.Written():
                self._settle(save)
            case api.Conflicted(present=present):
                self._meet(save, present)

    def _meet(self, save: Save, present: api.Entry | None) -> None:
        """Goes on after a conflict: over the claim, or not at all."""
        if present is None or present.value is None:
            if save.expected == api.CREATE:
                return
            # The retention of the claim has ended: there is nothing to say.
            self._settle(save)
            return
        record = idempotency.decode(present.value)
        if idempotency.may_replace(record, save.record):
            save.expected = present.revision
            return
        self._settle(save)

    def _settle(self, save: Save) -> None:
        """Ends a save."""
        if self.waiting.get(save.store_key) is save:
            del self.waiting[save.store_key]
        save.done.set()
