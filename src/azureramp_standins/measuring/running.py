"""Running one scenario, and what was seen."""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
import time

import msgspec

from azureramp import events, resources
from azureramp.invariants import checker, history
from azureramp_standins import cluster, traffic, virtual
from azureramp_standins import layout as layouts
from azureramp_standins.measuring import scenarios, variants

WARM_S = 2.0
"""Load before the measured time, in virtual seconds."""

OTHER_LOAD = 0.1
"""Load of the services that are not measured."""


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """What one scenario gave; times in milliseconds.

    Attributes:
        p99_urgent_ms: As `p99_ms`, of the highest priority alone.
        complete_urgent: Share of the highest priority's requests that were
            answered in full within their deadline.
        calls_per_needed: Calls that reached searchers for each shard of the
            requests admitted.
        cold_most: The most that a cold searcher had at once.
        cold_exceeded: How often that was above its bound.
        refused: Share refused as not run, by caller.
        last_work_s: Last new work in the zone that went out, after its
            acceptance, in seconds; None without such an incident.
        cut: Requests that got no answer.
        violations: Promises that the checker found broken, by name.
        cpu_ms_per_call: Processor time of the whole run for each searcher
            call, stand-ins included.
    """

    layout: str
    load: float
    stragglers: bool
    incident: str
    variant: str
    requests: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    p99_urgent_ms: float
    complete_urgent: float
    coverage_mean: float
    coverage_min: float
    calls_per_needed: float
    cold_most: int
    cold_exceeded: int
    refused: dict[str, float]
    last_work_s: float | None
    cut: int
    violations: dict[str, int]
    cpu_ms_per_call: float


@dataclasses.dataclass(slots=True)
class Sample:
    """One request's answer, with who sent it."""

    caller: str
    got: history.Received


def run(scenario: scenarios.Scenario) -> Row:
    """Runs a scenario in virtual time."""
    began_s = time.process_time()
    samples, past = virtual.run(_run(scenario))
    used_s = time.process_time() - began_s
    return _summarize(scenario, samples, past, used_s)


async def _run(
    scenario: scenarios.Scenario,
) -> tuple[list[Sample], history.History]:
    """Offers the load and brings about the incident."""
    layout = scenarios.LAYOUTS[scenario.layout]
    deployment = cluster.make(
        layout, seed=scenario.seed, service_ms=scenarios.SERVICE_MS
    )
    variants.prepare(deployment, scenario.variant)
    await deployment.start()
    if scenario.stragglers:
        for searcher in deployment.fleet.searchers.values():
            searcher.faults.straggles = scenarios.STRAGGLER_SHARE
            searcher.faults.straggler_factor = scenarios.STRAGGLER_FACTOR
    samples: list[Sample] = []
    loads = [
        asyncio.create_task(_offer(scenario, deployment, service, samples))
        for service in layout.services
    ]
    await _bring_about(scenario, deployment)
    await asyncio.gather(*loads)
    return samples, await deployment.close()


async def _offer(
    scenario: scenarios.Scenario,
    deployment: cluster.Cluster,
    service: layouts.Service,
    samples: list[Sample],
) -> None:
    """Sends requests at random times, at the scenario's rate."""
    rng = random.Random(f"{scenario.seed}/{service.name}")
    measured = service.name == scenario.service
    slots = service.servers * service.searchers * service.slots
    calls_per_s = slots * 1000 / scenarios.SERVICE_MS
    load = scenario.load if measured else OTHER_LOAD
    rate = calls_per_s * load / service.shards
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    sending: set[asyncio.Task[None]] = set()
    vms = list(deployment.vms)
    number = 0
    while loop.time() - begin_s < WARM_S + scenario.seconds:
        await asyncio.sleep(rng.expovariate(rate))
        kept = measured and loop.time() - begin_s >= WARM_S
        number += 1
        caller = rng.choices(
            list(scenarios.PRIORITIES), list(scenarios.PRIORITIES.values())
        )[0]

        async def send(caller: str, vm: str, text: str, kept: bool) -> None:
            got = await traffic.query(
                deployment,
                vm,
                text,
                caller=caller,
                service=service.name,
                deadline_ms=scenarios.DEADLINES_MS[caller],
            )
            if kept:
                samples.append(Sample(caller, got))

        vm = rng.choice([v for v in vms if _takes_work(deployment, v)] or vms)
        text = f"{service.name}-{number}"
        task = asyncio.create_task(send(caller, vm, text, kept))
        sending.add(task)
        task.add_done_callback(sending.discard)
    await asyncio.gather(*sending)


def _takes_work(deployment: cluster.Cluster, vm: str) -> bool:
    """Tells whether callers would be sent to a VM."""
    daemon = deployment.vms[vm].daemon
    return daemon is not None and daemon.board.serving.value == "ready"


async def _bring_about(
    scenario: scenarios.Scenario, deployment: cluster.Cluster
) -> None:
    """Brings about the scenario's incident."""
    zone = deployment.layout.zones[1]
    vm = next(iter(deployment.vms))
    await asyncio.sleep(WARM_S + scenario.seconds / 4)
    match scenario.incident:
        case scenarios.Incident.NONE:
            return
        case scenarios.Incident.ZONE_CYCLE:
            out = resources.Zone(name=zone, state=resources.ZoneState.OUT)
            await deployment.change(vm, out)
            await asyncio.sleep(scenario.seconds / 4)
            _turn_cold(deployment, zone, restart=True)
            await asyncio.sleep(scenario.seconds / 8)
            await deployment.change(vm, resources.Zone(name=zone))
        case scenarios.Incident.COLD_ZONE:
            _turn_cold(deployment, zone, restart=False)


def _turn_cold(
    deployment: cluster.Cluster, zone: str, *, restart: bool
) -> None:
    """Turns all searchers of a zone cold, with or without a restart."""
    for server in layouts.make_servers(deployment.layout):
        if server.zone != zone:
            continue
        for declared in server.searchers:
            searcher = deployment.fleet.searchers[declared.address]
            if restart:
                searcher.restart(scenarios.COLD_CALLS)
            else:
                searcher.turn_cold(scenarios.COLD_CALLS)


def _summarize(
    scenario: scenarios.Scenario,
    samples: list[Sample],
    past: history.History,
    used_s: float,
) -> Row:
    """Makes the table's row."""
    done = [s for s in samples if s.got.code == "ok"]
    urgent = [s for s in done if s.caller == "desk"]
    sent_urgent = sum(s.caller == "desk" for s in samples)
    cold = [a for a in past.arrivals if a.cold_limit is not None]
    found: dict[str, int] = {}
    for violation in checker.check(past):
        found[violation.invariant] = found.get(violation.invariant, 0) + 1
    return Row(
        layout=scenario.layout,
        load=scenario.load,
        stragglers=scenario.stragglers,
        incident=scenario.incident.value,
        variant=scenario.variant.value,
        requests=len(samples),
        p50_ms=_get_quantile(done, 0.5),
        p99_ms=_get_quantile(done, 0.99),
        p999_ms=_get_quantile(done, 0.999),
        p99_urgent_ms=_get_quantile(urgent, 0.99),
        complete_urgent=_round(
            sum(s.got.complete for s in urgent) / max(1, sent_urgent)
        ),
        coverage_mean=_round(
            sum(s.got.coverage for s in done) / max(1, len(done))
        ),
        coverage_min=min((s.got.coverage for s in done), default=0.0),
        calls_per_needed=_round(_count_calls_per_needed(past)),
        cold_most=max((a.in_use for a in cold), default=0),
        cold_exceeded=sum(a.in_use > (a.cold_limit or 0) for a in cold),
        refused={
            caller: _round(_get_refused_share(samples, caller))
            for caller in scenarios.PRIORITIES
        },
        last_work_s=_find_last_work(scenario, past),
        cut=sum(not s.got.answered for s in samples),
        violations=found,
        cpu_ms_per_call=_round(used_s * 1000 / max(1, len(past.arrivals))),
    )


def _round(value: float) -> float:
    """Rounds for the table."""
    return round(value, 5)


def _get_quantile(samples: list[Sample], share: float) -> float:
    """Returns a quantile of the answers' times, in milliseconds."""
    times = sorted((s.got.got_s - s.got.sent_s) * 1000 for s in samples)
    if not times:
        return math.nan
    return round(times[min(len(times) - 1, int(len(times) * share))], 2)


def _get_refused_share(samples: list[Sample], caller: str) -> float:
    """Returns the share of a caller's requests refused as not run."""
    own = [s for s in samples if s.caller == caller]
    return sum(s.got.ran == "not_run" for s in own) / max(1, len(own))


def _count_calls_per_needed(past: history.History) -> float:
    """Returns calls that reached searchers, for each part needed."""
    needed = sum(
        isinstance(record.event, events.PartChosen)
        and record.event.reason == "first"
        for record in past.records
    )
    return len(past.arrivals) / max(1, needed)


def _find_last_work(
    scenario: scenarios.Scenario, past: history.History
) -> float | None:
    """Returns the last new work in the zone while it was out."""
    if scenario.incident is not scenarios.Incident.ZONE_CYCLE:
        return None
    zone = scenarios.LAYOUTS[scenario.layout].zones[1]
    out_s = next(
        record.monotonic_s
        for record in past.records
        if isinstance(record.event, events.ConfigurationAccepted)
    )
    back_s = next(
        record.monotonic_s
        for record in past.records
        if isinstance(record.event, events.ConfigurationApplied)
        and record.monotonic_s > out_s
        and zone not in record.event.zones_out
    )
    worked = [
        a.at_s for a in past.arrivals if a.zone == zone and a.at_s < back_s
    ]
    return round(max(worked) - out_s, 3)
