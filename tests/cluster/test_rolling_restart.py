"""All VMs are replaced again and again while callers go on."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from azureramp.invariants import checker, history
from azureramp_standins import cluster, virtual
from tests.cluster import callers

ROLLS = 10
"""Rolling restarts of all VMs in one run; five runs make fifty."""

CALLERS = ("desk", "ledger", "statements")
QUERY = {
    "service": "claims",
    "index": "claims",
    "query": {"text": "Dundee"},
    "deadline_ms": 1000,
}
LIFETIME_MS = 1000
SERVICE_MS = 60.0
"""Long, so that requests run at each moment of a stop."""


async def replace(deployment: cluster.Cluster, name: str) -> None:
    """Stops a VM gracefully and starts it anew, as operators do."""
    assert await deployment.stop_vm(name) == 0
    await deployment.start_vm(name)
    await deployment.wait_until_ready()


async def roll(seed: int) -> tuple[collections.Counter[str], history.History]:
    deployment = cluster.make(
        seed=seed,
        service_ms=SERVICE_MS,
        address_lifetime_ms=LIFETIME_MS,
        list_lag_ms=500,
    )
    await deployment.start()
    addresses = [vm.entry.http_address for vm in deployment.vms.values()]
    made = [callers.Caller(name, list(addresses), QUERY) for name in CALLERS]
    rng = random.Random(seed)
    tasks = [asyncio.create_task(caller.run(rng)) for caller in made]
    for _ in range(ROLLS):
        for name in deployment.vms:
            await replace(deployment, name)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for caller in made:
        caller.close()
    await asyncio.sleep(0.1)
    ended = sum((c.ended for c in made), collections.Counter[str]())
    return ended, await deployment.close()


@pytest.mark.parametrize("seed", range(5))
def test_ten_rolling_restarts_cut_no_request(seed: int) -> None:
    """Operators replace all VMs, one after another, ten times over.

    A request that is cut shows as a connection that ends without an answer:
    since the VM went while it ran, or while a caller still had its address.
    """
    ended, past = virtual.run(roll(seed))

    assert ended["cut"] == 0
    assert ended["refused"] == 0
    assert ended["no_vm"] == 0
    assert ended["complete"] > 40 * ROLLS
    assert len(past.stops) == 3 * ROLLS
    assert checker.check(past) == []
