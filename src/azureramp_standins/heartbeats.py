"""Measures the cost of heartbeats with real processes and peer links.

`python -m azureramp_standins.heartbeats --vms 8` starts 8 processes on
loopback. Each runs the membership controller, claims its searchers and
announces their states, and reports its CPU time, bytes and memory. With
`--apart` one process is measured, and all other VMs share a second process:
they exchange messages in memory among themselves, and with the measured VM over
the real links. With one process for each VM, the processes would compete for
CPU time.
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
COOL_DOWN_S = 2.0
"""How long VMs continue after the measurement, in seconds, so that all VMs run
until the last measurement ends."""

OTHERS = -1
"""The `--number` of the process that runs all VMs but the measured one."""


class FixedVmList:
    """A VM list that never changes."""

    def __init__(self, vms: int) -> None:
        """Makes a list with the given number of VMs."""
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
    """Makes a configuration of backend servers with two searchers each."""
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
    """Writes the states of the VM's own searchers to the blackboard.

    Args:
        board: The VM's blackboard.
        tick: The number of the update. The queue length of every fourth
            searcher changes with it.
    """
    own = board.settings.vm
    for number, (name, vm) in enumerate(sorted(board.owners.items())):
        if vm == own:
            queued = tick % 3 if number % 4 == 0 else 0
            board.owned_states[name] = messages.SearcherState(
                name, 1, True, 2, queued, 11.5, ("claims.41", "claims.42")
            )
        else:
            board.owned_states.pop(name, None)


class SplitPeers:
    """Peer links that are real to the measured VM and in memory to others."""

    def __init__(
        self, real: nng.NngPeers, in_memory: memory.MemoryPeers, measured: str
    ) -> None:
        """Combines both kinds of links.

        Args:
            real: The links over the network.
            in_memory: The links within the process.
            measured: The measured VM's peer address.
        """
        self._real = real
        self._in_memory = in_memory
        self._measured = measured

    async def start(self, handler: peers_api.Handler) -> None:
        """Starts receiving; see `api.Peers`."""
        await self._real.start(handler)
        await self._in_memory.start(handler)

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Sends messages; see `api.Peers`."""
        if address == self._measured:
            return self._real.send(address, *batch)
        return self._in_memory.send(address, *batch)

    def reconnect(self, address: str) -> None:
        """Opens a new link; see `api.Peers`."""
        if address == self._measured:
            self._real.reconnect(address)

    async def close(self) -> None:
        """Closes both; see `api.Peers`."""
        await self._real.close()
        await self._in_memory.close()


class Node:
    """A VM with its membership controller and peer links."""

    def __init__(
        self,
        number: int,
        vms: int,
        servers: int,
        network: memory.Network | None,
    ) -> None:
        """Makes a VM.

        Args:
            number: The VM's number.
            vms: The number of VMs.
            servers: The number of backend servers.
            network: The in-memory network of the unmeasured VMs; None to use
                real links only.
        """
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
            in_memory = memory.MemoryPeers(
                network, vm.name, vm.peer_address, 1, timeline
            )
            self.port = SplitPeers(real, in_memory, make_vm(0).peer_address)
        self._controller = membership.make(
            self.board, outbox.Outbox(self.board, self.port), FixedVmList(vms)
        )

    async def run(self, duration_s: float) -> None:
        """Runs the controller while the searchers' states change.

        Args:
            duration_s: How long to run, in seconds.
        """
        receivers = inbox.Receivers(
            {
                messages.Heartbeat: self._controller.receive_heartbeat,
                messages.HeartbeatAck: self._controller.receive_heartbeat_ack,
            },
            self._controller.receive_envelope,
        )
        await self.port.start(inbox.Inbox(self.board, receivers).receive)
        running = asyncio.create_task(self._controller.run())
        for tick in range(math.ceil(duration_s)):
            publish(self.board, tick)
            await asyncio.sleep(1.0)
        running.cancel()
        await asyncio.wait([running])
        await self.port.close()


async def run_one(
    number: int, vms: int, servers: int, duration_s: float
) -> None:
    """Runs one VM and prints its costs as JSON."""
    node = Node(number, vms, servers, None)
    running = asyncio.create_task(
        node.run(WARM_UP_S + duration_s + COOL_DOWN_S)
    )
    await asyncio.sleep(WARM_UP_S)
    costs_before = read_costs(node.counters)
    await asyncio.sleep(duration_s)
    costs_after = read_costs(node.counters)
    now_s = asyncio.get_running_loop().time()
    costs = {
        name: (costs_after[name] - costs_before[name]) / duration_s
        for name in ("cpu_s", "sent", "received", "dropped")
    }
    costs["rss_mb"] = costs_after["rss_kb"] / 1024
    costs["lease"] = float(node.board.lease_until_s > now_s)
    costs["owned"] = len(node.board.usable_from_s)
    print(json.dumps(costs), flush=True)  # noqa: T201
    await running


async def run_others(vms: int, servers: int, duration_s: float) -> None:
    """Runs all VMs but the measured one in this process."""
    network = memory.Network()
    nodes = [Node(number, vms, servers, network) for number in range(1, vms)]
    total_s = WARM_UP_S + duration_s + COOL_DOWN_S
    await asyncio.gather(*(node.run(total_s) for node in nodes))


def read_costs(counters: metrics.Metrics) -> dict[str, float]:
    """Reads the resources that this process has used since its start."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "rss_kb": usage.ru_maxrss,
        "sent": counters.counts["peer.sent_bytes"],
        "received": counters.counts["peer.received_bytes"],
        "dropped": counters.counts["peer.dropped"],
    }


def run_all(
    vms: int, servers: int, duration_s: float, apart: bool
) -> dict[str, float]:
    """Runs all VMs and returns the mean of each cost over the processes."""
    command = [
        *(sys.executable, "-m", "azureramp_standins.heartbeats"),
        *(f"--vms={vms}", f"--servers={servers}", f"--seconds={duration_s}"),
    ]
    numbers = [0, OTHERS] if apart else list(range(vms))
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
@click.option("--vms", default=8, help="Number of VMs.")
@click.option("--servers", default=50, help="Backend servers of 2 searchers.")
@click.option("--seconds", default=10.0, help="Duration of the measurement.")
@click.option("--apart", is_flag=True, help="Measure one VM in isolation.")
@click.option("--number", type=int, hidden=True)
def main(
    vms: int, servers: int, seconds: float, apart: bool, number: int | None
) -> None:
    """Measures the cost of heartbeats between VMs in separate processes."""
    if number == OTHERS:
        asyncio.run(run_others(vms, servers, seconds))
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
