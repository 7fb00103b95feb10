"""Checks of the guarantees on answers, which have no time bound."""

from __future__ import annotations

import collections
from collections.abc import Iterator

from azureramp.policy import merging
from azureramp_standins.soak import declared, history, indexed_history

DEADLINE_TOLERANCE_S = 0.5
"""How far a searcher's deadline may exceed the caller's, in seconds."""

CLOSE_RACE_S = 0.2
"""Maximum time from sending a request until its connection closed, in seconds,
for which a request that no searcher received is attributed to a race with the
close."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses which state that the request has not run."""


def check_whole(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that each answer is complete and belongs to its request."""
    for request in index.history.requests:
        if request.status != 200:
            continue
        problem = (
            _find_merged_problem(request, index.arrivals_by_id[request.id])
            if request.path.startswith("/all/")
            else _find_plain_problem(request, index.arrivals_by_id[request.id])
        )
        if problem:
            yield indexed_history.Violation(
                "whole", request.ended_s, f"{request.id}: {problem}"
            )


def _find_plain_problem(
    request: history.CallerRequest, arrivals: list[history.Arrival]
) -> str:
    """Describes the fault of a single searcher's answer; empty if valid."""
    signature = request.headers.get("azureramp-server-stamp", "")
    for arrival in arrivals:
        if arrival.ran and arrival.signature == signature:
            return "" if arrival.body == request.body else "another body"
    return f"the signature {signature!r} is not of this request"


def _find_merged_problem(
    request: history.CallerRequest, arrivals: list[history.Arrival]
) -> str:
    """Describes the fault of a merged answer; empty if valid."""
    text = request.headers.get("azureramp-part-stamps", "")
    signatures = [part.strip() for part in text.split(",") if part.strip()]
    missing = int(request.headers.get("azureramp-missing-parts", "0"))
    by_signature = {arrival.signature: arrival for arrival in arrivals}
    parts = [by_signature.get(signature) for signature in signatures]
    found = [part for part in parts if part is not None and part.ran]
    if len(found) != len(parts):
        return "a signature is not of this request"
    if len({part.service for part in found}) != len(found):
        return "two parts of one shard"
    if len(found) + missing != len(declared.SHARDS):
        return f"{len(found)} parts and {missing} missing"
    if len(found) < declared.MIN_SHARD_SHARE * len(declared.SHARDS):
        return f"only {len(found)} parts"
    wanted = merging.merge((part.body for part in found), declared.MAX_RECORDS)
    return "" if wanted == request.body else "other records"


def check_once(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that a non-idempotent request runs at most once."""
    for name, arrivals in index.arrivals_by_id.items():
        request = index.requests_by_id.get(name)
        ran = [arrival for arrival in arrivals if arrival.ran]
        if request and request.path.startswith("/once/") and len(ran) > 1:
            yield indexed_history.Violation(
                "once", ran[1].at_s, f"{name} ran {len(ran)} times"
            )


def check_refused(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that requests refused as not run did not run.

    A 503 must also have a Retry-After header.
    """
    for request in index.history.requests:
        if request.status not in NOT_RUN_STATUSES:
            continue
        ran = [
            arrival
            for arrival in index.arrivals_by_id[request.id]
            if arrival.ran
        ]
        if ran:
            detail = f"{request.id}: {request.status}, ran on {ran[0].searcher}"
            yield indexed_history.Violation("refused", request.ended_s, detail)
        elif request.status == 503 and "retry-after" not in request.headers:
            yield indexed_history.Violation(
                "refused", request.ended_s, f"{request.id}: no Retry-After"
            )


def check_allowed(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that the tier answers no valid request with a 3xx or 4xx.

    The statuses of requests that were not run are allowed, and a 401 for a key
    that was not valid from the run's first configuration until the answer.
    """
    for request in index.history.requests:
        if request.status == 401 and index.may_be_refused(request):
            continue
        if (
            300 <= request.status < 500
            and request.status not in NOT_RUN_STATUSES
        ):
            detail = (
                f"{request.id} to {request.path}:"
                f" {request.status} of {request.vm}"
            )
            yield indexed_history.Violation("allowed", request.ended_s, detail)


def check_attempts(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that a request runs on a service at most `ATTEMPTS` times."""
    for name, arrivals in index.arrivals_by_id.items():
        ran: collections.Counter[str] = collections.Counter(
            arrival.service for arrival in arrivals if arrival.ran
        )
        for service, count in ran.items():
            if count > declared.ATTEMPTS:
                detail = f"{name}: {count} runs on {service}"
                yield indexed_history.Violation(
                    "attempts", arrivals[-1].at_s, detail
                )


def check_deadline(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that searchers get no later deadline than the caller's.

    Also reports arrivals whose request id no caller sent.
    """
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.id)
        if request is None:
            yield indexed_history.Violation(
                "asked", arrival.at_s, f"{arrival.id}: no caller sent it"
            )
        elif arrival.deadline_s > request.deadline_s + DEADLINE_TOLERANCE_S:
            detail = f"{arrival.id}: {arrival.deadline_s} s"
            yield indexed_history.Violation("deadline", arrival.at_s, detail)


def check_stops(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that a planned stop aborts no request."""
    for span in index.history.fault_spans:
        if span.how != "stop":
            continue
        if not _is_only_fault(index, span):
            continue
        for request in index.history.requests:
            inside = (
                request.ended_s >= span.began_s
                and request.sent_s <= span.ended_s
            )
            if request.vm != span.name or request.status != 0 or not inside:
                continue
            crossed = request.ended_s - request.sent_s < CLOSE_RACE_S
            if index.arrivals_by_id[request.id] or not crossed:
                yield indexed_history.Violation(
                    "stop", request.ended_s, f"{request.id} aborted"
                )


def _is_only_fault(
    index: indexed_history.IndexedHistory, stop: history.FaultSpan
) -> bool:
    """Returns True if no other fault hit a VM around its planned stop."""
    return not any(
        span is not stop
        and span.kind == "vm"
        and span.name == stop.name
        and span.began_s <= stop.ended_s
        and span.ended_s >= stop.began_s - indexed_history.UNDISTURBED_S
        for span in index.history.fault_spans
    )
