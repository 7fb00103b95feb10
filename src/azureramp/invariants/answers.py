"""Checks of what callers get: snapshot, coverage, wholeness, truth."""

from __future__ import annotations

import collections
import fractions
from collections.abc import Iterator

from azureramp import events, resources, timelines
from azureramp.invariants import history

COVERAGE_TOLERANCE = 1e-6
"""A stated coverage may be lower than the true one by rounding only."""


def check_snapshot(past: history.History) -> Iterator[history.Violation]:
    """Every answer reflects one snapshot of the index."""
    merged = _collect_merged(past)
    for record, answer in _get_answers(past):
        if answer.code != "ok":
            # A refusal has no version, whatever arrived before it.
            continue
        for part in merged.get(answer.request_id, ()):
            if part.version != answer.version:
                yield history.Violation(
                    "snapshot",
                    record.monotonic_s,
                    f"request {answer.request_id} states version "
                    f"{answer.version} and merged version {part.version}",
                )
    for got in past.received:
        if got.code == "ok" and len(set(got.item_tags)) > 1:
            yield history.Violation(
                "snapshot",
                got.got_s,
                f"request {got.request_id} has items of "
                f"{sorted(set(got.item_tags))}",
            )


def check_coverage(past: history.History) -> Iterator[history.Violation]:
    """Every answer states truly how much of the data it covers."""
    merged = _collect_merged(past)
    indexes = {
        record.event.request_id: record.event.index
        for record in past.records
        if isinstance(record.event, events.RequestAdmitted)
    }
    for record, answer in _get_answers(past):
        if answer.code != "ok" or answer.idempotency_key:
            continue
        name = f"{indexes.get(answer.request_id, '')}.{answer.version}"
        shard_map = past.shard_maps.get(name)
        if shard_map is None:
            continue
        ranges = {
            (part.low, part.high) for part in merged.get(answer.request_id, ())
        }
        held = compute_coverage(shard_map, ranges)
        if not 0 <= held - answer.coverage <= COVERAGE_TOLERANCE:
            yield history.Violation(
                "coverage",
                record.monotonic_s,
                f"request {answer.request_id} states {answer.coverage} and "
                f"holds {float(held)}",
            )


def check_whole_answer(past: history.History) -> Iterator[history.Violation]:
    """Each caller receives the whole answer to its own request."""
    for got in past.received:
        if got.code != "ok" or not got.wanted:
            continue
        name = f"{got.wanted}@{got.version}"
        expected = {
            key
            for key in past.keys_by_tag.get(name, ())
            if not any(low <= key < high for low, high in got.missing)
        }
        if any(tag != name for tag in got.item_tags):
            words = f"has items of {sorted(set(got.item_tags))}"
        elif len(got.item_keys) != len(set(got.item_keys)):
            words = "has an item twice"
        elif set(got.item_keys) != expected:
            odd = sorted(set(got.item_keys) ^ expected)[:5]
            words = f"differs from its ranges in the keys {odd}"
        elif got.complete != (not got.missing):
            words = f"says complete={got.complete}, missing {got.missing}"
        else:
            continue
        yield history.Violation(
            "whole_answer", got.got_s, f"request {got.request_id} {words}"
        )


def check_not_run(past: history.History) -> Iterator[history.Violation]:
    """A refusal saying "not run" is true, also of what came later."""
    arrived = {arrival.request_id for arrival in past.arrivals}
    dispatched = {
        record.event.request_id
        for record in past.records
        if isinstance(record.event, events.PartDispatched) and not past.arrivals
    }
    for got in past.received:
        if got.ran == "not_run" and got.request_id in arrived | dispatched:
            yield history.Violation(
                "not_run",
                got.got_s,
                f"request {got.request_id} was refused as not run "
                f"({got.code}), but ran",
            )


def check_at_most_once(past: history.History) -> Iterator[history.Violation]:
    """A request that may not be repeated runs at most once."""
    runs = collections.Counter(
        arrival.idempotency_key
        for arrival in past.arrivals
        if arrival.idempotency_key
    )
    for key, count in runs.items():
        if count > 1:
            yield history.Violation(
                "at_most_once", past.end_s, f"key {key} ran {count} times"
            )


def compute_coverage(
    shard_map: resources.ShardMap, ranges: set[tuple[int, int]]
) -> fractions.Fraction:
    """Returns the share of documents whose shards' ranges were merged."""
    total = sum(shard.size for shard in shard_map.shards)
    held = sum(
        shard.size
        for shard in shard_map.shards
        if (shard.low, shard.high) in ranges
    )
    return fractions.Fraction(held, total) if total else fractions.Fraction(1)


def _get_answers(
    past: history.History,
) -> Iterator[tuple[timelines.Record, events.RequestAnswered]]:
    """Yields the answers to queries, with their records."""
    for record in past.records:
        if isinstance(record.event, events.RequestAnswered):
            yield record, record.event


def _collect_merged(
    past: history.History,
) -> dict[str, list[events.PartEnded]]:
    """Returns the merged parts of each request, since its last pinning.

    A query whose index version went is pinned once more; what was merged
    before then is thrown away by the coordinator, and so here.
    """
    merged: dict[str, list[events.PartEnded]] = {}
    for record in past.records:
        match record.event:
            case events.RequestAdmitted(request_id=request_id):
                merged[request_id] = []
            case events.PartEnded(request_id=request_id, merged=True):
                merged.setdefault(request_id, []).append(record.event)
    return merged
