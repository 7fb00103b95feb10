"""One cell of the matrix: a fault at a step, under load, then recovery."""

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
FAULT_S = 1.5
"""How long a fault lasts, in seconds."""

QUERY_GAP_S = 0.05
GRANT_GAP_S = 0.25
WARM_S = 3.0
"""Load before a fault may begin, so that usual latencies are known."""

CHANGE_AT_S = 0.5
STOP_AT_S = 1.0
"""When an operator changes a resource, and a VM is replaced, after that."""

START_S = 0.5
"""Time in which the replaced VM reaches its steps."""

RECOVERY_S = 12.0
"""Longest time from a fault's end until all VMs answer in full."""

SETTLE_S = 3.5
"""Time after recovery in which late effects would still show."""

SAME_INSTANT = "no wait lies between admission and pinning"

CANNOT_OCCUR: dict[tuple[str, str], str] = {
    (fault, "query.pin"): SAME_INSTANT for fault in faults.FAULTS
}
"""The cells that can't occur, by fault and step, and why."""


class Verdict(enum.Enum):
    """How a cell ended."""

    HELD = "held"
    BROKEN = "broken"
    NOT_RUN = "not_run"
    CANNOT_OCCUR = "cannot_occur"


class Result(msgspec.Struct, frozen=True):
    """One cell's result.

    Attributes:
        fault: The fault, or two joined by `+`.
        step: The step.
        verdict: How it ended.
        words: The first violations, or why it was not run.
        recovery_s: Time from the fault's end until all VMs answered in full.
        answered: Share of the queries answered in full.
    """

    fault: str
    step: str
    verdict: Verdict
    words: tuple[str, ...] = ()
    recovery_s: float = 0.0
    answered: float = 0.0


class Cell:
    """A run in which a fault happens when a step is reached."""

    __slots__ = (
        "_deployment",
        "_faults",
        "_injecting",
        "_random",
        "_step",
        "_watcher",
    )

    def __init__(self, names: tuple[str, ...], step: str, seed: int) -> None:
        """Makes a cell that has not run."""
        service = LAYOUT.services[0]
        self._watcher = steps.Watcher(service.shards)
        self._deployment = cluster.make(
            LAYOUT, seed=seed, address_lifetime_ms=500, list_lag_ms=500
        )
        state = steps.ObservedState(self._watcher)
        network = steps.ObservedNetwork(seed, self._watcher)
        self._deployment.state = state
        self._deployment.network = network
        self._deployment.observer = self._watcher.observe_event
        self._faults = [faults.FAULTS[name] for name in names]
        self._step = step
        self._random = random.Random(seed)
        self._injecting: asyncio.Task[None] | None = None

    async def run(self) -> tuple[history.History, float | None, bool]:
        """Runs the cell.

        Returns:
            What happened, the time to recovery (None if there was none), and
            whether the step was reached.
        """
        deployment = self._deployment
        await deployment.start()
        stopping = asyncio.Event()
        load = [
            asyncio.create_task(self._query(stopping)),
            asyncio.create_task(self._grant(stopping)),
        ]
        await asyncio.sleep(WARM_S)
        self._watcher.base_revision = deployment.state.revision
        self._watcher.observer = self._observe
        await asyncio.sleep(CHANGE_AT_S)
        self._watcher.tell("configuration.validate")
        await self._change()
        await asyncio.sleep(STOP_AT_S - CHANGE_AT_S)
        await self._replace_vm()
        await asyncio.sleep(START_S)
        reached = self._injecting is not None
        recovery_s: float | None = None
        if self._injecting is not None:
            await self._injecting
            recovery_s = await self._recover()
        await asyncio.sleep(SETTLE_S)
        stopping.set()
        await asyncio.gather(*load)
        return await deployment.close(), recovery_s, reached

    def _observe(self, moment: steps.Moment) -> None:
        """Begins the faults when the step is reached first."""
        if moment.step == self._step and self._injecting is None:
            self._injecting = asyncio.create_task(self._inject(moment))

    async def _inject(self, moment: steps.Moment) -> None:
        """Brings the faults about, and ends them after a while."""
        place = changes.Place(self._deployment, moment)
        until_s = asyncio.get_running_loop().time() + FAULT_S
        for fault in self._faults:
            await fault.begin(place)
        left_s = until_s - asyncio.get_running_loop().time()
        await asyncio.sleep(max(0.0, left_s))
        # The last one first: what an operator must undo may need what the
        # other fault took away.
        for fault in reversed(self._faults):
            await fault.end(place)

    async def _change(self) -> None:
        """Changes a resource that changes no answer."""
        await self._deployment.change(
            self._choose_vm(),
            resources.Policy(name="default", queue_ms=900),
        )

    async def _replace_vm(self) -> None:
        """Stops a VM gracefully, if it runs, and starts it again."""
        name = list(self._deployment.vms)[-1]
        self._watcher.restarted = name
        vm = self._deployment.vms[name]
        if vm.daemon is not None and not vm.stopping:
            await self._deployment.stop_vm(name)
        if vm.daemon is None and not vm.stopping:
            await self._deployment.start_vm(name)

    async def _recover(self) -> float | None:
        """Waits until every VM answers in full; tells how long it took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        place = changes.Place(self._deployment, steps.Moment(self._step))
        while loop.time() - began_s < RECOVERY_S:
            await changes.start_all(place)
            got = [
                await traffic.query(self._deployment, vm, f"after-{vm}")
                for vm in self._deployment.vms
            ]
            if all(answer.complete for answer in got):
                return loop.time() - began_s
            await asyncio.sleep(0.1)
        return None

    def _choose_vm(self) -> str:
        """Chooses a VM that runs."""
        return self._random.choice(
            [
                name
                for name, vm in self._deployment.vms.items()
                if vm.daemon is not None
            ]
        )

    async def _query(self, stopping: asyncio.Event) -> None:
        """Sends queries until told to stop, some of them by real HTTP."""
        sending: list[asyncio.Task[history.Received]] = []
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
            await asyncio.sleep(QUERY_GAP_S)
        await asyncio.gather(*sending)

    async def _grant(self, stopping: asyncio.Event) -> None:
        """Sends grants, each one twice through two VMs."""
        sending: list[asyncio.Task[history.Received]] = []
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
                await asyncio.sleep(GRANT_GAP_S)
        await asyncio.gather(*sending)


def run(names: tuple[str, ...], step: str, seed: int = 1) -> Result:
    """Runs one cell in virtual time.

    Args:
        names: The faults, one or a pair.
        step: The step.
        seed: Of everything drawn.
    """
    joined = "+".join(names)
    for name in names:
        if (name, step) in CANNOT_OCCUR:
            why = CANNOT_OCCUR[(name, step)]
            return Result(joined, step, Verdict.CANNOT_OCCUR, (why,))
    past, recovery_s, reached = virtual.run(Cell(names, step, seed).run())
    if not reached:
        words = ("the step was not reached",)
        return Result(joined, step, Verdict.NOT_RUN, words)
    found = [f"{v.invariant}: {v.words}" for v in checker.check(past)]
    if recovery_s is None:
        found.append(f"recovery: not within {RECOVERY_S} s")
    queries = [got for got in past.received if not got.idempotency_key]
    answered = sum(got.complete for got in queries) / max(1, len(queries))
    return Result(
        joined,
        step,
        Verdict.BROKEN if found else Verdict.HELD,
        tuple(found[:5]),
        round(recovery_s or 0.0, 3),
        round(answered, 4),
    )
