"""The promises on answers, which hold whatever the time."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from azureramp.policy import merging
from azureramp_standins.soak import declared, history, lookup

LATE_S = 0.5
"""How much longer than the caller waits a searcher may be told to work."""

CROSSING_S = 0.2
"""A request that was sent this shortly before a connection's close and that
no searcher got has crossed the close."""

NOT_RUN = (408, 421, 429, 503)
"""Statuses that say that a request has not run."""


def check_whole(seen: lookup.Seen) -> Iterator[lookup.Broken]:
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
            yield lookup.Broken("whole", each.ended_s, f"{each.id}: {problem}")


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
    if len(found) + missing != len(declared.SHARDS):
        return f"{len(found)} parts and {missing} missing"
    if len(found) < declared.LEAST_SHARE * len(declared.SHARDS):
        return f"only {len(found)} parts"
    wanted = merging.merge((part.body for part in found), declared.MOST_RECORDS)
    return "" if wanted == each.body else "other records"


def check_once(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """A request that may not be repeated runs once."""
    for name, arrivals in seen.by_id.items():
        tried = seen.tries.get(name)
        ran = [arrival for arrival in arrivals if arrival.ran]
        if tried and tried.path.startswith("/once/") and len(ran) > 1:
            yield lookup.Broken(
                "once", ran[1].at_s, f"{name} ran {len(ran)} times"
            )


def check_refused(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """What was refused as not run has not run, and tells when to come back."""
    for each in seen.history.tries:
        if each.status not in NOT_RUN:
            continue
        ran = [arrival for arrival in seen.by_id[each.id] if arrival.ran]
        if ran:
            detail = f"{each.id}: {each.status}, ran on {ran[0].searcher}"
            yield lookup.Broken("refused", each.ended_s, detail)
        elif each.status == 503 and "retry-after" not in each.headers:
            yield lookup.Broken(
                "refused", each.ended_s, f"{each.id}: no Retry-After"
            )


def check_allowed(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """No proper request gets a 3xx or 4xx of the tier's own."""
    for each in seen.history.tries:
        if 300 <= each.status < 500 and each.status not in NOT_RUN:
            detail = f"{each.id} to {each.path}: {each.status} of {each.vm}"
            yield lookup.Broken("allowed", each.ended_s, detail)


def check_attempts(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """A request runs on no more searchers of a service than allowed."""
    for name, arrivals in seen.by_id.items():
        ran: collections.Counter[str] = collections.Counter(
            arrival.service for arrival in arrivals if arrival.ran
        )
        for service, count in ran.items():
            if count > declared.ATTEMPTS:
                detail = f"{name}: {count} runs on {service}"
                yield lookup.Broken("attempts", arrivals[-1].at_s, detail)


def check_deadline(seen: lookup.Seen) -> Iterator[lookup.Broken]:
    """Searchers are told to work no longer than the caller waits."""
    for arrival in seen.history.arrivals:
        tried = seen.tries.get(arrival.id)
        if tried is None:
            yield lookup.Broken(
                "asked", arrival.at_s, f"{arrival.id}: nobody sent it"
            )
        elif arrival.deadline_s > tried.deadline_s + LATE_S:
            detail = f"{arrival.id}: {arrival.deadline_s} s"
            yield lookup.Broken("deadline", arrival.at_s, detail)


def check_stops(seen: lookup.Seen) -> Iterator[lookup.Broken]:
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
                yield lookup.Broken("stop", each.ended_s, f"{each.id} cut")


def _is_alone(seen: lookup.Seen, stop: history.Span) -> bool:
    """Tells whether nothing else harmed a VM around its planned stop."""
    return not any(
        span is not stop
        and span.kind == "vm"
        and span.name == stop.name
        and span.began_s <= stop.ended_s
        and span.ended_s >= stop.began_s - lookup.CALM_S
        for span in seen.history.spans
    )
