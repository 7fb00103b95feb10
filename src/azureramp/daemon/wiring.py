"""Which controllers a daemon has, and how they are joined.

The same wiring serves the process with its real ports and the tests with
the in-memory ones.
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
    answers,
    caller_api,
    configuration,
    coordinator,
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

RESTART_S = 1.0
"""Pause before a controller's loop that failed runs again, in seconds."""

OPERATOR_PATHS = ("/v1/resources", "/v1/watch", "/v1/status", "/v1/timeline")

_logger = logbook.Logger("azureramp.wiring")


@dataclasses.dataclass(slots=True, frozen=True)
class Ports:
    """A daemon's ports.

    Attributes:
        store: The platform's key-value service.
        vmlist: The platform's VM list.
        peers: The links to the other daemons.
        searchers: The calls to searchers.
    """

    store: store_api.Store
    vmlist: vmlist_api.VmList
    peers: peers_api.Peers
    searchers: searchers_api.Searchers


class Daemon:
    """A daemon's controllers, joined.

    Attributes:
        board: The state that they share.
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
        """Makes the controllers; see `make`."""
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
        self._inbox = inbox.Inbox(board, self._make_receivers())
        self._outbox.local = self._inbox.receive_one
        self.membership.on_owners = self.owner.update_ownership
        self._configuration.on_change = self._follow_configuration

    def _make_receivers(self) -> inbox.Receivers:
        """Returns who takes which message."""
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
            envelope=self.membership.receive_envelope,
        )

    def _follow_configuration(self) -> None:
        """Lets a new configuration come into force in every controller."""
        self.membership.update()
        self.owner.update_ownership()
        self._serving.update()

    async def start(self, server: web_server.Server) -> None:
        """Starts everything.

        Args:
            server: The HTTP server, whose handler is `handle`.

        Raises:
            OSError: An address can't be listened on.
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
            _logger.exception("a request failed")
            failure = errors.Failure(errors.Kind.INTERNAL)
            return answers.make_error(failure)

    async def stop(self, cutting: asyncio.Event) -> int:
        """Stops gracefully.

        Args:
            cutting: Set once running work is to be cut.

        Returns:
            How many requests were cut.
        """
        assert self._server is not None
        stopping = shutdown.make(
            self.board,
            self.membership,
            self.owner,
            _RunsAndRecords(self.coordinator, self._records),
            self._server,
        )
        cut = await stopping.run(cutting)
        await self.kill()
        return cut

    async def kill(self) -> None:
        """Ends every loop at once and closes the ports."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        for port in dataclasses.fields(self._ports):
            await getattr(self._ports, port.name).close()


class _RunsAndRecords:
    """Drains first what may not be repeated, then the records.

    A run whose caller has gone has no HTTP request any more that the server
    would wait for, and its record can be written only after its end.
    """

    __slots__ = ("_coordinator", "_records")

    def __init__(
        self, runs: coordinator.Coordinator, records: idempotency.Records
    ) -> None:
        """Makes a drain of both."""
        self._coordinator = runs
        self._records = records

    async def drain(self, limit_s: float) -> None:
        """Waits for both, within a limit in seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        await self._coordinator.drain(limit_s)
        await self._records.drain(max(0.0, end_s - loop.time()))


async def _keep_running(
    name: str, run: Callable[[], Coroutine[Any, Any, None]]
) -> None:
    """Runs a controller's loop; after a bug in it, logs and runs it again.

    A bug that one message triggers reaches all VMs. If it ended the process,
    the whole tier would be gone at once, so the loop begins anew instead.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            _logger.exception("the {} controller failed", name)
        await asyncio.sleep(RESTART_S)


def make(
    daemon_settings: settings.Settings,
    incarnation: int,
    timeline: timelines.Timeline,
    counters: metrics.Metrics,
    ports: Ports,
) -> Daemon:
    """Makes a daemon that has not started.

    Args:
        daemon_settings: The checked settings.
        incarnation: Higher than any earlier process's on this VM.
        timeline: Where its events go.
        counters: Its metrics.
        ports: Its ports.
    """
    board = blackboard.Blackboard(
        daemon_settings, incarnation, timeline, counters
    )
    return Daemon(board, ports)
