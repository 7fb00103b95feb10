"""The configuration in force on this VM.

It comes from the store on the few VMs that watch the store, and from peers on
the others: peers push changes, and a VM requests entries from a peer that
reports a higher revision. The rules are in `policy.configuration_copy` and
`policy.quorum_contact`.
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
    applied_event,
    changes,
    majority,
    serving,
    store_link,
    writing,
)
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import configuration_copy
from azureramp.ports.store import api as store_api

WATCH_S = 5.0
"""Maximum duration of one watch call, in seconds."""

RETRY_S = 0.5
"""Time between attempts to reach the store, in seconds."""

MAX_DOUBLINGS = 3
"""How often the interval doubles after failed confirmations."""

TICK_S_PER_HEARTBEAT_MS = 0.5 / 1000
ACCEPTING_TICK_S_PER_HEARTBEAT_MS = 0.05 / 1000
"""The interval between ticks in seconds, per millisecond of the heartbeat
interval. The shorter one applies while a change waits for acceptance."""

STORE = "store"
"""The source of entries that came from the store."""

PEERS = "peers"
"""The source of entries that came from a majority of peers in an outage."""


class ConfigurationController:
    """Keeps the configuration in force on this VM.

    Attributes:
        on_changed: Called after each change of the configuration.
    """

    __slots__ = (
        "_board",
        "_changed",
        "_copy",
        "_link",
        "_majority",
        "_next_peer",
        "_outbox",
        "_recorded_revision",
        "_rng",
        "_serving",
        "_writer",
        "on_changed",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        store: store_api.Store,
    ) -> None:
        """Creates a controller without a configuration; see `run`."""
        self._board = board
        self._outbox = outbox
        self._copy = configuration_copy.ConfigurationCopy()
        self._link = store_link.StoreLink(board, self._copy, store)
        self._majority = majority.Majority(board)
        self._serving = serving.make(board)
        self._changed = asyncio.Event()
        self._rng = random.Random(f"{board.settings.vm}/{board.incarnation}")
        self._next_peer = 0
        self._recorded_revision = 0
        self._writer = writing.Writer(
            board,
            store,
            self._copy,
            self._link,
            self._majority,
            self._announce_from_store,
            self._update,
        )
        self.on_changed: Callable[[], None] | None = None

    async def run(self) -> None:
        """Follows the store and the peers, forever."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_watch())
                group.create_task(self._run_confirmation())
                group.create_task(self._run_ticks())
        finally:
            self._writer.cancel()

    async def wait_for_newer(self, revision: int, wait_s: float) -> None:
        """Waits for a revision higher than the given one.

        Args:
            revision: The revision to exceed.
            wait_s: Maximum time to wait, in seconds.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._board.configuration.revision <= revision:
                    await self._changed.wait()

    def get_acceptance_time_s(self, revision: int) -> float:
        """Returns when a majority had a revision, on the loop's clock.

        Returns infinity if no majority has it yet.
        """
        return self._majority.acceptance.get_accepted_s(revision)

    def select_since(self, after: int) -> configuration_copy.Update:
        """Selects the changes since a revision, or the full configuration."""
        return self._copy.make_update(after)

    async def put(
        self,
        resource: resources.AnyResource,
        expected: int,
        change_id: str = "",
    ) -> expression.Result[resources.Versioned, changes.Refusal]:
        """Writes a resource if its revision is the expected one.

        Args:
            resource: The resource, already validated.
            expected: The revision that the operator read; 0 for none.
            change_id: Unique among all changes; generated if empty.

        Returns:
            The stored resource, or the reason why it was not stored.
        """
        kind = resources.get_kind(resource)
        return await self._writer.execute(
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
        return await self._writer.execute(
            changes.Change(kind, name, None, expected, "")
        )

    def receive_request(
        self, sender: str, message: messages.ConfigurationRequest
    ) -> None:
        """Sends entries to a peer that requested them."""
        if self._board.configuration.revision > 0:
            self._send_since(message.after, [sender])

    def receive_update(
        self, sender: str, message: messages.ConfigurationUpdate
    ) -> None:
        """Applies entries received from a peer."""
        part = configuration_copy.Update(
            message.after, message.revision, message.entries
        )
        self._announce_changes(self._copy.apply_update(part), sender)

    def _announce_from_store(
        self, changed: Sequence[resources.Versioned], before: int
    ) -> None:
        """Applies entries from the store; see `writing.ApplyEntries`."""
        self._announce_changes(changed, STORE, before)

    async def _run_watch(self) -> None:
        """Watches the store while this VM is one of the watchers."""
        while True:
            changed = None
            before = self._board.configuration.revision
            if before > 0 and self._majority.is_watcher():
                changed = await self._link.watch(WATCH_S)
            if changed is None:
                await asyncio.sleep(RETRY_S * (0.5 + self._rng.random()))
            else:
                self._announce_changes(changed, STORE, before)

    async def _run_confirmation(self) -> None:
        """Requests the platform's confirmation when it is due.

        A VM without a configuration requests it too, until it has one.
        """
        failures = 0
        while True:
            before = self._board.configuration.revision
            if before == 0 or self._majority.is_confirmation_due():
                changed = await self._link.confirm()
                failures = 0 if changed is not None else failures + 1
                if changed is not None:
                    self._publish_copy()
                    self._announce_from_store(changed, before)
                self._update()
            wait_s = self._board.settings.heartbeat_ms / 1000
            wait_s *= 2 ** min(failures, MAX_DOUBLINGS)
            await asyncio.sleep(wait_s * (0.5 + self._rng.random()))

    async def _run_ticks(self) -> None:
        """Evaluates acknowledgements; more often while a change needs them."""
        while True:
            self._update()
            self._request_missing()
            tick_s_per_ms = TICK_S_PER_HEARTBEAT_MS
            if self._majority.is_accepting():
                tick_s_per_ms = ACCEPTING_TICK_S_PER_HEARTBEAT_MS
            await asyncio.sleep(
                self._board.settings.heartbeat_ms * tick_s_per_ms
            )

    def _update(self) -> None:
        """Evaluates the acknowledgements and updates the derived state."""
        copied = self._copy.configuration
        starting = self._board.configuration.revision == 0
        if starting and self._majority.may_recover(copied.revision):
            self._publish_copy()
            self._announce_changes(list(copied.entries.values()), PEERS)
        self._majority.update(self._link.confirmed_s)
        self._serving.update()

    def _request_missing(self) -> None:
        """Requests missing entries from one peer with a higher revision."""
        revision = self._copy.configuration.revision
        ahead = [
            name
            for name, member in sorted(self._board.members.items())
            if name != self._board.settings.vm
            and max(member.revision, member.acknowledged_revision) > revision
        ]
        if ahead:
            self._next_peer += 1
            self._outbox.send(
                ahead[self._next_peer % len(ahead)],
                messages.ConfigurationRequest(after=revision),
            )

    def _send_since(self, after: int, receivers: Sequence[str]) -> None:
        """Sends the changes since a revision."""
        part = self._copy.make_update(after)
        now_s = asyncio.get_running_loop().time()
        message = messages.ConfigurationUpdate(
            revision=part.revision,
            after=part.after,
            confirmed_age_ms=(now_s - self._board.confirmed_s) * 1000,
            entries=part.entries,
        )
        for name in receivers:
            self._outbox.send(name, message)

    def _publish_copy(self) -> None:
        """Puts the copy on the blackboard.

        Call it once the store or a majority has confirmed the copy.
        """
        self._board.configuration = self._copy.configuration

    def _announce_changes(
        self,
        changed: Sequence[resources.Versioned],
        source: str,
        before: int | None = None,
    ) -> None:
        """Announces changed entries to this VM's controllers and to peers.

        Args:
            changed: The entries, already in the copy.
            source: Where the entries came from: `STORE`, `PEERS` or a VM.
            before: Peers are sent the changes after this revision. None to
                send nothing, since a peer that sends entries sends them to
                all other VMs too.
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
        if not changed and revision == self._recorded_revision:
            return
        self._recorded_revision = revision
        board.timeline.record(
            applied_event.make_applied_event(
                board.configuration, changed, source
            ),
            asyncio.get_running_loop().time(),
        )
        self._changed.set()
        self._changed = asyncio.Event()
        self._update()
        if changed and self.on_changed is not None:
            self.on_changed()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    store: store_api.Store,
) -> ConfigurationController:
    """Creates the configuration controller of one process."""
    return ConfigurationController(board, outbox, store)
