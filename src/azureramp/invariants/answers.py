"""Checks of answers: snapshot, coverage, completeness and execution."""

from __future__ import annotations

import collections
import fractions
from collections.abc import Iterator

from azureramp import events, resources, timelines
from azureramp.invariants import history

COVERAGE_TOLERANCE = 1e-6
"""Maximum rounding error by which a stated coverage may be too low."""


def check_snapshot(run_history: history.History) -> Iterator[history.Violation]:
    """Checks that each answer reflects a single snapshot of the index."""
    merged = _collect_merged(run_history)
    for record, answer in _get_answers(run_history):
        if answer.code != "ok":
            # A refusal states no version, even if sub-requests were merged.
            continue
        for part in merged.get(answer.request_id, ()):
            if part.version != answer.version:
                yield history.Violation(
                    "snapshot",
                    record.monotonic_s,
                    f"request {answer.request_id} states version "
                    f"{answer.version} and merged version {part.version}",
                )
    for outcome in run_history.outcomes:
        if outcome.code == "ok" and len(set(outcome.item_tags)) > 1:
            yield history.Violation(
                "snapshot",
                outcome.ended_s,
                f"request {outcome.request_id} has items of "
                f"{sorted(set(outcome.item_tags))}",
            )


def check_coverage(run_history: history.History) -> Iterator[history.Violation]:
    """Checks that each answer states its coverage of the data correctly."""
    merged = _collect_merged(run_history)
    indexes = {
        record.event.request_id: record.event.index
        for record in run_history.records
        if isinstance(record.event, events.RequestAdmitted)
    }
    for record, answer in _get_answers(run_history):
        if answer.code != "ok" or answer.idempotency_key:
            continue
        name = f"{indexes.get(answer.request_id, '')}.{answer.version}"
        shard_map = run_history.shard_maps.get(name)
        if shard_map is None:
            continue
        ranges = {
            (part.low, part.high) for part in merged.get(answer.request_id, ())
        }
        covered = compute_coverage(shard_map, ranges)
        if not 0 <= covered - answer.coverage <= COVERAGE_TOLERANCE:
            yield history.Violation(
                "coverage",
                record.monotonic_s,
                f"request {answer.request_id} states {answer.coverage} and "
                f"covers {float(covered)}",
            )


def check_complete_answer(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that each caller receives the full answer to its own request."""
    for outcome in run_history.outcomes:
        if outcome.code != "ok" or not outcome.expected_query:
            continue
        name = f"{outcome.expected_query}@{outcome.version}"
        expected = {
            key
            for key in run_history.keys_by_tag.get(name, ())
            if not any(low <= key < high for low, high in outcome.missing)
        }
        if any(tag != name for tag in outcome.item_tags):
            words = f"has items of {sorted(set(outcome.item_tags))}"
        elif len(outcome.item_keys) != len(set(outcome.item_keys)):
            words = "has duplicate items"
        elif set(outcome.item_keys) != expected:
            differing = sorted(set(outcome.item_keys) ^ expected)[:5]
            words = f"does not match its ranges in the keys {differing}"
        elif outcome.complete != (not outcome.missing):
            words = (
                f"states complete={outcome.complete}, missing {outcome.missing}"
            )
        else:
            continue
        yield history.Violation(
            "whole_answer",
            outcome.ended_s,
            f"request {outcome.request_id} {words}",
        )


def check_not_run(run_history: history.History) -> Iterator[history.Violation]:
    """Checks that no request refused as `not_run` ran, before or after."""
    arrived = {arrival.request_id for arrival in run_history.arrivals}
    dispatched = {
        record.event.request_id
        for record in run_history.records
        if isinstance(record.event, events.PartDispatched)
        and not run_history.arrivals
    }
    for outcome in run_history.outcomes:
        if (
            outcome.ran == "not_run"
            and outcome.request_id in arrived | dispatched
        ):
            yield history.Violation(
                "not_run",
                outcome.ended_s,
                f"request {outcome.request_id} was refused as not run "
                f"({outcome.code}), but ran",
            )


def check_at_most_once(
    run_history: history.History,
) -> Iterator[history.Violation]:
    """Checks that a non-idempotent request runs at most once."""
    runs = collections.Counter(
        arrival.idempotency_key
        for arrival in run_history.arrivals
        if arrival.idempotency_key
    )
    for key, count in runs.items():
        if count > 1:
            yield history.Violation(
                "at_most_once",
                run_history.end_s,
                f"key {key} ran {count} times",
            )


def compute_coverage(
    shard_map: resources.ShardMap, ranges: set[tuple[int, int]]
) -> fractions.Fraction:
    """Returns the fraction of documents in shards whose range was merged."""
    total = sum(shard.size for shard in shard_map.shards)
    covered = sum(
        shard.size
        for shard in shard_map.shards
        if (shard.low, shard.high) in ranges
    )
    return (
        fractions.Fraction(covered, total) if total else fractions.Fraction(1)
    )


def _get_answers(
    run_history: history.History,
) -> Iterator[tuple[timelines.Record, events.RequestAnswered]]:
    """Yields each record of an answered request with its event."""
    for record in run_history.records:
        if isinstance(record.event, events.RequestAnswered):
            yield record, record.event


def _collect_merged(
    run_history: history.History,
) -> dict[str, list[events.PartEnded]]:
    """Returns the sub-requests merged since each request was last pinned.

    If the index version of a query disappears, the query is pinned again to
    another version. The coordinator discards the results merged before that,
    and so does this function.
    """
    merged: dict[str, list[events.PartEnded]] = {}
    for record in run_history.records:
        match record.event:
            case events.RequestAdmitted(request_id=request_id):
                merged[request_id] = []
            case events.PartEnded(request_id=request_id, merged=True):
                merged.setdefault(request_id, []).append(record.event)
    return merged
