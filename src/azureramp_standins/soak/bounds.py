"""The promises with a time bound, for VMs that nothing disturbs."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterator

from azureramp_standins.soak import declared, lookup

CONFIGURED_S = 3.0
DEAD_NAMED_S = 7.0
"""In these times a version is in force and a dead VM not named, in seconds."""

ROLLBACK_S = 0.25
"""How long after a version's first effect on a VM an older one may still show
there, in seconds: answers that crossed."""

RECOVERED_SHARE = 0.95
FINAL_S = 3.0
"""Of the requests of the last seconds, long after the last fault, so many are
answered well."""


def check_budget(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """Extra calls stay within the bound of all VMs together."""
    for service, arrivals in seen.by_service.items():
        first: set[str] = set()
        firsts_s: list[float] = []
        extras_s: list[float] = []
        for arrival in arrivals:
            if arrival.id in first:
                extras_s.append(arrival.at_s)
            first.add(arrival.id)
        firsts_s = sorted(
            tried.sent_s
            for tried in seen.history.tries
            if _goes_to(tried.path, service, seen)
        )
        for number, at_s in enumerate(extras_s):
            begin = bisect.bisect_left(extras_s, at_s - declared.WINDOW_S)
            requests = max(
                _count_between(firsts_s, at_s - back_s, declared.WINDOW_S)
                for back_s in (0, declared.WINDOW_S / 2, declared.WINDOW_S)
            )
            allowed = declared.RATIO * requests + declared.SLACK
            if number + 1 - begin > allowed:
                detail = f"{service}: {number + 1 - begin} of {allowed}"
                yield lookup.Broken("budget", at_s, detail)
                break


def check_cold(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """A cold searcher gets no more a second than it bears."""
    bound = declared.COLD_PER_S * declared.COLD_OVERAGE + declared.COLD_SLACK
    for span in seen.history.spans:
        if span.how != "cold":
            continue
        times = [
            arrival.at_s
            for arrival in seen.history.arrivals
            if arrival.searcher == span.name
            and span.began_s <= arrival.at_s <= span.ended_s
        ]
        for number, at_s in enumerate(times):
            begin = bisect.bisect_left(times, at_s - 1.0)
            if number + 1 - begin > bound:
                detail = f"{span.name}: {number + 1 - begin} in a second"
                yield lookup.Broken("cold", at_s, detail)
                break


def check_drained(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """A leaving searcher, or a zone taken out, gets nothing new."""
    for span in seen.history.spans:
        if span.how not in ("drain", "evacuate"):
            continue
        drained = span.how == "drain"
        bound_s = declared.DRAINED_S if drained else declared.EVACUATED_S
        begin_s = span.began_s + bound_s
        for arrival in seen.history.arrivals:
            out = (
                arrival.searcher == span.name
                if span.how == "drain"
                else arrival.searcher.endswith(":0")
            )
            late = begin_s < arrival.at_s < span.ended_s
            tried = seen.tries.get(arrival.id)
            if not out or not late or tried is None:
                continue
            if seen.is_calm(tried.vm, span.began_s, arrival.at_s):
                detail = f"{arrival.id} reached {arrival.searcher}"
                yield lookup.Broken(span.how, arrival.at_s, detail)


def check_configured(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """A version is in force in time, and none goes back within a process."""
    versions = [service for service, _ in seen.history.versions]
    effects: dict[tuple[str, int], list[tuple[float, float, int]]] = (
        collections.defaultdict(list)
    )
    for arrival in seen.history.arrivals:
        tried = seen.tries.get(arrival.id)
        if arrival.service not in versions or tried is None:
            continue
        version = versions.index(arrival.service)
        starts = seen.history.starts[tried.vm]
        process = bisect.bisect_right(starts, tried.sent_s)
        effects[tried.vm, process].append((tried.sent_s, arrival.at_s, version))
        newer = [
            at_s
            for _, at_s in seen.history.versions[version + 1 :]
            if tried.sent_s > at_s + CONFIGURED_S
        ]
        if newer and seen.is_calm(tried.vm, newer[0], tried.sent_s):
            yield lookup.Broken(
                "configured", arrival.at_s, f"{arrival.id}: old"
            )
    for (vm, _), found in effects.items():
        yield from _check_going_back(vm, found)


def _check_going_back(
    vm: str, found: list[tuple[float, float, int]]
) -> Iterator[lookup.Broken]:
    """Checks one process's versions."""
    found.sort(key=lambda each: each[1])
    for number, (_, seen_s, version) in enumerate(found):
        for sent_s, at_s, older in found[number + 1 :]:
            if older < version and sent_s > seen_s + ROLLBACK_S:
                yield lookup.Broken(
                    "rollback", at_s, f"{vm}: {older} after {version}"
                )
                return


def check_named(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """No VM that has been dead for long is named to callers."""
    for at_s, vm, names in seen.history.named:
        for name in names:
            starts, ends = seen.history.starts[name], seen.history.ends[name]
            started = bisect.bisect_right(starts, at_s)
            ended = bisect.bisect_right(ends, at_s)
            dead = ended == started and ended > 0
            if not dead or at_s - ends[ended - 1] <= DEAD_NAMED_S:
                continue
            if seen.is_calm(vm, ends[ended - 1], at_s):
                detail = f"{vm} named {name}, dead since {ends[ended - 1]:.2f}"
                yield lookup.Broken("named", at_s, detail)


def check_recovered(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """Long after the last fault nearly every request is answered well."""
    last = [
        each
        for each in seen.history.tries
        if each.sent_s > seen.history.ended_s - FINAL_S and each.ended_s > 0
    ]
    good = sum(each.status == 200 for each in last)
    if not last or good < RECOVERED_SHARE * len(last):
        detail = f"{good} of {len(last)} answered at the end"
        yield lookup.Broken("recovered", seen.history.ended_s, detail)


def _goes_to(path: str, service: str, seen: lookup.Seen) -> bool:
    """Tells whether a path's requests may go to a service."""
    if path.startswith("/all/"):
        return service in declared.SHARDS
    if path.startswith("/move/"):
        return service.startswith("move-")
    return service == declared.PLAIN


def _count_between(times: list[float], end_s: float, span_s: float) -> int:
    """Returns how many times lie in a span that ends at a time."""
    left = bisect.bisect_left(times, end_s - span_s)
    return bisect.bisect_right(times, end_s) - left
