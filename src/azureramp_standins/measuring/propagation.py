"""Measures in virtual time how fast a configuration change propagates.

A zone is drained and restored through each VM in turn. Measured from the
request are the times until the operator receives the answer, until the last VM
has applied the change, until the change is accepted, and until the status is
`in force`. The one-way network delay is 1 ms, a store call takes 4 ms. With
`--cut`, one VM is disconnected from its peers and the store before each change
and reconnected after it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import statistics

import click
import msgspec

from azureramp import blackboard, resources
from azureramp.controllers import resource_answers
from azureramp.ports.web import api as web_api
from azureramp_standins import cluster, layout, virtual

STORE_DELAY_S = 0.004
SAMPLE_INTERVAL_S = 0.002
TIMEOUT_S = 10.0
ZONE = "c"


@dataclasses.dataclass(slots=True)
class PropagationTimes:
    """Propagation times of all changes, measured from the request, in seconds.

    Attributes:
        answered: Time until the operator received the answer.
        everywhere: Time until all connected VMs applied the change.
        accepted: Time until the change was accepted.
        in_force: Time until the status was `in force`.
        last_work: Time until which the disconnected VM could begin work.
    """

    answered: list[float] = dataclasses.field(default_factory=list)
    everywhere: list[float] = dataclasses.field(default_factory=list)
    accepted: list[float] = dataclasses.field(default_factory=list)
    in_force: list[float] = dataclasses.field(default_factory=list)
    last_work: list[float] = dataclasses.field(default_factory=list)


async def measure(vms: int, changes: int, cuts: bool) -> PropagationTimes:
    """Makes changes one after another and measures each.

    Args:
        vms: Number of VMs.
        changes: Number of changes.
        cuts: True disconnects one VM during each change.

    Returns:
        The times of the changes.
    """
    deployment = cluster.make(layout.Layout(vms=vms))
    await deployment.start()
    times = PropagationTimes()
    names = sorted(deployment.vms)
    for vm in deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.delay_s = STORE_DELAY_S
    for number in range(changes):
        entry_vm = names[number % vms]
        isolated_vm = names[(number + 1) % vms] if cuts else ""
        if isolated_vm:
            _disconnect(deployment, isolated_vm)
        state = list(resources.ZoneState)[(number + 1) % 2]
        zone = resources.Zone(name=ZONE, state=state)
        await _measure_one(deployment, entry_vm, isolated_vm, zone, times)
        if isolated_vm:
            _reconnect(deployment, isolated_vm)
        await asyncio.sleep(3.0 + number * 0.0137)
    await deployment.close()
    return times


def _disconnect(deployment: cluster.Cluster, isolated_vm: str) -> None:
    """Disconnects a VM from all other VMs and from the store."""
    address = deployment.vms[isolated_vm].list_entry.peer_address
    for name, vm in deployment.vms.items():
        if name != isolated_vm:
            pair = (address, vm.list_entry.peer_address)
            deployment.network.faults.cut |= {pair, pair[::-1]}
    store = deployment.vms[isolated_vm].store
    assert store is not None
    store.faults.down = True


def _reconnect(deployment: cluster.Cluster, isolated_vm: str) -> None:
    """Reverts `_disconnect`."""
    deployment.network.faults.cut.clear()
    store = deployment.vms[isolated_vm].store
    assert store is not None
    store.faults.down = False


async def _measure_one(
    deployment: cluster.Cluster,
    entry_vm: str,
    isolated_vm: str,
    zone: resources.Zone,
    times: PropagationTimes,
) -> None:
    """Makes one change and records when each step is reached."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    response = await deployment.put_resource(entry_vm, zone)
    assert response.status == 200, response.body
    times.answered.append(loop.time() - start_s)
    answer = msgspec.json.decode(
        response.body, type=resource_answers.ChangeAnswer
    )
    revision = answer.entry.revision
    boards = {
        name: vm.daemon.board
        for name, vm in deployment.vms.items()
        if vm.daemon is not None
    }
    seen: set[str] = set()
    last_s = start_s
    while "in_force" not in seen or (isolated_vm and "stopped" not in seen):
        now_s = loop.time()
        assert now_s - start_s < TIMEOUT_S
        others = [
            board for name, board in boards.items() if name != isolated_vm
        ]
        if all(_has_applied(board, answer.entry) for board in others):
            _record_first(seen, "everywhere", times.everywhere, now_s - start_s)
        if boards[entry_vm].accepted_revision >= revision:
            _record_first(seen, "accepted", times.accepted, now_s - start_s)
        if await _is_in_force(deployment, entry_vm, revision):
            _record_first(seen, "in_force", times.in_force, now_s - start_s)
        if isolated_vm and now_s < boards[isolated_vm].may_work_until_s:
            last_s = now_s
        elif isolated_vm:
            _record_first(seen, "stopped", times.last_work, last_s - start_s)
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def _has_applied(
    board: blackboard.Blackboard, entry: resources.Versioned
) -> bool:
    """Returns True if a VM has applied an entry or a newer one."""
    current = board.configuration.entries.get((entry.kind, entry.name))
    return current is not None and current.revision >= entry.revision


def _record_first(
    seen: set[str], step: str, times: list[float], at_s: float
) -> None:
    """Records the time at which a step is first reached."""
    if step not in seen:
        seen.add(step)
        times.append(at_s)


async def _is_in_force(
    deployment: cluster.Cluster, vm: str, revision: int
) -> bool:
    """Returns True if a VM reports that a revision is in force."""
    token = {"authorization": f"Bearer {cluster.OPERATOR_TOKEN}"}
    query = {"revision": str(revision)}
    response = await deployment.send_request(
        vm, web_api.Request("GET", "/v1/status", query, token)
    )
    status = msgspec.json.decode(
        response.body, type=resource_answers.StatusAnswer
    )
    return status.state is resource_answers.ChangeState.IN_FORCE


def _format_row(name: str, times: list[float]) -> str:
    """Formats a row with count, median and maximum, in milliseconds."""
    if not times:
        return f"| {name} | 0 | | |"
    median_ms = statistics.median(times) * 1000
    return (
        f"| {name} | {len(times)} | {median_ms:.0f} | {max(times) * 1000:.0f} |"
    )


@click.command()
@click.option("--vms", default=8, show_default=True, help="Number of VMs.")
@click.option(
    "--changes", default=40, show_default=True, help="Number of changes."
)
@click.option(
    "--cut", is_flag=True, help="Disconnect one VM during each change."
)
def main(vms: int, changes: int, cut: bool) -> None:
    """Measures changes and prints their times in milliseconds."""
    times = virtual.run(measure(vms, changes, cut))
    click.echo("| step | changes | median ms | worst ms |\n|---|---|---|---|")
    click.echo(
        _format_row("the operator has received the answer", times.answered)
    )
    click.echo(
        _format_row("the last connected VM has applied it", times.everywhere)
    )
    click.echo(_format_row("accepted", times.accepted))
    click.echo(_format_row("status is in force", times.in_force))
    if cut:
        click.echo(
            _format_row(
                "the disconnected VM may no longer begin work", times.last_work
            )
        )


if __name__ == "__main__":
    main()
