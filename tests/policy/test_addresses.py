"""In which order callers use the entry VMs."""

from __future__ import annotations

import collections
import random

import pytest

from azureramp.policy import addresses

VMS = tuple(f"vm{number}" for number in range(8))


def draw_weights(seed: int) -> dict[str, float]:
    """Draws 1,000 callers, a few of them far heavier than the rest."""
    rng = random.Random(seed)
    return {
        f"caller-{seed}-{number}": min(50.0, rng.paretovariate(1.2))
        for number in range(1000)
    }


def measure_loads(
    weights: dict[str, float], vms: tuple[str, ...]
) -> collections.Counter[str]:
    orders = addresses.Orders()
    loads: collections.Counter[str] = collections.Counter()
    for caller, weight in weights.items():
        loads[orders.get(caller, weights, vms)[0]] += weight  # type: ignore[assignment]
    return loads


@pytest.mark.parametrize("seed", range(10))
def test_unequal_callers_spread_within_a_tenth_of_even(seed: int) -> None:
    weights = draw_weights(seed)
    even = sum(weights.values()) / len(VMS)

    loads = measure_loads(weights, VMS)

    assert set(loads) == set(VMS)
    assert all(abs(load - even) <= 0.1 * even for load in loads.values())


@pytest.mark.parametrize("seed", range(10))
def test_few_callers_move_when_one_vm_goes(seed: int) -> None:
    weights = draw_weights(seed)
    before = addresses.assign_callers(weights, VMS)
    after = addresses.assign_callers(weights, VMS[:-1])

    moved = sum(
        weights[name] for name in weights if before[name] != after[name]
    )

    assert moved <= 0.2 * sum(weights.values())


def test_the_order_is_the_same_wherever_it_is_computed() -> None:
    weights = draw_weights(0)
    shuffled = dict(sorted(weights.items(), reverse=True))

    for caller in list(weights)[:20]:
        here = addresses.order_vms(caller, weights, VMS)
        there = addresses.order_vms(caller, shuffled, VMS)
        assert here == there
        assert set(here) == set(VMS)


@pytest.mark.parametrize(
    ("change", "eligible"),
    [
        ({}, True),
        ({"ready": False}, False),
        ({"live": False}, False),
        ({"leaving": True}, False),
        ({"zone": "out"}, False),
    ],
)
def test_only_a_vm_that_serves_and_stays_is_named(
    change: dict[str, object], eligible: bool
) -> None:
    values: dict[str, object] = {
        "name": "vm",
        "zone": "in",
        "ready": True,
        "live": True,
        "leaving": False,
    }
    entry = addresses.Entry(**(values | change))  # type: ignore[arg-type]

    assert bool(addresses.choose_eligible([entry], {"out"})) is eligible


def test_an_unknown_caller_and_no_vm_are_answered_too() -> None:
    assert set(addresses.order_vms("new", {"old": 1.0}, VMS)) == set(VMS)
    assert addresses.order_vms("old", {"old": 1.0}, ()) == ()
