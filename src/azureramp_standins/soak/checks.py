"""Checks a run's history against the tier's guarantees."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from azureramp_standins.soak import (
    answers,
    bounds,
    history,
    indexed_history,
    keys,
)

Check = Callable[
    [indexed_history.IndexedHistory], Iterator[indexed_history.Violation]
]

UNTIMED: tuple[Check, ...] = (
    answers.check_whole,
    answers.check_once,
    answers.check_refused,
    answers.check_allowed,
    answers.check_attempts,
    answers.check_deadline,
    answers.check_stops,
    keys.check_told,
    keys.check_held,
    keys.check_limit,
)

TIMED: tuple[Check, ...] = (
    bounds.check_budget,
    bounds.check_cold,
    bounds.check_drained,
    bounds.check_configured,
    bounds.check_named,
    bounds.check_recovered,
    keys.check_revoked,
    keys.check_known,
)


def check(
    run_history: history.History, timed: bool = True
) -> list[indexed_history.Violation]:
    """Returns the violations of the guarantees, ordered by time.

    Args:
        run_history: The history of the run.
        timed: False to omit the guarantees with a time bound, which a
            machine that stalls for seconds violates without any fault.
    """
    sorted_history = indexed_history.IndexedHistory(run_history)
    checks = (*UNTIMED, *TIMED) if timed else UNTIMED
    broken = [each for run in checks for each in run(sorted_history)]
    return sorted(broken, key=lambda each: each.at_s)
