"""Checks of the guarantees with a time bound, for undisturbed VMs."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterator

from azureramp_standins.soak import declared, history, indexed_history

DEAD_VM_ADVERTISED_S = 7.0
"""Longest time that a dead VM may still be advertised, in seconds."""

ROLLBACK_S = 0.25
"""How long after a version's first effect on a VM an older version may still
appear there, in seconds: calls in flight may arrive out of order."""

RECOVERED_SHARE = 0.95
"""Minimum share of the final window's requests that are answered with 200."""

REFUSED_ACCOUNT_STATUSES = (401, 429)
"""Statuses of requests that their account may not send."""

FINAL_WINDOW_S = 3.0
"""Length of the window at the end of a run, long after the last fault, in
seconds."""


def check_budget(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that the VMs' extra calls stay within the tier's retry budget."""
    for service, arrivals in index.arrivals_by_service.items():
        arrived_ids: set[str] = set()
        sent_times_s: list[float] = []
        extra_times_s: list[float] = []
        for arrival in arrivals:
            if arrival.id in arrived_ids:
                extra_times_s.append(arrival.at_s)
            arrived_ids.add(arrival.id)
        sent_times_s = sorted(
            request.sent_s
            for request in index.history.requests
            if _may_reach(request.path, service, index)
            and request.status not in REFUSED_ACCOUNT_STATUSES
        )
        for number, at_s in enumerate(extra_times_s):
            begin = bisect.bisect_left(
                extra_times_s, at_s - declared.BUDGET_WINDOW_S
            )
            requests = max(
                _count_between(
                    sent_times_s, at_s - back_s, declared.BUDGET_WINDOW_S
                )
                for back_s in (
                    0,
                    declared.BUDGET_WINDOW_S / 2,
                    declared.BUDGET_WINDOW_S,
                )
            )
            allowed = (
                declared.RETRY_BUDGET_RATIO * requests
                + declared.RETRY_BUDGET_SLACK
            )
            if number + 1 - begin > allowed:
                detail = f"{service}: {number + 1 - begin} of {allowed}"
                yield indexed_history.Violation("budget", at_s, detail)
                break


def check_cold(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that a cold searcher's request rate stays within its limit."""
    bound = declared.COLD_PER_S * declared.COLD_OVERAGE + declared.COLD_SLACK
    for span in index.history.fault_spans:
        if span.how != "cold":
            continue
        arrivals = [
            arrival
            for arrival in index.history.arrivals
            if arrival.searcher == span.name
            and span.began_s <= arrival.at_s <= span.ended_s
        ]
        times = [arrival.at_s for arrival in arrivals]
        for number, at_s in enumerate(times):
            begin = bisect.bisect_left(times, at_s - 1.0)
            if number + 1 - begin > bound:
                detail = f"{span.name}: {number + 1 - begin} in a second:"
                for arrival in arrivals[begin : number + 1]:
                    detail += f" {_describe_way(arrival, index)}"
                yield indexed_history.Violation("cold", at_s, detail)
                break


def _describe_way(
    arrival: history.Arrival, index: indexed_history.IndexedHistory
) -> str:
    """Describes which VM sent a call, and how long it took from its caller."""
    request = index.requests_by_id.get(arrival.id)
    if request is None:
        return arrival.id
    way_ms = round((arrival.at_s - request.sent_s) * 1000)
    return f"{request.vm}+{way_ms}"


def check_drained(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that leaving searchers and evacuated zones get no new calls."""
    for span in index.history.fault_spans:
        if span.how not in ("drain", "leave", "evacuate"):
            continue
        left = span.how in ("drain", "leave")
        bound_s = (
            declared.DRAIN_BOUND_S if left else declared.EVACUATION_BOUND_S
        )
        begin_s = span.began_s + bound_s
        for arrival in index.history.arrivals:
            out = (
                arrival.searcher == span.name
                if left
                else arrival.searcher.endswith(":0")
            )
            late = begin_s < arrival.at_s < span.ended_s
            request = index.requests_by_id.get(arrival.id)
            if not out or not late or request is None:
                continue
            if index.is_undisturbed(request.vm, span.began_s, arrival.at_s):
                detail = f"{arrival.id} reached {arrival.searcher}"
                yield indexed_history.Violation(span.how, arrival.at_s, detail)


def check_configured(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that versions take effect in time and are never rolled back.

    A process must not return to an older version than one it has used.
    """
    versions = [service for service, _ in index.history.versions]
    effects: dict[tuple[str, int], list[tuple[float, float, int]]] = (
        collections.defaultdict(list)
    )
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.id)
        if arrival.service not in versions or request is None:
            continue
        version = versions.index(arrival.service)
        start_times = index.history.start_times[request.vm]
        process = bisect.bisect_right(start_times, request.sent_s)
        effects[request.vm, process].append(
            (request.sent_s, arrival.at_s, version)
        )
        newer = [
            at_s
            for _, at_s in index.history.versions[version + 1 :]
            if request.sent_s > at_s + declared.CONFIGURATION_BOUND_S
        ]
        if newer and index.is_undisturbed(request.vm, newer[0], request.sent_s):
            yield indexed_history.Violation(
                "configured", arrival.at_s, f"{arrival.id}: old"
            )
    for (vm, _), found in effects.items():
        yield from _check_rollback(vm, found)


def _check_rollback(
    vm: str, found: list[tuple[float, float, int]]
) -> Iterator[indexed_history.Violation]:
    """Checks that one process does not return to an older version."""
    found.sort(key=lambda each: each[1])
    for number, (_, seen_s, version) in enumerate(found):
        for sent_s, at_s, older in found[number + 1 :]:
            if older < version and sent_s > seen_s + ROLLBACK_S:
                yield indexed_history.Violation(
                    "rollback", at_s, f"{vm}: {older} after {version}"
                )
                return


def check_named(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that dead VMs are no longer advertised after the bound."""
    for at_s, vm, names in index.history.advertised:
        for name in names:
            start_times, end_times = (
                index.history.start_times[name],
                index.history.end_times[name],
            )
            started = bisect.bisect_right(start_times, at_s)
            ended = bisect.bisect_right(end_times, at_s)
            dead = ended == started and ended > 0
            if not dead or at_s - end_times[ended - 1] <= DEAD_VM_ADVERTISED_S:
                continue
            if index.is_undisturbed(vm, end_times[ended - 1], at_s):
                detail = (
                    f"{vm} advertised {name}, "
                    f"dead since {end_times[ended - 1]:.2f}"
                )
                yield indexed_history.Violation("named", at_s, detail)


def check_recovered(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that nearly all requests succeed long after the last fault."""
    last = [
        each
        for each in index.history.requests
        if each.sent_s > index.history.ended_s - FINAL_WINDOW_S
        and each.ended_s > 0
        and index.has_valid_key(each)
    ]
    good = sum(each.status == 200 for each in last)
    if not last or good < RECOVERED_SHARE * len(last):
        detail = f"{good} of {len(last)} answered at the end"
        yield indexed_history.Violation(
            "recovered", index.history.ended_s, detail
        )


def _may_reach(
    path: str, service: str, index: indexed_history.IndexedHistory
) -> bool:
    """Returns True if requests for a path may go to a service."""
    if path.startswith("/all/"):
        return service in declared.SHARDS
    if path.startswith("/move/"):
        return service.startswith("move-")
    return service == declared.PLAIN_SERVICE


def _count_between(times: list[float], end_s: float, span_s: float) -> int:
    """Counts the times in the span of `span_s` that ends at `end_s`."""
    left = bisect.bisect_left(times, end_s - span_s)
    return bisect.bisect_right(times, end_s) - left
