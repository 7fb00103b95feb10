"""What callers spent before their requests came."""

from __future__ import annotations

import pytest

from azureramp.controllers.forwarding import gather
from azureramp.policy import elapsed


def make(told_ms: list[int]) -> elapsed.Elapsed:
    known = elapsed.Elapsed()
    for each in told_ms:
        known.add(each / 1000)
    return known


def test_a_caller_that_tells_less_had_waited_before() -> None:
    """A lookup's answer leaves in time and arrives late.

    The caller first asked where to connect and then connected, over a slow
    link. Its deadline tells: most begin with 300 ms, it has 285 left.
    """
    known = make([300, 285, 284, 300, 300] * 10)
    assert known.estimate_s(0.285, 0.05) == pytest.approx(0.015)
    assert known.estimate_s(0.300, 0.05) == 0.0


def test_nothing_is_believed_of_few_callers_or_odd_ones() -> None:
    assert make([300] * 5).estimate_s(0.2, 0.05) == 0.0
    assert make([300] * 50).estimate_s(0.15, 0.05) == 0.0
    odd = make([300] * 60 + [900])
    assert odd.estimate_s(0.3, 0.05) == 0.0


@pytest.mark.parametrize(
    ("target_ms", "way_ms", "cut_ms"),
    [
        (100, 0, 85),
        (100, 10, 84),
        (56, 21, 31.64),
        (56, 40, 28),
    ],
)
def test_a_short_answer_leaves_in_time_for_its_way(
    target_ms: float, way_ms: float, cut_ms: float
) -> None:
    cut_s = gather.compute_cut_s(target_ms / 1000, way_ms / 1000)
    assert cut_s * 1000 == pytest.approx(cut_ms)
