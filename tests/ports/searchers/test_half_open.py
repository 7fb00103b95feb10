"""Connections that went silent for good, while new ones work."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from azureramp import errors
from azureramp.ports.searchers import memory
from tests.ports.searchers import harness as harness_module


class Proxy:
    """A real proxy that can lose track of the connections through it.

    Attributes:
        address: `IP:port` that it listens on.
        accepted: How many connections it has accepted.
    """

    def __init__(self, target: str) -> None:
        """Makes a proxy before a server."""
        self.address = harness_module.find_free_address()
        self.accepted = 0
        self._target = target
        self._open: list[asyncio.Event] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))

    def lose_track(self) -> None:
        """Passes no byte on any more on the connections open now."""
        for forwards in self._open:
            forwards.clear()

    async def stop(self) -> None:
        """Closes everything."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Joins a client's connection to one to the server."""
        self.accepted += 1
        forwards = asyncio.Event()
        forwards.set()
        self._open.append(forwards)
        host, _, port = self._target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        for source, target in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(_forward(source, target, forwards))
            self._tasks.add(task)


async def _forward(
    source: asyncio.StreamReader,
    target: asyncio.StreamWriter,
    forwards: asyncio.Event,
) -> None:
    """Passes bytes on while the proxy forwards them."""
    try:
        while data := await source.read(65536):
            await forwards.wait()
            target.write(data)
        await forwards.wait()
    finally:
        target.close()


class ProxiedHarness:
    """The HTTP port through a proxy on real sockets."""

    def __init__(self) -> None:
        """Makes a searcher behind a proxy, neither of them started."""
        self._inner = harness_module.HttpHarness(
            harness_module.find_free_address()
        )
        self._proxy = Proxy(self._inner.address)
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

    def lose_track(self) -> None:
        """Makes all connections open now silent."""
        self._proxy.lose_track()

    def count_connects(self) -> int:
        """Counts the connections ever opened."""
        return self._proxy.accepted


class MemoryHarness:
    """The in-memory port."""

    def __init__(self) -> None:
        """Makes a searcher."""
        self.address = "s1:1"
        self._searcher = memory.Searcher(
            self.address, versions=(harness_module.VERSION,), spread=0
        )
        self._fleet = memory.Fleet([self._searcher])
        self.port = memory.make(self._fleet)

    async def start(self) -> None:
        """Does nothing: the searcher is there."""

    async def stop(self) -> None:
        """Closes the port."""
        await self.port.close()

    def lose_track(self) -> None:
        """Makes all connections open now silent."""
        self._searcher.silence()

    def count_connects(self) -> int:
        """Counts the connections ever opened."""
        return self._fleet.connects[self.address]


def run(kind: str, scenario: Any) -> None:
    """Runs a scenario against the proxy or in memory."""

    async def whole() -> None:
        harness: Any = ProxiedHarness() if kind == "proxy" else MemoryHarness()
        await harness.start()
        try:
            await scenario(harness)
        finally:
            await harness.stop()

    if kind == "proxy":
        asyncio.run(whole())
    else:
        harness_module.run_virtual(whole())


def call(harness: Any, number: int, **fields: Any) -> Any:
    """Makes a call whose reply is overdue after 60 ms."""
    made = harness_module.make_call(
        harness.address,
        call_id=f"r{number}/1",
        overdue_ms=60.0,
        give_up_ms=240.0,
        deadline_ms=20_000.0,
        **fields,
    )
    return harness.port.call(made, lambda: True)


KINDS = ("memory", "proxy")


@pytest.mark.parametrize("kind", KINDS)
def test_an_overdue_reply_retires_all_older_idle_connections(
    kind: str,
) -> None:
    """Three idle connections to a searcher go silent; new ones work.

    The first call after that gets no reply. Its deadline is 20 s away, but
    as a fresh connection works the call is given up long before, and the
    other two silent connections are never used: the next calls all work.
    """

    async def scenario(harness: Any) -> None:
        harness.port.set_limit(harness.address, 10)
        before = await asyncio.gather(*(call(harness, n) for n in range(3)))
        connects = harness.count_connects()
        harness.lose_track()
        silent = await call(harness, 3)
        after = [await call(harness, n) for n in range(4, 10)]

        assert all(result.is_ok() for result in before)
        assert connects == 3
        assert silent.error.failure.kind is errors.Kind.CONNECTION_LOST
        assert silent.error.sent
        assert all(result.is_ok() for result in after)

    run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_a_health_read_survives_its_open_connection_going_silent(
    kind: str,
) -> None:
    async def scenario(harness: Any) -> None:
        first = await harness.port.read_health(harness.address)
        harness.lose_track()
        second = await harness.port.read_health(harness.address)

        assert first.is_ok()
        assert second.is_ok()
        assert harness.count_connects() == 2

    run(kind, scenario)


def test_a_call_with_effects_is_never_given_up_for_its_connection() -> None:
    """A grant's reply is overdue: it may have run, so only waiting helps."""

    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        harness.lose_track()
        made = harness_module.make_call(
            harness.address,
            overdue_ms=60.0,
            give_up_ms=240.0,
            deadline_ms=3000.0,
            repeatable=False,
        )
        began_s = asyncio.get_running_loop().time()
        result = await harness.port.call(made, lambda: True)
        took_s = asyncio.get_running_loop().time() - began_s

        assert result.error.failure.kind is errors.Kind.DEADLINE_PASSED
        assert result.error.sent
        assert took_s == pytest.approx(3.0)

    run("memory", scenario)


def test_a_slow_call_is_not_taken_for_a_silent_connection() -> None:
    """A straggler takes twelve times the usual time and must not be cut."""

    async def scenario(harness: Any) -> None:
        harness._searcher.service_ms = 180.0
        result = await call(harness, 1)

        assert result.is_ok()

    run("memory", scenario)


def test_a_misleading_report_delays_the_giving_up_but_not_for_good() -> None:
    """The searcher's report says that it runs calls; the connection is dead.

    Without the evidence of the report the call is given up by time.
    """

    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        harness.lose_track()
        harness._searcher.running = 5
        result = await call(harness, 2)

        assert result.error.failure.kind is errors.Kind.CONNECTION_LOST

    run("memory", scenario)


def test_a_connection_idle_past_a_few_seconds_is_not_used_again() -> None:
    async def scenario(harness: Any) -> None:
        await call(harness, 1)
        await asyncio.sleep(3)
        await call(harness, 2)
        within = harness.count_connects()
        await asyncio.sleep(5)
        await call(harness, 3)

        assert (within, harness.count_connects()) == (1, 2)

    run("memory", scenario)
