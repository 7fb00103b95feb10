"""Tests of idempotency records by state machine, and of that machine."""

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


def test_key_runs_at_most_once_and_answers_are_true() -> None:
    stateful.run_state_machine_as_test(
        records_machine.RecordsMachine, settings=SETTINGS
    )


EVALUATE_CLAIM = policy.evaluate_claim
CLAIM = record_claimer.RecordClaimer.claim


def judge_old_claim_as_free(
    record: policy.Record | None, nonce: str, request_hash: int, age_s: float
) -> policy.Verdict:
    """Treats an old claim as free, as if its request had never run."""
    verdict = EVALUATE_CLAIM(record, nonce, request_hash, age_s)
    if verdict == policy.Refuse(errors.Kind.OUTCOME_UNKNOWN):
        return policy.Claimable()
    return verdict


def judge_claim_as_outcome(
    record: policy.Record | None, nonce: str, request_hash: int, age_s: float
) -> policy.Verdict:
    """Replays any claim as an outcome, even if its request has not run."""
    if record is not None and record.state is policy.State.CLAIMED:
        return policy.Replay(record)
    return EVALUATE_CLAIM(record, nonce, request_hash, age_s)


def release_any_claim(
    record: policy.Record | None, wanted: policy.Record
) -> bool:
    """Lets a late release overwrite another holder's claim."""
    return True


def drop_release(self: record_releases.RecordReleases, release: Any) -> None:
    """Drops every release."""


async def accept_unconfirmed_claim(
    self: record_claimer.RecordClaimer, store_key: str, record: policy.Record
) -> record_claimer.Outcome:
    """Treats a claim whose reply was lost as successful."""
    outcome = await CLAIM(self, store_key, record)
    return 1 if isinstance(outcome, errors.Failure) else outcome


def retry_after_timeout(machine: records_machine.RecordsMachine) -> None:
    """One request through two VMs, retried after the first one's timeout."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def retry_early(machine: records_machine.RecordsMachine) -> None:
    """The same, with a retry while the first holder may still dispatch."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(6.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def run_then_retry(machine: records_machine.RecordsMachine) -> None:
    """A request that ran is retried before its holder records an outcome."""
    machine.claim(0, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.pass_time(61.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)


def lose_requests(machine: records_machine.RecordsMachine) -> None:
    """A claim that never reached the store, and a retry through another VM."""
    machine.break_store(0, {"lost_requests": 20})
    machine.claim(0, "order-1", 1, 4.0)
    machine.claim(1, "order-1", 1, 0.3)
    machine.dispatch(0)
    machine.dispatch(0)


def take_effect_late(machine: records_machine.RecordsMachine) -> None:
    """A claim that takes effect after its request was refused as not run."""
    machine.break_store(0, {"late_s": 8.0})
    machine.claim(0, "order-1", 1, 4.0)
    machine.break_store(0, {"down": True})
    machine.pass_time(11.0)
    machine.claim(1, "order-1", 1, 0.3)


def release_late(machine: records_machine.RecordsMachine) -> None:
    """The release of an abandoned claim conflicts with another's claim."""
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
    "an old claim is treated as free": (
        policy, "evaluate_claim", judge_old_claim_as_free, run_then_retry,
    ),
    "a claim is replayed as if it had run": (
        policy, "evaluate_claim", judge_claim_as_outcome, retry_after_timeout,
    ),
    "a late release overwrites another claim": (
        policy, "may_release", release_any_claim, release_late,
    ),
    "a claim that may take effect is not released": (
        record_releases.RecordReleases, "add", drop_release, take_effect_late,
    ),
    "an outcome is answered as unknown too early": (
        policy, "UNKNOWN_AFTER_S", 5.0, retry_early,
    ),
    "a holder may dispatch for too long": (
        policy, "DISPATCH_WINDOW_S", 1000.0, retry_after_timeout,
    ),
    "an unconfirmed claim is accepted": (
        record_claimer.RecordClaimer,
        "claim",
        accept_unconfirmed_claim,
        lose_requests,
    ),
}  # fmt: skip


def play(script: Script) -> None:
    """Runs a script of the machine's rules, then its final checks."""
    machine = records_machine.RecordsMachine()
    try:
        script(machine)
    finally:
        machine.teardown()


@pytest.mark.parametrize("name", BROKEN)
def test_machine_detects_each_broken_safeguard(name: str) -> None:
    """The machine's checks must fail when a safeguard is removed."""
    place, attribute, broken, script = BROKEN[name]
    play(script)

    with (
        mock.patch.object(place, attribute, broken),
        pytest.raises(AssertionError),
    ):
        play(script)


FOUND_WITHOUT_SCRIPT = (
    "a claim is replayed as if it had run",
    "a claim that may take effect is not released",
    "an unconfirmed claim is accepted",
)
"""Broken safeguards that the random search finds without a script."""


@pytest.mark.parametrize("name", FOUND_WITHOUT_SCRIPT)
def test_machine_finds_broken_safeguard_without_script(name: str) -> None:
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
