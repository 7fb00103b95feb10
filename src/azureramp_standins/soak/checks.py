"""The promises, checked over what was seen in a run."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from azureramp_standins.soak import answers, bounds, history, lookup

Check = Callable[[lookup.Seen], Iterator[lookup.Broken]]

UNTIMED: tuple[Check, ...] = (
    answers.check_whole,
    answers.check_once,
    answers.check_refused,
    answers.check_allowed,
    answers.check_attempts,
    answers.check_deadline,
    answers.check_stops,
)

TIMED: tuple[Check, ...] = (
    bounds.check_budget,
    bounds.check_cold,
    bounds.check_drained,
    bounds.check_configured,
    bounds.check_named,
    bounds.check_recovered,
)


def check(seen: history.History, timed: bool = True) -> list[lookup.Broken]:
    """Checks the promises; returns those that were broken, by time.

    Args:
        seen: What was seen.
        timed: False to leave out the promises with a time bound, which a
            machine that stands still for seconds breaks by itself.
    """
    sorted_history = lookup.Seen(seen)
    checks = (*UNTIMED, *TIMED) if timed else UNTIMED
    broken = [each for run in checks for each in run(sorted_history)]
    return sorted(broken, key=lambda each: each.at_s)
