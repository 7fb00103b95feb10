"""Creation and connection of a daemon's controllers.

The daemon process uses it with real ports, tests with in-memory ports.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable, Coroutine
from typing import Any

import logbook

from azureramp import (
    blackboard,
    errors,
    events,
    messages,
    metrics,
    settings,
    timelines,
)
from azureramp.controllers import (
    caller_api,
    configuration,
    coordinator,
    http_responses,
    idempotency,
    inbox,
    membership,
    outbox,
    owner,
    resource_api,
    serving,
    shutdown,
)
from azureramp.ports.peers import api as peers_api
from azureramp.ports.searchers import api as searchers_api
from azureramp.ports.store import api as store_api
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.web import api as web_api
from azureramp.ports.web import server as web_server

RESTART_DELAY_S = 1.0
"""Delay before the loop of a failed controller restarts, in seconds."""

OPERATOR_PATHS = ("/v1/resources", "/v1/watch", "/v1/status", "/v1/timeline")

_logger = logbook.Logger("azureramp.wiring")


@dataclasses.dataclass(slots=True, frozen=True)
class Ports:
    """The ports of a daemon: its connections to other processes.

    Attributes:
        store: The platform's key-value service.
        vmlist: The platform's VM list.
        peers: The message transport between daemons.
        searchers: The client of the searchers.
    """

    store: store_api.Store
    vmlist: vmlist_api.VmList
    peers: peers_api.Peers
    searchers: searchers_api.Searchers


class Daemon:
    """The connected controllers of a daemon.

    Attributes:
        board: The state that the controllers share.
        coordinator: Runs the requests that this VM accepts.
        membership: Tracks the other VMs.
        owner: Calls the searchers that this VM owns.
    """

    __slots__ = (
        "_caller_api",
        "_configuration",
        "_inbox",
        "_outbox",
        "_ports",
        "_records",
        "_resource_api",
        "_server",
        "_serving",
        "_tasks",
        "board",
        "coordinator",
        "membership",
        "owner",
    )

    def __init__(self, board: blackboard.Blackboard, ports: Ports) -> None:
        """Creates and connects the controllers; see `make`."""
        rng = random.Random(f"{board.settings.vm}/{board.incarnation}")
        self.board = board
        self._ports = ports
        self._tasks: list[asyncio.Task[None]] = []
        self._server: web_server.Server | None = None
        self._outbox = outbox.Outbox(board, ports.peers)
        self._records = idempotency.make(board, ports.store, rng)
        self.owner = owner.make(board, self._outbox, ports.searchers, rng)
        self.coordinator = coordinator.make(
            board, self._outbox, self._records, rng
        )
        self.membership = membership.make(board, self._outbox, ports.vmlist)
        self._configuration = configuration.make(
            board, self._outbox, ports.store
        )
        self._serving = serving.make(board)
        self._caller_api = caller_api.make(board, self.coordinator, rng)
        self._resource_api = resource_api.make(board, self._configuration)
        self._inbox = inbox.Inbox(board, self._make_message_handlers())
        self._outbox.on_local_message = self._inbox.receive_message
        self.membership.on_owners_changed = self.owner.update_ownership
        self._configuration.on_changed = self._apply_configuration

    def _make_message_handlers(self) -> inbox.Receivers:
        """Returns the handler of each message type."""
        return inbox.Receivers(
            by_type={
                messages.QueryBatch: self.owner.receive_batch,
                messages.Cancel: self.owner.receive_cancel,
                messages.PartResults: self.coordinator.receive_results,
                messages.PartsLate: self.coordinator.receive_late,
                messages.Handoff: self.owner.receive_handoff,
                messages.HandoffDone: self.owner.receive_handoff_done,
                messages.CrashNotice: self.owner.receive_crash_notice,
                messages.Heartbeat: self.membership.receive_heartbeat,
                messages.HeartbeatAck: self.membership.receive_heartbeat_ack,
                messages.ConfigurationRequest: (
                    self._configuration.receive_request
                ),
                messages.ConfigurationUpdate: (
                    self._configuration.receive_update
                ),
            },
            on_envelope=self.membership.receive_envelope,
        )

    def _apply_configuration(self) -> None:
        """Applies a new configuration in the controllers that depend on it."""
        self.membership.update()
        self.owner.update_ownership()
        self._serving.update()

    async def start(self, server: web_server.Server) -> None:
        """Starts the ports, the HTTP server and the controllers' loops.

        Args:
            server: The HTTP server, whose handler is `handle`.

        Raises:
            OSError: The daemon can't listen on an address.
        """
        loop = asyncio.get_running_loop()
        self._server = server
        started = events.ProcessStarted(
            incarnation=self.board.incarnation, zone=self.board.settings.zone
        )
        self.board.timeline.record(started, loop.time())
        await self._ports.peers.start(self._inbox.receive)
        await server.start()
        for name, run in (
            ("membership", self.membership.run),
            ("configuration", self._configuration.run),
            ("owner", self.owner.run),
            ("records", self._records.run),
        ):
            self._tasks.append(asyncio.create_task(_keep_running(name, run)))

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one HTTP request; see `web_api.Handler`."""
        try:
            if request.path.startswith(OPERATOR_PATHS):
                return await self._resource_api.handle(request)
            return await self._caller_api.handle(request)
        except Exception:
            _logger.exception("unhandled exception in a request handler")
            failure = errors.Failure(errors.Kind.INTERNAL)
            return http_responses.make_error(failure)

    async def stop(self, aborting: asyncio.Event) -> int:
        """Stops gracefully.

        Args:
            aborting: Set it to abort the requests that are still running.

        Returns:
            The number of aborted requests.
        """
        assert self._server is not None
        stopping = shutdown.make(
            self.board,
            self.membership,
            self.owner,
            _DrainSequence(self.coordinator, self._records),
            self._server,
        )
        aborted = await stopping.run(aborting)
        await self.abort()
        return aborted

    async def abort(self) -> None:
        """Cancels the controllers' loops immediately and closes the ports."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for port in dataclasses.fields(self._ports):
            await getattr(self._ports, port.name).close()


class _DrainSequence:
    """Drains the coordinator first, then the idempotency records.

    If a caller disconnects while its non-idempotent request is running, no
    HTTP request is left for the server to wait for, so the coordinator must
    be drained separately. The record of such a run can be written only after
    the run has ended.
    """

    __slots__ = ("_coordinator", "_records")

    def __init__(
        self,
        request_coordinator: coordinator.Coordinator,
        records: idempotency.IdempotencyRecords,
    ) -> None:
        """Initializes the drain of both."""
        self._coordinator = request_coordinator
        self._records = records

    async def drain(self, limit_s: float) -> None:
        """Drains both within a shared time limit in seconds."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limit_s
        await self._coordinator.drain(limit_s)
        await self._records.drain(max(0.0, deadline_s - loop.time()))


async def _keep_running(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a controller's loop and restarts it after an unhandled exception.

    A message that triggers a bug may reach all VMs. If the exception ended
    the process, all daemons of the tier could exit at the same time;
    therefore it is logged and the loop restarts after `RESTART_DELAY_S`.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            _logger.exception(
                "the {} controller failed; restarting its loop", name
            )
        await asyncio.sleep(RESTART_DELAY_S)


def make(
    daemon_settings: settings.Settings,
    incarnation: int,
    timeline: timelines.Timeline,
    counters: metrics.Metrics,
    ports: Ports,
) -> Daemon:
    """Creates a daemon without starting it.

    Args:
        daemon_settings: The validated settings.
        incarnation: The start number of this process; must be higher than
            that of every earlier process on this VM.
        timeline: Records the daemon's events.
        counters: The daemon's metrics.
        ports: The daemon's ports.

    Returns:
        The daemon.
    """
    board = blackboard.Blackboard(
        daemon_settings, incarnation, timeline, counters
    )
    return Daemon(board, ports)
