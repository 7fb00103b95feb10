"""Owners with in-memory searchers, for tests with virtual time."""

from __future__ import annotations

import asyncio
import random
import warnings
import zlib
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import async_solipsism

from azureramp import (
    blackboard,
    messages,
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.controllers import outbox, owner
from azureramp.ports.peers import api as peers_api
from azureramp.ports.searchers import api as searchers_api
from azureramp.ports.searchers import memory
from azureramp.ports.vmlist import api as vmlist_api

_T = TypeVar("_T")

VERSION = "stock.1"
LEASE_MS = 1500
HOP_S = 0.001


class Loop(async_solipsism.EventLoop):  # type: ignore[misc]
    """A virtual-time loop whose clock can jump, as after a process pause.

    Attributes:
        jumped_s: The total of the jumps, in seconds.
        owners: The owners to stop at the end of the test.
    """

    def __init__(self) -> None:
        """Creates a loop whose clock has not jumped."""
        super().__init__()
        self.jumped_s = 0.0
        self.owners: list[owner.Owner] = []

    def time(self) -> float:
        """Returns the clock's time including jumps, in seconds."""
        return float(super().time()) + self.jumped_s


def get_loop() -> Loop:
    """Returns the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, Loop)
    return loop


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a test's coroutine to completion with virtual time."""

    async def run_and_stop() -> _T:
        try:
            return await coroutine
        finally:
            for started in get_loop().owners:
                await started.drain(0.0)

    with warnings.catch_warnings():
        # Because of rounding, two timers may differ by less than the clock's
        # resolution; the loop then runs both in one iteration, as a real loop
        # does.
        warnings.simplefilter("ignore", async_solipsism.ResolutionWarning)
        with asyncio.Runner(loop_factory=Loop) as runner:
            return runner.run(run_and_stop())


class TestPeers:
    """Peer links that record messages and deliver them to other benches.

    Attributes:
        sent: The sent messages with their target addresses.
        routes: The receivers of messages by address.
        is_lost: Returns True if a message is to be lost.
    """

    __test__ = False

    def __init__(self) -> None:
        """Creates links without messages and routes."""
        self.sent: list[tuple[str, messages.PeerMessage]] = []
        self.routes: dict[str, Callable[[messages.PeerMessage], None]] = {}
        self.is_lost: Callable[[messages.PeerMessage], bool] = lambda _: False

    async def start(self, handler: peers_api.Handler) -> None:
        """Does nothing: messages arrive through `routes`."""

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Records messages and delivers them if there is a route."""
        loop = asyncio.get_running_loop()
        for message in batch:
            self.sent.append((address, message))
            route = self.routes.get(address)
            if route is not None and not self.is_lost(message):
                loop.call_later(HOP_S, route, message)
        return True

    def reconnect(self, address: str) -> None:
        """Does nothing: these links never fail."""

    async def close(self) -> None:
        """Does nothing."""


def make_server(
    name: str, zone: str = "a", **fields: Any
) -> resources.BackendServer:
    """Creates a backend server with one searcher of that name."""
    state = fields.pop("state", resources.ServerState.IN_SERVICE)
    searcher = resources.Searcher(name=name, address=f"{name}:1", **fields)
    return resources.BackendServer(
        name=f"server-{name}",
        service="stock",
        zone=zone,
        searchers=(searcher,),
        state=state,
    )


def make_searcher(name: str, **fields: Any) -> memory.Searcher:
    """Creates a searcher process."""
    fields.setdefault("versions", (VERSION,))
    return memory.Searcher(f"{name}:1", **fields)


class Bench:
    """A VM that owns searchers; the VM `asker` sends it sub-requests.

    Attributes:
        vm: The VM's name.
        board: The VM's blackboard.
        peers: The messages that it sent.
        fleet: The searchers.
        port: Calls the searchers.
        owner: The owner controller.
    """

    def __init__(
        self,
        fleet: memory.Fleet,
        servers: list[resources.BackendServer],
        vm: str = "vm1",
        vms: tuple[str, ...] = ("vm1", "vm2", "vm3"),
    ) -> None:
        """Creates a VM that owns all searchers of the servers."""
        self.vm = vm
        self.peers = TestPeers()
        self.fleet = fleet
        self.board = blackboard.Blackboard(
            settings.Settings(
                vm=vm,
                zone="a",
                http_address=f"{vm}:1",
                peer_address=f"{vm}:2",
                store_address="store:1",
                vmlist_address="list:1",
                lease_ms=LEASE_MS,
            ),
            1,
            timelines.Timeline(vm, wall_clock=lambda: 0.0),
            metrics.Metrics(),
        )
        for name in (*vms, "asker"):
            self.board.members[name] = blackboard.Member(
                vmlist_api.Vm(name, "a", f"{name}:1", f"{name}:2")
            )
        self.board.lease_until_s = 1e9
        self.board.may_work_until_s = 1e9
        for server in servers:
            self.put(server)
            for searcher in server.searchers:
                self.board.owners[searcher.name] = vm
                self.board.usable_from_s[searcher.name] = 0.0
        self.port: searchers_api.Searchers = memory.make(fleet)
        self.owner = owner.make(
            self.board,
            outbox.Outbox(self.board, self.peers),
            self.port,
            random.Random(vm),
        )

    def put(self, resource: resources.AnyResource) -> None:
        """Applies a resource as the configuration's controller would."""
        configuration = self.board.configuration
        configuration.revision += 1
        kind = next(
            kind
            for kind, made in resources.KINDS.items()
            if isinstance(resource, made)
        )
        configuration.entries[(kind, resource.name)] = resources.Versioned(
            resource, kind, resource.name, configuration.revision
        )

    def receive(self, sender: str, message: messages.PeerMessage) -> None:
        """Passes a message from another VM to the owner."""
        match message:
            case messages.QueryBatch():
                self.owner.receive_batch(sender, message)
            case messages.Cancel():
                self.owner.receive_cancel(sender, message)
            case messages.Handoff():
                self.owner.receive_handoff(sender, message)
            case messages.HandoffDone():
                self.owner.receive_handoff_done(sender, message)
            case messages.CrashNotice():
                self.owner.receive_crash_notice(sender, message)
            case _:
                pass

    async def start(self, settle_s: float = 0.5) -> asyncio.Task[None]:
        """Starts the owner and waits for the first probes."""
        get_loop().owners.append(self.owner)
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(settle_s)
        return running

    def send(self, *searchers: str, **fields: Any) -> None:
        """Sends a batch with one sub-request for each named searcher."""
        self.owner.receive_batch("asker", make_batch(*searchers, **fields))

    def get_results(self) -> dict[tuple[str, int], messages.PartResult]:
        """Returns the results sent so far, by request and part."""
        return {
            (message.request_id, result.part): result
            for _, message in self.peers.sent
            if isinstance(message, messages.PartResults)
            for result in message.results
        }

    def get_kinds(self) -> dict[str, str]:
        """Returns `ok` or the failure kind of each request's first part."""
        return {
            request_id: get_kind(result)
            for (request_id, part), result in self.get_results().items()
            if part == 1
        }

    def get_events(self, wanted: type[_T]) -> list[_T]:
        """Returns the recorded events of a type."""
        return [
            record.event
            for record in self.board.timeline.get_records()
            if isinstance(record.event, wanted)
        ]


def get_kind(result: messages.PartResult) -> str:
    """Returns `ok` for a success or else the failure's kind."""
    return result.kind if isinstance(result, messages.PartFailed) else "ok"


def make_batch(*searchers: str, **fields: Any) -> messages.QueryBatch:
    """Creates a batch with one sub-request for each named searcher."""
    fields.setdefault("request_id", "r1")
    fields.setdefault("priority", resources.Priority.NORMAL)
    fields.setdefault("remaining_ms", 1000.0)
    fields.setdefault("fingerprint", zlib.crc32(fields["request_id"].encode()))
    fields.setdefault("body", b"{}")
    parts = tuple(
        messages.PartRequest(number, name, f"shard-{name}", 0, 100)
        for number, name in enumerate(searchers, fields.pop("first_part", 1))
    )
    return messages.QueryBatch(index="stock", version=1, parts=parts, **fields)


def make_bench(searcher: memory.Searcher | None = None, **fields: Any) -> Bench:
    """Creates a VM that owns only the searcher `s1`."""
    searcher = searcher or make_searcher("s1", service_time_sigma=0.0)
    return Bench(memory.Fleet([searcher]), [make_server("s1", **fields)])


def connect(benches: list[Bench]) -> None:
    """Connects VMs so that they exchange messages."""
    for source in benches:
        for target in benches:
            if source is not target:
                source.peers.routes[f"{target.vm}:2"] = _make_route(
                    source, target
                )


def _make_route(
    source: Bench, target: Bench
) -> Callable[[messages.PeerMessage], None]:
    """Creates the function that delivers one VM's messages to another."""
    return lambda message: target.receive(source.vm, message)
