"""Checks of work dispatch: cold starts, zones and leaving servers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from azureramp import events
from azureramp.invariants import history


def check_cold_start(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that searchers in cold start get no more than their limit."""
    for arrival in run_history.arrivals:
        limit = arrival.cold_limit
        if limit is not None and arrival.in_use > limit:
            yield history.Violation(
                "cold_start",
                arrival.at_s,
                f"{arrival.searcher} is cold and has {arrival.in_use} "
                f"requests; its limit is {limit}",
            )


def check_zone_out(run_history: history.History) -> Iterator[history.Violation]:
    """Checks that a zone out of service gets no new work after the bound."""
    spans = _find_spans(
        run_history, "availability_zone", lambda event: event.zones_out
    )
    yield from _check_spans(
        run_history,
        "zone_out",
        spans,
        run_history.bounds.zone_out_s,
        lambda arrival: arrival.zone,
    )


def check_server_leaving(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that a leaving backend server gets no new work after the bound."""
    spans = _find_spans(
        run_history, "backend_server", lambda event: event.leaving
    )
    yield from _check_spans(
        run_history,
        "server_leaving",
        spans,
        run_history.bounds.server_leaving_s,
        lambda arrival: arrival.server,
    )


Span = tuple[float, float]
"""Start and end of a removal from service, in seconds: when it was accepted and
when the first VM applied its reversal."""


def _find_spans(
    run_history: history.History,
    resource_kind: str,
    get_names: Callable[[events.ConfigurationApplied], tuple[str, ...]],
) -> dict[str, list[Span]]:
    """Returns the spans during which resources were out, by name.

    A span begins when the change that took the resource out is accepted. It
    ends when any VM applies a later revision in which the resource is back.
    A change whose acceptance is recorded only after that begins no span.
    """
    spans: dict[str, list[Span]] = {}
    open_spans: dict[str, tuple[float, int]] = {}
    newest = 0
    names_by_revision: dict[int, tuple[str, ...]] = {}
    for record in run_history.records:
        if isinstance(record.event, events.ConfigurationApplied):
            names_by_revision[record.event.revision] = get_names(record.event)
    for record in run_history.records:
        match record.event:
            case events.ConfigurationAccepted(
                resource_kind=kind, name=name, revision=revision
            ) if kind == resource_kind:
                out = name in names_by_revision.get(revision, ())
                if out and name in names_by_revision.get(newest, ()):
                    open_spans.setdefault(name, (record.monotonic_s, revision))
            case events.ConfigurationApplied(revision=revision) as applied:
                newest = max(newest, revision)
                for name, (start_s, since) in list(open_spans.items()):
                    if revision > since and name not in get_names(applied):
                        span = (start_s, record.monotonic_s)
                        spans.setdefault(name, []).append(span)
                        del open_spans[name]
    for name, (start_s, _) in open_spans.items():
        spans.setdefault(name, []).append((start_s, math.inf))
    return spans


def _check_spans(
    run_history: history.History,
    invariant: str,
    spans: dict[str, list[Span]],
    bound_s: float,
    get_name: Callable[[history.Arrival], str],
) -> Iterator[history.Violation]:
    """Yields a violation for each arrival in a span, after the bound."""
    for arrival in run_history.arrivals:
        name = get_name(arrival)
        for start_s, end_s in spans.get(name, ()):
            if start_s + bound_s < arrival.at_s < end_s:
                elapsed_s = arrival.at_s - start_s
                kind = "a probe" if arrival.is_probe else "new work"
                yield history.Violation(
                    invariant,
                    arrival.at_s,
                    f"{name} received {kind} {elapsed_s:.3f} s after its "
                    f"removal from service, on {arrival.searcher}",
                )
