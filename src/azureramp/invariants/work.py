"""Checks of where work goes: cold start, zones and servers that leave."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from azureramp import events
from azureramp.invariants import history


def check_cold_start(past: history.History) -> Iterator[history.Violation]:
    """A backend server in cold start gets no more than it can bear."""
    for arrival in past.arrivals:
        limit = arrival.cold_limit
        if limit is not None and arrival.in_use > limit:
            yield history.Violation(
                "cold_start",
                arrival.at_s,
                f"{arrival.searcher} is cold and has {arrival.in_use} "
                f"requests; it bears {limit}",
            )


def check_zone_out(past: history.History) -> Iterator[history.Violation]:
    """A zone that is out receives no new work after the bound."""
    out = _find_spans(past, "availability_zone", lambda event: event.zones_out)
    yield from _check_spans(
        past,
        "zone_out",
        out,
        past.bounds.zone_out_s,
        lambda arrival: arrival.zone,
    )


def check_server_leaving(
    past: history.History,
) -> Iterator[history.Violation]:
    """A leaving backend server receives no new work after the bound."""
    out = _find_spans(past, "backend_server", lambda event: event.leaving)
    yield from _check_spans(
        past,
        "server_leaving",
        out,
        past.bounds.server_leaving_s,
        lambda arrival: arrival.server,
    )


Span = tuple[float, float]
"""From the acceptance of the leaving to the first sign of the return."""


def _find_spans(
    past: history.History,
    resource_kind: str,
    get_names: Callable[[events.ConfigurationApplied], tuple[str, ...]],
) -> dict[str, list[Span]]:
    """Returns, by name, the times during which something was out.

    A time begins with the acceptance of the change that took it out, and
    ends when any VM puts a later revision in force in which it is back. A
    change that is accepted only after that has nothing left to say.
    """
    spans: dict[str, list[Span]] = {}
    began: dict[str, tuple[float, int]] = {}
    newest = 0
    names_at: dict[int, tuple[str, ...]] = {}
    for record in past.records:
        if isinstance(record.event, events.ConfigurationApplied):
            names_at[record.event.revision] = get_names(record.event)
    for record in past.records:
        match record.event:
            case events.ConfigurationAccepted(
                resource_kind=kind, name=name, revision=revision
            ) if kind == resource_kind:
                out = name in names_at.get(revision, ())
                if out and name in names_at.get(newest, ()):
                    began.setdefault(name, (record.monotonic_s, revision))
            case events.ConfigurationApplied(revision=revision) as applied:
                newest = max(newest, revision)
                for name, (start_s, since) in list(began.items()):
                    if revision > since and name not in get_names(applied):
                        span = (start_s, record.monotonic_s)
                        spans.setdefault(name, []).append(span)
                        del began[name]
    for name, (start_s, _) in began.items():
        spans.setdefault(name, []).append((start_s, math.inf))
    return spans


def _check_spans(
    past: history.History,
    invariant: str,
    spans: dict[str, list[Span]],
    bound_s: float,
    get_name: Callable[[history.Arrival], str],
) -> Iterator[history.Violation]:
    """Yields the arrivals within a span, after its bound."""
    for arrival in past.arrivals:
        name = get_name(arrival)
        for start_s, end_s in spans.get(name, ()):
            if start_s + bound_s < arrival.at_s < end_s:
                late_s = arrival.at_s - start_s
                kind = "a probe" if arrival.is_probe else "new work"
                yield history.Violation(
                    invariant,
                    arrival.at_s,
                    f"{name} got {kind} {late_s:.3f} s after it was taken "
                    f"out, on {arrival.searcher}",
                )
