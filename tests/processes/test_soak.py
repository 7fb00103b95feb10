"""Tests of short soak runs: daemon processes under injected faults."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from azureramp_standins.soak import checks, plan, program

SECONDS = 6.0
VMS = 3


def test_seed_determines_planned_faults() -> None:
    first = plan.draw_faults(7, 20.0, 4, 22)
    assert first == plan.draw_faults(7, 20.0, 4, 22)
    assert first != plan.draw_faults(8, 20.0, 4, 22)
    assert {
        type(each.fault) for seed in range(20) for each in _draw_plan(seed)
    } == {
        plan.DaemonSignal,
        plan.LinkFault,
        plan.StoreFault,
        plan.SearcherFault,
        plan.OperatorAction,
    }


def test_accounts_change_no_plan_of_seeds_without_them() -> None:
    """Guards against recorded seeds that no longer bring their faults about."""
    assert not any(plan.has_accounts(seed) for seed in range(1000))
    seeds = [seed for seed in range(1000, 1040) if plan.has_accounts(seed)]
    assert 10 < len(seeds) < 30
    assert plan.draw_account_faults(seeds[0], 20.0, 4, 0) == ()
    planned = [plan.draw_account_faults(seed, 20.0, 4, 3) for seed in seeds]
    assert planned[0] == plan.draw_account_faults(seeds[0], 20.0, 4, 3)
    assert {each.fault.how for faults in planned for each in faults} == {
        *plan.ACCOUNT_ACTIONS,
        *plan.LINK_FAULTS,
    }


def test_departures_change_no_plan_of_seeds_without_them() -> None:
    """Guards against recorded seeds that no longer bring their faults about."""
    assert all(plan.has_other_faults(seed) for seed in range(2000))
    assert not any(plan.draw_departures(n, 20.0, 10) for n in range(2000))
    first = plan.draw_departures(2000, 20.0, 10)
    assert first == plan.draw_departures(2000, 20.0, 10)
    faults = [
        each.fault
        for seed in range(2000, 2010)
        for each in plan.draw_departures(seed, 20.0, 10)
    ]
    assert {type(each) for each in faults} == {
        plan.RelayFault,
        plan.SearcherFault,
        plan.StoreFault,
    }
    assert {each.how for each in faults} == {
        *plan.RELAY_FAULTS,
        "leave",
        "drain",
        "refuse",
    }


def test_bursts_change_no_plan_of_seeds_without_them() -> None:
    """Guards against recorded seeds that no longer bring their faults about."""
    assert not any(plan.draw_bursts(n, 20.0, 4) for n in range(3000))
    first = plan.draw_bursts(3000, 20.0, 4)
    assert first == plan.draw_bursts(3000, 20.0, 4)
    assert plan.draw_departures(3000, 20.0, 10) == ()
    faults = [
        each.fault
        for seed in range(3000, 3010)
        for each in plan.draw_bursts(seed, 20.0, 4)
    ]
    assert {type(each) for each in faults} == {
        plan.ConfigurationBurst,
        plan.LinkFault,
    }


@pytest.mark.parametrize("seed", [13, 17, 1042, 2002, 3001])
def test_invariants_without_time_bounds_hold_under_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    """Daemons are killed, paused and stopped while searchers are faulty.

    Seed 13 once aborted a request on a connection that a stopping VM had
    just accepted. Seed 1042 revokes and rotates keys of client accounts, and
    cuts a VM from the others. In seed 2002 searchers leave while relays are
    lost and single calls to the store fail. In seed 3001 large configurations
    come in quick succession while VMs are cut off from the store. Invariants
    with time bounds are checked by `scripts/soak` only, since load on the test
    machine alone can violate them.
    """
    recorded = asyncio.run(program.run_seed(seed, SECONDS, VMS, tmp_path))
    assert len(recorded.requests) > 100
    assert len(recorded.fault_spans) >= 3
    assert checks.check(recorded, timed=False) == []


def _draw_plan(seed: int) -> tuple[plan.ScheduledFault, ...]:
    return plan.draw_faults(seed, 20.0, 4, 22)
