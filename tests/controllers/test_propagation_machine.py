"""Tests of the configuration by state machine, and of that machine."""

from __future__ import annotations

from collections.abc import Iterable

import hypothesis
import pytest
from hypothesis import stateful

from azureramp import resources
from azureramp.policy import configuration_copy
from tests.controllers import propagation_machine


def run(examples: int) -> None:
    stateful.run_state_machine_as_test(
        propagation_machine.Machine,
        settings=hypothesis.settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=30,
            report_multiple_bugs=False,
            phases=(hypothesis.Phase.generate,),
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_nothing_reverts_and_no_accepted_change_is_missed_or_lost() -> None:
    run(15)


def test_copy_that_applies_outdated_entries_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With this broken policy, late messages replace newer entries."""

    def apply_all(
        self: configuration_copy.ConfigurationCopy,
        entries: Iterable[resources.Versioned],
    ) -> list[resources.Versioned]:
        taken = list(entries)
        for entry in taken:
            key = (entry.kind, entry.name)
            self.configuration.entries[key] = entry
        return taken

    monkeypatch.setattr(
        configuration_copy.ConfigurationCopy, "apply_newer", apply_all
    )
    with pytest.raises(AssertionError, match="Failing test case"):
        run(30)
