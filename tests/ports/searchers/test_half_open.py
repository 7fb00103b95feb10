"""Tests of the handling of half-open connections while new ones work."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from azureramp import errors
from azureramp.ports.searchers import memory
from tests.ports import addresses
from tests.ports.searchers import harness as harness_module


class Proxy:
    """A TCP proxy that can drop its state for the connections through it.

    Attributes:
        address: `IP:port` that it listens on.
        accepted: Number of accepted connections.
    """

    def __init__(self, address: str, target: str) -> None:
        """Makes a proxy in front of a server."""
        self.address = address
        self.accepted = 0
        self._target = target
        self._open: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def make_half_open(self) -> None:
        """Stops forwarding on the connections that are open now."""
        for enabled in self._open:
            enabled.clear()

    async def stop(self) -> None:
        """Closes the server and all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connects a client connection to a new connection to the server."""
        self.accepted += 1
        enabled = asyncio.Event()
        enabled.set()
        self._open.append(enabled)
        host, _, port = self._target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(
            host, int(port)
        )
        for source, target in (
            (reader, server_writer),
            (server_reader, writer),
        ):
            task = asyncio.ensure_future(_forward(source, target, enabled))
            self._tasks.add(task)


async def _forward(
    source: asyncio.StreamReader,
    target: asyncio.StreamWriter,
    enabled: asyncio.Event,
) -> None:
    """Forwards bytes while the connection is enabled."""
    try:
        while data := await source.read(65536):
            await enabled.wait()
            target.write(data)
        await enabled.wait()
    finally:
        target.close()


class ProxiedHarness:
    """The HTTP port through a proxy over real sockets."""

    def __init__(self, address: str, proxy_address: str) -> None:
        """Makes a searcher behind a proxy, neither of which is started."""
        self._inner = harness_module.HttpHarness(address)
        self._proxy = Proxy(proxy_address, address)
        self.address = self._proxy.address
        self.port = self._inner.port

    async def start(self) -> None:
        """Starts both."""
        await self._inner.start()
        await self._proxy.start()

    async def stop(self) -> None:
        """Stops both."""
        await self.port.close()
        await self._proxy.stop()
        await self._inner.stop()

    def make_half_open(self) -> None:
        """Makes all open connections half-open."""
        self._proxy.make_half_open()

    def count_connects(self) -> int:
        """Returns the number of connections opened so far."""
        return self._proxy.accepted


class MemoryHarness:
    """The in-memory port."""

    def __init__(self) -> None:
        """Makes a searcher."""
        self.address = "s1:1"
        self._searcher = memory.Searcher(
            self.address,
            versions=(harness_module.VERSION,),
            service_time_sigma=0,
        )
        self._fleet = memory.Fleet([self._searcher])
        self.port = memory.make(self._fleet)

    async def start(self) -> None:
        """Does nothing, since the searcher needs no start."""

    async def stop(self) -> None:
        """Closes the port."""
        await self.port.close()

    def make_half_open(self) -> None:
        """Makes all open connections half-open."""
        self._searcher.make_half_open()

    def count_connects(self) -> int:
        """Returns the number of connections opened so far."""
        return self._fleet.connection_counts[self.address]


def run(kind: str, scenario: Any) -> None:
    """Runs a scenario through the proxy or in memory."""

    async def run_scenario(harness: Any) -> None:
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    async def run_proxied() -> None:
        with addresses.reserve() as first, addresses.reserve() as second:
            await run_scenario(ProxiedHarness(first, second))

    async def run_in_memory() -> None:
        await run_scenario(MemoryHarness())

    if kind == "proxy":
        asyncio.run(run_proxied())
    else:
        harness_module.run_virtual(run_in_memory())


def call(harness: Any, number: int, **fields: Any) -> Any:
    """Makes a call whose reply becomes overdue after 60 ms."""
    made = harness_module.make_call(
        harness.address,
        call_id=f"r{number}/1",
        suspect_after_ms=60.0,
        abort_after_ms=240.0,
        deadline_ms=20_000.0,
        **fields,
    )
    return harness.port.call(made, lambda: True)


KINDS = ("memory", "proxy")


@pytest.mark.parametrize("kind", KINDS)
def test_overdue_reply_closes_all_older_idle_connections(
    kind: str,
) -> None:
    """Three idle connections to a searcher become half-open; new ones work.

    The next call gets no reply. Its deadline is 20 s away, but since a new
    connection works, the call is aborted long before. The other two half-open
    connections are never used, so all following calls succeed.
    """

    async def scenario(harness: Any) -> None:
        harness.port.set_limit(harness.address, 10)
        first_calls = await asyncio.gather(
            *(call(harness, n) for n in range(3))
        )
        connects = harness.count_connects()
        harness.make_half_open()
        interrupted = await call(harness, 3)
        later_calls = [await call(harness, n) for n in range(4, 10)]

        assert all(result.is_ok() for result in first_calls)
        assert connects == 3
        assert interrupted.error.failure.kind is errors.Kind.CONNECTION_LOST
        assert interrupted.error.sent
        assert all(result.is_ok() for result in later_calls)

    run(kind, scenario)


def test_reply_is_not_overdue_because_the_process_was_paused() -> None:
    """Guards against closing sound connections after a pause."""

    async def scenario(harness: Any) -> None:
        asyncio.get_running_loop().call_later(0.002, time.sleep, 0.1)
        result = await call(harness, 1)
        await asyncio.sleep(0.05)

        assert result.is_ok()
        assert harness.count_connects() == 1

    run("proxy", scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_health_read_succeeds_if_its_idle_connection_is_half_open(
    kind: str,
) -> None:
    async def scenario(harness: Any) -> None:
        first = await harness.port.read_health(harness.address)
        harness.make_half_open()
        second = await harness.port.read_health(harness.address)

        assert first.is_ok()
        assert second.is_ok()
        assert harness.count_connects() == 2

    run(kind, scenario)


def test_call_with_side_effects_is_never_aborted_before_its_deadline() -> None:
    """A grant may have run although its reply is overdue, so it must wait."""

    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        harness.make_half_open()
        made = harness_module.make_call(
            harness.address,
            suspect_after_ms=60.0,
            abort_after_ms=240.0,
            deadline_ms=3000.0,
            idempotent=False,
        )
        started_s = asyncio.get_running_loop().time()
        result = await harness.port.call(made, lambda: True)
        duration_s = asyncio.get_running_loop().time() - started_s

        assert result.error.failure.kind is errors.Kind.DEADLINE_PASSED
        assert result.error.sent
        assert duration_s == pytest.approx(3.0)

    run("memory", scenario)


def test_slow_call_is_not_treated_as_a_half_open_connection() -> None:
    """A straggler takes twelve times the usual time and must not be aborted."""

    async def scenario(harness: Any) -> None:
        harness._searcher.service_ms = 180.0
        result = await call(harness, 1)

        assert result.is_ok()

    run("memory", scenario)


def test_wrong_health_report_only_delays_the_abort() -> None:
    """The searcher reports running calls although the connection is dead.

    The report then gives no reason to abort the call, so it is aborted after
    `abort_after_ms`.
    """

    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        harness.make_half_open()
        harness._searcher.running = 5
        result = await call(harness, 2)

        assert result.error.failure.kind is errors.Kind.CONNECTION_LOST

    run("memory", scenario)


def test_connection_idle_for_several_seconds_is_not_reused() -> None:
    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        await asyncio.sleep(3)
        await call(harness, 2)
        connects_before = harness.count_connects()
        await asyncio.sleep(5)
        await call(harness, 3)

        assert (connects_before, harness.count_connects()) == (1, 2)

    run("memory", scenario)
