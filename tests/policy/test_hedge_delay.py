"""Hedge delay for requests to many shards whose searchers may pause."""

from __future__ import annotations

import math

import pytest

from azureramp.controllers.forwarding import route_timings
from azureramp.policy import hedge_delay

TARGET_S = 0.073
USUAL_S = 0.012


def test_a_hedge_is_sent_while_a_usual_answer_comes_in_time() -> None:
    """Guards against hedges that are not sent because they come too late."""
    time_s = hedge_delay.compute_hedge_delay_s(0.06, USUAL_S, TARGET_S, 0.045)
    assert time_s + hedge_delay.ANSWER_TIME_FACTOR * USUAL_S <= 0.045


def test_a_hedge_is_sent_only_after_a_usual_first_call() -> None:
    for left_s in (0.01, 0.03, 0.06):
        time_s = hedge_delay.compute_hedge_delay_s(
            0.06, USUAL_S, TARGET_S, left_s
        )
        assert time_s > USUAL_S


def test_the_delay_is_at_most_the_time_of_late_calls() -> None:
    time_s = hedge_delay.compute_hedge_delay_s(0.02, USUAL_S, TARGET_S, 0.07)
    assert time_s == 0.02


@pytest.mark.parametrize("late_s", [None, 0.0, 0.02, 5.0])
@pytest.mark.parametrize("left_s", [0.0, 0.02, 0.07, math.inf])
def test_the_delay_is_within_its_shares_of_the_target(
    late_s: float | None, left_s: float
) -> None:
    time_s = hedge_delay.compute_hedge_delay_s(
        late_s, USUAL_S, TARGET_S, left_s
    )
    assert 0.1 * TARGET_S <= time_s <= 0.5 * TARGET_S


def test_stragglers_at_a_request_s_end_keep_the_usual_time() -> None:
    """Guards against a usual time computed from only the last few answers."""
    pace = route_timings.RouteTimings()
    for _ in range(6):
        for _ in range(75):
            pace.record_duration(USUAL_S)
        for _ in range(15):
            pace.record_duration(0.2)
    assert pace.get_usual_s() == pytest.approx(USUAL_S, rel=0.1)
