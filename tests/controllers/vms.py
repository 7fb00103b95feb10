"""The membership controllers of several VMs, on an in-memory network."""

from __future__ import annotations

import asyncio

import expression

from azureramp import (
    blackboard,
    errors,
    messages,
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.controllers import inbox, membership, outbox
from azureramp.ports.peers import memory
from azureramp.ports.vmlist import api as vmlist_api


class FakeVmList:
    """A VM list whose content a test sets."""

    def __init__(self, *vms: vmlist_api.Vm) -> None:
        self.vms = vms
        self.down = False

    async def read(
        self,
    ) -> expression.Result[tuple[vmlist_api.Vm, ...], errors.Failure]:
        if self.down:
            return expression.Error(
                errors.Failure(errors.Kind.STORE_UNAVAILABLE)
            )
        return expression.Ok(self.vms)

    async def close(self) -> None:
        pass


def make_vm(name: str, zone: str) -> vmlist_api.Vm:
    return vmlist_api.Vm(
        name=name, zone=zone, http_address=f"{name}:h", peer_address=name
    )


def make_configuration(*servers: tuple[str, str]) -> resources.Configuration:
    """Creates a configuration of backend servers, given as (name, zone)."""
    configuration = resources.Configuration()
    configuration.revision = 1
    for name, zone in servers:
        server = resources.BackendServer(
            name=name,
            service="claims",
            zone=zone,
            searchers=(
                resources.Searcher(name=f"{name}-a", address="x:1"),
                resources.Searcher(name=f"{name}-b", address="x:2"),
            ),
        )
        key = ("backend_server", name)
        configuration.entries[key] = resources.Versioned(server, *key, 1)
    return configuration


class Node:
    """One VM's blackboard and membership controller."""

    def __init__(
        self,
        network: memory.Network,
        vm: vmlist_api.Vm,
        listing: FakeVmList,
        configuration: resources.Configuration,
        incarnation: int = 1,
    ) -> None:
        self.board = blackboard.Blackboard(
            settings.Settings(
                vm.name, vm.zone, vm.http_address, vm.name, "", ""
            ),
            incarnation,
            timelines.Timeline(vm.name, wall_clock=lambda: 0.0),
            metrics.Metrics(),
        )
        self.board.configuration = configuration
        self.board.serving = blackboard.Serving.READY
        self.port = memory.MemoryPeers(
            network, vm.name, vm.name, incarnation, self.board.timeline
        )
        out = outbox.Outbox(self.board, self.port)
        self.membership = membership.make(self.board, out, listing)
        self._inbox = inbox.Inbox(
            self.board,
            inbox.Receivers(
                {
                    messages.Heartbeat: self.membership.receive_heartbeat,
                    messages.HeartbeatAck: (
                        self.membership.receive_heartbeat_ack
                    ),
                },
                self.membership.receive_envelope,
            ),
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.port.start(self.receive)
        self._task = asyncio.create_task(self.membership.run())

    def receive(self, envelope: messages.Envelope) -> None:
        self._inbox.receive(envelope)

    async def stop(self) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.wait([self._task])
        await self.port.close()
