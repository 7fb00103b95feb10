"""Measures what heartbeats cost: real processes with the real peer links.

`python -m azureramp_standins.heartbeats --vms 8` starts so many processes on
loopback. Each runs the membership controller, claims its searchers and tells
their states, and reports its processor time, bytes and memory.
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
    events,
    messages,
    metrics,
    resources,
    settings,
)
from azureramp.controllers import inbox, membership, outbox
from azureramp.ports.peers import nng
from azureramp.ports.vmlist import api as vmlist_api

ZONES = 4
FIRST_PORT = 21000
WARM_UP_S = 6.0


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


async def run_one(number: int, vms: int, servers: int, for_s: float) -> None:
    """Runs one VM, and prints what it cost."""
    vm = make_vm(number)
    timeline = events.Timeline(vm.name)
    counters = metrics.Metrics()
    board = blackboard.Blackboard(
        settings.Settings(
            vm.name, vm.zone, vm.http_address, vm.peer_address, "", ""
        ),
        1,
        timeline,
        counters,
    )
    board.configuration = make_configuration(servers)
    board.serving = blackboard.Serving.READY
    port = nng.make(vm.name, vm.peer_address, 1, timeline, counters, "key")
    controller = membership.make(
        board, outbox.Outbox(board, port), FixedList(vms)
    )
    receivers = inbox.Receivers(
        {
            messages.Heartbeat: controller.receive_heartbeat,
            messages.HeartbeatAck: controller.receive_heartbeat_ack,
        },
        controller.receive_envelope,
    )
    await port.start(inbox.Inbox(board, receivers).receive)
    running = asyncio.create_task(controller.run())
    await asyncio.sleep(WARM_UP_S)
    began = read_costs(counters)
    for tick in range(math.ceil(for_s / 0.1)):
        publish(board, tick)
        await asyncio.sleep(0.1)
    ended = read_costs(counters)
    now_s = asyncio.get_running_loop().time()
    costs = {
        name: (ended[name] - began[name]) / for_s
        for name in ("cpu_s", "sent", "received", "dropped")
    }
    costs["rss_mb"] = ended["rss_kb"] / 1024
    costs["lease"] = float(board.lease_until_s > now_s)
    costs["owned"] = len(board.may_start_s)
    print(json.dumps(costs))  # noqa: T201
    running.cancel()
    await asyncio.wait([running])
    await port.close()


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


def run_all(vms: int, servers: int, for_s: float) -> dict[str, float]:
    """Runs all VMs, and returns the mean of each figure."""
    command = [sys.executable, "-m", "azureramp_standins.heartbeats"]
    arguments = [
        f"--vms={vms}",
        f"--servers={servers}",
        f"--seconds={for_s}",
    ]
    processes = [
        subprocess.Popen(
            [*command, *arguments, f"--number={number}"],
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(vms)
    ]
    printed = [process.communicate()[0] for process in processes]
    costs = [json.loads(line) for line in printed]
    return {
        name: statistics.fmean(cost[name] for cost in costs)
        for name in costs[0]
    }


@click.command()
@click.option("--vms", default=8, help="How many VMs.")
@click.option("--servers", default=50, help="Backend servers of 2 searchers.")
@click.option("--seconds", default=10.0, help="How long to measure.")
@click.option("--number", type=int, hidden=True)
def main(vms: int, servers: int, seconds: float, number: int | None) -> None:
    """Measures heartbeats among VMs, each a process of its own."""
    if number is not None:
        asyncio.run(run_one(number, vms, servers, seconds))
        return
    costs = run_all(vms, servers, seconds)
    click.echo(
        f"{vms} VMs: {costs['cpu_s'] * 100:.2f} % of a core, "
        f"{costs['sent'] / 1000:.1f} KB/s sent, "
        f"{costs['received'] / 1000:.1f} KB/s received, "
        f"{costs['rss_mb']:.1f} MB, {costs['dropped']:.1f} dropped/s, "
        f"{costs['lease'] * 100:.0f} % hold a lease"
    )


if __name__ == "__main__":
    main()
