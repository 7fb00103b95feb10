"""Plays one roll-out on the stand-ins in virtual time, and judges it."""

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
OLD, NEW = "v1", "v2"
SEARCHERS = 3
ROUTES = ("/one/", "/two/")
SENDERS = 8
"""VMs that callers send to, at most."""

ENDED = ("completed", "rolled_back")

DURATION_S = 12.0
BEFORE_S = 3.0
"""Traffic before the order, in seconds."""

AFTER_S = 4.0
"""Traffic after the deadline, in seconds."""

START_S = 1.0
"""How long after the order the new searchers are up, in seconds."""

DRAIN_S = 3.0
"""How long after the end the searchers of a version that was rolled back are
there, in seconds."""

LISTEN_S = 0.02
"""Time between two looks at what the driver has counted, in seconds."""

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
STOP_S = 5.0
MOST_BAD = 50
"""What the operators bound; see the deployment's settings."""


class Fault(enum.Enum):
    """What goes wrong beside the roll-out."""

    NONE = "none"
    DRIVER_KILLED = "driver-killed"
    DRIVER_STILL = "driver-still"
    ALL_KILLED = "all-killed"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    ANSWERS_LOST = "answers-lost"
    HISTORY_GONE = "history-gone"
    OLD_SLOW = "old-slow"
    NEW_CRASHES = "new-crashes"


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """One play.

    Attributes:
        vms: How many VMs.
        seed: Repeats it.
        kind: Which version.
        fault: What goes wrong.
        per_s: Requests a second to the service.
    """

    vms: int
    seed: int
    kind: versions.Kind
    fault: Fault = Fault.NONE
    per_s: float = 20.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What came of it.

    Attributes:
        state: What the operators are told at the end.
        ended_s: When that was written, in seconds after the order.
        share: The new version's share of the requests until the deadline.
        to_new: The number of these.
        stopped_s: Time from the 50th bad answer to the last request, in
            seconds; None if there were fewer.
        cut: Calls that were at old searchers when these ended.
        served: The share of the callers' requests that were answered well.
        heard_s: How long after each bad answer the driver counted it, in
            seconds.
        broken: The rules that were broken.
    """

    state: str = ""
    ended_s: float = 0.0
    share: float = 0.0
    to_new: int = 0
    stopped_s: float | None = None
    cut: int = 0
    served: float = 0.0
    heard_s: tuple[float, ...] = ()
    broken: tuple[str, ...] = ()


def play(plan: Plan) -> Outcome:
    """Plays a roll-out."""
    return virtual.run(Play(plan).run())


class Play:
    """One roll-out while it is played."""

    def __init__(self, plan: Plan) -> None:
        """Makes one; see `run`."""
        self._plan = plan
        self._rng = random.Random(
            f"{plan.vms}/{plan.seed}/{plan.kind.value}/{plan.fault.value}"
        )
        self._scene = deployment.Deployment(plan.seed)
        self._new: list[versions.Behaviour] = []
        self._answers: list[bool] = []
        self._ordered_s = 0.0
        self._ended_s = 0.0
        self._cut = 0
        self._counted_s: list[float] = []
        self._asking: set[asyncio.Task[None]] = set()

    async def run(self) -> Outcome:
        """Plays it."""
        scene, plan = self._scene, self._plan
        await scene.start()
        await scene.add_searchers(SERVICE, SEARCHERS)
        for each in scene.searchers.values():
            good = versions.Version(versions.Never())
            each.script = versions.Behaviour(good, self._rng).act
        for prefix in ROUTES:
            scene.add_route(prefix, Backend=SERVICE)
        scene.declare()
        for number in range(plan.vms):
            await scene.add_vm(f"vm-{number}", f"zone-{number % 2}")
        await deployment.settle(2.0)
        traffic = asyncio.create_task(self._send())
        await asyncio.sleep(BEFORE_S)
        loop = asyncio.get_running_loop()
        self._ordered_s = loop.time()
        scene.order_rollout(SERVICE, NEW, DURATION_S)
        helpers = [
            asyncio.create_task(each)
            for each in (self._operate(), self._harm(), self._listen())
        ]
        await asyncio.sleep(DURATION_S + AFTER_S)
        for task in (traffic, *helpers):
            task.cancel()
        await asyncio.wait((traffic, *helpers, *self._asking))
        for helper in helpers:
            if not helper.cancelled() and helper.exception():
                raise helper.exception() or AssertionError
        outcome = self._judge()
        await scene.kill()
        return outcome

    async def _send(self) -> None:
        """Sends requests at random times, forever."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self._plan.per_s))
            task = asyncio.create_task(self._ask())
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)

    async def _ask(self) -> None:
        """Sends one request, and another one if that fails."""
        target = self._rng.choice(ROUTES) + "x"
        for _ in range(2):
            vm = f"vm-{self._rng.randrange(min(SENDERS, self._plan.vms))}"
            if vm not in self._scene.programs:
                continue
            try:
                answer = await self._scene.ask(vm, target)
            except (web_connection.BrokenError, OSError):
                continue
            if answer.status == 200:
                self._answers.append(True)
                return
        self._answers.append(False)

    async def _operate(self) -> None:
        """Starts the new searchers, and ends either these or the old ones."""
        scene = self._scene
        loop = asyncio.get_running_loop()
        version = versions.draw(
            self._plan.kind,
            self._rng,
            loop.time(),
            DURATION_S,
            self._plan.per_s / SEARCHERS,
        )
        await asyncio.sleep(START_S)
        for index in range(SEARCHERS):
            started = await scene.add_searcher(
                f"{SERVICE}-new-{index}", SERVICE, f"zone-{index % 2}", NEW
            )
            behaviour = versions.Behaviour(version, self._rng)
            self._new.append(behaviour)
            started.script = behaviour.act
        while scene.read_rollout(SERVICE) not in ENDED:
            await scene.store.state.wait_for_change(1.0)
        self._ended_s = loop.time()
        if scene.read_rollout(SERVICE) == "rolled_back":
            await asyncio.sleep(DRAIN_S)
            self._remove(NEW)
            return
        for each in self._list(OLD):
            self._cut += each.running
            each.crash()
        self._remove(OLD)

    def _list(self, version: str) -> list[searcher.Searcher]:
        """Lists the service's searchers of a version."""
        return [
            each
            for each in self._scene.searchers.values()
            if each.version == version
        ]

    def _remove(self, version: str) -> None:
        """Takes the entries of a version's searchers away."""
        for each in self._list(version):
            self._scene.store.remove(f"servers/{each.id}")

    async def _harm(self) -> None:
        """Makes things go wrong."""
        scene = self._scene
        faults = scene.store.faults
        await asyncio.sleep(self._rng.uniform(0.5, 0.75 * DURATION_S))
        match self._plan.fault:
            case Fault.NONE:
                return
            case Fault.DRIVER_KILLED:
                await self._restart([self._find_driver()])
            case Fault.DRIVER_STILL:
                # It goes on granting calls, and its writes come to nothing.
                driver = scene.programs[self._find_driver()]
                for server in driver.list_servers():
                    await server.stop(0.0)
            case Fault.ALL_KILLED:
                await self._restart(list(scene.programs))
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
            case Fault.HISTORY_GONE:
                scene.store.compact()
            case Fault.OLD_SLOW:
                await self._slow_down(self._list(OLD)[0])
            case Fault.NEW_CRASHES:
                if self._new:
                    crashed = self._list(NEW)[0]
                    crashed.crash()
                    await asyncio.sleep(2.0)
                    await crashed.start()

    async def _listen(self) -> None:
        """Notes when the driver counts each bad answer, forever."""
        while True:
            await asyncio.sleep(LISTEN_S)
            now_s = asyncio.get_running_loop().time()
            for program in self._scene.programs.values():
                counted = program.count_bad_answers(SERVICE)
                while len(self._counted_s) < counted:
                    self._counted_s.append(now_s)

    async def _slow_down(self, slow: searcher.Searcher) -> None:
        """Makes a searcher slow for some seconds."""
        script = slow.script
        slow.script = lambda seen: dataclasses.replace(
            script(seen), after_s=script(seen).after_s * 5
        )
        await asyncio.sleep(5.0)
        slow.script = script

    async def _restart(self, vms: list[str]) -> None:
        """Kills VMs and starts them again."""
        for vm in vms:
            await self._scene.programs.pop(vm).kill()
        await asyncio.sleep(0.5)
        for vm in vms:
            number = int(vm.removeprefix("vm-"))
            await self._scene.add_vm(
                vm, f"zone-{number % 2}", 30000 + 10 * number, first=False
            )

    def _find_driver(self) -> str:
        """Returns the VM that drives the roll-out, or any."""
        for program in self._scene.programs.values():
            record = program.rollouts.get_record(SERVICE)
            if record is not None:
                vm = record.driver.rpartition("#")[0]
                if vm in self._scene.programs:
                    return vm
        return "vm-0"

    def _judge(self) -> Outcome:
        """Judges what the searchers saw."""
        deadline_s = self._ordered_s + DURATION_S
        to_new = sorted(
            seen.at_s for each in self._list(NEW) for seen in each.seen
        )
        to_old = [
            seen.at_s
            for each in self._list(OLD)
            for seen in each.seen
            if seen.at_s >= self._ordered_s
        ]
        early = sum(at_s <= deadline_s for at_s in to_new)
        both = early + sum(at_s <= deadline_s for at_s in to_old)
        bad = sorted(at_s for each in self._new for at_s in each.bad_s)
        outcome = Outcome(
            state=self._scene.read_rollout(SERVICE),
            ended_s=self._ended_s - self._ordered_s if self._ended_s else 0.0,
            share=early / max(1, both),
            to_new=early,
            cut=self._cut,
            served=sum(self._answers) / max(1, len(self._answers)),
        )
        outcome.heard_s = tuple(
            counted_s - bad_s
            for bad_s, counted_s in zip(bad, self._counted_s, strict=False)
        )
        if len(bad) >= MOST_BAD:
            outcome.stopped_s = to_new[-1] - bad[MOST_BAD - 1]
        outcome.broken = tuple(self._list_broken(outcome, both))
        return outcome

    def _list_broken(self, outcome: Outcome, both: int) -> list[str]:
        """Lists the rules that were broken."""
        broken: list[str] = []
        if self._plan.kind is versions.Kind.GOOD:
            if outcome.cut:
                broken.append("a call was at an old searcher at its end")
            return broken
        if outcome.to_new > EXPOSURE_SHARE * both + EXPOSURE_SLACK:
            broken.append("exposure")
        if outcome.stopped_s is not None and outcome.stopped_s > STOP_S:
            broken.append("stopped late")
        return broken
