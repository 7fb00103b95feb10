"""Runs a scenario and summarizes what callers and searchers observed."""

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

WARMUP_S = 2.0
"""Duration of the load before the measurement, in virtual seconds."""

BACKGROUND_LOAD = 0.1
"""Load of the services that are not measured, as a share of capacity."""


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one scenario; times are in milliseconds if not stated.

    Attributes:
        p99_urgent_ms: As `p99_ms`, for the highest priority only.
        complete_urgent: Share of the highest priority's requests that were
            answered completely within their deadline.
        calls_per_needed: Number of calls that reached searchers per shard of
            the admitted requests.
        cold_most: Maximum number of concurrent calls at a cold searcher.
        cold_exceeded: Number of arrivals that exceeded the limit of a cold
            searcher.
        refused: Share of the requests refused without running them, by
            caller.
        last_work_s: Time of the last new work in the drained zone after the
            change was accepted, in seconds; None without such an incident.
        cut: Number of requests without an answer.
        violations: Number of violations by invariant.
        cpu_ms_per_call: Processor time of the whole run per searcher call,
            including that of the test doubles.
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
    """The result of one request and its caller."""

    caller: str
    received: history.RequestOutcome


def run(scenario: scenarios.Scenario) -> Row:
    """Runs a scenario in virtual time and returns its row."""
    start_s = time.process_time()
    samples, run_history = virtual.run(_run(scenario))
    cpu_s = time.process_time() - start_s
    return _summarize(scenario, samples, run_history, cpu_s)


async def _run(
    scenario: scenarios.Scenario,
) -> tuple[list[Sample], history.History]:
    """Generates the load and injects the incident."""
    layout = scenarios.LAYOUTS[scenario.layout]
    deployment = cluster.make(
        layout, seed=scenario.seed, service_ms=scenarios.SERVICE_MS
    )
    variants.configure(deployment, scenario.variant)
    await deployment.start()
    if scenario.stragglers:
        for searcher in deployment.searcher_fleet.searchers.values():
            searcher.faults.straggles = scenarios.STRAGGLER_SHARE
            searcher.faults.straggler_factor = scenarios.STRAGGLER_FACTOR
    samples: list[Sample] = []
    load_tasks = [
        asyncio.create_task(_send_load(scenario, deployment, service, samples))
        for service in layout.services
    ]
    await _inject(scenario, deployment)
    await asyncio.gather(*load_tasks)
    return samples, await deployment.close()


async def _send_load(
    scenario: scenarios.Scenario,
    deployment: cluster.Cluster,
    service: layouts.Service,
    samples: list[Sample],
) -> None:
    """Sends requests to a service at random times, at the scenario's rate."""
    rng = random.Random(f"{scenario.seed}/{service.name}")
    measured = service.name == scenario.service
    slots = service.servers * service.searchers * service.slots
    calls_per_s = slots * 1000 / scenarios.SERVICE_MS
    load = scenario.load if measured else BACKGROUND_LOAD
    rate = calls_per_s * load / service.shards
    loop = asyncio.get_running_loop()
    load_start_s = loop.time()
    sending: set[asyncio.Task[None]] = set()
    vms = list(deployment.vms)
    number = 0
    while loop.time() - load_start_s < WARMUP_S + scenario.seconds:
        await asyncio.sleep(rng.expovariate(rate))
        is_measured = measured and loop.time() - load_start_s >= WARMUP_S
        number += 1
        caller = rng.choices(
            list(scenarios.PRIORITIES), list(scenarios.PRIORITIES.values())
        )[0]

        async def send(
            caller: str, vm: str, text: str, is_measured: bool
        ) -> None:
            received = await traffic.query(
                deployment,
                vm,
                text,
                caller=caller,
                service=service.name,
                deadline_ms=scenarios.DEADLINES_MS[caller],
            )
            if is_measured:
                samples.append(Sample(caller, received))

        vm = rng.choice([v for v in vms if _is_ready(deployment, v)] or vms)
        text = f"{service.name}-{number}"
        task = asyncio.create_task(send(caller, vm, text, is_measured))
        sending.add(task)
        task.add_done_callback(sending.discard)
    await asyncio.gather(*sending)


def _is_ready(deployment: cluster.Cluster, vm: str) -> bool:
    """Returns True if a VM is ready for requests."""
    daemon = deployment.vms[vm].daemon
    return daemon is not None and daemon.board.serving.value == "ready"


async def _inject(
    scenario: scenarios.Scenario, deployment: cluster.Cluster
) -> None:
    """Injects the scenario's incident."""
    zone = deployment.layout.zones[1]
    vm = next(iter(deployment.vms))
    await asyncio.sleep(WARMUP_S + scenario.seconds / 4)
    match scenario.incident:
        case scenarios.Incident.NONE:
            return
        case scenarios.Incident.ZONE_CYCLE:
            drained = resources.Zone(name=zone, state=resources.ZoneState.OUT)
            await deployment.put_resource(vm, drained)
            await asyncio.sleep(scenario.seconds / 4)
            _make_cold(deployment, zone, restart=True)
            await asyncio.sleep(scenario.seconds / 8)
            await deployment.put_resource(vm, resources.Zone(name=zone))
        case scenarios.Incident.COLD_ZONE:
            _make_cold(deployment, zone, restart=False)


def _make_cold(
    deployment: cluster.Cluster, zone: str, *, restart: bool
) -> None:
    """Puts all searchers of a zone into cold start.

    Args:
        deployment: The deployment.
        zone: The zone.
        restart: True restarts the searchers too.
    """
    for server in layouts.make_servers(deployment.layout):
        if server.zone != zone:
            continue
        for declared in server.searchers:
            searcher = deployment.searcher_fleet.searchers[declared.address]
            if restart:
                searcher.restart(scenarios.COLD_CALLS)
            else:
                searcher.reset_to_cold(scenarios.COLD_CALLS)


def _summarize(
    scenario: scenarios.Scenario,
    samples: list[Sample],
    run_history: history.History,
    cpu_s: float,
) -> Row:
    """Computes the row of a scenario."""
    answered = [s for s in samples if s.received.code == "ok"]
    urgent = [s for s in answered if s.caller == "desk"]
    sent_urgent = sum(s.caller == "desk" for s in samples)
    cold = [a for a in run_history.arrivals if a.cold_limit is not None]
    violations: dict[str, int] = {}
    for violation in checker.check(run_history):
        violations[violation.invariant] = (
            violations.get(violation.invariant, 0) + 1
        )
    return Row(
        layout=scenario.layout,
        load=scenario.load,
        stragglers=scenario.stragglers,
        incident=scenario.incident.value,
        variant=scenario.variant.value,
        requests=len(samples),
        p50_ms=_get_quantile(answered, 0.5),
        p99_ms=_get_quantile(answered, 0.99),
        p999_ms=_get_quantile(answered, 0.999),
        p99_urgent_ms=_get_quantile(urgent, 0.99),
        complete_urgent=_round(
            sum(s.received.complete for s in urgent) / max(1, sent_urgent)
        ),
        coverage_mean=_round(
            sum(s.received.coverage for s in answered) / max(1, len(answered))
        ),
        coverage_min=min((s.received.coverage for s in answered), default=0.0),
        calls_per_needed=_round(_count_calls_per_needed(run_history)),
        cold_most=max((a.in_use for a in cold), default=0),
        cold_exceeded=sum(a.in_use > (a.cold_limit or 0) for a in cold),
        refused={
            caller: _round(_get_refused_share(samples, caller))
            for caller in scenarios.PRIORITIES
        },
        last_work_s=_find_last_work(scenario, run_history),
        cut=sum(not s.received.answered for s in samples),
        violations=violations,
        cpu_ms_per_call=_round(
            cpu_s * 1000 / max(1, len(run_history.arrivals))
        ),
    )


def _round(value: float) -> float:
    """Rounds a value for the table."""
    return round(value, 5)


def _get_quantile(samples: list[Sample], share: float) -> float:
    """Returns a quantile of the response times, in milliseconds."""
    times = sorted(
        (s.received.ended_s - s.received.sent_s) * 1000 for s in samples
    )
    if not times:
        return math.nan
    return round(times[min(len(times) - 1, int(len(times) * share))], 2)


def _get_refused_share(samples: list[Sample], caller: str) -> float:
    """Returns the share of a caller's requests refused without running."""
    caller_samples = [s for s in samples if s.caller == caller]
    return sum(s.received.ran == "not_run" for s in caller_samples) / max(
        1, len(caller_samples)
    )


def _count_calls_per_needed(run_history: history.History) -> float:
    """Returns the number of calls at searchers per needed sub-request."""
    needed = sum(
        isinstance(record.event, events.PartChosen)
        and record.event.reason == "first"
        for record in run_history.records
    )
    return len(run_history.arrivals) / max(1, needed)


def _find_last_work(
    scenario: scenarios.Scenario, run_history: history.History
) -> float | None:
    """Returns the time of the last new work in the zone while drained.

    The time is in seconds after the change was accepted.
    """
    if scenario.incident is not scenarios.Incident.ZONE_CYCLE:
        return None
    zone = scenarios.LAYOUTS[scenario.layout].zones[1]
    drained_s = next(
        record.monotonic_s
        for record in run_history.records
        if isinstance(record.event, events.ConfigurationAccepted)
    )
    restored_s = next(
        record.monotonic_s
        for record in run_history.records
        if isinstance(record.event, events.ConfigurationApplied)
        and record.monotonic_s > drained_s
        and zone not in record.event.zones_out
    )
    worked = [
        a.at_s
        for a in run_history.arrivals
        if a.zone == zone and a.at_s < restored_s
    ]
    return round(max(worked) - drained_s, 3)
