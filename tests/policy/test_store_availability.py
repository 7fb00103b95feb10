"""Tests of telling the store's outages from single failed calls."""

from __future__ import annotations

import math

import hypothesis
import hypothesis.strategies as st
import pytest

from azureramp.policy import store_availability

HEARTBEAT_S = 1.2


def make_available(until_s: float) -> store_availability.StoreAvailability:
    """Makes an instance with an answer each second, from 0 on."""
    availability = store_availability.StoreAvailability()
    at_s = 0.0
    while at_s < until_s:
        availability.record_answer(at_s, HEARTBEAT_S)
        at_s += 1.0
    availability.record_answer(until_s, HEARTBEAT_S)
    return availability


def compute(
    availability: store_availability.StoreAvailability, now_s: float
) -> float:
    return availability.compute_available_s(now_s, HEARTBEAT_S)


def test_failed_calls_before_the_first_answer_are_an_outage() -> None:
    availability = store_availability.StoreAvailability()
    availability.record_failure()
    availability.record_answer(5.0, HEARTBEAT_S)
    assert compute(availability, 5.0) == 0.0
    assert compute(availability, 6.0) == pytest.approx(1.0)


def test_a_process_that_has_just_started_knows_no_outage() -> None:
    availability = store_availability.StoreAvailability()
    availability.record_answer(5.0, HEARTBEAT_S)
    assert compute(availability, 5.0) == math.inf
    availability.record_answer(6.0, HEARTBEAT_S)
    assert availability.available_s == pytest.approx(1.0)


def test_failed_calls_between_answers_are_no_outage() -> None:
    """Guards against taking a VM's failed calls for an outage of the store."""
    availability = make_available(10.0)
    for number in range(20):
        availability.record_failure()
        availability.record_answer(10.5 + number, HEARTBEAT_S)
    assert availability.available_s == pytest.approx(29.5)
    assert compute(availability, 29.5) == math.inf


def test_failed_calls_without_any_answer_are_an_outage() -> None:
    """Guards against dropping searchers whose entries expired in an outage."""
    availability = make_available(10.0)
    availability.record_failure()
    availability.record_answer(12.5, HEARTBEAT_S)
    assert compute(availability, 12.5) == 0.0
    assert compute(availability, 13.5) == pytest.approx(1.0)


def test_a_long_time_without_calls_is_no_outage() -> None:
    """Guards against an outage that is only a relay or a process at rest."""
    availability = make_available(10.0)
    availability.record_answer(15.0, HEARTBEAT_S)
    assert availability.available_s == pytest.approx(15.0)
    assert compute(availability, 15.0) == math.inf


def test_time_in_which_a_heartbeat_may_have_been_lost_does_not_count() -> None:
    availability = store_availability.StoreAvailability()
    availability.record_failure()
    availability.record_answer(0.0, HEARTBEAT_S)
    availability.record_answer(0.5, HEARTBEAT_S)
    availability.record_failure()
    availability.record_answer(2.5, HEARTBEAT_S)
    assert compute(availability, 2.5) == pytest.approx(0.5)
    assert compute(availability, 3.5) == pytest.approx(1.5)


def test_a_relay_that_was_answered_all_the_time_refutes_an_outage() -> None:
    """Guards against taking a VM's own lost path for an outage of the store."""
    availability = make_available(10.0)
    availability.record_failure()
    availability.record_answer(16.0, HEARTBEAT_S)
    assert compute(availability, 16.0) == 0.0
    availability.record_answer(16.1, HEARTBEAT_S, 3600.0)
    assert compute(availability, 16.1) == 3600.0


def test_a_restarted_relay_refutes_nothing_before_its_start() -> None:
    availability = make_available(10.0)
    availability.record_failure()
    availability.record_answer(16.0, HEARTBEAT_S)
    availability.record_answer(16.5, HEARTBEAT_S, 0.2)
    assert compute(availability, 16.5) == pytest.approx(0.5)


def test_a_restarted_relay_is_no_outage_to_its_followers() -> None:
    """Guards against taking a relay's start for the end of an outage."""
    availability = make_available(10.0)
    availability.record_answer(11.0, HEARTBEAT_S, 0.3)
    assert availability.available_s == pytest.approx(11.0)
    assert compute(availability, 11.0) == math.inf


def test_an_outage_that_only_the_relay_saw_counts() -> None:
    availability = store_availability.StoreAvailability()
    availability.record_answer(0.0, HEARTBEAT_S, 50.0)
    availability.record_answer(8.0, HEARTBEAT_S, 0.0)
    assert compute(availability, 8.0) == 0.0


@hypothesis.given(
    st.lists(st.floats(0.05, 1.1), min_size=1, max_size=30),
    st.floats(2.5, 20.0),
    st.lists(st.tuples(st.floats(0.05, 1.1), st.booleans()), max_size=10),
)
def test_availability_never_exceeds_the_time_since_an_outage(
    before: list[float], outage_s: float, after: list[tuple[float, bool]]
) -> None:
    availability = store_availability.StoreAvailability()
    now_s = 0.0
    for gap_s in before:
        now_s += gap_s
        availability.record_answer(now_s, HEARTBEAT_S)
    availability.record_failure()
    now_s += outage_s
    ended_s = now_s
    availability.record_answer(now_s, HEARTBEAT_S)
    for gap_s, fails in after:
        if fails:
            availability.record_failure()
        now_s += gap_s
        availability.record_answer(now_s, HEARTBEAT_S)
        assert compute(availability, now_s) <= now_s - ended_s + 1e-6
    assert compute(availability, now_s) >= now_s - ended_s - 1e-6
