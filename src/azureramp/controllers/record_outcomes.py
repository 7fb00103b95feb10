"""Writes the outcomes of requests to the store in batches.

Each claim names the group that will hold its outcome. A group is one value in
the store that only this process writes, so outcomes that arrive within a short
time share a write. The guarantee that a request runs at most once does not
depend on groups: they only determine the answer to a retry.
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

FLUSH_INTERVAL_S = 0.1
"""Minimum time between two writes, in seconds; the first is not delayed."""

MAX_GROUPS = 100
"""Maximum number of groups in memory; beyond it the oldest saved group is
dropped, or the oldest one if none is saved."""


@dataclasses.dataclass(slots=True)
class Group:
    """The in-memory state of one group.

    Attributes:
        name: The name, which is the end of the store key.
        claims: Number of claims that name the group.
        open_claims: Number of these that have no final outcome yet.
        outcomes: The outcomes by nonce.
        revision: The store revision of the value; `api.NO_REVISION` for none.
        saved: Number of changes of `outcomes` that are in the store.
        changes: Number of changes of `outcomes` in total.
        pending: The number of each unsaved change, with an event that is set
            once the change is saved.
    """

    name: str
    claims: int = 0
    open_claims: int = 0
    outcomes: idempotency.Outcomes = dataclasses.field(default_factory=dict)
    revision: int = api.NO_REVISION
    saved: int = 0
    changes: int = 0
    pending: collections.deque[tuple[int, asyncio.Event]] = dataclasses.field(
        default_factory=collections.deque
    )


class RecordOutcomes:
    """The groups of one process, and the task that writes them.

    Attributes:
        dropped_count: Number of groups dropped unsaved because of `MAX_GROUPS`.
    """

    __slots__ = (
        "_counters",
        "_current",
        "_groups",
        "_last_write_s",
        "_prefix",
        "_wake",
        "_writer",
        "dropped_count",
    )

    def __init__(
        self,
        writer: record_writer.RecordWriter,
        counters: metrics.Metrics,
        prefix: str,
    ) -> None:
        """Creates the groups of a new process.

        Args:
            writer: Writes the groups.
            counters: Metrics that count the writes of groups.
            prefix: The prefix of this process's group names, unique among all
                processes.
        """
        self._writer = writer
        self._counters = counters
        self._prefix = prefix
        self._groups: collections.OrderedDict[str, Group] = (
            collections.OrderedDict()
        )
        self._current = self._open_group(0)
        self._last_write_s = -FLUSH_INTERVAL_S
        self._wake = asyncio.Event()
        self.dropped_count = 0

    def assign_group(self) -> str:
        """Returns the name of the group for the outcome of a new claim."""
        if self._current.claims >= idempotency.MAX_GROUP_CLAIMS:
            number = int(self._current.name.rpartition(".")[2])
            self._current = self._open_group(number + 1)
        self._current.claims += 1
        self._current.open_claims += 1
        return self._current.name

    def close_claim(self, name: str) -> None:
        """Records that a claim gets no further outcome."""
        group = self._groups.get(name)
        if group is not None:
            group.open_claims -= 1
            self._drop_if_complete(group)

    def add(
        self, record: idempotency.Record, outcome: idempotency.Outcome
    ) -> asyncio.Event:
        """Adds an outcome; a later one of the same claim replaces it.

        Args:
            record: The claim.
            outcome: The claim's outcome.

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
        group.pending.append((group.changes, done))
        self._wake.set()
        return done

    def get_pending(self) -> list[asyncio.Event]:
        """Returns an event for each outcome that is not yet saved."""
        return [
            done for group in self._groups.values() for _, done in group.pending
        ]

    async def run(self) -> None:
        """Writes changed groups, forever."""
        loop = asyncio.get_running_loop()
        while True:
            group = self._find_changed()
            if group is None:
                self._wake.clear()
                await self._wake.wait()
                continue
            wait_s = max(
                self._last_write_s + FLUSH_INTERVAL_S - loop.time(),
                self._writer.get_wait_s(),
            )
            if wait_s > 0:
                await asyncio.sleep(max(wait_s, record_writer.MIN_WAIT_S))
                continue
            if self._writer.may_call():
                self._last_write_s = loop.time()
                await self._write(group)

    async def _write(self, group: Group) -> None:
        """Makes one attempt to write a group in its current state.

        Only this process writes the group. So a conflict means that an
        earlier write of this process, whose reply was lost, has taken effect:
        the next write replaces that one's value.
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
                while group.pending and group.pending[0][0] <= changes:
                    group.pending.popleft()[1].set()
                self._drop_if_complete(group)
            case api.Conflict(current=current):
                group.revision = (
                    current.revision if current else api.NO_REVISION
                )

    def _find_changed(self) -> Group | None:
        """Returns the oldest group that has an unsaved change."""
        for group in self._groups.values():
            if group.saved < group.changes:
                return group
        return None

    def _open_group(self, number: int) -> Group:
        """Creates a group; drops one if there are more than `MAX_GROUPS`."""
        group = Group(f"{self._prefix}.{number}")
        self._groups[group.name] = group
        if len(self._groups) > MAX_GROUPS:
            groups = list(self._groups.values())[:-1]
            saved = (each for each in groups if each.saved == each.changes)
            dropped = next(saved, groups[0])
            del self._groups[dropped.name]
            self.dropped_count += dropped.saved < dropped.changes
            for _, done in dropped.pending:
                done.set()
        return group

    def _drop_if_complete(self, group: Group) -> None:
        """Drops a saved group to which nothing more can be added."""
        if (
            group is not self._current
            and group.open_claims <= 0
            and group.saved == group.changes
        ):
            with contextlib.suppress(KeyError):
                del self._groups[group.name]
