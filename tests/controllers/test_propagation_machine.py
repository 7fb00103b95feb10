"""The state machine holds, and a broken policy does not get past it."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful

from tests.controllers import propagation_machine


def make_settings(examples: int) -> hypothesis.settings:
    return hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=30,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def run(examples: int) -> None:
    stateful.run_state_machine_as_test(
        propagation_machine.Machine, settings=make_settings(examples)
    )


def test_nothing_reverts_and_no_accepted_change_is_missed_or_lost() -> None:
    run(30)
