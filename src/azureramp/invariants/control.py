"""Checks of what is agreed: configuration and planned stops."""

from __future__ import annotations

from collections.abc import Iterator

from azureramp import events
from azureramp.invariants import history


def check_graceful_stop(
    past: history.History,
) -> Iterator[history.Violation]:
    """Every planned stop cuts off no request."""
    for stop in past.stops:
        if stop.limit_reached:
            continue
        for got in past.received:
            if got.vm != stop.vm or got.answered or not got.connected:
                continue
            if got.sent_s < stop.ended_s and got.got_s >= stop.began_s:
                yield history.Violation(
                    "graceful_stop",
                    got.got_s,
                    f"{stop.vm} cut a request sent at {got.sent_s:.3f} s "
                    f"while it stopped",
                )


def check_configuration(
    past: history.History,
) -> Iterator[history.Violation]:
    """An accepted configuration is soon in force and never reverts."""
    yield from _check_no_revert(past)
    yield from _check_in_force(past)


def _check_no_revert(past: history.History) -> Iterator[history.Violation]:
    """Yields each step back of a process's revision."""
    newest: dict[str, int] = {}
    for record in past.records:
        match record.event:
            case events.ProcessStarted():
                newest[record.vm] = 0
            case events.ConfigurationApplied(revision=revision):
                before = newest.get(record.vm, 0)
                if revision < before:
                    yield history.Violation(
                        "configuration",
                        record.monotonic_s,
                        f"{record.vm} went back from revision {before} to "
                        f"{revision}",
                    )
                newest[record.vm] = max(before, revision)


def _check_in_force(past: history.History) -> Iterator[history.Violation]:
    """Yields requests admitted on a revision that should be replaced.

    A VM that can't have the newest configuration must not take work, so
    what counts is the work: after the bound no VM admits a request while an
    older revision is in force there.
    """
    accepted: list[tuple[float, int]] = []
    newest: dict[str, int] = {}
    for record in past.records:
        match record.event:
            case events.ProcessStarted():
                newest[record.vm] = 0
            case events.ConfigurationApplied(revision=revision):
                newest[record.vm] = max(newest.get(record.vm, 0), revision)
            case events.ConfigurationAccepted(revision=revision):
                accepted.append((record.monotonic_s, revision))
            case events.RequestAdmitted(request_id=request_id):
                latest_s = record.monotonic_s - past.bounds.in_force_s
                due = [r for at_s, r in accepted if at_s < latest_s]
                has = newest.get(record.vm, 0)
                if due and has < max(due):
                    yield history.Violation(
                        "configuration",
                        record.monotonic_s,
                        f"{record.vm} admitted {request_id} on revision "
                        f"{has}, but {max(due)} was accepted",
                    )
