"""All VMs are replaced again and again while callers go on."""

from __future__ import annotations

import asyncio
import collections
import random

import msgspec
import pytest

from azureramp.invariants import checker, history
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection
from azureramp_standins import cluster, virtual

ROLLS = 10
"""Rolling restarts of all VMs in one run; five runs make fifty."""

CALLERS = ("desk", "ledger", "statements")
PAUSE_S = 0.3
LIFETIME_MS = 1000
SERVICE_MS = 60.0
"""Long, so that requests run at each moment of a stop."""


class Caller:
    """A caller that keeps addresses and a connection, as the page tells."""

    def __init__(self, deployment: cluster.Cluster, name: str) -> None:
        self.deployment = deployment
        self.name = name
        self.addresses: list[str] = [
            vm.entry.http_address for vm in deployment.vms.values()
        ]
        self.until_s = 0.0
        self.connection: web_connection.Connection | None = None
        self.ended = collections.Counter[str]()

    async def run(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(PAUSE_S * (0.5 + rng.random()))
            body = {
                "service": "claims",
                "index": "claims",
                "query": {"text": "Dundee"},
                "deadline_ms": 1000,
            }
            await self.ask("POST", "/v1/query", msgspec.json.encode(body))

    async def ask(self, method: str, path: str, body: bytes) -> None:
        """Asks one VM after another until one takes the request."""
        if asyncio.get_running_loop().time() >= self.until_s:
            await self.refresh()
        for address in list(self.addresses):
            response = await self.exchange(address, method, path, body)
            if response is None:
                continue
            answer = msgspec.json.decode(response.body)
            if response.status == 200:
                complete = answer["complete"]
                self.ended["complete" if complete else "short"] += 1
                return
            self.ended[answer["code"]] += 1
            if answer["retry"] != "other_address":
                return
        self.ended["no_vm"] += 1

    async def refresh(self) -> None:
        """Asks for addresses, of any VM that answers."""
        for address in list(self.addresses):
            response = await self.exchange(address, "GET", "/v1/addresses", b"")
            if response is not None and response.status == 200:
                answer = msgspec.json.decode(response.body)
                self.addresses = answer["addresses"] or self.addresses
                now_s = asyncio.get_running_loop().time()
                self.until_s = now_s + answer["lifetime_ms"] / 1000
                return

    async def exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> web_api.Response | None:
        """Makes one exchange; None if the VM can't be reached at all."""
        kept = self.connection
        if kept is None or kept.address != address or not kept.is_reusable():
            self.close()
            opened = await web_connection.connect(address, 1.0)
            if opened.is_error():
                self.ended["refused"] += 1
                return None
            kept = self.connection = opened.ok
        headers = [("Authorization", f"Bearer {self.name}")]
        try:
            return await kept.exchange(method, path, headers, body)
        except web_connection.UnsentError:
            return None
        except web_connection.BrokenError:
            self.ended["cut"] += 1
            return None

    def close(self) -> None:
        """Closes the connection that is kept."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None


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
    callers = [Caller(deployment, name) for name in CALLERS]
    rng = random.Random(seed)
    tasks = [asyncio.create_task(caller.run(rng)) for caller in callers]
    for _ in range(ROLLS):
        for name in deployment.vms:
            await replace(deployment, name)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for caller in callers:
        caller.close()
    await asyncio.sleep(0.1)
    ended = sum((c.ended for c in callers), collections.Counter[str]())
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
