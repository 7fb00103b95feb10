"""The configuration in force on this VM.

It comes from the store through the few VMs that watch it, and from peers:
pushed on a change, asked for when a peer shows a higher revision. The rules
are in `policy.propagation` and `policy.contact`.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable, Sequence

import expression

from azureramp import blackboard, messages, resources
from azureramp.controllers import (
    applied,
    changes,
    majority,
    serving,
    store_link,
    writing,
)
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import propagation
from azureramp.ports.store import api as store_api

WATCH_S = 5.0
"""Longest wait of one watch, in seconds."""

RETRY_S = 0.5
"""Time between attempts to reach the store, in seconds."""

MAX_DOUBLINGS = 3
"""How often the time between failed confirmations doubles."""

TICK_SHARE = 0.5 / 1000
ACCEPTING_TICK_SHARE = 0.05 / 1000
"""Seconds between two ticks for each millisecond between heartbeats."""

STORE = "store"
"""The source of entries that came from the store."""

PEERS = "peers"
"""The source of entries that a majority of peers told in an outage."""


class Controller:
    """Keeps the configuration in force on this VM.

    Attributes:
        on_change: Called after each change of the configuration.
    """

    __slots__ = (
        "_board",
        "_changed",
        "_copy",
        "_link",
        "_majority",
        "_outbox",
        "_recorded",
        "_rng",
        "_serving",
        "_turn",
        "_writer",
        "on_change",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        store: store_api.Store,
    ) -> None:
        """Makes a controller that has nothing yet; see `run`."""
        self._board = board
        self._outbox = outbox
        self._copy = propagation.Copy()
        self._link = store_link.StoreLink(board, self._copy, store)
        self._majority = majority.Majority(board)
        self._serving = serving.make(board)
        self._changed = asyncio.Event()
        self._rng = random.Random(f"{board.settings.vm}/{board.incarnation}")
        self._turn = 0
        self._recorded = 0
        self._writer = writing.Writer(
            board,
            store,
            self._copy,
            self._link,
            self._majority,
            self._take_from_store,
            self._tick,
        )
        self.on_change: Callable[[], None] | None = None

    async def run(self) -> None:
        """Follows the store and the peers, forever."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_watch())
                group.create_task(self._run_confirmation())
                group.create_task(self._run_ticks())
        finally:
            self._writer.cancel()

    async def wait_beyond(self, revision: int, wait_s: float) -> None:
        """Waits until a revision is passed, or the time is over."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._board.configuration.revision <= revision:
                    await self._changed.wait()

    def get_accepted_s(self, revision: int) -> float:
        """Returns when a majority held a revision; infinity if it doesn't."""
        return self._majority.acceptance.get_accepted_s(revision)

    def select_since(self, after: int) -> propagation.Part:
        """Selects the changes since a revision, or the whole."""
        return self._copy.select_since(after)

    async def put(
        self,
        resource: resources.AnyResource,
        expected: int,
        change_id: str = "",
    ) -> expression.Result[resources.Versioned, changes.Refusal]:
        """Writes a resource if its revision is the expected one.

        Args:
            resource: The resource, already valid.
            expected: The revision that the operator saw; 0 for none.
            change_id: Unique among all changes; one is made if it is empty.

        Returns:
            The stored resource, or why it is not stored.
        """
        kind = resources.get_kind(resource)
        return await self._writer.make(
            changes.Change(
                kind,
                resource.name,
                resource,
                expected,
                change_id or secrets.token_hex(16),
            )
        )

    async def delete(
        self, kind: str, name: str, expected: int
    ) -> expression.Result[resources.Versioned, changes.Refusal]:
        """Deletes a resource if its revision is the expected one."""
        return await self._writer.make(
            changes.Change(kind, name, None, expected, "")
        )

    def receive_request(
        self, sender: str, message: messages.ConfigurationRequest
    ) -> None:
        """Answers a peer that lacks entries."""
        if self._board.configuration.revision > 0:
            self._send_since(message.after, [sender])

    def receive_update(
        self, sender: str, message: messages.ConfigurationUpdate
    ) -> None:
        """Takes entries from a peer."""
        part = propagation.Part(
            message.after, message.revision, message.entries
        )
        self._bring_into_force(self._copy.take_part(part), sender)

    def _take_from_store(
        self, changed: Sequence[resources.Versioned], before: int
    ) -> None:
        """Brings what the store told into force; see `writing.Take`."""
        self._bring_into_force(changed, STORE, before)

    async def _run_watch(self) -> None:
        """Holds the watch while this VM is one of those that do."""
        while True:
            changed = None
            before = self._board.configuration.revision
            if before > 0 and self._majority.is_watcher():
                changed = await self._link.watch(WATCH_S)
            if changed is None:
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))
            else:
                self._bring_into_force(changed, STORE, before)

    async def _run_confirmation(self) -> None:
        """Asks for the platform's confirmation when it is due.

        A VM that has no configuration yet asks too, once or until it has.
        """
        failures = 0
        while True:
            before = self._board.configuration.revision
            if before == 0 or self._majority.is_confirmation_due():
                changed = await self._link.confirm()
                failures = 0 if changed is not None else failures + 1
                if changed is not None:
                    self._install()
                    self._take_from_store(changed, before)
                self._tick()
            wait_s = self._board.settings.heartbeat_ms / 1000
            wait_s *= 2 ** min(failures, MAX_DOUBLINGS)
            await asyncio.sleep(wait_s * (0.5 + self._rng.random()))

    async def _run_ticks(self) -> None:
        """Takes acknowledgements in, more often while a change needs them."""
        while True:
            self._tick()
            self._ask_for_missing()
            share = TICK_SHARE
            if self._majority.is_accepting():
                share = ACCEPTING_TICK_SHARE
            await asyncio.sleep(self._board.settings.heartbeat_ms * share)

    def _tick(self) -> None:
        """Takes the acknowledgements in, and decides again what holds."""
        copied = self._copy.configuration
        starting = self._board.configuration.revision == 0
        if starting and self._majority.may_recover(copied.revision):
            self._install()
            self._bring_into_force(list(copied.entries.values()), PEERS)
        self._majority.update(self._link.confirmed_s)
        self._serving.update()

    def _ask_for_missing(self) -> None:
        """Asks one peer that shows a higher revision for what we lack."""
        revision = self._copy.configuration.revision
        ahead = [
            name
            for name, member in sorted(self._board.members.items())
            if name != self._board.settings.vm
            and max(member.revision, member.acknowledged_revision) > revision
        ]
        if ahead:
            self._turn += 1
            self._outbox.send(
                ahead[self._turn % len(ahead)],
                messages.ConfigurationRequest(after=revision),
            )

    def _send_since(self, after: int, receivers: Sequence[str]) -> None:
        """Sends the changes since a revision."""
        part = self._copy.select_since(after)
        now_s = asyncio.get_running_loop().time()
        message = messages.ConfigurationUpdate(
            revision=part.revision,
            after=part.after,
            confirmed_age_ms=(now_s - self._board.confirmed_s) * 1000,
            entries=part.entries,
        )
        for name in receivers:
            self._outbox.send(name, message)

    def _install(self) -> None:
        """Begins to use the copy, once it is this VM's of its own right."""
        self._board.configuration = self._copy.configuration

    def _bring_into_force(
        self,
        changed: Sequence[resources.Versioned],
        source: str,
        before: int | None = None,
    ) -> None:
        """Tells everybody here of changed entries, and the peers.

        Args:
            changed: The entries, already in the copy.
            source: Who told us.
            before: The revision from which on the peers are told; None if
                they are not, since what a peer told us it tells them too.
        """
        board = self._board
        if board.configuration is not self._copy.configuration:
            return
        revision = board.configuration.revision
        board.metrics.set_gauge("configuration.revision", revision)
        own = board.settings.vm
        if before is not None and (changed or revision > before):
            self._send_since(
                before, [name for name in board.members if name != own]
            )
        if not changed and revision == self._recorded:
            return
        self._recorded = revision
        board.timeline.record(
            applied.make_event(board.configuration, changed, source),
            asyncio.get_running_loop().time(),
        )
        self._changed.set()
        self._changed = asyncio.Event()
        self._tick()
        if changed and self.on_change is not None:
            self.on_change()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    store: store_api.Store,
) -> Controller:
    """Makes the configuration controller of one process."""
    return Controller(board, outbox, store)
