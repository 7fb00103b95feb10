"""Checks of the guarantees on client accounts, their keys and their limits."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator

from azureramp_standins.soak import accounts, declared, indexed_history


def check_told(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that searchers are told the key's account and never a key."""
    if not index.history.keys:
        return
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.id)
        if request is None:
            continue
        span = index.history.keys.get(request.key)
        account = "" if span is None else span.account
        if arrival.has_key:
            detail = f"{arrival.id}: {arrival.searcher} got the key"
            yield indexed_history.Violation("told", arrival.at_s, detail)
        elif arrival.account != account:
            detail = f"{arrival.id}: {arrival.account!r} of {account!r}"
            yield indexed_history.Violation("told", arrival.at_s, detail)


def check_held(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that nothing runs with a key that no configuration ever held."""
    if not index.history.keys:
        return
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.id)
        if request is None or request.is_public():
            continue
        span = index.history.keys.get(request.key)
        if arrival.ran and (span is None or span.from_s > arrival.at_s):
            detail = f"{arrival.id} ran with the key {request.key!r}"
            yield indexed_history.Violation("held", arrival.at_s, detail)


def check_limit(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that the limited account's requests stay within its limit.

    Counted are the requests that are sent and run in the same window.
    """
    if not index.history.keys:
        return
    first_runs: dict[str, float] = {}
    for arrival in index.history.arrivals:
        if arrival.ran:
            at_s = first_runs.get(arrival.id, math.inf)
            first_runs[arrival.id] = min(at_s, arrival.at_s)
    runs = sorted(
        (request.sent_s, first_runs[request.id])
        for request in index.history.requests
        if request.id in first_runs
        and index.get_account(request) == accounts.LIMITED
    )
    window_s = declared.ACCOUNT_WINDOW_S
    limit = declared.ACCOUNT_PER_S * window_s + declared.ACCOUNT_BURST
    allowed = limit * (1 + declared.ACCOUNT_OVERAGE) + declared.ACCOUNT_SLACK
    # The fullest window can be chosen to begin with a request.
    for number, (begin_s, _) in enumerate(runs):
        end = bisect.bisect_right(runs, (begin_s + window_s, math.inf))
        count = sum(
            ran_s <= begin_s + window_s for _, ran_s in runs[number:end]
        )
        if count > allowed:
            detail = f"{accounts.LIMITED}: {count} of {allowed:.0f}"
            yield indexed_history.Violation("limit", begin_s + window_s, detail)
            return


def check_revoked(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that nothing runs with a key that was revoked in time."""
    for arrival in index.history.arrivals:
        request = index.requests_by_id.get(arrival.id)
        if request is None or request.is_public() or not arrival.ran:
            continue
        span = index.history.keys.get(request.key)
        if span is None:
            continue
        late = arrival.at_s > span.until_s + declared.CONFIGURATION_BOUND_S
        if late and index.is_undisturbed(
            request.vm, span.until_s, arrival.at_s
        ):
            late_s = arrival.at_s - span.until_s
            detail = f"{arrival.id} ran {late_s:.2f} s after the revocation"
            yield indexed_history.Violation("revoked", arrival.at_s, detail)


def check_known(
    index: indexed_history.IndexedHistory,
) -> Iterator[indexed_history.Violation]:
    """Checks that added keys are known in time."""
    for request in index.history.requests:
        span = index.history.keys.get(request.key)
        if request.status != 401 or span is None:
            continue
        settled_s = span.from_s + declared.CONFIGURATION_BOUND_S
        if (
            request.sent_s > settled_s
            and request.ended_s < span.until_s
            and index.is_undisturbed(request.vm, span.from_s, request.ended_s)
        ):
            detail = (
                f"{request.id}: {request.vm} refused a key of {span.account}"
            )
            yield indexed_history.Violation("known", request.ended_s, detail)
