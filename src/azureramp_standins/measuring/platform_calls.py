"""Counts the VMs' calls to the platform in virtual time.

The platform counts each call, including each long-polling watch, and its rate
limits grow more slowly than the fleet. The phases are: at rest; with 4,300
configuration changes per day, which is the target; additionally with requests
that must not run more than once; during an outage of the store, in which these
requests continue and are retried; the seconds after the outage, when all
waiting callers retry at once; and the time after that.
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
from azureramp.policy import backoff, record_limits
from azureramp.ports.store import memory as store_memory
from azureramp.ports.web import api as web_api
from azureramp_standins import cluster, layout, virtual
from azureramp_standins.measuring import tables

PHASE_S = 30
"""Duration of each phase except `return`, in seconds."""

RETURN_PHASE_S = 20
"""Duration of the phase `return`, in seconds."""

CHANGE_INTERVAL_S = 86_400 / 4_300
ROUND_TRIP_S = 0.004
MAX_ATTEMPTS = 100

CALL_KINDS = ("reads", "writes", "watches")


class CallCounter:
    """Counts the VMs' calls between two readings."""

    def __init__(self, deployment: cluster.Cluster) -> None:
        """Initializes the previous counts with zero."""
        self._deployment = deployment
        self._previous_counts: dict[tuple[str, str], int] = {}
        self._previous_list_reads = 0

    def read(self) -> dict[str, int]:
        """Returns the number of calls since the previous reading, by kind."""
        counts_by_kind = dict.fromkeys(CALL_KINDS, 0)
        for name, vm in self._deployment.vms.items():
            if vm.daemon is None:
                continue
            counts = vm.daemon.board.metrics.counts
            for kind in CALL_KINDS:
                now = counts[f"store.{kind}"]
                counts_by_kind[kind] += now - self._previous_counts.get(
                    (name, kind), 0
                )
                self._previous_counts[name, kind] = now
        reads = self._deployment.vmlist.reads
        counts_by_kind["list"] = reads - self._previous_list_reads
        self._previous_list_reads = reads
        return counts_by_kind


@dataclasses.dataclass(slots=True)
class RequestLoad:
    """Requests that must not run more than once, retried until served.

    Attributes:
        deployment: The deployment under load.
        rng: Source of the random draws.
        rate: New requests per second; 0 sends none.
        respects_retry_after: False if callers retry after 1 s, regardless of
            the delay that the answer states.
        served: Number of requests that were served.
        abandoned: Number of requests without success after `MAX_ATTEMPTS`.
        waiting: Number of requests that are in progress.
    """

    deployment: cluster.Cluster
    rng: random.Random
    rate: float
    respects_retry_after: bool = True
    served: int = 0
    abandoned: int = 0
    waiting: int = 0

    async def run(self) -> None:
        """Sends new requests at random times until cancelled."""
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
        """Sends one request, and retries it until it is served."""
        service = self.deployment.layout.services[0].name
        body = {
            "service": service,
            "index": service,
            "key": 0,
            "operation": {cluster.OPERATION_KEY_FIELD: key},
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
        for _ in range(MAX_ATTEMPTS):
            vm = vms[self.rng.randrange(len(vms))]
            response = await self.deployment.send_request(vm, request)
            if response.status == 200:
                self.served += 1
                self.waiting -= 1
                return
            answer = msgspec.json.decode(response.body)
            wait_ms = answer["retry_after_ms"] or 1000
            if not self.respects_retry_after:
                wait_ms = 1000
            await asyncio.sleep(wait_ms / 1000)
        self.abandoned += 1
        self.waiting -= 1


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Parameters of a run through all phases.

    Attributes:
        name: Name in the table.
        vms: Number of VMs.
        rate: Rate of the requests that must not run more than once, per
            second.
        faults: Faults of the store during the outage.
        is_limited: False disables backoff and the rate limit of records, for
            comparison.
        respects_retry_after: As in `RequestLoad`.
    """

    name: str
    vms: int
    rate: float
    faults: store_memory.Faults
    is_limited: bool = True
    respects_retry_after: bool = True


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
    """Runs one scenario through all phases."""
    deployment = cluster.make(
        dataclasses.replace(layout.Layout(), vms=scenario.vms), seed=1
    )
    await deployment.start()
    _set_faults(deployment, store_memory.Faults(delay_s=ROUND_TRIP_S))
    load = RequestLoad(
        deployment,
        random.Random(1),
        0.0,
        respects_retry_after=scenario.respects_retry_after,
    )
    loading = asyncio.ensure_future(load.run())
    rows = []

    async def measure(phase: str, seconds: int) -> None:
        rows.append(await _measure(deployment, load, scenario, phase, seconds))

    await asyncio.sleep(10.0)
    await measure("at rest", PHASE_S)
    changing = asyncio.ensure_future(_change_configuration(deployment))
    await measure("4,300 changes a day", PHASE_S)
    load.rate = scenario.rate
    await measure("and requests", PHASE_S)
    changing.cancel()
    _set_faults(deployment, scenario.faults)
    await measure("outage", PHASE_S)
    _set_faults(deployment, store_memory.Faults(delay_s=ROUND_TRIP_S))
    await measure("return", RETURN_PHASE_S)
    await measure("after", PHASE_S)
    loading.cancel()
    await deployment.close()
    return rows


async def _measure(
    deployment: cluster.Cluster,
    load: RequestLoad,
    scenario: Scenario,
    phase: str,
    seconds: int,
) -> Row:
    """Counts the calls of one phase and returns its row."""
    counter = CallCounter(deployment)
    counter.read()
    served = load.served
    total: collections.Counter[str] = collections.Counter()
    peak = 0
    for _ in range(seconds):
        await asyncio.sleep(1.0)
        counts_by_kind = counter.read()
        total.update(counts_by_kind)
        peak = max(peak, counts_by_kind["writes"] + counts_by_kind["reads"])
    row: Row = {
        "scenario": scenario.name,
        "vms": scenario.vms,
        "phase": phase,
    }
    for kind in (*CALL_KINDS, "list"):
        row[f"{kind}_per_s"] = total[kind] / seconds
    row["calls_per_s_a_vm"] = sum(total.values()) / seconds / scenario.vms
    row["peak_reads_and_writes"] = peak
    row["served_per_s"] = (load.served - served) / seconds
    row["waiting_requests"] = load.waiting
    return row


async def _change_configuration(deployment: cluster.Cluster) -> None:
    """Changes the configuration at the target's rate until cancelled."""
    number = 0
    while True:
        await asyncio.sleep(CHANGE_INTERVAL_S)
        number += 1
        policy = resources.Policy(name="default", queue_ms=1000 + number)
        await deployment.put_resource("vm-0", policy)


def _set_faults(
    deployment: cluster.Cluster, faults: store_memory.Faults
) -> None:
    """Sets the same faults of the store for all VMs."""
    for vm in deployment.vms.values():
        assert vm.store is not None
        vm.store.faults = dataclasses.replace(faults)


def run(scenario: Scenario) -> list[Row]:
    """Runs a scenario in virtual time and returns a row per phase."""
    saved = backoff.MIN_FAILURES, record_limits.MAX_RECORDS_PER_S
    if not scenario.is_limited:
        backoff.MIN_FAILURES = 10**9
        record_limits.MAX_RECORDS_PER_S = 1e9
    try:
        return virtual.run(_run(scenario))
    finally:
        backoff.MIN_FAILURES, record_limits.MAX_RECORDS_PER_S = saved


@click.command()
@click.option(
    "--json",
    "json_path",
    type=click.Path(path_type=pathlib.Path),
    help="File to which the rows are written as JSON too.",
)
@click.option(
    "--only", type=int, help="Run only the scenario with this number, from 0."
)
def main(json_path: pathlib.Path | None, only: int | None) -> None:
    """Measures the scenarios and prints a table."""
    chosen = SCENARIOS if only is None else SCENARIOS[only : only + 1]
    tables.print_rows(
        (row for scenario in chosen for row in run(scenario)), json_path
    )


if __name__ == "__main__":
    main()
