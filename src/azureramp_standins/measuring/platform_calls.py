"""Counts the calls of the platform that whole VMs make, in virtual time.

The platform counts each call, a waiting watch included, and its rates grow
more slowly than the fleet. The phases: at rest; with the target's 4,300
changes of configuration a day; with requests that may not be repeated; during
an outage of the store while these go on and are sent again; and the seconds
after its return, when everybody wants to be served at once.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import pathlib
import random

import click
import msgspec

from azureramp import resources
from azureramp.policy import backoff, record_bounds
from azureramp.ports.store import memory as store_memory
from azureramp.ports.web import api as web_api
from azureramp_standins import cluster, layout, virtual
from azureramp_standins.measuring import tables

PHASE_S = 30
"""Length of each phase but the last, in seconds."""

RETURN_S = 20
"""Length of the last phase, in seconds."""

CHANGE_EVERY_S = 86_400 / 4_300
ROUND_TRIP_S = 0.004
MAX_TRIES = 100

KINDS = ("reads", "writes", "watches")


class Counter:
    """Counts what the VMs have called, by second."""

    def __init__(self, deployment: cluster.Cluster) -> None:
        """Begins at zero."""
        self._deployment = deployment
        self._before: dict[tuple[str, str], int] = {}
        self._list_before = 0

    def take(self) -> dict[str, int]:
        """Returns the calls since the last time, by kind."""
        taken = dict.fromkeys(KINDS, 0)
        for name, vm in self._deployment.vms.items():
            if vm.daemon is None:
                continue
            counts = vm.daemon.board.metrics.counts
            for kind in KINDS:
                now = counts[f"store.{kind}"]
                taken[kind] += now - self._before.get((name, kind), 0)
                self._before[name, kind] = now
        reads = self._deployment.vmlist.reads
        taken["list"] = reads - self._list_before
        self._list_before = reads
        return taken


@dataclasses.dataclass(slots=True)
class Load:
    """Requests that may not be repeated, sent again until they are served.

    Attributes:
        rate: New requests a second; 0 sends none.
        minds_retry_after: False if callers ask again after 1 s, whatever
            they were told.
    """

    deployment: cluster.Cluster
    rng: random.Random
    rate: float
    minds_retry_after: bool = True
    served: int = 0
    given_up: int = 0
    waiting: int = 0

    async def run(self) -> None:
        """Sends new requests at random times, for ever."""
        sending: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            if not self.rate:
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self.rng.expovariate(self.rate))
            number += 1
            task = asyncio.ensure_future(self._send(f"order-{number}"))
            sending.add(task)
            task.add_done_callback(sending.discard)

    async def _send(self, key: str) -> None:
        """Sends one request until it is served."""
        service = self.deployment.layout.services[0].name
        body = {
            "service": service,
            "index": service,
            "key": 0,
            "operation": {cluster.EFFECT_KEY: key},
            "deadline_ms": 5000,
        }
        request = web_api.Request(
            "POST",
            "/v1/execute",
            {},
            {"authorization": "Bearer desk", "idempotency-key": key},
            msgspec.json.encode(body),
        )
        vms = list(self.deployment.vms)
        self.waiting += 1
        for _ in range(MAX_TRIES):
            vm = vms[self.rng.randrange(len(vms))]
            response = await self.deployment.ask(vm, request)
            if response.status == 200:
                self.served += 1
                self.waiting -= 1
                return
            answer = msgspec.json.decode(response.body)
            wait_ms = answer["retry_after_ms"] or 1000
            if not self.minds_retry_after:
                wait_ms = 1000
            await asyncio.sleep(wait_ms / 1000)
        self.given_up += 1
        self.waiting -= 1


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One run.

    Attributes:
        name: Its name in the table.
        vms: How many VMs.
        rate: Requests that may not be repeated, a second.
        faults: The outage.
        guarded: False switches off backoff and pace, for comparison.
        minds_retry_after: As in `Load`.
    """

    name: str
    vms: int
    rate: float
    faults: store_memory.Faults
    guarded: bool = True
    minds_retry_after: bool = True


DOWN = store_memory.Faults(down=True, delay_s=ROUND_TRIP_S)
SILENT = store_memory.Faults(down=True, delay_s=60.0)

SCENARIOS = (
    Scenario("refusing", 8, 50.0, DOWN),
    Scenario("silent", 8, 50.0, SILENT),
    Scenario("refusing, callers ask each second", 8, 50.0, DOWN, True, False),
    Scenario("refusing, no backoff nor pace", 8, 50.0, DOWN, False),
    Scenario("refusing, neither, each second", 8, 50.0, DOWN, False, False),
    Scenario("refusing", 16, 50.0, DOWN),
)

Row = dict[str, float | str]


async def _run(scenario: Scenario) -> list[Row]:
    """Runs one scenario through its phases."""
    deployment = cluster.make(
        dataclasses.replace(layout.Layout(), vms=scenario.vms), seed=1
    )
    await deployment.start()
    _set_faults(deployment, store_memory.Faults(delay_s=ROUND_TRIP_S))
    load = Load(
        deployment,
        random.Random(1),
        0.0,
        minds_retry_after=scenario.minds_retry_after,
    )
    loading = asyncio.ensure_future(load.run())
    rows = []

    async def measure(phase: str, seconds: int) -> None:
        rows.append(await _measure(deployment, load, scenario, phase, seconds))

    await asyncio.sleep(10.0)
    await measure("at rest", PHASE_S)
    changing = asyncio.ensure_future(_change(deployment))
    await measure("4,300 changes a day", PHASE_S)
    load.rate = scenario.rate
    await measure("and requests", PHASE_S)
    changing.cancel()
    _set_faults(deployment, scenario.faults)
    await measure("outage", PHASE_S)
    _set_faults(deployment, store_memory.Faults(delay_s=ROUND_TRIP_S))
    await measure("return", RETURN_S)
    await measure("after", PHASE_S)
    loading.cancel()
    await deployment.close()
    return rows


async def _measure(
    deployment: cluster.Cluster,
    load: Load,
    scenario: Scenario,
    phase: str,
    seconds: int,
) -> Row:
    """Counts the calls of one phase."""
    counter = Counter(deployment)
    counter.take()
    served = load.served
    total: collections.Counter[str] = collections.Counter()
    peak = 0
    for _ in range(seconds):
        await asyncio.sleep(1.0)
        taken = counter.take()
        total.update(taken)
        peak = max(peak, taken["writes"] + taken["reads"])
    row: Row = {
        "scenario": scenario.name,
        "vms": scenario.vms,
        "phase": phase,
    }
    for kind in (*KINDS, "list"):
        row[f"{kind}_per_s"] = total[kind] / seconds
    row["calls_per_s_a_vm"] = sum(total.values()) / seconds / scenario.vms
    row["peak_reads_and_writes"] = peak
    row["served_per_s"] = (load.served - served) / seconds
    row["waiting_requests"] = load.waiting
    return row


async def _change(deployment: cluster.Cluster) -> None:
    """Changes the configuration at the target's rate."""
    number = 0
    while True:
        await asyncio.sleep(CHANGE_EVERY_S)
        number += 1
        policy = resources.Policy(name="default", queue_ms=1000 + number)
        await deployment.change("vm-0", policy)


def _set_faults(
    deployment: cluster.Cluster, faults: store_memory.Faults
) -> None:
    """Sets the same faults for all VMs."""
    for vm in deployment.vms.values():
        assert vm.store is not None
        vm.store.faults = dataclasses.replace(faults)


def run(scenario: Scenario) -> list[Row]:
    """Runs a scenario in virtual time."""
    kept = backoff.TOLERATED, record_bounds.RECORDS_PER_S
    if not scenario.guarded:
        backoff.TOLERATED = 10**9
        record_bounds.RECORDS_PER_S = 1e9
    try:
        return virtual.run(_run(scenario))
    finally:
        backoff.TOLERATED, record_bounds.RECORDS_PER_S = kept


@click.command()
@click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=pathlib.Path),
    help="Also write the rows here.",
)
@click.option("--only", type=int, help="Run only the scenario of this number.")
def main(json_path: pathlib.Path | None, only: int | None) -> None:
    """Measures every scenario, and prints a table."""
    chosen = SCENARIOS if only is None else SCENARIOS[only : only + 1]
    tables.print_rows(
        (row for scenario in chosen for row in run(scenario)), json_path
    )


if __name__ == "__main__":
    main()
