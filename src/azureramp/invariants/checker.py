"""All checks, by the name of their invariant."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from azureramp.invariants import answers, control, history, work

CheckFunction = Callable[[history.History], Iterable[history.Violation]]

INVARIANTS: dict[str, CheckFunction] = {
    "snapshot": answers.check_snapshot,
    "coverage": answers.check_coverage,
    "cold_start": work.check_cold_start,
    "zone_out": work.check_zone_out,
    "whole_answer": answers.check_complete_answer,
    "not_run": answers.check_not_run,
    "at_most_once": answers.check_at_most_once,
    "server_leaving": work.check_server_leaving,
    "graceful_stop": control.check_graceful_stop,
    "configuration": control.check_configuration,
}
"""The check of each of the ten invariants, by name."""


def check(run_history: history.History) -> list[history.Violation]:
    """Checks every invariant.

    Args:
        run_history: The history of a run.

    Returns:
        The violations, sorted by time.
    """
    found = [
        violation
        for check_one in INVARIANTS.values()
        for violation in check_one(run_history)
    ]
    found.sort(key=lambda violation: violation.at_s)
    return found
