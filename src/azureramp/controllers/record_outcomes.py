"""Writes the outcomes of requests, many at once.

Each claim names, when it is made, the group in which its outcome will be
found. A group is one value of the store that only this process writes, so
the outcomes that come up within a short time share a write. Nothing that
keeps a request from running twice rests on a group: only what a retry is
told does.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses

from azureramp import metrics
from azureramp.controllers import record_writer
from azureramp.policy import idempotency
from azureramp.ports.store import api

FLUSH_S = 0.1
"""Shortest time between two writes, in seconds; the first waits for none."""

MAX_GROUPS = 100
"""Most groups in memory; the oldest saved one is forgotten past this."""


@dataclasses.dataclass(slots=True)
class Group:
    """One group's state here.

    Attributes:
        name: Its name, the end of its store key.
        claims: How many claims have named it.
        open_claims: How many of these have had no last word yet.
        outcomes: The outcomes by nonce.
        revision: The store revision of its value; `api.CREATE` for none.
        saved: How many changes of `outcomes` the store has.
        changes: How many changes of `outcomes` there were.
        waiting: Set, in order of their change's number, once it is saved.
    """

    name: str
    claims: int = 0
    open_claims: int = 0
    outcomes: idempotency.Outcomes = dataclasses.field(default_factory=dict)
    revision: int = api.CREATE
    saved: int = 0
    changes: int = 0
    waiting: collections.deque[tuple[int, asyncio.Event]] = dataclasses.field(
        default_factory=collections.deque
    )


class RecordOutcomes:
    """The groups of one process, and the task that writes them.

    Attributes:
        given_up: Groups given up for want of room before they were saved.
    """

    __slots__ = (
        "_counters",
        "_groups",
        "_last_s",
        "_prefix",
        "_present",
        "_wake",
        "_writer",
        "given_up",
    )

    def __init__(
        self,
        writer: record_writer.RecordWriter,
        counters: metrics.Metrics,
        prefix: str,
    ) -> None:
        """Makes the groups of a process that has just begun.

        Args:
            writer: Writes the groups.
            counters: Where the grouped writes are counted.
            prefix: What this process's group names begin with; no other
                process ever has the same.
        """
        self._writer = writer
        self._counters = counters
        self._prefix = prefix
        self._groups: collections.OrderedDict[str, Group] = (
            collections.OrderedDict()
        )
        self._present = self._open(0)
        self._last_s = -FLUSH_S
        self._wake = asyncio.Event()
        self.given_up = 0

    def name_group(self) -> str:
        """Names the group for the outcome of a new claim."""
        if self._present.claims >= idempotency.MAX_GROUP:
            number = int(self._present.name.rpartition(".")[2])
            self._present = self._open(number + 1)
        self._present.claims += 1
        self._present.open_claims += 1
        return self._present.name

    def close_claim(self, name: str) -> None:
        """Notes that a claim will have no outcome, or has had its last."""
        group = self._groups.get(name)
        if group is not None:
            group.open_claims -= 1
            self._drop_ended(group)

    def add(
        self, record: idempotency.Record, outcome: idempotency.Outcome
    ) -> asyncio.Event:
        """Takes an outcome; a later one of the same claim replaces it.

        Args:
            record: The claim.
            outcome: What became of it.

        Returns:
            An event that is set once the outcome is saved.
        """
        done = asyncio.Event()
        group = self._groups.get(record.group)
        if group is None:
            done.set()
            return done
        group.outcomes[record.nonce] = outcome
        group.changes += 1
        group.waiting.append((group.changes, done))
        self._wake.set()
        return done

    def get_waiting(self) -> list[asyncio.Event]:
        """Returns an event for each outcome that is not saved yet."""
        return [
            done for group in self._groups.values() for _, done in group.waiting
        ]

    async def run(self) -> None:
        """Writes the groups, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            group = self._find_changed()
            if group is None:
                self._wake.clear()
                await self._wake.wait()
                continue
            wait_s = max(
                self._last_s + FLUSH_S - loop.time(), self._writer.get_wait_s()
            )
            if wait_s > 0:
                await asyncio.sleep(max(wait_s, record_writer.LEAST_WAIT_S))
                continue
            if self._writer.may_call():
                self._last_s = loop.time()
                await self._write(group)

    async def _write(self, group: Group) -> None:
        """Makes one attempt to write a group as it is now.

        Only this process writes it. So a conflict means that an earlier
        write of its own, whose reply was lost, has taken effect: the next
        one goes over that.
        """
        changes = group.changes
        data = idempotency.encode_group(group.outcomes)
        key = idempotency.GROUP_PREFIX + group.name
        result = await self._writer.write(key, data, group.revision)
        if result.is_error():
            return
        match result.ok:
            case api.Written(revision=revision):
                group.revision = revision
                group.saved = changes
                self._counters.count("idempotency.segments")
                while group.waiting and group.waiting[0][0] <= changes:
                    group.waiting.popleft()[1].set()
                self._drop_ended(group)
            case api.Conflicted(present=present):
                group.revision = present.revision if present else api.CREATE

    def _find_changed(self) -> Group | None:
        """Finds the oldest group with a change that is not saved."""
        for group in self._groups.values():
            if group.saved < group.changes:
                return group
        return None

    def _open(self, number: int) -> Group:
        """Makes a new group, within the bound."""
        group = Group(f"{self._prefix}.{number}")
        self._groups[group.name] = group
        if len(self._groups) > MAX_GROUPS:
            groups = list(self._groups.values())[:-1]
            saved = (each for each in groups if each.saved == each.changes)
            dropped = next(saved, groups[0])
            del self._groups[dropped.name]
            self.given_up += dropped.saved < dropped.changes
            for _, done in dropped.waiting:
                done.set()
        return group

    def _drop_ended(self, group: Group) -> None:
        """Forgets a group to which nothing can be added any more."""
        if (
            group is not self._present
            and group.open_claims <= 0
            and group.saved == group.changes
        ):
            with contextlib.suppress(KeyError):
                del self._groups[group.name]
