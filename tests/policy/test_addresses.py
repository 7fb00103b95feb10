"""The order in which callers use the entry VMs."""

from __future__ import annotations

import collections
import random

import pytest

from azureramp.policy import addresses

VMS = tuple(f"vm{number}" for number in range(8))


def draw_weights(seed: int) -> dict[str, float]:
    """Draws the weights of 1,000 callers from a heavy-tailed distribution."""
    rng = random.Random(seed)
    return {
        f"caller-{seed}-{number}": min(50.0, rng.paretovariate(1.2))
        for number in range(1000)
    }


def measure_loads(
    weights: dict[str, float], vms: tuple[str, ...]
) -> collections.Counter[str]:
    orders = addresses.OrderCache()
    loads: collections.Counter[str] = collections.Counter()
    for caller, weight in weights.items():
        loads[orders.get(caller, weights, vms)[0]] += weight  # type: ignore[assignment]
    return loads


@pytest.mark.parametrize("seed", range(10))
def test_load_deviates_at_most_a_tenth_from_the_even_share(seed: int) -> None:
    weights = draw_weights(seed)
    even = sum(weights.values()) / len(VMS)

    loads = measure_loads(weights, VMS)

    assert set(loads) == set(VMS)
    assert all(abs(load - even) <= 0.1 * even for load in loads.values())


@pytest.mark.parametrize("seed", range(10))
def test_few_callers_move_when_one_vm_is_removed(seed: int) -> None:
    weights = draw_weights(seed)
    before = addresses.assign_callers(weights, VMS)
    after = addresses.assign_callers(weights, VMS[:-1])

    moved = sum(
        weights[name] for name in weights if before[name] != after[name]
    )

    assert moved <= 0.2 * sum(weights.values())


def test_the_order_does_not_depend_on_the_order_of_the_weights() -> None:
    weights = draw_weights(0)
    shuffled = dict(sorted(weights.items(), reverse=True))

    for caller in list(weights)[:20]:
        ordered = addresses.order_vms(caller, weights, VMS)
        reordered = addresses.order_vms(caller, shuffled, VMS)
        assert ordered == reordered
        assert set(ordered) == set(VMS)


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
def test_only_a_ready_live_vm_that_is_not_leaving_is_eligible(
    change: dict[str, object], eligible: bool
) -> None:
    values: dict[str, object] = {
        "name": "vm",
        "zone": "in",
        "ready": True,
        "live": True,
        "leaving": False,
    }
    entry = addresses.EntryVm(**(values | change))  # type: ignore[arg-type]

    assert bool(addresses.choose_eligible([entry], {"out"})) is eligible


def test_an_unknown_caller_and_an_empty_vm_list_are_accepted() -> None:
    assert set(addresses.order_vms("new", {"old": 1.0}, VMS)) == set(VMS)
    assert addresses.order_vms("old", {"old": 1.0}, ()) == ()
