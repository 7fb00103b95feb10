"""Which searcher gets a call."""

from __future__ import annotations

import random

from azureramp.policy import selection


def choose(records: dict[str, selection.Record], now_s: float = 10.0) -> str:
    chosen = selection.choose(records.items(), now_s, random.Random(1))
    assert chosen is not None
    return chosen


def test_a_searcher_that_holds_an_overdue_call_is_avoided() -> None:
    """Every searcher stands still for a moment every few seconds.

    Calls sent to one that stands still wait with the others. A call that is
    overdue there shows it, so new ones go to the other, however near.
    """
    records = {
        "paused": selection.Record(2, near=True, in_flight=1, overdue=1),
        "other": selection.Record(2, near=False, in_flight=1),
    }
    assert choose(records) == "other"


def test_a_slow_searcher_is_left_and_forgiven_with_time() -> None:
    slow = selection.Record(2, near=True)
    for _ in range(5):
        slow.add_time(8.0, 10.0)
    records = {"slow": slow, "other": selection.Record(2, near=False)}
    assert choose(records, 10.0) == "other"
    assert selection.rate(slow, 30.0) < selection.rate(slow, 10.0) / 2


def test_the_near_one_goes_first_until_it_is_busy() -> None:
    near = selection.Record(2, near=True)
    records = {"near": near, "far": selection.Record(2, near=False)}
    assert choose(records) == "near"
    near.in_flight = 1
    assert choose(records) == "near", "a slot is free"
    near.in_flight = 2
    assert choose(records) == "far"


def test_a_near_searcher_that_looks_slower_for_a_moment_is_kept() -> None:
    """A fifth of all calls cross zones though the near searcher is idle.

    Searchers differ in speed by a half, and a pause or a long request makes
    one look twice as slow for some calls. A request to many shards waits for
    the slowest of them anyway; only one that is slow for good is left.
    """
    near = selection.Record(2, near=True, slowness=2.2, measured_s=10.0)
    records = {"near": near, "far": selection.Record(2, near=False)}
    assert choose(records) == "near"
    near.slowness = 6.0
    assert choose(records) == "far"


def test_a_call_beyond_the_slots_is_expected_to_wait() -> None:
    record = selection.Record(2, near=True, slowness=7.0, measured_s=10.0)
    idle = selection.estimate(record, 10.0)
    record.in_flight = 1
    assert selection.estimate(record, 10.0) == idle
    record.in_flight = 3
    assert selection.estimate(record, 10.0) == 2 * idle


def test_calls_wait_where_there_are_more_than_slots() -> None:
    record = selection.Record(2, near=True, in_flight=2)
    assert not selection.has_queue(record, 10.0)
    record.waiting, record.reported_s = 1.0, 10.0
    assert selection.has_queue(record, 10.0)


def test_a_silent_searcher_gets_no_call_before_it_shows_life() -> None:
    """Each second a lookup is late while a searcher is without power.

    After its rest a call tried whether it is back. Now a new connection tries
    it; a failing one that answers, if only by errors, is tried by a call.
    """
    silent = selection.Record(2, near=True)
    failing = selection.Record(2, near=True)
    for _ in range(2):
        silent.add_failure(10.0, sent=True, silent=True)
        failing.add_failure(10.0)
    assert not silent.needs_proof(10.1)
    assert silent.needs_proof(12.0)
    assert silent.rests(12.0)
    assert not failing.needs_proof(12.0)
    assert not failing.rests(12.0)
    silent.alive = True
    assert not silent.rests(12.0)


def test_one_that_may_be_back_is_tried_where_there_are_no_others() -> None:
    records = {name: selection.Record(2, near=True) for name in ("a", "b")}
    for record in records.values():
        for _ in range(2):
            record.add_failure(10.0, sent=False)
    assert selection.choose_unproven(records.items(), 10.1) is None
    assert selection.choose_unproven(records.items(), 12.0) == "a"
    records["a"].trial = True
    assert selection.choose_unproven(records.items(), 12.0) == "b"


def test_failures_in_a_row_make_a_searcher_rest_and_a_trial_ends_it() -> None:
    """All calls to a crashed searcher fail, one after another.

    It gets none for a moment, then a single one; the trial's failure makes
    the rest longer, its success ends it.
    """
    record = selection.Record(2, near=True)
    record.add_failure(10.0)
    assert not record.rests(10.0)
    record.add_failure(10.0)
    assert record.rests(10.1)
    assert not record.rests(10.3)
    record.trial = True
    assert record.rests(10.3)
    record.add_failure(10.4)
    assert record.rests(10.8)
    record.add_success()
    assert not record.rests(10.9)


def test_nobody_is_chosen_when_all_rest() -> None:
    record = selection.Record(2, near=True)
    for _ in range(3):
        record.add_failure(10.0)
    records = {"a": record}
    assert selection.choose(records.items(), 10.1, random.Random(1)) is None


def test_a_searcher_that_loses_some_answers_is_used_less() -> None:
    """Two in five answers of a searcher get lost, one at a time.

    It never fails often enough in a row to rest, but each loss costs the
    request a retry. The sound one is used until the faults are old.
    """
    faulty = selection.Record(2, near=True)
    for number in range(20):
        if number % 5 < 2:
            faulty.add_failure(10.0)
        else:
            faulty.add_success()
        faulty.measured_s = 10.0
    records = {"faulty": faulty, "sound": selection.Record(2, near=False)}
    assert choose(records, 10.0) == "sound"
    assert choose(records, 40.0) == "faulty"


def test_a_searcher_that_was_down_is_used_as_before_once_it_is_back() -> None:
    record = selection.Record(2, near=True)
    for _ in range(4):
        record.add_failure(10.0, sent=False)
    before = selection.rate(selection.Record(2, near=True), 12.0)
    assert selection.rate(record, 12.0) == before


def test_where_all_fail_often_one_that_is_alive_is_used_all_the_same() -> None:
    """All searchers of a shard lose two in five of their answers.

    Each soon fails twice in a row and is left alone. Lookups were refused
    then, though three in five would have been answered; but one that can't be
    reached or is silent would only take their time.
    """
    lossy = selection.Record(2, near=True)
    silent = selection.Record(2, near=True)
    down = selection.Record(2, near=True)
    for _ in range(2):
        lossy.add_failure(10.0)
        silent.add_failure(10.0, silent=True)
        down.add_failure(10.0, sent=False)
    records = {"lossy": lossy, "silent": silent, "down": down}
    rng = random.Random(1)
    assert selection.choose(records.items(), 10.1, rng) is None
    assert selection.choose_faulty(records.items(), 10.1) == "lossy"
    del records["lossy"]
    assert selection.choose_faulty(records.items(), 10.1) is None
