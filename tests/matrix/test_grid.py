"""Tests of each fault, and of seeded pairs, at each step of the grid."""

from __future__ import annotations

import pytest

from azureramp_standins.matrix import cells, faults, main, steps

PAIRS = main.choose_pairs(count=40, seed=7)


@pytest.mark.parametrize("step", steps.STEPS)
@pytest.mark.parametrize("fault", faults.FAULTS)
def test_invariants_hold_under_each_fault(fault: str, step: str) -> None:
    result = cells.run_cell((fault,), step)

    if (fault, step) in cells.IMPOSSIBLE_CELLS:
        assert result.verdict is cells.Verdict.CANNOT_OCCUR
        return
    assert result.verdict is cells.Verdict.HELD, result.words


@pytest.mark.parametrize(("pair", "step"), PAIRS)
def test_invariants_hold_under_two_faults(
    pair: tuple[str, str], step: str
) -> None:
    result = cells.run_cell(pair, step)

    assert result.verdict is cells.Verdict.HELD, result.words
