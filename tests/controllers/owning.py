"""One owner over in-memory searchers, for tests under virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism

from azureramp import (
    blackboard,
    events,
    messages,
    metrics,
    resources,
    settings,
)
from azureramp.controllers import outbox, owner
from azureramp.ports.peers import api as peers_api
from azureramp.ports.searchers import memory
from azureramp.ports.vmlist import api as vmlist_api

_T = TypeVar("_T")

VERSION = "stock.1"


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a test's coroutine under virtual time, to its end."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        return runner.run(coroutine)


class SentPeers:
    """Peer links that only keep what was sent.

    Attributes:
        sent: The messages with the addresses that they went to.
    """

    def __init__(self) -> None:
        """Begins with nothing sent."""
        self.sent: list[tuple[str, messages.PeerMessage]] = []

    async def start(self, handler: peers_api.Handler) -> None:
        """Receives nothing."""

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Keeps messages."""
        self.sent.extend((address, message) for message in batch)
        return True

    async def close(self) -> None:
        """Does nothing."""


def make_server(
    name: str, zone: str = "a", **fields: Any
) -> resources.BackendServer:
    """Makes a backend server with one searcher of the same name."""
    state = fields.pop("state", resources.ServerState.IN_SERVICE)
    searcher = resources.Searcher(name=name, address=f"{name}:1", **fields)
    return resources.BackendServer(
        name=f"server-{name}",
        service="stock",
        zone=zone,
        searchers=(searcher,),
        state=state,
    )


class Bench:
    """A VM `vm1` that owns searchers; `vm2` is the coordinator.

    Attributes:
        board: The VM's state.
        peers: What it sent.
        fleet: The searchers.
        owner: The owner.
    """

    def __init__(
        self,
        searchers: list[memory.Searcher],
        servers: list[resources.BackendServer],
        vm: str = "vm1",
    ) -> None:
        """Makes a VM that owns all of these servers' searchers."""
        self.peers = SentPeers()
        self.fleet = memory.Fleet(searchers)
        self.board = blackboard.Blackboard(
            settings.Settings(
                vm=vm,
                zone="a",
                http_address=f"{vm}:1",
                peer_address=f"{vm}:2",
                store_address="store:1",
                vmlist_address="list:1",
            ),
            1,
            events.Timeline(vm, wall=lambda: 0.0),
            metrics.Metrics(),
        )
        for name in ("vm1", "vm2", "vm3"):
            self.board.members[name] = blackboard.Member(
                vmlist_api.Vm(name, "a", f"{name}:1", f"{name}:2")
            )
        self.board.lease_until_s = 1e9
        for server in servers:
            self.put(server)
            for searcher in server.searchers:
                self.board.owners[searcher.name] = vm
                self.board.may_start_s[searcher.name] = 0.0
        out = outbox.Outbox(self.board, self.peers)
        self.owner = owner.make(
            self.board, out, memory.make(self.fleet), random.Random(1)
        )

    def put(self, resource: resources.AnyResource) -> None:
        """Brings a resource into force."""
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

    async def start(self, settle_s: float = 0.5) -> asyncio.Task[None]:
        """Starts the owner and lets the first probes pass."""
        running = asyncio.ensure_future(self.owner.run())
        await asyncio.sleep(settle_s)
        return running

    def send(self, *searchers: str, **fields: Any) -> None:
        """Sends a batch with one sub-request for each searcher named."""
        fields.setdefault("request_id", "r1")
        fields.setdefault("priority", resources.Priority.NORMAL)
        fields.setdefault("remaining_ms", 1000.0)
        fields.setdefault("fingerprint", 1)
        fields.setdefault("body", b"{}")
        first = fields.pop("first_part", 1)
        parts = tuple(
            messages.PartRequest(number, name, f"shard-{name}", 0, 100)
            for number, name in enumerate(searchers, first)
        )
        batch = messages.QueryBatch(
            index="stock", version=1, parts=parts, **fields
        )
        self.owner.receive_batch("vm2", batch)

    def get_results(self) -> dict[tuple[str, int], messages.PartResult]:
        """Returns the results sent back so far, by request and part."""
        return {
            (message.request_id, result.part): result
            for _, message in self.peers.sent
            if isinstance(message, messages.PartResults)
            for result in message.results
        }

    def get_events(self, wanted: type[_T]) -> list[_T]:
        """Returns the recorded events of a type."""
        return [
            record.event
            for record in self.board.timeline.get_records()
            if isinstance(record.event, wanted)
        ]
