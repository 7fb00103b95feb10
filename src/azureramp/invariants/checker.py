"""All checks, by the names of the promises."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from azureramp.invariants import answers, control, history, work

Check = Callable[[history.History], Iterable[history.Violation]]

INVARIANTS: dict[str, Check] = {
    "snapshot": answers.check_snapshot,
    "coverage": answers.check_coverage,
    "cold_start": work.check_cold_start,
    "zone_out": work.check_zone_out,
    "whole_answer": answers.check_whole_answer,
    "not_run": answers.check_not_run,
    "at_most_once": answers.check_at_most_once,
    "server_leaving": work.check_server_leaving,
    "graceful_stop": control.check_graceful_stop,
    "configuration": control.check_configuration,
}
"""The ten promises of the brief, in its order."""


def check(past: history.History) -> list[history.Violation]:
    """Checks every promise.

    Args:
        past: What happened.

    Returns:
        The violations, by time.
    """
    found = [
        violation
        for check_one in INVARIANTS.values()
        for violation in check_one(past)
    ]
    found.sort(key=lambda violation: violation.at_s)
    return found
