"""Checks of planned stops and of configuration changes."""

from __future__ import annotations

from collections.abc import Iterator

from azureramp import events
from azureramp.invariants import history


def check_graceful_stop(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that a planned stop aborts no request."""
    for stop in run_history.stops:
        if stop.aborted_requests:
            continue
        for outcome in run_history.outcomes:
            if (
                outcome.vm != stop.vm
                or outcome.answered
                or not outcome.connected
            ):
                continue
            if (
                outcome.sent_s < stop.ended_s
                and outcome.ended_s >= stop.began_s
            ):
                yield history.Violation(
                    "graceful_stop",
                    outcome.ended_s,
                    f"{stop.vm} aborted a request sent at "
                    f"{outcome.sent_s:.3f} s while stopping",
                )


def check_configuration(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that accepted revisions take effect in time and stay in force."""
    yield from _check_no_revert(run_history)
    yield from _check_in_force(run_history)


def _check_no_revert(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Yields a violation each time a process applies an older revision."""
    newest: dict[str, int] = {}
    for record in run_history.records:
        match record.event:
            case events.ProcessStarted():
                newest[record.vm] = 0
            case events.ConfigurationApplied(revision=revision):
                before = newest.get(record.vm, 0)
                if revision < before:
                    yield history.Violation(
                        "configuration",
                        record.monotonic_s,
                        f"{record.vm} reverted from revision {before} to "
                        f"{revision}",
                    )
                newest[record.vm] = max(before, revision)


def _check_in_force(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Yields a violation for each request admitted on an outdated revision.

    A VM that can't receive the newest configuration must not take work.
    Therefore the check covers admitted requests: once the bound
    `in_force_s` has passed since a revision was accepted, no VM may admit a
    request with an older revision in force.
    """
    accepted: list[tuple[float, int]] = []
    newest: dict[str, int] = {}
    for record in run_history.records:
        match record.event:
            case events.ProcessStarted():
                newest[record.vm] = 0
            case events.ConfigurationApplied(revision=revision):
                newest[record.vm] = max(newest.get(record.vm, 0), revision)
            case events.ConfigurationAccepted(revision=revision):
                accepted.append((record.monotonic_s, revision))
            case events.RequestAdmitted(request_id=request_id):
                latest_s = record.monotonic_s - run_history.bounds.in_force_s
                overdue = [r for at_s, r in accepted if at_s < latest_s]
                in_force = newest.get(record.vm, 0)
                if overdue and in_force < max(overdue):
                    yield history.Violation(
                        "configuration",
                        record.monotonic_s,
                        f"{record.vm} admitted {request_id} on revision "
                        f"{in_force}, but {max(overdue)} was accepted",
                    )
