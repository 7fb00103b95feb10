"""Hedge delays of late sub-requests, and the budgets of extra calls."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from azureramp import resources
from azureramp.policy import budgets, hedging

SETTINGS = settings(derandomize=True, database=None, deadline=None)
URGENT = hedging.DelayKey("cover", "0", resources.Priority.URGENT)
DEFERRABLE = hedging.DelayKey("cover", "0", resources.Priority.DEFERRABLE)


@pytest.mark.parametrize("quantile", [0.5, 0.95, 0.98, 0.99])
def test_a_sketch_is_within_a_bucket_of_the_true_quantile(
    quantile: float,
) -> None:
    rng = random.Random(3)
    times = [10 * rng.lognormvariate(0, 0.5) for _ in range(500)]
    sketch = hedging.QuantileSketch(quantile)

    for time_ms in times:
        sketch.add(time_ms)

    true_ms = sorted(times)[int(quantile * len(times)) - 1]
    found_ms = sketch.get_quantile_ms()
    assert found_ms is not None
    assert true_ms <= found_ms * 1.001
    assert found_ms <= true_ms * 2 ** (1 / 8) * 1.001


def test_a_sketch_discards_old_samples() -> None:
    sketch = hedging.QuantileSketch(0.95)
    for _ in range(500):
        sketch.add(1000.0)

    for _ in range(5000):
        sketch.add(10.0)

    assert sketch.get_quantile_ms() == pytest.approx(10.0, rel=0.1)


@pytest.mark.parametrize("time_ms", [0.0, -1.0, 1e-9, 1e12])
def test_a_sketch_accepts_any_duration(time_ms: float) -> None:
    sketch = hedging.QuantileSketch(0.95)

    for _ in range(50):
        sketch.add(time_ms)

    assert sketch.get_quantile_ms() is not None


def test_deferrable_sub_requests_do_not_affect_urgent_hedge_delays() -> None:
    delays = hedging.HedgeDelays()

    for _ in range(50):
        delays.add(URGENT, 10.0)
        delays.add(DEFERRABLE, 900.0)

    assert delays.get_delay_ms(URGENT, 500.0) < 12.0
    assert delays.get_delay_ms(DEFERRABLE, 500.0) > 800.0


def test_a_shard_without_samples_uses_the_delay_of_its_index() -> None:
    delays = hedging.HedgeDelays()
    new = hedging.DelayKey("cover", "new", resources.Priority.URGENT)
    unknown_ms = delays.get_delay_ms(new, 400.0)

    for _ in range(50):
        delays.add(URGENT, 10.0)

    assert unknown_ms == 100.0
    assert delays.get_delay_ms(new, 400.0) < 12.0


def test_the_table_of_delays_is_bounded() -> None:
    delays = hedging.HedgeDelays()

    for number in range(delays.MAX_PLACES + 100):
        shard = f"{number}"
        place = hedging.DelayKey("cover", shard, resources.Priority.URGENT)
        delays.add(place, 10.0)

    assert len(delays._by_place) == delays.MAX_PLACES


@pytest.mark.parametrize(
    ("elapsed_ms", "step"),
    [
        (0.0, hedging.Action.WAIT),
        (9.9, hedging.Action.WAIT),
        (10.0, hedging.Action.HEDGE),
        (29.9, hedging.Action.HEDGE),
        (30.0, hedging.Action.RETRY),
    ],
)
def test_a_late_part_is_hedged_and_a_very_late_one_retried(
    elapsed_ms: float, step: hedging.Action
) -> None:
    assert hedging.decide(elapsed_ms, 10.0) is step


@SETTINGS
@given(
    st.lists(st.tuples(st.integers(0, 400), st.integers(0, 50)), max_size=60),
    st.floats(0, 1),
)
def test_a_budget_is_never_overspent(
    steps: list[tuple[int, int]], share: float
) -> None:
    budget = budgets.Budget()
    needed = 0

    for earned, wanted in steps:
        needed += earned
        budget.earn(earned, share)
        before = budget.spent
        for _ in range(wanted):
            budget.spend()
        assert budget.spent <= needed * share * (1 + 1e-9) + 1e-9
        assert budget.spent - before <= budgets.MAX_TOKENS


def test_a_share_of_zero_discards_saved_tokens() -> None:
    budget = budgets.Budget(budgets.MAX_TOKENS)

    budget.earn(1000, 0.0)

    assert not budget.spend()
