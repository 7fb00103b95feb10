"""Choice of a searcher for a call."""

from __future__ import annotations

import random

from azureramp.policy import searcher_selection, searcher_stats


def choose(
    records: dict[str, searcher_stats.SearcherStats], now_s: float = 10.0
) -> str:
    chosen = searcher_selection.choose(records.items(), now_s, random.Random(1))
    assert chosen is not None
    return chosen


def test_a_searcher_that_holds_an_overdue_call_is_avoided() -> None:
    """Guards against calls sent to a paused searcher.

    Every searcher pauses for a moment every few seconds, and calls sent to it
    wait until it resumes. An overdue call indicates a pause, so new calls go to
    another searcher, even in another zone.
    """
    records = {
        "paused": searcher_stats.SearcherStats(
            2, same_zone=True, in_flight=1, overdue=1
        ),
        "other": searcher_stats.SearcherStats(2, same_zone=False, in_flight=1),
    }
    assert choose(records) == "other"


def test_a_slow_searcher_is_avoided_until_its_slowness_decays() -> None:
    slow = searcher_stats.SearcherStats(2, same_zone=True)
    for _ in range(5):
        slow.record_time(8.0, 10.0)
    records = {
        "slow": slow,
        "other": searcher_stats.SearcherStats(2, same_zone=False),
    }
    assert choose(records, 10.0) == "other"
    assert (
        searcher_selection.compute_cost(slow, 30.0)
        < searcher_selection.compute_cost(slow, 10.0) / 2
    )


def test_the_same_zone_is_preferred_until_its_slots_are_in_use() -> None:
    near = searcher_stats.SearcherStats(2, same_zone=True)
    records = {
        "near": near,
        "far": searcher_stats.SearcherStats(2, same_zone=False),
    }
    assert choose(records) == "near"
    near.in_flight = 1
    assert choose(records) == "near", "a slot is free"
    near.in_flight = 2
    assert choose(records) == "far"


def test_a_temporarily_slow_searcher_of_the_same_zone_is_used() -> None:
    """Guards against cross-zone calls while the searcher in the zone is idle.

    A fifth of all calls crossed zones: searchers differ in speed by a half, and
    a pause or a long request makes one look twice as slow for some calls. A
    request to many shards waits for the slowest of them anyway, so only a
    searcher that stays slow is avoided.
    """
    near = searcher_stats.SearcherStats(
        2, same_zone=True, relative_time=2.2, updated_s=10.0
    )
    records = {
        "near": near,
        "far": searcher_stats.SearcherStats(2, same_zone=False),
    }
    assert choose(records) == "near"
    near.relative_time = 6.0
    assert choose(records) == "far"


def test_the_estimate_includes_the_wait_beyond_the_slots() -> None:
    record = searcher_stats.SearcherStats(
        2, same_zone=True, relative_time=7.0, updated_s=10.0
    )
    idle = searcher_selection.estimate_relative_time(record, 10.0)
    record.in_flight = 1
    assert searcher_selection.estimate_relative_time(record, 10.0) == idle
    record.in_flight = 3
    assert searcher_selection.estimate_relative_time(record, 10.0) == 2 * idle


def test_a_queue_exists_if_calls_exceed_the_slots() -> None:
    record = searcher_stats.SearcherStats(2, same_zone=True, in_flight=2)
    assert not searcher_selection.has_queued_calls(record, 10.0)
    record.reported_load, record.reported_s = 1.0, 10.0
    assert searcher_selection.has_queued_calls(record, 10.0)


def test_an_unresponsive_searcher_gets_no_calls_until_it_recovers() -> None:
    """Guards against late lookups that probe a searcher without power.

    After each backoff a call probed it, which made one lookup per second late.
    An unresponsive searcher is now probed by a new connection; one that answers
    with errors is still probed by a call.
    """
    silent = searcher_stats.SearcherStats(2, same_zone=True)
    failing = searcher_stats.SearcherStats(2, same_zone=True)
    for _ in range(2):
        silent.record_failure(10.0, sent=True, silent=True)
        failing.record_failure(10.0)
    assert not silent.needs_probe(10.1)
    assert silent.needs_probe(12.0)
    assert silent.is_excluded(12.0)
    assert not failing.needs_probe(12.0)
    assert not failing.is_excluded(12.0)
    silent.responsive = True
    assert not silent.is_excluded(12.0)


def test_a_possibly_recovered_searcher_is_probed_if_alone() -> None:
    records = {
        name: searcher_stats.SearcherStats(2, same_zone=True)
        for name in ("a", "b")
    }
    for record in records.values():
        for _ in range(2):
            record.record_failure(10.0, sent=False)
    assert searcher_selection.choose_for_probe(records.items(), 10.1) is None
    assert searcher_selection.choose_for_probe(records.items(), 12.0) == "a"
    records["a"].probing = True
    assert searcher_selection.choose_for_probe(records.items(), 12.0) == "b"


def test_consecutive_failures_start_a_backoff_that_a_probe_ends() -> None:
    """All calls to a crashed searcher fail.

    It gets no calls during the backoff and then a single probe, whose failure
    starts a longer backoff and whose success ends it.
    """
    record = searcher_stats.SearcherStats(2, same_zone=True)
    record.record_failure(10.0)
    assert not record.is_excluded(10.0)
    record.record_failure(10.0)
    assert record.is_excluded(10.1)
    assert not record.is_excluded(10.3)
    record.probing = True
    assert record.is_excluded(10.3)
    record.record_failure(10.4)
    assert record.is_excluded(10.8)
    record.record_success()
    assert not record.is_excluded(10.9)


def test_no_searcher_is_chosen_if_all_are_in_backoff() -> None:
    record = searcher_stats.SearcherStats(2, same_zone=True)
    for _ in range(3):
        record.record_failure(10.0)
    records = {"a": record}
    assert (
        searcher_selection.choose(records.items(), 10.1, random.Random(1))
        is None
    )


def test_a_searcher_that_loses_some_answers_is_avoided() -> None:
    """Guards against constant use of a searcher that loses 2 of 5 answers.

    Each loss costs the request a retry. The healthy searcher is preferred until
    the failures have decayed.
    """
    faulty = searcher_stats.SearcherStats(2, same_zone=True)
    for number in range(20):
        if number % 5 < 2:
            faulty.record_failure(10.0)
        else:
            faulty.record_success()
        faulty.updated_s = 10.0
    records = {
        "faulty": faulty,
        "healthy": searcher_stats.SearcherStats(2, same_zone=False),
    }
    assert choose(records, 10.0) == "healthy"
    assert choose(records, 40.0) == "faulty"


def test_a_recovered_searcher_has_its_usual_cost() -> None:
    record = searcher_stats.SearcherStats(2, same_zone=True)
    for _ in range(4):
        record.record_failure(10.0, sent=False)
    before = searcher_selection.compute_cost(
        searcher_stats.SearcherStats(2, same_zone=True), 12.0
    )
    assert searcher_selection.compute_cost(record, 12.0) == before


def test_if_all_fail_often_a_responsive_searcher_is_used() -> None:
    """Guards against rejected lookups if all searchers lose 2 of 5 answers.

    Each soon fails twice in a row and is in backoff, although it would answer
    3 of 5 lookups. A searcher that can't be reached or does not respond is not
    used, since it would only delay them.
    """
    lossy = searcher_stats.SearcherStats(2, same_zone=True)
    silent = searcher_stats.SearcherStats(2, same_zone=True)
    down = searcher_stats.SearcherStats(2, same_zone=True)
    for _ in range(2):
        lossy.record_failure(10.0)
        silent.record_failure(10.0, silent=True)
        down.record_failure(10.0, sent=False)
    records = {"lossy": lossy, "silent": silent, "down": down}
    rng = random.Random(1)
    assert searcher_selection.choose(records.items(), 10.1, rng) is None
    assert (
        searcher_selection.choose_in_backoff(records.items(), 10.1) == "lossy"
    )
    del records["lossy"]
    assert searcher_selection.choose_in_backoff(records.items(), 10.1) is None
