"""A hypothesis state machine of the configuration under combined faults."""

from __future__ import annotations

import asyncio
import dataclasses
import math

import async_solipsism
import msgspec
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp import events, resources
from azureramp.controllers import changes, resource_answers, vm_status
from azureramp.ports.store import api as store_api
from tests.controllers import configured

SIZE = 5
BOUND_S = 2.0
SAMPLE_S = 0.05
STEP_S = 0.3
QUIET_S = 20.0
"""Time without faults after which all VMs must have recovered, in seconds."""

NAMES = ("d", "e")
NOT_RUN = ("conflict", "store_unavailable", "stale_configuration")

numbers = st.integers(0, SIZE - 1)
groups = st.frozensets(numbers, max_size=SIZE)


@dataclasses.dataclass(slots=True)
class Asked:
    """A change that an operator requested.

    Attributes:
        change_id: The id of the change.
        code: `ok` or the code of the refusal; empty while there is no answer.
    """

    change_id: str
    code: str = ""


class Machine(stateful.RuleBasedStateMachine):
    """VMs, operators, and all that can go wrong between them."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.deployment = self.runner.run(make())
        self.processes = list(self.deployment.processes)
        self.asked: list[Asked] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.known: dict[tuple[int, str], int] = {}

    @stateful.invariant()
    def go_on(self) -> None:
        """Lets a little time pass after each step."""
        self.runner.run(self._advance(STEP_S))

    @stateful.rule(tenths=st.integers(1, 40))
    def advance(self, tenths: int) -> None:
        self.runner.run(self._advance(tenths / 10))

    @stateful.rule(
        number=numbers, name=st.sampled_from(NAMES), out=st.booleans()
    )
    def change(self, number: int, name: str, out: bool) -> None:
        self.runner.run(self._ask(number, configured.make_zone(name, out=out)))

    @stateful.rule(number=numbers, name=st.sampled_from(NAMES))
    def delete(self, number: int, name: str) -> None:
        self.runner.run(self._ask(number, None, name))

    @stateful.rule(number=numbers, other=numbers)
    def race(self, number: int, other: int) -> None:
        """Two operators change the same zone to the same state at once."""
        zone = configured.make_zone("d", out=True)
        for asked in (number, other):
            self.runner.run(self._ask(asked, zone))

    @stateful.rule(number=numbers)
    def restart(self, number: int) -> None:
        async def start() -> None:
            self.processes.append(await self.deployment.restart(number))

        self.runner.run(start())

    @stateful.rule(inside=groups)
    def cut(self, inside: frozenset[int]) -> None:
        self.deployment.cut(*inside)

    @stateful.rule(sender=numbers, receiver=numbers)
    def cut_one_way(self, sender: int, receiver: int) -> None:
        pair = (f"vm-{sender}", f"vm-{receiver}")
        self.deployment.network.faults.cut.add(pair)

    @stateful.rule()
    def heal(self) -> None:
        self.deployment.heal()

    @stateful.rule(numbers=groups)
    def take_store_down(self, numbers: frozenset[int]) -> None:
        self.deployment.set_down(*numbers)

    @stateful.rule(numbers=groups, past=st.integers(0, 8))
    def answer_from_the_past(self, numbers: frozenset[int], past: int) -> None:
        for number, store in enumerate(self.deployment.stores):
            store.faults.past = past if number in numbers else 0

    @stateful.rule(
        number=numbers,
        replies=st.integers(0, 2),
        requests=st.integers(0, 2),
        late_s=st.sampled_from([0.0, 0.0, 1.0, 5.0]),
        delay_s=st.sampled_from([0.0, 0.0, 0.3, 1.5]),
    )
    def lose(
        self,
        number: int,
        replies: int,
        requests: int,
        late_s: float,
        delay_s: float,
    ) -> None:
        faults = self.deployment.stores[number].faults
        faults.lost_replies = replies
        faults.lost_requests = requests
        faults.late_s = late_s
        faults.delay_s = delay_s

    @stateful.rule(
        jitter_s=st.sampled_from([0.0, 0.1, 1.0, 4.0]),
        loss=st.sampled_from([0.0, 0.2]),
        doubling=st.sampled_from([0.0, 0.3]),
    )
    def disturb(self, jitter_s: float, loss: float, doubling: float) -> None:
        faults = self.deployment.network.faults
        faults.jitter_s = jitter_s
        faults.loss = loss
        faults.doubling = doubling

    @stateful.rule(number=numbers)
    def freeze(self, number: int) -> None:
        self.deployment.network.faults.frozen.add(f"vm-{number}")

    @stateful.rule(number=numbers)
    def thaw(self, number: int) -> None:
        async def end() -> None:
            self.deployment.network.thaw(f"vm-{number}")

        self.runner.run(end())

    def teardown(self) -> None:
        try:
            self.runner.run(self._end())
        finally:
            self.runner.close()

    async def _advance(self, time_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + time_s
        while loop.time() < until_s:
            await asyncio.sleep(SAMPLE_S)
            self._check(loop.time())

    async def _ask(
        self, number: int, zone: resources.Zone | None, name: str = ""
    ) -> None:
        """Asks for a change, from what this VM shows."""
        process = self.deployment.processes[number]
        name = zone.name if zone else name
        shown = process.board.configuration.entries.get(
            ("availability_zone", name)
        )
        live = shown is not None and shown.resource is not None
        expected = shown.revision if shown is not None and live else 0
        if zone is None and not live:
            return
        asked = Asked(f"change-{len(self.asked)}")
        self.asked.append(asked)

        async def ask() -> None:
            if zone is None:
                result = await process.configuration.delete(
                    "availability_zone", name, expected
                )
            else:
                result = await process.configuration.put(
                    zone, expected, asked.change_id
                )
            refusal: changes.Refusal | None = (
                result.error if result.is_error() else None
            )
            asked.code = refusal.failure.kind.value if refusal else "ok"

        task = asyncio.create_task(ask())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _check(self, now_s: float) -> None:
        self._check_no_step_back()
        self._check_accepted(now_s)
        self._check_status()

    def _check_no_step_back(self) -> None:
        """Nothing in force on a process is ever replaced by older."""
        for place, process in enumerate(self.processes):
            configuration = process.board.configuration
            shown = {
                f"{kind}/{name}": entry.revision
                for (kind, name), entry in configuration.entries.items()
            }
            shown["revision"] = configuration.revision
            for name, revision in shown.items():
                before = self.known.get((place, name), 0)
                assert revision >= before, f"{process.name} reverted {name}"
                self.known[(place, name)] = revision

    def _check_accepted(self, now_s: float) -> None:
        """After the bound, who works has every accepted change."""
        for event, at_s in self._get_all_accepted():
            if at_s + BOUND_S < now_s:
                without = self._find_working_without(event)
                assert not without, f"{without} work without {event}"

    def _check_status(self) -> None:
        """What a VM calls in force, every VM that works has."""
        accepted = [event for event, _ in self._get_all_accepted()]
        newest = max(accepted, key=lambda event: event.revision, default=None)
        if newest is None:
            return
        for process in self.deployment.processes:
            told = vm_status.make_status(
                process.board, process.configuration, newest.revision
            )
            if told.state is resource_answers.ChangeState.IN_FORCE:
                without = self._find_working_without(newest)
                assert not without, f"{process.name}: {newest} is in force"

    def _get_all_accepted(
        self,
    ) -> list[tuple[events.ConfigurationAccepted, float]]:
        return [
            accepted
            for process in self.processes
            for accepted in get_accepted(process)
        ]

    def _find_working_without(
        self, event: events.ConfigurationAccepted
    ) -> list[str]:
        """Finds the VMs that may begin new work without a change."""
        return [
            process.name
            for process in self.deployment.processes
            if process.may_work()
            and event.revision
            > max(
                get_revision(process, event.resource_kind, event.name),
                process.board.configuration.revision,
            )
        ]

    async def _end(self) -> None:
        """Ends all faults; then everybody agrees with the store."""
        deployment = self.deployment
        deployment.heal()
        deployment.set_down()
        for store in deployment.stores:
            store.faults = type(store.faults)()
        faults = deployment.network.faults
        faults.jitter_s = faults.loss = faults.doubling = 0.0
        for frozen in list(faults.frozen):
            deployment.network.thaw(frozen)
        await self._advance(QUIET_S)
        assert not self.tasks, "an operator has no answer"
        entries = deployment.state.list("/azureramp/resources/").entries
        wanted = {
            entry.key.rpartition("/")[2]: entry.revision for entry in entries
        }
        for process in deployment.processes:
            zones = process.board.configuration.get_zones()
            assert {
                name: get_revision(process, "availability_zone", name)
                for name in zones
            } == wanted
            assert process.board.serving.value == "ready"
        self._check_operators(entries)
        await deployment.stop()

    def _check_operators(self, entries: tuple[store_api.Entry, ...]) -> None:
        """What is said to be stored was; what is "not run" never was."""
        written = find_change_ids(self.deployment)
        for asked in self.asked:
            if asked.code in NOT_RUN:
                assert asked.change_id not in written, f"{asked} took effect"
        newest = {entry.key: entry.revision for entry in entries}
        for process in self.processes:
            for event, _ in get_accepted(process):
                key = f"/azureramp/resources/{event.resource_kind}/{event.name}"
                past = self.deployment.state._past[key]
                assert event.revision in {entry.revision for entry in past}
                assert newest.get(key, math.inf) >= event.revision


async def make() -> configured.Deployment:
    deployment = configured.Deployment(SIZE)
    await deployment.start()
    await deployment.processes[0].put(configured.make_zone("d"))
    await asyncio.sleep(2.0)
    return deployment


def get_accepted(
    process: configured.Process,
) -> list[tuple[events.ConfigurationAccepted, float]]:
    return [
        (record.event, record.monotonic_s)
        for record in process.board.timeline.get_records()
        if isinstance(record.event, events.ConfigurationAccepted)
    ]


def get_revision(process: configured.Process, kind: str, name: str) -> int:
    entry = process.board.configuration.entries.get((kind, name))
    return entry.revision if entry else 0


def find_change_ids(deployment: configured.Deployment) -> set[str]:
    return {
        msgspec.json.decode(entry.value).get("change_id", "")
        for key, past in deployment.state._past.items()
        if key.startswith("/azureramp/resources/")
        for entry in past
        if entry.value
    }
