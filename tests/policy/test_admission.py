"""Admission control: accepting and rejecting requests."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureramp import errors, resources
from azureramp.policy import admission, assembly, outcomes, waits
from tests.policy import query_parts

SETTINGS = settings(derandomize=True, database=None, deadline=None)
URGENT, NORMAL, DEFERRABLE = resources.Priority
SHORT = errors.Kind.DEADLINE_TOO_SHORT
OVERLOADED = errors.Kind.OVERLOADED


@pytest.mark.parametrize(
    ("priority", "left_ms", "needed_ms", "running", "share", "draw", "kind"),
    [
        (URGENT, 100.0, 0.0, 0, 1.0, 0.999, None),
        (URGENT, 100.0, 99.0, 0, 1.0, 0.5, None),
        (URGENT, 100.0, 101.0, 0, 1.0, 0.5, SHORT),
        (URGENT, 0.0, 0.0, 0, 1.0, 0.5, SHORT),
        (URGENT, -5.0, 0.0, 0, 1.0, 0.5, SHORT),
        (URGENT, 100.0, 0.0, 511, 1.0, 0.5, None),
        (URGENT, 100.0, 0.0, 512, 1.0, 0.5, OVERLOADED),
        (NORMAL, 100.0, 0.0, 383, 1.0, 0.5, None),
        (NORMAL, 100.0, 0.0, 384, 1.0, 0.5, OVERLOADED),
        (DEFERRABLE, 100.0, 0.0, 256, 1.0, 0.5, OVERLOADED),
        (DEFERRABLE, 100.0, 0.0, 0, 0.4, 0.3, None),
        (DEFERRABLE, 100.0, 0.0, 0, 0.4, 0.4, OVERLOADED),
        (DEFERRABLE, 100.0, 0.0, 0, 0.0, 0.0, OVERLOADED),
    ],
)
def test_a_request_is_accepted_or_rejected_as_not_run(
    priority: resources.Priority,
    left_ms: float,
    needed_ms: float,
    running: int,
    share: float,
    draw: float,
    kind: errors.Kind | None,
) -> None:
    demand = admission.Request(priority, left_ms, needed_ms, running, share)

    decided = admission.decide(demand, draw)

    assert decided is kind
    assert kind is None or errors.ANSWERS[kind].ran is errors.Execution.NOT_RUN


def overload(
    level: admission.Level, priority: resources.Priority, windows: int
) -> float:
    """Reports waits of twice the limit for some windows; returns the time."""
    now_s = 0.0
    for _ in range(windows):
        level.observe(priority, 2.0, now_s)
        now_s += admission.WINDOW_S
    return now_s


@pytest.mark.parametrize(
    ("waiting", "shares"),
    [
        (DEFERRABLE, (1.0, 1.0, 0.0)),
        (NORMAL, (1.0, 0.0, 0.0)),
        (URGENT, (admission.MIN_LEVEL, 0.0, 0.0)),
    ],
)
def test_lower_priorities_are_shed_before_the_overloaded_one(
    waiting: resources.Priority, shares: tuple[float, float, float]
) -> None:
    level = admission.Level()

    now_s = overload(level, waiting, 100)

    found = tuple(level.get_share(one, now_s) for one in resources.Priority)
    assert found == pytest.approx(shares, abs=0.03)
    assert level.is_overloaded(now_s)


def test_shedding_ends_once_waits_are_short() -> None:
    level = admission.Level()
    now_s = overload(level, URGENT, 100)

    for _ in range(200):
        now_s += admission.WINDOW_S
        level.observe(URGENT, 0.1, now_s)

    assert level.value == 3.0
    assert not level.is_overloaded(now_s + admission.WINDOW_S)


def test_shedding_ends_without_any_requests() -> None:
    level = admission.Level()
    now_s = overload(level, DEFERRABLE, 100)

    assert level.get_share(DEFERRABLE, now_s + 30.0) == 1.0


@SETTINGS
@given(
    st.lists(
        st.tuples(
            st.sampled_from(resources.Priority),
            st.floats(0, 100),
            st.floats(0, 1),
        ),
        max_size=200,
    )
)
def test_a_more_urgent_priority_never_has_a_lower_share(
    steps: list[tuple[resources.Priority, float, float]],
) -> None:
    level = admission.Level()
    now_s = 0.0

    for priority, ratio, after_s in steps:
        level.observe(priority, ratio, now_s)
        now_s += after_s
        shares = [level.get_share(one, now_s) for one in resources.Priority]
        assert shares == sorted(shares, reverse=True)
        assert shares[0] >= admission.MIN_LEVEL


def test_an_estimated_wait_decays_without_measurements() -> None:
    """Guards against rejecting all requests forever after long queues.

    While all requests are rejected, no wait is measured, so an estimate that
    did not decay would keep rejecting them.
    """
    times = admission.LatencyEstimates()
    for _ in range(100):
        times.observe("cover", URGENT, 10.0, 400.0, 0.0)

    busy_ms = times.estimate_ms("cover", URGENT, 0.0)
    later_ms = times.estimate_ms("cover", URGENT, 5.0)

    assert busy_ms == pytest.approx(410.0, rel=0.01)
    assert later_ms == pytest.approx(10.0, rel=0.1)
    assert times.estimate_ms("cover", DEFERRABLE, 0.0) == 10.0


@pytest.mark.parametrize(
    ("stated_ms", "service_ms"),
    [(8.0, 8.0), (-5.0, 0.0), (1e9, 20.0), (math.nan, 0.0), (math.inf, 20.0)],
)
def test_an_invalid_service_time_does_not_distort_the_estimates(
    stated_ms: float, service_ms: float
) -> None:
    shard = query_parts.make_map([1]).shards[0]
    attempt = query_parts.make_attempt(1, shard)
    tally = outcomes.PartStatistics()

    tally.add_merged(assembly.Merged(attempt, (), stated_ms), 20.0)

    assert tally.get_mean_service_ms() == service_ms
    assert tally.get_mean_wait_ms() == 20.0 - service_ms


def test_one_faulty_searcher_does_not_shed_the_load_of_its_index() -> None:
    one_of_sixty = admission.compute_refusal_ratio(1, 60)
    many = admission.compute_refusal_ratio(20, 60)

    assert one_of_sixty < 1.0 < many


def test_the_retry_delay_is_the_drain_time_of_the_most_loaded_shard() -> None:
    shard_map = query_parts.make_map([1, 1])
    states = query_parts.make_states(shard_map)
    states["s0-0"] = query_parts.make_state("s0-0", queued=200)
    states["s0-1"] = query_parts.make_state("s0-1", queued=100)

    drain_ms = admission.estimate_drain_ms(shard_map.shards, states)

    assert drain_ms == 500.0
    assert waits.compute_retry_ms(drain_ms, 0.0) == 500
    assert waits.compute_retry_ms(drain_ms, 1.0) == 750
    assert waits.compute_retry_ms(0.0, 0.0) == waits.MIN_RETRY_MS
    assert waits.compute_retry_ms(1e9, 1.0) == waits.MAX_RETRY_MS
