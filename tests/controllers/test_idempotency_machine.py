"""A state machine over idempotency records, VMs, faults and time.

Callers send, resend and abandon requests through three VMs; VMs crash and
hold on to claims for long; writes get lost, late or unanswered. Whatever
happens, a key runs at most once and nobody is told what is not true.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Any
from unittest import mock

import async_solipsism
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp import blackboard, errors, events, metrics, settings
from azureramp.controllers import idempotency, record_claimer, record_releases
from azureramp.policy import idempotency as policy
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state

VMS = 3
KEYS = ("order-1", "order-2")

FAULTS: tuple[dict[str, Any], ...] = (
    {},
    {"down": True},
    {"delay_s": 0.4},
    {"delay_s": 1.5},
    {"lost_replies": 1},
    {"lost_replies": 20},
    {"lost_requests": 1},
    {"lost_requests": 20},
    {"late_s": 0.7},
    {"late_s": 8.0},
    {"late_s": 90.0},
    {"past": 3},
)


class Vm:
    """One daemon's records, until it crashes."""

    def __init__(
        self, number: int, incarnation: int, state: store_state.State
    ) -> None:
        """Starts it."""
        daemon = settings.Settings(
            vm=f"vm-{number}",
            zone="a",
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            store_address="127.0.0.1:3",
            vmlist_address="127.0.0.1:4",
        )
        self.alive = True
        self.store = memory.MemoryStore(state)
        board = blackboard.Blackboard(
            daemon, incarnation, events.Timeline("vm"), metrics.Metrics()
        )
        rng = random.Random(f"{number}.{incarnation}")
        self.records = idempotency.make(board, self.store, rng)
        self.task = asyncio.ensure_future(self.records.run())

    def crash(self) -> None:
        """Ends it; nothing that it does afterwards reaches the store."""
        self.alive = False
        self.store.faults = memory.Faults(down=True)
        self.task.cancel()


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One request of a caller.

    Attributes:
        ran: True once it was dispatched.
        ended: True once its holder has said its last word.
        finished: True if that word was its outcome.
        result: What `claim` returned.
    """

    request_id: str
    vm: Vm
    key: str
    request_hash: int
    task: asyncio.Task[idempotency.Answer]
    ran: bool = False
    ended: bool = False
    finished: bool = False
    checked: bool = False
    result: idempotency.Answer | None = None

    def get_claimed(self) -> idempotency.Claimed | None:
        """Returns the right to dispatch, if it has it."""
        if self.result is not None and self.result.is_ok():
            claimed = self.result.ok
            if isinstance(claimed, idempotency.Claimed):
                return claimed
        return None


class RecordsMachine(stateful.RuleBasedStateMachine):
    """Requests, faults and time, and the truth about what ran."""

    minds_dispatch_time = True

    def __init__(self) -> None:
        """Starts the VMs."""
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=async_solipsism.EventLoop)
        self.state = store_state.State()
        self.incarnation = 1
        self.attempts: list[Attempt] = []
        self.runs: dict[str, list[Attempt]] = {key: [] for key in KEYS}
        self.told_unknown: set[str] = set()
        self.vms: list[Vm] = []
        self.run(self.start())

    async def start(self) -> None:
        """Starts the VMs, which get their leases."""
        self.vms = [Vm(number, 1, self.state) for number in range(VMS)]
        for number, vm in enumerate(self.vms):
            await vm.records.claim("office", f"first-{number}", 1, "none")

    def run(self, coroutine: Any) -> None:
        """Runs the loop, then looks at what was answered."""
        self.runner.run(coroutine)
        for attempt in self.attempts:
            if attempt.task.done() and not attempt.checked:
                attempt.checked = True
                if not attempt.task.cancelled():
                    attempt.result = attempt.task.result()
                    self.check_answer(attempt, attempt.result)

    def check_answer(
        self, attempt: Attempt, result: idempotency.Answer
    ) -> None:
        """Compares what a caller is told with the truth."""
        runs = self.runs[attempt.key]
        if result.is_error():
            failure = result.error
            if failure.kind is errors.Kind.OUTCOME_UNKNOWN:
                self.told_unknown.add(attempt.key)
            if failure.kind is errors.Kind.KEY_REUSED:
                others = (
                    other
                    for other in self.attempts
                    if other.key == attempt.key
                    and other.request_hash != attempt.request_hash
                )
                assert any(others), "KEY_REUSED of a key used once"
                assert not [
                    run
                    for run in runs
                    if run.request_hash == attempt.request_hash
                ], "not_run of a request that ran"
        elif isinstance(result.ok, idempotency.Recorded):
            ids = [run.request_id for run in runs]
            assert result.ok.request_id in ids, "an outcome of no run"
            assert result.ok.result == result.ok.request_id.encode()

    def pick(
        self, number: int, wanted: Callable[[Attempt], bool]
    ) -> Attempt | None:
        """Picks one of the attempts that are in a state."""
        found = [each for each in self.attempts if wanted(each)]
        return found[number % len(found)] if found else None

    @stateful.rule(
        number=st.integers(0, VMS - 1),
        key=st.sampled_from(KEYS),
        request_hash=st.sampled_from((1, 1, 1, 2)),
        wait_s=st.sampled_from((0.0, 0.3, 4.0)),
    )
    def claim(
        self, number: int, key: str, request_hash: int, wait_s: float
    ) -> None:
        """A caller sends a request, for the first time or again."""

        async def go() -> None:
            vm = self.vms[number]
            request_id = f"{len(self.attempts)}"
            task = asyncio.ensure_future(
                vm.records.claim("office", key, request_hash, request_id)
            )
            self.attempts.append(
                Attempt(request_id, vm, key, request_hash, task)
            )
            await asyncio.sleep(wait_s)

        self.run(go())

    @stateful.rule(number=st.integers(0, 99))
    def abandon(self, number: int) -> None:
        """A caller goes away while its request is being claimed."""
        attempt = self.pick(number, lambda each: not each.task.done())
        if attempt is not None:
            attempt.task.cancel()
            self.run(asyncio.sleep(0))

    @stateful.rule(number=st.integers(0, 99))
    def dispatch(self, number: int) -> None:
        """A holder sends its request to a backend server."""
        attempt = self.pick(
            number,
            lambda each: (
                each.get_claimed() is not None
                and each.vm.alive
                and not each.ran
                and not each.ended
            ),
        )
        if attempt is None:
            return
        claimed = attempt.get_claimed()
        assert claimed is not None
        now_s = self.runner.get_loop().time()
        late = now_s >= claimed.may_dispatch_until_s
        if late and self.minds_dispatch_time:
            return
        assert not self.runs[attempt.key], "a second run"
        assert attempt.key not in self.told_unknown, "a run after `unknown`"
        attempt.ran = True
        self.runs[attempt.key].append(attempt)

    @stateful.rule(number=st.integers(0, 99), known=st.booleans())
    def end(self, number: int, known: bool) -> None:
        """A holder says its last word."""
        attempt = self.pick(
            number,
            lambda each: (
                each.get_claimed() is not None
                and each.vm.alive
                and not each.ended
            ),
        )
        if attempt is not None:
            self.end_attempt(attempt, known)

    def end_attempt(self, attempt: Attempt, known: bool) -> None:
        """Says an attempt's last word."""
        claimed = attempt.get_claimed()
        assert claimed is not None
        attempt.ended = True
        attempt.finished = attempt.ran and known

        async def go() -> None:
            records = attempt.vm.records
            if not attempt.ran:
                records.release(claimed)
            elif known:
                await records.finish(claimed, attempt.request_id.encode())
            else:
                await records.mark_unknown(claimed)

        self.run(go())

    @stateful.rule(seconds=st.sampled_from((0.01, 0.5, 2.0, 11.0, 61.0, 200.0)))
    def pass_time(self, seconds: float) -> None:
        """Time passes; holders of claims may be paused meanwhile."""
        self.run(asyncio.sleep(seconds))

    @stateful.rule(
        number=st.integers(0, VMS - 1), faults=st.sampled_from(FAULTS)
    )
    def break_store(self, number: int, faults: dict[str, Any]) -> None:
        """The way between one VM and the store changes."""
        self.vms[number].store.faults = memory.Faults(**faults)

    @stateful.rule(number=st.integers(0, VMS - 1))
    def crash(self, number: int) -> None:
        """A VM dies and another one takes its place."""
        vm = self.vms[number]
        vm.crash()
        for attempt in self.attempts:
            if attempt.vm is vm:
                attempt.task.cancel()
        self.incarnation += 1

        async def go() -> None:
            self.vms[number] = Vm(number, self.incarnation, self.state)

        self.run(go())

    def teardown(self) -> None:
        """Everything heals; then each key must be answered rightly."""
        try:
            self.heal()
            for key in KEYS:
                self.check_key(key)
        finally:
            self.runner.close()

    def heal(self) -> None:
        """Mends the ways to the store and ends what is held."""
        for vm in self.vms:
            vm.store.faults = memory.Faults()
        self.run(asyncio.sleep(120.0))
        for attempt in self.attempts:
            holds = attempt.get_claimed() is not None and attempt.vm.alive
            if holds and not attempt.ended:
                self.end_attempt(attempt, known=True)
        self.run(asyncio.sleep(30.0))

    def check_key(self, key: str) -> None:
        """Asks for a key through a VM that has not heard of it."""

        async def go() -> idempotency.Answer:
            fresh = Vm(VMS, 1, self.state)
            try:
                runs = self.runs[key]
                request_hash = runs[0].request_hash if runs else 1
                return await fresh.records.claim(
                    "office", key, request_hash, "last"
                )
            finally:
                fresh.task.cancel()

        result = self.runner.run(go())
        runs = self.runs[key]
        assert len(runs) <= 1
        tried = [each for each in self.attempts if each.key == key]
        crashed = [each for each in tried if not each.vm.alive]
        if not runs and not crashed and key not in self.told_unknown:
            free = result.is_ok() and isinstance(result.ok, idempotency.Claimed)
            assert free, "blocked for ever, though nothing ran"
        if runs:
            claimed = result.is_ok() and isinstance(
                result.ok, idempotency.Claimed
            )
            assert not claimed, "a second run"
            if runs[0].finished and runs[0].vm.alive:
                assert result.is_ok(), "a recorded outcome is not told"
            if not result.is_ok():
                kind = result.error.kind
                assert kind is not errors.Kind.STORE_UNAVAILABLE


SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_a_key_runs_at_most_once_and_nobody_is_told_otherwise() -> None:
    stateful.run_state_machine_as_test(RecordsMachine, settings=SETTINGS)


JUDGE = policy.judge
CLAIM = record_claimer.RecordClaimer.claim


def judge_with_takeover(
    record: policy.Record | None, nonce: str, request_hash: int, age_s: float
) -> policy.Verdict:
    """Takes over a claim that has been known for long, as if it never ran."""
    verdict = JUDGE(record, nonce, request_hash, age_s)
    if verdict == policy.Refuse(errors.Kind.OUTCOME_UNKNOWN):
        return policy.Free()
    return verdict


def judge_without_state(
    record: policy.Record | None, nonce: str, request_hash: int, age_s: float
) -> policy.Verdict:
    """Replays a recorded outcome of any claim, run or not."""
    if record is not None and record.state is policy.State.CLAIMED:
        return policy.Replay(record)
    return JUDGE(record, nonce, request_hash, age_s)


def replace_anything(
    record: policy.Record | None, wanted: policy.Record
) -> bool:
    """Lets a holder's late word overwrite another's claim."""
    return True


def take_nothing(self: record_releases.RecordReleases, release: Any) -> None:
    """Forgets every release."""


async def believe_claim(
    self: record_claimer.RecordClaimer, store_key: str, record: policy.Record
) -> record_claimer.Outcome:
    """Takes a claim whose reply was lost for a success."""
    outcome = await CLAIM(self, store_key, record)
    return 1 if isinstance(outcome, errors.Failure) else outcome


def send_twice(machine: RecordsMachine) -> None:
    """One request through two VMs, sent again after the first is stuck."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def resend_soon(machine: RecordsMachine) -> None:
    """The same, while the first holder may still dispatch."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(6.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def run_then_resend(machine: RecordsMachine) -> None:
    """A request that ran, and whose holder says nothing, is sent again."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def lose_requests(machine: RecordsMachine) -> None:
    """A claim that never reached the store, and a retry through another."""
    machine.break_store(0, {"lost_requests": 20})
    machine.claim(0, "order-1", 1, 4.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def land_late(machine: RecordsMachine) -> None:
    """A claim that lands after its request was refused as not run."""
    machine.break_store(0, {"late_s": 8.0})
    machine.claim(0, "order-1", 1, 4.0)
    machine.break_store(0, {"down": True})
    machine.pass_time(11.0)
    machine.claim(1, "order-1", 1, 0.3)


def release_late(machine: RecordsMachine) -> None:
    """An abandoned claim's release meets the claim of somebody else."""
    machine.break_store(0, {"late_s": 90.0})
    machine.claim(0, "order-1", 1, 4.0)
    machine.break_store(0, {"down": True})
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.break_store(0, {})
    machine.pass_time(11.0)
    machine.claim(2, "order-1", 1, 0.3)
    machine.dispatch(0)


Script = Callable[[RecordsMachine], None]

BROKEN: dict[str, tuple[object, str, object, Script]] = {
    "a claim known for long is taken over": (
        policy, "judge", judge_with_takeover, run_then_resend,
    ),
    "a claim is replayed as if it had run": (
        policy, "judge", judge_without_state, send_twice,
    ),
    "a late word overwrites another claim": (
        policy, "may_release", replace_anything, release_late,
    ),
    "a claim that may land is not released": (
        record_releases.RecordReleases, "add", take_nothing, land_late,
    ),
    "an outcome is called unknown too early": (
        policy, "UNKNOWN_S", 5.0, resend_soon,
    ),
    "a holder may dispatch for too long": (
        policy, "DISPATCH_S", 1000.0, send_twice,
    ),
    "a claim is believed without proof": (
        record_claimer.RecordClaimer, "claim", believe_claim, lose_requests,
    ),
}  # fmt: skip


def play(script: Script) -> None:
    """Plays a script of the machine's rules to its end."""
    machine = RecordsMachine()
    try:
        script(machine)
    finally:
        machine.teardown()


@pytest.mark.parametrize("name", BROKEN)
def test_the_machine_catches_each_broken_guard(name: str) -> None:
    """The machine is tested too: without a guard its checks turn red."""
    place, attribute, broken, script = BROKEN[name]
    play(script)

    with (
        mock.patch.object(place, attribute, broken),
        pytest.raises(AssertionError),
    ):
        play(script)


def test_the_machine_finds_a_broken_guard_by_itself() -> None:
    with (
        mock.patch.object(policy, "may_release", replace_anything),
        pytest.raises(AssertionError),
    ):
        stateful.run_state_machine_as_test(
            RecordsMachine,
            settings=hypothesis.settings(
                SETTINGS,
                phases=[hypothesis.Phase.generate],
                max_examples=600,
            ),
        )
