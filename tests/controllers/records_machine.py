"""A state machine of idempotency records, VMs, faults and time.

Callers send, retry and abandon requests through three VMs; VMs crash and hold
claims for long; writes are lost, delayed or unanswered. In all cases a key
runs at most once, and no caller gets an untrue answer.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any

import async_solipsism
from hypothesis import stateful
from hypothesis import strategies as st

from azureramp import errors
from azureramp.controllers import idempotency
from azureramp.policy import record_limits
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state
from tests.controllers import records_vms

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


class Vm(records_vms.Vm):
    """One daemon's records, until it crashes."""

    def __init__(self, number: int, state: store_state.State) -> None:
        """Starts the records of a VM."""
        super().__init__(f"vm-{number}", state)
        self.alive = True

    def crash(self) -> None:
        """Stops the VM; none of its later calls reach the store."""
        self.alive = False
        self.store.faults = memory.Faults(down=True)
        self.task.cancel()


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One request of a caller.

    Attributes:
        ran: True once it was dispatched.
        ended: True once its holder has recorded or released it.
        finished: True if its holder has recorded its result.
        checked: True once the answer to the claim has been checked.
        result: The return value of `claim`.
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
        """Returns the claim; None if it was not granted."""
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
        self.attempts: list[Attempt] = []
        self.runs: dict[str, list[Attempt]] = {key: [] for key in KEYS}
        self.told_unknown: set[str] = set()
        self.vms: list[Vm] = []
        self.run(self.start())

    async def start(self) -> None:
        """Starts the VMs, which get their leases."""
        self.vms = [Vm(number, self.state) for number in range(VMS)]
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

    @stateful.precondition(lambda machine: len(machine.attempts) > 2)
    @stateful.rule()
    def end_retention(self) -> None:
        """The store works, and all records of before come to their end."""
        for vm in self.vms:
            vm.store.faults = memory.Faults()
        # The virtual clock takes a day's sleep for one that never ends.
        for _ in range(2):
            half_s = (
                record_limits.RETENTION_S / 2 + record_limits.LEASE_WINDOW_S
            )
            self.run(asyncio.sleep(half_s))
        self.told_unknown.clear()
        for runs in self.runs.values():
            runs.clear()

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

        async def go() -> None:
            self.vms[number] = Vm(number, self.state)

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
            fresh = Vm(VMS, self.state)
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
