"""The state machine over idempotency records, and its own test."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from unittest import mock

import hypothesis
import pytest
from hypothesis import stateful

from azureramp import errors
from azureramp.controllers import record_claimer, record_releases
from azureramp.policy import idempotency as policy
from tests.controllers import records_machine

SETTINGS = hypothesis.settings(
    max_examples=150,
    stateful_step_count=30,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def test_a_key_runs_at_most_once_and_nobody_is_told_otherwise() -> None:
    stateful.run_state_machine_as_test(
        records_machine.RecordsMachine, settings=SETTINGS
    )


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


def send_twice(machine: records_machine.RecordsMachine) -> None:
    """One request through two VMs, sent again after the first is stuck."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def resend_soon(machine: records_machine.RecordsMachine) -> None:
    """The same, while the first holder may still dispatch."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(6.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def run_then_resend(machine: records_machine.RecordsMachine) -> None:
    """A request that ran, and whose holder says nothing, is sent again."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def lose_requests(machine: records_machine.RecordsMachine) -> None:
    """A claim that never reached the store, and a retry through another."""
    machine.break_store(0, {"lost_requests": 20})
    machine.claim(0, "order-1", 1, 4.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def land_late(machine: records_machine.RecordsMachine) -> None:
    """A claim that lands after its request was refused as not run."""
    machine.break_store(0, {"late_s": 8.0})
    machine.claim(0, "order-1", 1, 4.0)
    machine.break_store(0, {"down": True})
    machine.pass_time(11.0)
    machine.claim(1, "order-1", 1, 0.3)


def release_late(machine: records_machine.RecordsMachine) -> None:
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


Script = Callable[[records_machine.RecordsMachine], None]

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
    machine = records_machine.RecordsMachine()
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


FOUND = (
    "a claim is replayed as if it had run",
    "a claim that may land is not released",
    "a claim is believed without proof",
)
"""Broken guards that the random search finds within its usual examples."""


@pytest.mark.parametrize("name", FOUND)
def test_the_machine_finds_a_broken_guard_by_itself(name: str) -> None:
    place, attribute, broken, _ = BROKEN[name]
    with (
        mock.patch.object(place, attribute, broken),
        pytest.raises(AssertionError),
    ):
        stateful.run_state_machine_as_test(
            records_machine.RecordsMachine,
            settings=hypothesis.settings(
                SETTINGS,
                phases=[hypothesis.Phase.generate],
                max_examples=600,
            ),
        )
