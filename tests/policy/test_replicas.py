"""The choice of a searcher, and what a lying reporter costs."""

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
    """Makes a scoreboard on which each searcher has some time."""
    board = replicas.Scoreboard()
    for _ in range(30):
        for name, each_ms in took_ms.items():
            board.begin(name)
            board.finish(name, each_ms, 0.0)
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
def test_no_report_leads_to_a_searcher_worse_than_the_stated_bound(
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
    most = min(scores.values()) * (1 + replicas.TIE)
    assert scores[chosen] <= most * (1 + 1e-9)


def test_a_liar_among_equals_gets_at_most_its_bounded_odds() -> None:
    """One searcher always says that it is idle, the others tell the truth.

    It must not draw everybody's work onto itself: the odds shift by at most
    two to one, and not at all once its own times show it to be slower.
    """
    states = {
        "a": query_parts.make_state("a", queued=0),
        "b": query_parts.make_state("b", queued=500),
        "c": query_parts.make_state("c", queued=500),
    }

    equal = count_choices(make_board(a=10, b=10, c=10), states)
    slower = count_choices(make_board(a=14, b=10, c=10), states)

    odds = replicas.REPORT_ODDS
    assert equal["a"] == pytest.approx(odds / (odds + 2), abs=0.03)
    assert slower["a"] == 0.0


def test_own_work_in_flight_turns_the_next_choice_away() -> None:
    board = make_board(a=10, b=10)
    states = {name: query_parts.make_state(name) for name in ("a", "b")}

    for _ in range(2):
        board.begin("a")

    assert count_choices(board, states, ("a", "b"))["a"] == 0.0


def test_a_silent_searcher_is_avoided_though_it_never_answers() -> None:
    """A searcher accepts and goes silent; each call ends as cancelled.

    No time of it is ever measured. If only results counted, it would keep
    the good score of yesterday.
    """
    board = make_board(a=10, b=10)

    for _ in range(5):
        board.begin("a")
        board.abandon("a", 200.0, 0.0)

    assert count_choices(board, {}, ("a", "b"))["a"] == 0.0


def test_a_failing_searcher_is_avoided_and_tried_again_later() -> None:
    board = make_board(a=10, b=10)

    board.begin("a")
    board.fail("a", 0.0)

    assert count_choices(board, {}, ("a", "b"))["a"] == 0.0
    later_s = replicas.HALF_LIFE_S * 10
    assert count_choices(board, {}, ("a", "b"), later_s)["a"] > 0.4


def test_one_straggler_does_not_condemn_a_searcher() -> None:
    board = make_board(a=10, b=10)
    board.begin("a")
    board.finish("a", 100.0, 0.0)

    once = board.get_score("a", 2, 0.0) / board.get_score("b", 2, 0.0)

    assert once < 1.5
