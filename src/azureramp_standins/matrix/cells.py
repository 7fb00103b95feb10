"""Runs one cell of the matrix: a fault at a step under load, then recovery."""

from __future__ import annotations

import asyncio
import enum
import random

import msgspec

from azureramp import resources
from azureramp.invariants import checker, history
from azureramp_standins import cluster, traffic, virtual
from azureramp_standins import layout as layouts
from azureramp_standins.matrix import changes, faults, steps

LAYOUT = layouts.Layout(
    services=(
        layouts.Service(
            servers=3, searchers=2, shards=3, replicas=2, cold_limit=1
        ),
    )
)
FAULT_DURATION_S = 1.5
"""Duration of a fault, in seconds."""

QUERY_INTERVAL_S = 0.05
GRANT_INTERVAL_S = 0.25
WARMUP_S = 3.0
"""Duration of the load before a fault may begin, in seconds.

In this time the VMs learn the usual latencies.
"""

CHANGE_AT_S = 0.5
REPLACE_AT_S = 1.0
"""Times after `WARMUP_S` at which a resource changes and a VM is replaced, in
seconds."""

VM_START_S = 0.5
"""Time for the replaced VM to reach the steps of its start, in seconds."""

MAX_RECOVERY_S = 12.0
"""Maximum time from a fault's end until all VMs answer completely, in
seconds."""

SETTLE_S = 3.5
"""Time after recovery in which late effects would become visible, in
seconds."""

NO_AWAIT = "no await between admission and pinning"

IMPOSSIBLE_CELLS: dict[tuple[str, str], str] = {
    (fault, "query.pin"): NO_AWAIT for fault in faults.FAULTS
}
"""Reasons why cells cannot occur, by fault and step."""


class Verdict(enum.Enum):
    """Result of the check of a cell."""

    HELD = "held"
    BROKEN = "broken"
    NOT_RUN = "not_run"
    CANNOT_OCCUR = "cannot_occur"


class Result(msgspec.Struct, frozen=True):
    """Result of one cell.

    Attributes:
        fault: The fault's name, or two names joined by `+`.
        step: The step's name.
        verdict: The result of the check.
        words: The first violations, or the reason why the cell was not run.
        recovery_s: Time from the fault's end until all VMs answered
            completely, in seconds.
        answered: Share of the queries that were answered completely.
    """

    fault: str
    step: str
    verdict: Verdict
    words: tuple[str, ...] = ()
    recovery_s: float = 0.0
    answered: float = 0.0


class Cell:
    """A run that injects faults when a step is reached."""

    __slots__ = (
        "_deployment",
        "_detector",
        "_faults",
        "_injection",
        "_random",
        "_step",
    )

    def __init__(self, names: tuple[str, ...], step: str, seed: int) -> None:
        """Initializes a cell that has not run."""
        service = LAYOUT.services[0]
        self._detector = steps.StepDetector(service.shards)
        self._deployment = cluster.make(
            LAYOUT, seed=seed, address_lifetime_ms=500, list_lag_ms=500
        )
        state = steps.ObservedState(self._detector)
        network = steps.ObservedNetwork(seed, self._detector)
        self._deployment.state = state
        self._deployment.network = network
        self._deployment.on_record = self._detector.observe_event
        self._faults = [faults.FAULTS[name] for name in names]
        self._step = step
        self._random = random.Random(seed)
        self._injection: asyncio.Task[None] | None = None

    async def run(self) -> tuple[history.History, float | None, bool]:
        """Runs the cell.

        Returns:
            The recorded history, the time to recovery in seconds (None if
            the VMs did not recover), and True if the step was reached.
        """
        deployment = self._deployment
        await deployment.start()
        stopping = asyncio.Event()
        load = [
            asyncio.create_task(self._send_queries(stopping)),
            asyncio.create_task(self._send_grants(stopping)),
        ]
        await asyncio.sleep(WARMUP_S)
        self._detector.base_revision = deployment.state.revision
        self._detector.observer = self._observe
        await asyncio.sleep(CHANGE_AT_S)
        self._detector.report("configuration.validate")
        await self._change_policy()
        await asyncio.sleep(REPLACE_AT_S - CHANGE_AT_S)
        await self._replace_vm()
        await asyncio.sleep(VM_START_S)
        reached = self._injection is not None
        recovery_s: float | None = None
        if self._injection is not None:
            await self._injection
            recovery_s = await self._wait_until_recovered()
        await asyncio.sleep(SETTLE_S)
        stopping.set()
        await asyncio.gather(*load)
        return await deployment.close(), recovery_s, reached

    def _observe(self, reached_step: steps.ReachedStep) -> None:
        """Injects the faults when the step is reached for the first time."""
        if reached_step.step == self._step and self._injection is None:
            self._injection = asyncio.create_task(self._inject(reached_step))

    async def _inject(self, reached_step: steps.ReachedStep) -> None:
        """Begins the faults, and ends them `FAULT_DURATION_S` later."""
        target = changes.FaultTarget(self._deployment, reached_step)
        end_s = asyncio.get_running_loop().time() + FAULT_DURATION_S
        for fault in self._faults:
            await fault.begin(target)
        remaining_s = end_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, remaining_s))
        # In reverse order: an operator's change that ends a fault may fail
        # while a fault that began later is still present.
        for fault in reversed(self._faults):
            await fault.end(target)

    async def _change_policy(self) -> None:
        """Changes a resource that has no effect on answers."""
        await self._deployment.put_resource(
            self._choose_vm(),
            resources.Policy(name="default", queue_ms=900),
        )

    async def _replace_vm(self) -> None:
        """Stops a VM gracefully if it runs, and starts it again."""
        name = list(self._deployment.vms)[-1]
        self._detector.restarted_vm = name
        vm = self._deployment.vms[name]
        if vm.daemon is not None and not vm.stopping:
            await self._deployment.stop_vm(name)
        if vm.daemon is None and not vm.stopping:
            await self._deployment.start_vm(name)

    async def _wait_until_recovered(self) -> float | None:
        """Waits until every VM answers completely.

        Returns:
            The time that it took, in seconds; None if it exceeds
            `MAX_RECOVERY_S`.
        """
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        target = changes.FaultTarget(
            self._deployment, steps.ReachedStep(self._step)
        )
        while loop.time() - start_s < MAX_RECOVERY_S:
            await changes.start_all(target)
            answers = [
                await traffic.query(self._deployment, vm, f"after-{vm}")
                for vm in self._deployment.vms
            ]
            if all(answer.complete for answer in answers):
                return loop.time() - start_s
            await asyncio.sleep(0.1)
        return None

    def _choose_vm(self) -> str:
        """Chooses a running VM at random."""
        return self._random.choice(
            [
                name
                for name, vm in self._deployment.vms.items()
                if vm.daemon is not None
            ]
        )

    async def _send_queries(self, stopping: asyncio.Event) -> None:
        """Sends queries until `stopping` is set, every second one over HTTP."""
        sending: list[asyncio.Task[history.RequestOutcome]] = []
        number = 0
        while not stopping.is_set():
            number += 1
            sending.append(
                asyncio.create_task(
                    traffic.query(
                        self._deployment,
                        self._choose_vm(),
                        f"q{number}",
                        over_http=number % 2 == 0,
                    )
                )
            )
            await asyncio.sleep(QUERY_INTERVAL_S)
        await asyncio.gather(*sending)

    async def _send_grants(self, stopping: asyncio.Event) -> None:
        """Sends each grant twice, through VMs chosen at random."""
        sending: list[asyncio.Task[history.RequestOutcome]] = []
        number = 0
        while not stopping.is_set():
            number += 1
            key = self._random.randrange(LAYOUT.services[0].count_keys())
            for _ in range(2):
                sending.append(
                    asyncio.create_task(
                        traffic.execute(
                            self._deployment,
                            self._choose_vm(),
                            f"grant-{number}",
                            key=key,
                            over_http=number % 2 == 0,
                        )
                    )
                )
                await asyncio.sleep(GRANT_INTERVAL_S)
        await asyncio.gather(*sending)


def run_cell(names: tuple[str, ...], step: str, seed: int = 1) -> Result:
    """Runs one cell in virtual time.

    Args:
        names: Names of the faults, one or two.
        step: Name of the step at which they begin.
        seed: Seed of all random draws.

    Returns:
        The cell's result.
    """
    joined = "+".join(names)
    for name in names:
        if (name, step) in IMPOSSIBLE_CELLS:
            reason = IMPOSSIBLE_CELLS[(name, step)]
            return Result(joined, step, Verdict.CANNOT_OCCUR, (reason,))
    recorded, recovery_s, reached = virtual.run(Cell(names, step, seed).run())
    if not reached:
        reasons = ("the step was not reached",)
        return Result(joined, step, Verdict.NOT_RUN, reasons)
    violations = [
        f"{v.invariant}: {v.description}" for v in checker.check(recorded)
    ]
    if recovery_s is None:
        violations.append(f"recovery: not within {MAX_RECOVERY_S} s")
    queries = [got for got in recorded.outcomes if not got.idempotency_key]
    answered = sum(got.complete for got in queries) / max(1, len(queries))
    return Result(
        joined,
        step,
        Verdict.BROKEN if violations else Verdict.HELD,
        tuple(violations[:5]),
        round(recovery_s or 0.0, 3),
        round(answered, 4),
    )
