"""A harness to run tests against each implementation of the searchers port."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

import async_solipsism

from azureramp.ports.searchers import api, calls, http, memory
from azureramp.ports.web import server as web_server
from azureramp_standins import searcher as standin
from tests.ports import addresses

VERSION = "arrears.1"
SERVICE_MS = 5.0


class Harness(Protocol):
    """A searcher and a port that is connected to it.

    Attributes:
        address: The searcher's `IP:port`.
        port: The port.
    """

    address: str
    port: calls.PooledSearchers[Any]

    @property
    def connects(self) -> int:
        """The number of connections opened."""
        ...

    async def start(self) -> None:
        """Starts the searcher."""
        ...

    async def stop(self) -> None:
        """Stops the searcher process, which breaks all connections."""
        ...

    async def restart(self) -> None:
        """Starts the searcher again with a new incarnation."""
        ...

    def fail(self, fault: str, value: Any) -> None:
        """Injects a fault."""
        ...

    def count_running(self) -> int:
        """Returns the number of calls running in the searcher."""
        ...

    def count_effects(self) -> int:
        """Returns the number of calls with side effects that it ran."""
        ...


class MemoryHarness:
    """The in-memory port."""

    def __init__(self) -> None:
        """Makes a searcher that is not started."""
        self.address = "s1:1"
        self._searcher = memory.Searcher(
            self.address,
            versions=(VERSION,),
            service_ms=SERVICE_MS,
            service_time_sigma=0,
        )
        self._fleet = memory.Fleet([self._searcher])
        self.port: calls.PooledSearchers[Any] = memory.make(self._fleet)

    @property
    def connects(self) -> int:
        """The number of connections opened."""
        return self._fleet.connection_counts[self.address]

    async def start(self) -> None:
        """Starts the searcher."""
        self._searcher.faults.down = False

    async def stop(self) -> None:
        """Stops the searcher process."""
        self._searcher.faults.down = True
        for link in list(self._searcher.links):
            link.break_connection()

    async def restart(self) -> None:
        """Starts the searcher again."""
        self._searcher.restart()
        await self.start()

    def fail(self, fault: str, value: Any) -> None:
        """Injects a fault."""
        names = {"shed": "sheds", "fail": "fails", "hang": "hangs"}
        setattr(self._searcher.faults, names.get(fault, fault), value)

    def count_running(self) -> int:
        """Returns the number of calls running in the searcher."""
        return self._searcher.running

    def count_effects(self) -> int:
        """Returns the number of calls with side effects that it ran."""
        return len(self._searcher.effect_bodies)


class HttpHarness:
    """The port over HTTP with a stand-in searcher."""

    def __init__(self, address: str) -> None:
        """Makes a searcher that is not started."""
        self.address = address
        self.connects = 0
        self.port: calls.PooledSearchers[Any] = calls.PooledSearchers(
            self._connect
        )
        self._incarnation = 0
        self._make()

    async def _connect(self, address: str, timeout_s: float) -> Any:
        """Opens a connection and counts it."""
        self.connects += 1
        return await http.connect(address, timeout_s)

    def _make(self) -> None:
        """Makes the searcher's next incarnation."""
        self._incarnation += 1
        self._searcher = standin.Searcher(
            standin.read_documents(standin.DEFAULT_DATA),
            self._incarnation,
            (VERSION,),
            slots=2,
            service_ms=SERVICE_MS,
            warm_after=0,
        )
        self._server = web_server.Server(self.address, self._searcher.handle)

    async def start(self) -> None:
        """Starts the searcher."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops the searcher process."""
        await self._server.stop(0.0)

    async def restart(self) -> None:
        """Starts the searcher again."""
        self._make()
        await self.start()

    def fail(self, fault: str, value: Any) -> None:
        """Injects a fault."""
        setattr(self._searcher.faults, fault, value)

    def count_running(self) -> int:
        """Returns the number of calls running in the searcher."""
        return self._searcher.running

    def count_effects(self) -> int:
        """Returns the number of calls with side effects that it ran."""
        return len(self._searcher.effects)


def make(kind: str, loopback_address: str) -> Harness:
    """Makes the harness for one implementation."""
    match kind:
        case "memory":
            return MemoryHarness()
        case "http_in_memory":
            return HttpHarness("127.0.0.1:8000")
        case _:
            return HttpHarness(loopback_address)


async def wait_until(condition: Callable[[], object]) -> None:
    """Waits until a condition holds.

    Raises:
        AssertionError: It did not hold in time.
    """
    for _ in range(5000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not hold in time")


def run(kind: str, scenario: Callable[[Harness], Awaitable[None]]) -> None:
    """Runs a scenario against one implementation.

    Args:
        kind: `memory`, `http_in_memory` (over streams under virtual time) or
            `http_on_loopback` (over real sockets).
        scenario: Called with the harness after its searcher has started.
    """
    factory: Any = async_solipsism.EventLoop
    if kind == "http_on_loopback":
        factory = asyncio.new_event_loop

    async def run_scenario(address: str) -> None:
        harness = make(kind, address)
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.port.close()
            await harness.stop()

    with (
        addresses.reserve() as address,
        asyncio.Runner(loop_factory=factory) as runner,
    ):
        runner.run(run_scenario(address))


def run_virtual(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine under virtual time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(coroutine)


def make_call(address: str, **fields: Any) -> api.Call:
    """Makes a call to the first shard."""
    values: dict[str, Any] = {
        "address": address,
        "call_id": "r1/1",
        "index": "arrears",
        "version": 1,
        "shard": "first",
        "low": 0,
        "high": 1200,
        "deadline_ms": 5000.0,
        "body": b'{"text":""}',
    }
    return api.Call(**(values | fields))
