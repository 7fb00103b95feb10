"""Tests of the client connection pool behind a failing middlebox."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import pytest

from azureramp import errors
from azureramp.ports.store import api, http
from azureramp.ports.web import pool
from azureramp_standins import platform, virtual

SERVER = "127.0.0.1:7001"
MIDDLEBOX = "127.0.0.1:7002"


class Middlebox:
    """A proxy that forwards connections until it drops their state."""

    def __init__(self) -> None:
        """Makes a middlebox without connections."""
        self.connections = 0
        self._forwarded: set[int] = set()

    async def start(self) -> asyncio.Server:
        """Starts listening."""
        return await asyncio.start_server(self._accept, "127.0.0.1", 7002)

    def drop_state(self) -> None:
        """Silently drops all further packets of the current connections."""
        self._forwarded.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        self._forwarded.add(number)
        upstream = await asyncio.open_connection("127.0.0.1", 7001)
        await asyncio.gather(
            self._forward(number, reader, upstream[1]),
            self._forward(number, upstream[0], writer),
        )

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65536):
            if number in self._forwarded:
                writer.write(data)
        writer.close()


async def run_with_middlebox(
    check: Callable[[http.HttpStore, Middlebox], asyncio.Future[None]],
) -> None:
    standin = platform.make(SERVER)
    await standin.server.start()
    middlebox = Middlebox()
    middlebox_server = await middlebox.start()
    store = http.HttpStore(MIDDLEBOX)
    try:
        await check(store, middlebox)
    finally:
        await store.close()
        middlebox_server.close()
        await standin.server.stop(0.1)


@pytest.mark.parametrize("times_out", ["pool", "caller"])
def test_dead_connections_cost_one_exchange(times_out: str) -> None:
    """A middlebox drops its state for open connections to the platform.

    Everything written on them is lost. The first call fails by its own
    timeout or by its caller's shorter one. The next call must not use another
    of the dead connections, since a claim has only a few seconds.
    """

    async def check(store: http.HttpStore, middlebox: Middlebox) -> None:
        await asyncio.gather(*(store.read(f"/{n}") for n in range(5)))
        assert middlebox.connections == 5
        middlebox.drop_state()

        if times_out == "pool":
            failed = await store.write("/k", b"1", api.NO_REVISION)
            assert failed.error.kind is errors.Kind.STORE_OUTCOME_UNKNOWN
        else:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await store.write("/k", b"1", api.NO_REVISION)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        written = await store.write("/k", b"1", api.NO_REVISION)

        assert isinstance(written.ok, api.Written)
        assert loop.time() - started_s < 0.1

    async def run_check() -> None:
        await run_with_middlebox(
            lambda store, middlebox: asyncio.ensure_future(
                check(store, middlebox)
            )
        )

    virtual.run(run_check())


def test_connection_idle_past_the_limit_is_not_reused() -> None:
    async def check(store: http.HttpStore, middlebox: Middlebox) -> None:
        await store.read("/k")
        await store.read("/k")
        assert middlebox.connections == 1
        middlebox.drop_state()
        await asyncio.sleep(pool.MAX_IDLE_S + 0.1)

        assert (await store.read("/k")).is_ok()
        assert middlebox.connections == 2

    async def run_check() -> None:
        await run_with_middlebox(
            lambda store, middlebox: asyncio.ensure_future(
                check(store, middlebox)
            )
        )

    virtual.run(run_check())
