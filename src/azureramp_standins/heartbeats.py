"""Measures what heartbeats cost: real processes with the real peer links.

`python -m azureramp_standins.heartbeats --vms 8` starts so many processes on
loopback. Each runs the membership controller, claims its searchers and tells
their states, and reports its processor time, bytes and memory. With `--apart`
one process is measured, and all the other VMs share a second one: among
themselves they talk in memory, with the measured one by the real links. So
many processes would take each other's processor time.
"""

from __future__ import annotations

import asyncio
import json
import math
import resource
import statistics
import subprocess
import sys

import click
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
from azureramp.ports.peers import api as peers_api
from azureramp.ports.peers import memory, nng
from azureramp.ports.vmlist import api as vmlist_api

ZONES = 4
FIRST_PORT = 21000
WARM_UP_S = 20.0
LINGER_S = 2.0
"""How long VMs go on after the measurement, so that all are there."""

REST = -1
"""The number that stands for all VMs but the measured one."""


class FixedList:
    """A VM list that never changes."""

    def __init__(self, vms: int) -> None:
        """Makes a list of so many VMs."""
        self._vms = tuple(make_vm(number) for number in range(vms))

    async def read(
        self,
    ) -> expression.Result[tuple[vmlist_api.Vm, ...], errors.Failure]:
        """Reads the list; see `api.VmList`."""
        return expression.Ok(self._vms)

    async def close(self) -> None:
        """Does nothing."""


def make_vm(number: int) -> vmlist_api.Vm:
    """Makes one VM's entry."""
    return vmlist_api.Vm(
        name=f"vm-{number:03}",
        zone=f"zone-{number % ZONES}",
        http_address=f"127.0.0.1:{FIRST_PORT + 1000 + number}",
        peer_address=f"127.0.0.1:{FIRST_PORT + number}",
    )


def make_configuration(servers: int) -> resources.Configuration:
    """Makes a configuration of backend servers of two searchers each."""
    configuration = resources.Configuration()
    configuration.revision = 1
    for number in range(servers):
        name = f"claims-{number:03}"
        server = resources.BackendServer(
            name=name,
            service="claims",
            zone=f"zone-{number % ZONES}",
            searchers=tuple(
                resources.Searcher(name=f"{name}-{part}", address="x:1")
                for part in "ab"
            ),
        )
        key = ("backend_server", name)
        configuration.entries[key] = resources.Versioned(server, *key, 1)
    return configuration


def publish(board: blackboard.Blackboard, tick: int) -> None:
    """Writes the searchers' states as an owner does, some of them changed."""
    own = board.settings.vm
    for number, (name, vm) in enumerate(sorted(board.owners.items())):
        if vm == own:
            queued = tick % 3 if number % 4 == 0 else 0
            board.owned[name] = messages.SearcherState(
                name, 1, True, 2, queued, 11.5, ("claims.41", "claims.42")
            )
        else:
            board.owned.pop(name, None)


class Split:
    """Links that are real towards the measured VM, and in memory else."""

    def __init__(
        self, real: nng.NngPeers, near: memory.MemoryPeers, measured: str
    ) -> None:
        """Joins both kinds of links."""
        self._real = real
        self._near = near
        self._measured = measured

    async def start(self, handler: peers_api.Handler) -> None:
        """Begins to receive; see `api.Peers`."""
        await self._real.start(handler)
        await self._near.start(handler)

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Sends messages; see `api.Peers`."""
        if address == self._measured:
            return self._real.send(address, *batch)
        return self._near.send(address, *batch)

    def reconnect(self, address: str) -> None:
        """Opens a new link; see `api.Peers`."""
        if address == self._measured:
            self._real.reconnect(address)

    async def close(self) -> None:
        """Closes both; see `api.Peers`."""
        await self._real.close()
        await self._near.close()


class Node:
    """One VM's membership controller."""

    def __init__(
        self,
        number: int,
        vms: int,
        servers: int,
        network: memory.Network | None,
    ) -> None:
        """Makes one VM; over the real links only if there is no network."""
        vm = make_vm(number)
        timeline = timelines.Timeline(vm.name)
        self.counters = metrics.Metrics()
        self.board = blackboard.Blackboard(
            settings.Settings(
                vm.name, vm.zone, vm.http_address, vm.peer_address, "", ""
            ),
            1,
            timeline,
            self.counters,
        )
        self.board.configuration = make_configuration(servers)
        self.board.serving = blackboard.Serving.READY
        real = nng.make(
            vm.name, vm.peer_address, 1, timeline, self.counters, "key"
        )
        self.port: peers_api.Peers = real
        if network is not None:
            near = memory.MemoryPeers(
                network, vm.name, vm.peer_address, 1, timeline
            )
            self.port = Split(real, near, make_vm(0).peer_address)
        self._controller = membership.make(
            self.board, outbox.Outbox(self.board, self.port), FixedList(vms)
        )

    async def run(self, for_s: float) -> None:
        """Runs it, with searchers whose states change."""
        receivers = inbox.Receivers(
            {
                messages.Heartbeat: self._controller.receive_heartbeat,
                messages.HeartbeatAck: self._controller.receive_heartbeat_ack,
            },
            self._controller.receive_envelope,
        )
        await self.port.start(inbox.Inbox(self.board, receivers).receive)
        running = asyncio.create_task(self._controller.run())
        for tick in range(math.ceil(for_s)):
            publish(self.board, tick)
            await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.wait([running])
        await self.port.close()


async def run_one(number: int, vms: int, servers: int, for_s: float) -> None:
    """Runs one VM, and prints what it cost."""
    node = Node(number, vms, servers, None)
    running = asyncio.create_task(node.run(WARM_UP_S + for_s + LINGER_S))
    await asyncio.sleep(WARM_UP_S)
    began = read_costs(node.counters)
    await asyncio.sleep(for_s)
    ended = read_costs(node.counters)
    now_s = asyncio.get_running_loop().time()
    costs = {
        name: (ended[name] - began[name]) / for_s
        for name in ("cpu_s", "sent", "received", "dropped")
    }
    costs["rss_mb"] = ended["rss_kb"] / 1024
    costs["lease"] = float(node.board.lease_until_s > now_s)
    costs["owned"] = len(node.board.may_start_s)
    print(json.dumps(costs), flush=True)  # noqa: T201
    await running


async def run_rest(vms: int, servers: int, for_s: float) -> None:
    """Runs all VMs but the measured one."""
    network = memory.Network()
    nodes = [Node(number, vms, servers, network) for number in range(1, vms)]
    total_s = WARM_UP_S + for_s + LINGER_S
    await asyncio.gather(*(node.run(total_s) for node in nodes))


def read_costs(counters: metrics.Metrics) -> dict[str, float]:
    """Reads what this process has used since its start."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "rss_kb": usage.ru_maxrss,
        "sent": counters.counts["peer.sent_bytes"],
        "received": counters.counts["peer.received_bytes"],
        "dropped": counters.counts["peer.dropped"],
    }


def run_all(
    vms: int, servers: int, for_s: float, apart: bool
) -> dict[str, float]:
    """Runs all VMs, and returns the mean of each figure."""
    command = [
        *(sys.executable, "-m", "azureramp_standins.heartbeats"),
        *(f"--vms={vms}", f"--servers={servers}", f"--seconds={for_s}"),
    ]
    numbers = [0, REST] if apart else list(range(vms))
    processes = [
        subprocess.Popen(
            [*command, f"--number={number}"], stdout=subprocess.PIPE, text=True
        )
        for number in numbers
    ]
    printed = [process.communicate()[0] for process in processes]
    costs = [json.loads(line) for line in printed if line]
    return {
        name: statistics.fmean(cost[name] for cost in costs)
        for name in costs[0]
    }


@click.command()
@click.option("--vms", default=8, help="How many VMs.")
@click.option("--servers", default=50, help="Backend servers of 2 searchers.")
@click.option("--seconds", default=10.0, help="How long to measure.")
@click.option("--apart", is_flag=True, help="Measure one VM by itself.")
@click.option("--number", type=int, hidden=True)
def main(
    vms: int, servers: int, seconds: float, apart: bool, number: int | None
) -> None:
    """Measures heartbeats among VMs, each a process of its own."""
    if number == REST:
        asyncio.run(run_rest(vms, servers, seconds))
        return
    if number is not None:
        asyncio.run(run_one(number, vms, servers, seconds))
        return
    costs = run_all(vms, servers, seconds, apart)
    click.echo(
        f"{vms} VMs: {costs['cpu_s'] * 100:.2f} % of a core, "
        f"{costs['sent'] / 1000:.1f} KB/s sent, "
        f"{costs['received'] / 1000:.1f} KB/s received, "
        f"{costs['rss_mb']:.1f} MB, {costs['dropped']:.1f} dropped/s, "
        f"{costs['lease'] * 100:.0f} % hold a lease"
    )


if __name__ == "__main__":
    main()
