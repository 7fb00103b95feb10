"""Tests of repeated rolling restarts under load, in one process."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from azureramp.invariants import checker, history
from azureramp_standins import cluster, virtual
from tests.cluster import callers

RESTARTS = 10
"""Number of rolling restarts of all VMs in one run; five seeds make 50."""

CALLER_NAMES = ("desk", "ledger", "statements")
QUERY = {
    "service": "claims",
    "index": "claims",
    "query": {"text": "Dundee"},
    "deadline_ms": 1000,
}
ADDRESS_LIFETIME_MS = 1000
SERVICE_MS = 60.0
"""Service time in ms; long, so that requests run throughout each stop."""


async def restart(deployment: cluster.Cluster, name: str) -> None:
    """Stops a VM gracefully, starts it again and waits until it is ready."""
    assert await deployment.stop_vm(name) == 0
    await deployment.start_vm(name)
    await deployment.wait_until_ready()


async def run_restarts(
    seed: int,
) -> tuple[collections.Counter[str], history.History]:
    deployment = cluster.make(
        seed=seed,
        service_ms=SERVICE_MS,
        address_lifetime_ms=ADDRESS_LIFETIME_MS,
        list_lag_ms=500,
    )
    await deployment.start()
    addresses = [vm.list_entry.http_address for vm in deployment.vms.values()]
    all_callers = [
        callers.Caller(name, list(addresses), QUERY) for name in CALLER_NAMES
    ]
    rng = random.Random(seed)
    tasks = [asyncio.create_task(caller.run(rng)) for caller in all_callers]
    for _ in range(RESTARTS):
        for name in deployment.vms:
            await restart(deployment, name)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for caller in all_callers:
        caller.close()
    await asyncio.sleep(0.1)
    outcomes = sum(
        (c.outcomes for c in all_callers), collections.Counter[str]()
    )
    return outcomes, await deployment.close()


@pytest.mark.parametrize("seed", range(5))
def test_ten_rolling_restarts_abort_no_request(seed: int) -> None:
    """Restarts all VMs, one after another, ten times.

    An aborted request shows as a connection that ends without an answer,
    because the VM exited while the request was running or while a caller
    still held its address.
    """
    outcomes, run_history = virtual.run(run_restarts(seed))

    assert outcomes["cut"] == 0
    assert outcomes["refused"] == 0
    assert outcomes["no_vm"] == 0
    assert outcomes["complete"] > 40 * RESTARTS
    assert len(run_history.stops) == 3 * RESTARTS
    assert checker.check(run_history) == []
