"""Simulates a roll-out on test doubles in virtual time and evaluates it."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import random

from azureramp.ports.web import connection as web_connection
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment, searcher
from azureramp_standins.rollouts import versions

SERVICE = "statements"
OLD_VERSION, NEW_VERSION = "v1", "v2"
SEARCHERS = 3
ROUTES = ("/one/", "/two/")
MAX_TARGET_VMS = 8
"""Largest number of VMs that callers send to."""

FINAL_STATES = ("completed", "rolled_back")

DURATION_S = 12.0
"""Duration of the roll-out that the operators order, in seconds."""

TRAFFIC_LEAD_S = 3.0
"""Duration of the traffic before the order, in seconds."""

TRAFFIC_TAIL_S = 4.0
"""Duration of the traffic after the deadline, in seconds."""

SEARCHER_START_S = 1.0
"""Time from the order until the new searchers start, in seconds."""

ROLLBACK_DRAIN_S = 3.0
"""Time from a rollback until the new version's searchers are removed from the
store, in seconds."""

POLL_S = 0.02
"""Interval between polls of the driver's count of bad answers, in seconds."""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
STOP_BOUND_S = 5.0
MAX_BAD_ANSWERS = 50
"""The bounds that operators set; see `deployment.make_settings`."""


class Fault(enum.Enum):
    """A fault that is injected during the roll-out."""

    NONE = "none"
    DRIVER_KILLED = "driver-killed"
    DRIVER_UNREACHABLE = "driver-still"
    ALL_KILLED = "all-killed"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    ANSWERS_LOST = "answers-lost"
    HISTORY_COMPACTED = "history-gone"
    OLD_SLOW = "old-slow"
    NEW_CRASHES = "new-crashes"


@dataclasses.dataclass(slots=True, frozen=True)
class Parameters:
    """The parameters of a simulated roll-out.

    Attributes:
        vms: The number of VMs.
        seed: The seed; equal plans give equal runs.
        kind: The kind of the new version.
        fault: The injected fault.
        per_s: Request rate to the service, per second.
    """

    vms: int
    seed: int
    kind: versions.Kind
    fault: Fault = Fault.NONE
    per_s: float = 20.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """The result of a simulated roll-out.

    Attributes:
        state: The final state in the operators' status entry.
        ended_s: When that state was written, in seconds after the order; 0 if
            the roll-out didn't end.
        share: The new version's share of the calls until the deadline.
        calls_to_new: The number of calls to the new version until the deadline.
        stop_delay_s: Time from the 50th bad answer to the last call to the new
            version, in seconds; None if there were fewer bad answers.
        aborted_calls: The number of calls running on old searchers at their
            removal.
        success_share: The share of the callers' requests that were answered
            with 200.
        count_delays_s: The delays between each bad answer and its counting by
            the driver, in seconds.
        violations: The rules that were broken.
    """

    state: str = ""
    ended_s: float = 0.0
    share: float = 0.0
    calls_to_new: int = 0
    stop_delay_s: float | None = None
    aborted_calls: int = 0
    success_share: float = 0.0
    count_delays_s: tuple[float, ...] = ()
    violations: tuple[str, ...] = ()


def simulate(plan: Parameters) -> Outcome:
    """Simulates a roll-out and returns its result."""
    return virtual.run(Simulation(plan).run())


class Simulation:
    """The state of a simulated roll-out."""

    def __init__(self, plan: Parameters) -> None:
        """Makes a roll-out that does not begin before `run`."""
        self._plan = plan
        self._rng = random.Random(
            f"{plan.vms}/{plan.seed}/{plan.kind.value}/{plan.fault.value}"
        )
        self._fleet = deployment.Deployment(plan.seed)
        self._new_behaviours: list[versions.Behaviour] = []
        self._succeeded: list[bool] = []
        self._ordered_s = 0.0
        self._ended_s = 0.0
        self._aborted_calls = 0
        self._counted_s: list[float] = []
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> Outcome:
        """Runs the deployment, the traffic, the roll-out and its fault."""
        fleet, plan = self._fleet, self._plan
        await fleet.start()
        await fleet.add_searchers(SERVICE, SEARCHERS)
        for each in fleet.searchers.values():
            good = versions.Version(versions.Never())
            each.script = versions.Behaviour(good, self._rng).act
        for prefix in ROUTES:
            fleet.add_route(prefix, Backend=SERVICE)
        fleet.write_configuration()
        for number in range(plan.vms):
            await fleet.add_vm(f"vm-{number}", f"zone-{number % 2}")
        await deployment.wait_for_updates(2.0)
        traffic = asyncio.create_task(self._send_traffic())
        await asyncio.sleep(TRAFFIC_LEAD_S)
        loop = asyncio.get_running_loop()
        self._ordered_s = loop.time()
        fleet.order_rollout(SERVICE, NEW_VERSION, DURATION_S)
        helpers = [
            asyncio.create_task(each)
            for each in (
                self._run_operator(),
                self._inject_fault(),
                self._poll_bad_answers(),
            )
        ]
        await asyncio.sleep(DURATION_S + TRAFFIC_TAIL_S)
        for task in (traffic, *helpers):
            task.cancel()
        await asyncio.wait((traffic, *helpers, *self._requests))
        for helper in helpers:
            if not helper.cancelled() and helper.exception():
                raise helper.exception() or AssertionError
        outcome = self._evaluate()
        await fleet.kill()
        return outcome

    async def _send_traffic(self) -> None:
        """Sends requests at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self._plan.per_s))
            task = asyncio.create_task(self._send_request())
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send_request(self) -> None:
        """Sends one request, retries it once and records if it succeeded."""
        target = self._rng.choice(ROUTES) + "x"
        for _ in range(2):
            vm = (
                f"vm-{self._rng.randrange(min(MAX_TARGET_VMS, self._plan.vms))}"
            )
            if vm not in self._fleet.daemons:
                continue
            try:
                answer = await self._fleet.send_request(vm, target)
            except (web_connection.ConnectionBrokenError, OSError):
                continue
            if answer.status == 200:
                self._succeeded.append(True)
                return
        self._succeeded.append(False)

    async def _run_operator(self) -> None:
        """Starts the new searchers; removes them or the old ones at the end."""
        fleet = self._fleet
        loop = asyncio.get_running_loop()
        version = versions.draw(
            self._plan.kind,
            self._rng,
            loop.time(),
            DURATION_S,
            self._plan.per_s / SEARCHERS,
        )
        await asyncio.sleep(SEARCHER_START_S)
        for index in range(SEARCHERS):
            started = await fleet.add_searcher(
                f"{SERVICE}-new-{index}",
                SERVICE,
                f"zone-{index % 2}",
                NEW_VERSION,
            )
            behaviour = versions.Behaviour(version, self._rng)
            self._new_behaviours.append(behaviour)
            started.script = behaviour.act
        while fleet.read_rollout_state(SERVICE) not in FINAL_STATES:
            await fleet.store.state.wait_for_change(1.0)
        self._ended_s = loop.time()
        if fleet.read_rollout_state(SERVICE) == "rolled_back":
            await asyncio.sleep(ROLLBACK_DRAIN_S)
            self._remove(NEW_VERSION)
            return
        for each in self._list_searchers(OLD_VERSION):
            self._aborted_calls += each.running_requests
            each.crash()
        self._remove(OLD_VERSION)

    def _list_searchers(self, version: str) -> list[searcher.Searcher]:
        """Returns the service's searchers of a version."""
        return [
            each
            for each in self._fleet.searchers.values()
            if each.version == version
        ]

    def _remove(self, version: str) -> None:
        """Removes the entries of a version's searchers from the store."""
        for each in self._list_searchers(version):
            self._fleet.store.remove(f"servers/{each.id}")

    async def _inject_fault(self) -> None:
        """Injects the plan's fault at a random time."""
        fleet = self._fleet
        faults = fleet.store.faults
        await asyncio.sleep(self._rng.uniform(0.5, 0.75 * DURATION_S))
        match self._plan.fault:
            case Fault.NONE:
                return
            case Fault.DRIVER_KILLED:
                await self._restart([self._find_driver()])
            case Fault.DRIVER_UNREACHABLE:
                # The driver stops listening. It continues to grant calls, but
                # its writes have no effect.
                driver = fleet.daemons[self._find_driver()]
                for server in driver.get_servers():
                    await server.stop(0.0)
            case Fault.ALL_KILLED:
                await self._restart(list(fleet.daemons))
            case Fault.STORE_DOWN:
                faults.busy = True
                await asyncio.sleep(3.0)
                faults.busy = False
            case Fault.STORE_SLOW:
                faults.slow_s = 0.25
                await asyncio.sleep(4.0)
                faults.slow_s = 0.0
            case Fault.ANSWERS_LOST:
                for _ in range(8):
                    faults.lost = 1
                    await asyncio.sleep(0.5)
                faults.lost = 0
            case Fault.HISTORY_COMPACTED:
                fleet.store.compact()
            case Fault.OLD_SLOW:
                await self._slow_down(self._list_searchers(OLD_VERSION)[0])
            case Fault.NEW_CRASHES:
                if self._new_behaviours:
                    crashed = self._list_searchers(NEW_VERSION)[0]
                    crashed.crash()
                    await asyncio.sleep(2.0)
                    await crashed.start()

    async def _poll_bad_answers(self) -> None:
        """Records when the driver counts each bad answer, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now_s = asyncio.get_running_loop().time()
            for program in self._fleet.daemons.values():
                counted = program.count_bad_answers(SERVICE)
                while len(self._counted_s) < counted:
                    self._counted_s.append(now_s)

    async def _slow_down(self, slow: searcher.Searcher) -> None:
        """Slows a searcher down by a factor of 5 for 5 seconds."""
        script = slow.script
        slow.script = lambda request: dataclasses.replace(
            script(request), delay_s=script(request).delay_s * 5
        )
        await asyncio.sleep(5.0)
        slow.script = script

    async def _restart(self, vms: list[str]) -> None:
        """Kills VMs and restarts them after 0.5 seconds."""
        for vm in vms:
            await self._fleet.daemons.pop(vm).abort()
        await asyncio.sleep(0.5)
        for vm in vms:
            number = int(vm.removeprefix("vm-"))
            await self._fleet.add_vm(
                vm, f"zone-{number % 2}", 30000 + 10 * number, first_start=False
            )

    def _find_driver(self) -> str:
        """Returns the VM that drives the roll-out; vm-0 if there is none."""
        for program in self._fleet.daemons.values():
            record = program.rollouts.get_record(SERVICE)
            if record is not None:
                vm = record.driver.rpartition("#")[0]
                if vm in self._fleet.daemons:
                    return vm
        return "vm-0"

    def _evaluate(self) -> Outcome:
        """Evaluates the requests that reached the searchers."""
        deadline_s = self._ordered_s + DURATION_S
        calls_to_new = sorted(
            request.at_s
            for each in self._list_searchers(NEW_VERSION)
            for request in each.requests
        )
        calls_to_old = [
            request.at_s
            for each in self._list_searchers(OLD_VERSION)
            for request in each.requests
            if request.at_s >= self._ordered_s
        ]
        new_in_time = sum(at_s <= deadline_s for at_s in calls_to_new)
        all_in_time = new_in_time + sum(
            at_s <= deadline_s for at_s in calls_to_old
        )
        bad = sorted(
            at_s
            for each in self._new_behaviours
            for at_s in each.bad_answer_times
        )
        outcome = Outcome(
            state=self._fleet.read_rollout_state(SERVICE),
            ended_s=self._ended_s - self._ordered_s if self._ended_s else 0.0,
            share=new_in_time / max(1, all_in_time),
            calls_to_new=new_in_time,
            aborted_calls=self._aborted_calls,
            success_share=sum(self._succeeded) / max(1, len(self._succeeded)),
        )
        outcome.count_delays_s = tuple(
            counted_s - bad_s
            for bad_s, counted_s in zip(bad, self._counted_s, strict=False)
        )
        if len(bad) >= MAX_BAD_ANSWERS:
            outcome.stop_delay_s = calls_to_new[-1] - bad[MAX_BAD_ANSWERS - 1]
        outcome.violations = tuple(self._list_violations(outcome, all_in_time))
        return outcome

    def _list_violations(self, outcome: Outcome, all_in_time: int) -> list[str]:
        """Returns the names of the rules that were broken."""
        broken: list[str] = []
        if self._plan.kind is versions.Kind.GOOD:
            if outcome.aborted_calls:
                broken.append(
                    "a call was running on an old searcher at its removal"
                )
            return broken
        if outcome.calls_to_new > EXPOSURE_SHARE * all_in_time + EXPOSURE_SLACK:
            broken.append("exposure")
        if (
            outcome.stop_delay_s is not None
            and outcome.stop_delay_s > STOP_BOUND_S
        ):
            broken.append("stopped late")
        return broken
