"""The configuration controllers of several VMs, over in-memory ports."""

from __future__ import annotations

import asyncio
import hashlib

import msgspec

from azureramp import (
    blackboard,
    messages,
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.controllers import (
    configuration,
    inbox,
    membership,
    outbox,
    resource_api,
)
from azureramp.ports.peers import memory as peers_memory
from azureramp.ports.store import counting as store_counting
from azureramp.ports.store import memory as store_memory
from azureramp.ports.store import state as store_state
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.vmlist import memory as vmlist_memory
from azureramp.ports.web import api as web_api

TOKEN = "operator"


class Process:
    """One VM's process, reduced to membership and configuration."""

    def __init__(self, deployment: Deployment, number: int, start: int) -> None:
        self.name = f"vm-{number}"
        self.board = blackboard.Blackboard(
            settings.Settings(
                vm=self.name,
                zone="abc"[number % 3],
                http_address=f"127.0.0.1:{8000 + number}",
                peer_address=self.name,
                store_address="",
                vmlist_address="",
                operator_token_sha256=hashlib.sha256(
                    TOKEN.encode()
                ).hexdigest(),
            ),
            start * 1000,
            timelines.Timeline(self.name, wall_clock=lambda: 0.0),
            metrics.Metrics(),
        )
        self.store = deployment.stores[number]
        self.port = peers_memory.MemoryPeers(
            deployment.network,
            self.name,
            self.name,
            self.board.incarnation,
            self.board.timeline,
        )
        out = outbox.Outbox(self.board, self.port)
        self.membership = membership.make(self.board, out, deployment.vmlist)
        self.configuration = configuration.make(
            self.board,
            out,
            store_counting.CountingStore(self.store, self.board.metrics),
        )
        self.api = resource_api.make(self.board, self.configuration)
        self._inbox = inbox.Inbox(
            self.board,
            inbox.Receivers(
                {
                    messages.Heartbeat: self.membership.receive_heartbeat,
                    messages.HeartbeatAck: (
                        self.membership.receive_heartbeat_ack
                    ),
                    messages.ConfigurationRequest: (
                        self.configuration.receive_request
                    ),
                    messages.ConfigurationUpdate: (
                        self.configuration.receive_update
                    ),
                },
                self.membership.receive_envelope,
            ),
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        await self.port.start(self._inbox.receive)
        for run in (self.membership.run, self.configuration.run):
            self._tasks.append(asyncio.create_task(run()))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)
        await self.port.close()

    def may_work(self) -> bool:
        """Returns True if new work may be sent now."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self.board.may_work_until_s

    def get_zones_out(self) -> set[str]:
        zones = self.board.configuration.get_zones().values()
        out = resources.ZoneState.OUT
        return {zone.name for zone in zones if zone.state is out}

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        token: str = TOKEN,
        **query: str,
    ) -> web_api.Response:
        headers = {"authorization": f"Bearer {token}"}
        return await self.api.handle(
            web_api.Request(method, path, query, headers, body)
        )

    async def put(
        self, resource: resources.AnyResource, expected: int = 0
    ) -> web_api.Response:
        kind = resources.get_kind(resource)
        return await self.ask(
            "PUT",
            f"/v1/resources/{kind}/{resource.name}",
            msgspec.json.encode(resource),
            expected=str(expected),
        )


class Deployment:
    """VMs, their links, the store and the VM list."""

    def __init__(self, size: int, seed: int = 0) -> None:
        self.network = peers_memory.Network(seed)
        self.state = store_state.State()
        self.stores = [
            store_memory.MemoryStore(self.state) for _ in range(size)
        ]
        self.vmlist = vmlist_memory.MemoryVmList(
            *(
                vmlist_api.Vm(
                    name=f"vm-{number}",
                    zone="abc"[number % 3],
                    http_address=f"127.0.0.1:{8000 + number}",
                    peer_address=f"vm-{number}",
                )
                for number in range(size)
            )
        )
        self.processes = [Process(self, number, 1) for number in range(size)]
        self._starts = [1] * size

    async def start(self, settle_s: float = 2.0) -> None:
        for process in self.processes:
            await process.start()
        await asyncio.sleep(settle_s)

    async def restart(self, number: int) -> Process:
        """Replaces a process by a new one without state."""
        await self.processes[number].stop()
        self._starts[number] += 1
        process = Process(self, number, self._starts[number])
        self.processes[number] = process
        await process.start()
        return process

    async def stop(self) -> None:
        for process in self.processes:
            await process.stop()

    def cut(self, *numbers: int) -> None:
        """Cuts some VMs off from all the others, in both directions."""
        size = len(self.processes)
        for inside in numbers:
            for outside in set(range(size)) - set(numbers):
                pair = (f"vm-{inside}", f"vm-{outside}")
                self.network.faults.cut |= {pair, pair[::-1]}

    def heal(self) -> None:
        self.network.faults.cut.clear()

    def set_down(self, *numbers: int) -> None:
        """Makes the store unreachable for exactly these VMs."""
        for number, store in enumerate(self.stores):
            store.faults.down = number in numbers


def make_zone(name: str, *, out: bool = False) -> resources.Zone:
    state = resources.ZoneState.OUT if out else resources.ZoneState.IN_SERVICE
    return resources.Zone(name=name, state=state)
