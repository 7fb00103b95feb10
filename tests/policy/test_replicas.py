"""Choice of a searcher from measurements, and the effect of false reports."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureramp import messages
from azureramp.policy import replicas
from tests.policy import query_parts

SETTINGS = settings(derandomize=True, database=None, deadline=None)
NAMES = ("a", "b", "c")
DRAWS = 3000

REPORTS = st.builds(
    query_parts.make_state,
    st.sampled_from(NAMES),
    queued=st.integers(-5, 10**6),
    limit=st.integers(0, 10),
)


def make_board(**took_ms: float) -> replicas.Scoreboard:
    """Creates a scoreboard with the given time for each searcher."""
    board = replicas.Scoreboard()
    for _ in range(30):
        for name, each_ms in took_ms.items():
            board.record_sent(name)
            board.record_result(name, each_ms, 0.0)
    return board


def count_choices(
    board: replicas.Scoreboard,
    states: dict[str, messages.SearcherState],
    names: tuple[str, ...] = NAMES,
    now_s: float = 0.0,
) -> dict[str, float]:
    """Returns the share of choices of each searcher."""
    rng = random.Random(7)
    chosen = [board.choose(names, states, now_s, rng) for _ in range(DRAWS)]
    return {name: chosen.count(name) / DRAWS for name in names}


@SETTINGS
@given(
    times=st.lists(st.floats(0.1, 10**4), min_size=3, max_size=3),
    reports=st.lists(REPORTS, max_size=6),
    seed=st.integers(0, 1000),
)
def test_no_report_leads_to_a_score_beyond_the_tolerance(
    times: list[float], reports: list[messages.SearcherState], seed: int
) -> None:
    board = make_board(**dict(zip(NAMES, times, strict=True)))
    states = {report.searcher: report for report in reports}

    chosen = board.choose(NAMES, states, 0.0, random.Random(seed))

    scores = {
        name: board.get_score(
            name, states[name].limit if name in states else 1, 0.0
        )
        for name in NAMES
    }
    limit = min(scores.values()) * (1 + replicas.SCORE_TOLERANCE)
    assert scores[chosen] <= limit * (1 + 1e-9)


def test_a_false_report_shifts_the_odds_by_a_bounded_factor() -> None:
    """Guards against an owner that attracts all work by false reports.

    One searcher is always reported as idle, the others correctly. The odds
    shift by at most 2 to 1, and not at all once measurements show that the
    searcher is slower.
    """
    states = {
        "a": query_parts.make_state("a", queued=0),
        "b": query_parts.make_state("b", queued=500),
        "c": query_parts.make_state("c", queued=500),
    }

    tied = count_choices(make_board(a=10, b=10, c=10), states)
    slower = count_choices(make_board(a=14, b=10, c=10), states)

    odds = replicas.MAX_REPORT_FACTOR
    assert tied["a"] == pytest.approx(odds / (odds + 2), abs=0.03)
    assert slower["a"] == 0.0


def test_calls_in_flight_divert_the_next_choice() -> None:
    board = make_board(a=10, b=10)
    states = {name: query_parts.make_state(name) for name in ("a", "b")}

    for _ in range(2):
        board.record_sent("a")

    assert count_choices(board, states, ("a", "b"))["a"] == 0.0


def test_an_unresponsive_searcher_is_avoided() -> None:
    """Guards against a good score of a searcher that stopped responding.

    It accepts calls, and each of them is cancelled without a result. If only
    results counted, its score would never change.
    """
    board = make_board(a=10, b=10)

    for _ in range(5):
        board.record_sent("a")
        board.record_cancelled("a", 200.0, 0.0)

    assert count_choices(board, {}, ("a", "b"))["a"] == 0.0


def test_a_failing_searcher_is_avoided_and_tried_again_later() -> None:
    board = make_board(a=10, b=10)

    board.record_sent("a")
    board.record_failure("a", 0.0)

    assert count_choices(board, {}, ("a", "b"))["a"] == 0.0
    later_s = replicas.HALF_LIFE_S * 10
    assert count_choices(board, {}, ("a", "b"), later_s)["a"] > 0.4


def test_one_straggler_hardly_changes_a_searcher_s_score() -> None:
    board = make_board(a=10, b=10)
    board.record_sent("a")
    board.record_result("a", 100.0, 0.0)

    ratio = board.get_score("a", 2, 0.0) / board.get_score("b", 2, 0.0)

    assert ratio < 1.5
