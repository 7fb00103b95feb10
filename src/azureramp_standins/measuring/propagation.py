"""Measures how fast a change is in force, in virtual time.

A zone is taken out through each VM in turn, and back. Counted from the
request: when the operator has the answer, when the last VM has the change,
when it is accepted, and when status says `in force`. Links take 1 ms one
way, the store 4 ms a call. With `--cut`, one VM is cut off from its peers
and the store before each change, and joined again after it.
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

STORE_S = 0.004
SAMPLE_S = 0.002
LIMIT_S = 10.0
ZONE = "c"


@dataclasses.dataclass(slots=True)
class Times:
    """Times of many changes from the request on, in seconds."""

    answered: list[float] = dataclasses.field(default_factory=list)
    everywhere: list[float] = dataclasses.field(default_factory=list)
    accepted: list[float] = dataclasses.field(default_factory=list)
    in_force: list[float] = dataclasses.field(default_factory=list)
    last_work: list[float] = dataclasses.field(default_factory=list)


async def measure(vms: int, changes: int, cuts: bool) -> Times:
    """Makes changes one after another."""
    deployment = cluster.make(layout.Layout(vms=vms))
    await deployment.start()
    times = Times()
    names = sorted(deployment.vms)
    for vm in deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.delay_s = STORE_S
    for number in range(changes):
        asked = names[number % vms]
        lonely = names[(number + 1) % vms] if cuts else ""
        if lonely:
            _cut(deployment, lonely)
        state = list(resources.ZoneState)[(number + 1) % 2]
        zone = resources.Zone(name=ZONE, state=state)
        await _measure_one(deployment, asked, lonely, zone, times)
        if lonely:
            _join(deployment, lonely)
        await asyncio.sleep(3.0 + number * 0.0137)
    await deployment.close()
    return times


def _cut(deployment: cluster.Cluster, lonely: str) -> None:
    """Cuts a VM off from all others and from the store."""
    address = deployment.vms[lonely].entry.peer_address
    for name, vm in deployment.vms.items():
        if name != lonely:
            pair = (address, vm.entry.peer_address)
            deployment.network.faults.cut |= {pair, pair[::-1]}
    store = deployment.vms[lonely].store
    assert store is not None
    store.faults.down = True


def _join(deployment: cluster.Cluster, lonely: str) -> None:
    """Ends what `_cut` did."""
    deployment.network.faults.cut.clear()
    store = deployment.vms[lonely].store
    assert store is not None
    store.faults.down = False


async def _measure_one(
    deployment: cluster.Cluster,
    asked: str,
    lonely: str,
    zone: resources.Zone,
    times: Times,
) -> None:
    """Makes one change and notes when each step was reached."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    response = await deployment.change(asked, zone)
    assert response.status == 200, response.body
    times.answered.append(loop.time() - began_s)
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
    last_s = began_s
    while "in_force" not in seen or (lonely and "stopped" not in seen):
        now_s = loop.time()
        assert now_s - began_s < LIMIT_S
        others = [board for name, board in boards.items() if name != lonely]
        if all(_has(board, answer.entry) for board in others):
            _note(seen, "everywhere", times.everywhere, now_s - began_s)
        if boards[asked].accepted_revision >= revision:
            _note(seen, "accepted", times.accepted, now_s - began_s)
        if await _is_in_force(deployment, asked, revision):
            _note(seen, "in_force", times.in_force, now_s - began_s)
        if lonely and now_s < boards[lonely].work_until_s:
            last_s = now_s
        elif lonely:
            _note(seen, "stopped", times.last_work, last_s - began_s)
        await asyncio.sleep(SAMPLE_S)


def _has(board: blackboard.Blackboard, entry: resources.Versioned) -> bool:
    """Tells whether a VM has an entry, or a newer one, in force."""
    known = board.configuration.entries.get((entry.kind, entry.name))
    return known is not None and known.revision >= entry.revision


def _note(seen: set[str], step: str, times: list[float], at_s: float) -> None:
    """Notes the first time of a step."""
    if step not in seen:
        seen.add(step)
        times.append(at_s)


async def _is_in_force(
    deployment: cluster.Cluster, vm: str, revision: int
) -> bool:
    """Asks a VM for the state of a revision."""
    token = {"authorization": f"Bearer {cluster.OPERATOR_TOKEN}"}
    query = {"revision": str(revision)}
    response = await deployment.ask(
        vm, web_api.Request("GET", "/v1/status", query, token)
    )
    status = msgspec.json.decode(
        response.body, type=resource_answers.StatusAnswer
    )
    return status.state is resource_answers.ChangeState.IN_FORCE


def _show(name: str, times: list[float]) -> str:
    """Makes a row: how many, median and worst, in milliseconds."""
    if not times:
        return f"| {name} | 0 | | |"
    median_ms = statistics.median(times) * 1000
    return (
        f"| {name} | {len(times)} | {median_ms:.0f} | {max(times) * 1000:.0f} |"
    )


@click.command()
@click.option("--vms", default=8, show_default=True, help="How many VMs.")
@click.option("--changes", default=40, show_default=True, help="How many.")
@click.option("--cut", is_flag=True, help="Cut one VM off at each change.")
def main(vms: int, changes: int, cut: bool) -> None:
    """Prints the times of many changes as a table, in milliseconds."""
    times = virtual.run(measure(vms, changes, cut))
    click.echo("| step | changes | median ms | worst ms |\n|---|---|---|---|")
    click.echo(_show("the operator has the answer", times.answered))
    click.echo(_show("the last VM in contact has it", times.everywhere))
    click.echo(_show("accepted", times.accepted))
    click.echo(_show("status says in force", times.in_force))
    if cut:
        click.echo(_show("the VM cut off may begin work", times.last_work))


if __name__ == "__main__":
    main()
