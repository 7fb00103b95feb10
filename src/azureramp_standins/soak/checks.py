"""The promises, checked over what was seen in a run."""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Callable, Iterator

from azureramp.policy import merging
from azureramp_standins.soak import history, world

CALM_S = 4.0
"""Promises with a time bound hold for VMs that have been undisturbed for this
long, in seconds."""

CONFIGURED_S = 3.0
DEAD_NAMED_S = 7.0
"""In these times a version is in force and a dead VM not named, in seconds."""

ROLLBACK_S = 0.25
"""How long after a version's first effect on a VM an older one may still show
there, in seconds: answers that crossed."""

LATE_S = 0.5
"""How much longer than the caller waits a searcher may be told to work."""

CROSSING_S = 0.2
"""A request that was sent this shortly before a connection's close and that
no searcher got has crossed the close."""

RECOVERED_SHARE = 0.95
FINAL_S = 3.0
"""Of the requests of the last seconds, long after the last fault, so many are
answered well."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Broken:
    """A promise that was broken.

    Attributes:
        promise: Which.
        at_s: When.
        detail: What was seen.
    """

    promise: str
    at_s: float
    detail: str


class Seen:
    """A history with what the checks look up in it.

    Attributes:
        history: The history.
        by_id: The arrivals of each request.
        by_service: The arrivals at each service, in order.
        tries: The tries by id.
    """

    __slots__ = ("by_id", "by_service", "history", "tries")

    def __init__(self, seen: history.History) -> None:
        """Sorts a history."""
        self.history = seen
        self.tries = {each.id: each for each in seen.tries}
        self.by_id: dict[str, list[history.Arrival]] = collections.defaultdict(
            list
        )
        self.by_service: dict[str, list[history.Arrival]] = (
            collections.defaultdict(list)
        )
        for arrival in sorted(seen.arrivals, key=lambda each: each.at_s):
            self.by_id[arrival.id].append(arrival)
            self.by_service[arrival.service].append(arrival)

    def is_calm(self, vm: str, from_s: float, to_s: float) -> bool:
        """Tells whether a VM and the store were undisturbed for a span.

        Args:
            vm: The VM's name.
            from_s: The span's beginning; faults up to `CALM_S` before count.
            to_s: Its end.
        """
        link = vm.replace("vm-", "store-")
        return not any(
            span.began_s <= to_s
            and span.ended_s >= from_s - CALM_S
            and span.how != "reload"
            and (span.kind == "store" or span.name in (vm, link))
            for span in self.history.spans
        )


Check = Callable[[Seen], Iterator[Broken]]


def check(seen: history.History, timed: bool = True) -> list[Broken]:
    """Checks the promises; returns those that were broken, by time.

    Args:
        seen: What was seen.
        timed: False to leave out the promises with a time bound, which a
            machine that stands still for seconds breaks by itself.
    """
    sorted_history = Seen(seen)
    checks = (*UNTIMED, *TIMED) if timed else UNTIMED
    broken = [each for run in checks for each in run(sorted_history)]
    return sorted(broken, key=lambda each: each.at_s)


def check_whole(seen: Seen) -> Iterator[Broken]:
    """Each answer is whole, and the answer to its own request."""
    for each in seen.history.tries:
        if each.status != 200:
            continue
        problem = (
            _find_merged_problem(each, seen.by_id[each.id])
            if each.path.startswith("/all/")
            else _find_plain_problem(each, seen.by_id[each.id])
        )
        if problem:
            yield Broken("whole", each.ended_s, f"{each.id}: {problem}")


def _find_plain_problem(
    each: history.Try, arrivals: list[history.Arrival]
) -> str:
    """Returns what is wrong with one searcher's answer; empty if nothing."""
    signature = each.headers.get("azureramp-server-stamp", "")
    for arrival in arrivals:
        if arrival.ran and arrival.signature == signature:
            return "" if arrival.body == each.body else "another body"
    return f"the signature {signature!r} is not of this request"


def _find_merged_problem(
    each: history.Try, arrivals: list[history.Arrival]
) -> str:
    """Returns what is wrong with a merged answer; empty if nothing."""
    text = each.headers.get("azureramp-part-stamps", "")
    signatures = [part.strip() for part in text.split(",") if part.strip()]
    missing = int(each.headers.get("azureramp-missing-parts", "0"))
    known = {arrival.signature: arrival for arrival in arrivals}
    parts = [known.get(signature) for signature in signatures]
    found = [part for part in parts if part is not None and part.ran]
    if len(found) != len(parts):
        return "a signature is not of this request"
    if len({part.service for part in found}) != len(found):
        return "two parts of one shard"
    if len(found) + missing != len(world.SHARDS):
        return f"{len(found)} parts and {missing} missing"
    if len(found) < world.LEAST_SHARE * len(world.SHARDS):
        return f"only {len(found)} parts"
    wanted = merging.merge((part.body for part in found), world.MOST_RECORDS)
    return "" if wanted == each.body else "other records"


def check_once(seen: Seen) -> Iterator[Broken]:
    """A request that may not be repeated runs once."""
    for name, arrivals in seen.by_id.items():
        tried = seen.tries.get(name)
        ran = [arrival for arrival in arrivals if arrival.ran]
        if tried and tried.path.startswith("/once/") and len(ran) > 1:
            yield Broken("once", ran[1].at_s, f"{name} ran {len(ran)} times")


def check_refused(seen: Seen) -> Iterator[Broken]:
    """What was refused as not run has not run, and tells when to come back."""
    for each in seen.history.tries:
        if each.status not in NOT_RUN:
            continue
        ran = [arrival for arrival in seen.by_id[each.id] if arrival.ran]
        if ran:
            detail = f"{each.id}: {each.status}, ran on {ran[0].searcher}"
            yield Broken("refused", each.ended_s, detail)
        elif each.status == 503 and "retry-after" not in each.headers:
            yield Broken("refused", each.ended_s, f"{each.id}: no Retry-After")


def check_allowed(seen: Seen) -> Iterator[Broken]:
    """No proper request gets a 3xx or 4xx of the tier's own."""
    for each in seen.history.tries:
        if 300 <= each.status < 500 and each.status not in NOT_RUN:
            detail = f"{each.id} to {each.path}: {each.status} of {each.vm}"
            yield Broken("allowed", each.ended_s, detail)


def check_attempts(seen: Seen) -> Iterator[Broken]:
    """A request runs on no more searchers of a service than allowed."""
    for name, arrivals in seen.by_id.items():
        ran: collections.Counter[str] = collections.Counter(
            arrival.service for arrival in arrivals if arrival.ran
        )
        for service, count in ran.items():
            if count > world.ATTEMPTS:
                detail = f"{name}: {count} runs on {service}"
                yield Broken("attempts", arrivals[-1].at_s, detail)


def check_deadline(seen: Seen) -> Iterator[Broken]:
    """Searchers are told to work no longer than the caller waits."""
    for arrival in seen.history.arrivals:
        tried = seen.tries.get(arrival.id)
        if tried is None:
            yield Broken("asked", arrival.at_s, f"{arrival.id}: nobody sent it")
        elif arrival.deadline_s > tried.deadline_s + LATE_S:
            detail = f"{arrival.id}: {arrival.deadline_s} s"
            yield Broken("deadline", arrival.at_s, detail)


def check_budget(seen: Seen) -> Iterator[Broken]:
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
            begin = bisect.bisect_left(extras_s, at_s - world.WINDOW_S)
            requests = max(
                _count_between(firsts_s, at_s - back_s, world.WINDOW_S)
                for back_s in (0, world.WINDOW_S / 2, world.WINDOW_S)
            )
            allowed = world.RATIO * requests + world.SLACK
            if number + 1 - begin > allowed:
                detail = f"{service}: {number + 1 - begin} of {allowed}"
                yield Broken("budget", at_s, detail)
                break


def check_cold(seen: Seen) -> Iterator[Broken]:
    """A cold searcher gets no more a second than it bears."""
    bound = world.COLD_PER_S * world.COLD_OVERAGE + world.COLD_SLACK
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
                yield Broken("cold", at_s, detail)
                break


def check_drained(seen: Seen) -> Iterator[Broken]:
    """A leaving searcher, or a zone taken out, gets nothing new."""
    for span in seen.history.spans:
        if span.how not in ("drain", "evacuate"):
            continue
        drained = span.how == "drain"
        bound_s = world.DRAINED_S if drained else world.EVACUATED_S
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
                yield Broken(span.how, arrival.at_s, detail)


def check_configured(seen: Seen) -> Iterator[Broken]:
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
            yield Broken("configured", arrival.at_s, f"{arrival.id}: old")
    for (vm, _), found in effects.items():
        yield from _check_going_back(vm, found)


def _check_going_back(
    vm: str, found: list[tuple[float, float, int]]
) -> Iterator[Broken]:
    """Checks one process's versions."""
    found.sort(key=lambda each: each[1])
    for number, (_, seen_s, version) in enumerate(found):
        for sent_s, at_s, older in found[number + 1 :]:
            if older < version and sent_s > seen_s + ROLLBACK_S:
                yield Broken("rollback", at_s, f"{vm}: {older} after {version}")
                return


def check_stops(seen: Seen) -> Iterator[Broken]:
    """A planned stop cuts no request."""
    for span in seen.history.spans:
        if span.how != "stop":
            continue
        if not _is_alone(seen, span):
            continue
        for each in seen.history.tries:
            inside = (
                each.ended_s >= span.began_s and each.sent_s <= span.ended_s
            )
            if each.vm != span.name or each.status != 0 or not inside:
                continue
            crossed = each.ended_s - each.sent_s < CROSSING_S
            if seen.by_id[each.id] or not crossed:
                yield Broken("stop", each.ended_s, f"{each.id} cut")


def check_named(seen: Seen) -> Iterator[Broken]:
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
                yield Broken("named", at_s, detail)


def check_recovered(seen: Seen) -> Iterator[Broken]:
    """Long after the last fault nearly every request is answered well."""
    last = [
        each
        for each in seen.history.tries
        if each.sent_s > seen.history.ended_s - FINAL_S and each.ended_s > 0
    ]
    good = sum(each.status == 200 for each in last)
    if not last or good < RECOVERED_SHARE * len(last):
        detail = f"{good} of {len(last)} answered at the end"
        yield Broken("recovered", seen.history.ended_s, detail)


UNTIMED: tuple[Check, ...] = (
    check_whole,
    check_once,
    check_refused,
    check_allowed,
    check_attempts,
    check_deadline,
    check_stops,
)

TIMED: tuple[Check, ...] = (
    check_budget,
    check_cold,
    check_drained,
    check_configured,
    check_named,
    check_recovered,
)


def _is_alone(seen: Seen, stop: history.Span) -> bool:
    """Tells whether nothing else harmed a VM around its planned stop."""
    return not any(
        span is not stop
        and span.kind == "vm"
        and span.name == stop.name
        and span.began_s <= stop.ended_s
        and span.ended_s >= stop.began_s - CALM_S
        for span in seen.history.spans
    )


def _goes_to(path: str, service: str, seen: Seen) -> bool:
    """Tells whether a path's requests may go to a service."""
    if path.startswith("/all/"):
        return service in world.SHARDS
    if path.startswith("/move/"):
        return service.startswith("move-")
    return service == world.PLAIN


def _count_between(times: list[float], end_s: float, span_s: float) -> int:
    """Returns how many times lie in a span that ends at a time."""
    left = bisect.bisect_left(times, end_s - span_s)
    return bisect.bisect_right(times, end_s) - left
