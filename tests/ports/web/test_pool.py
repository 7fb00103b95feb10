"""Reused connections, and a box in between that forgets them."""

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
BOX = "127.0.0.1:7002"


class Box:
    """Passes connections on, until it forgets those that it has."""

    def __init__(self) -> None:
        """Makes a box that knows no connection."""
        self.connections = 0
        self._known: set[int] = set()

    async def start(self) -> asyncio.Server:
        """Begins to listen."""
        return await asyncio.start_server(self._accept, "127.0.0.1", 7002)

    def forget(self) -> None:
        """Drops all packets of the present connections, without a word."""
        self._known.clear()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        self._known.add(number)
        onward = await asyncio.open_connection("127.0.0.1", 7001)
        await asyncio.gather(
            self._pass(number, reader, onward[1]),
            self._pass(number, onward[0], writer),
        )

    async def _pass(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(65536):
            if number in self._known:
                writer.write(data)
        writer.close()


async def use_with_box(
    check: Callable[[http.HttpStore, Box], asyncio.Future[None]],
) -> None:
    standin = platform.make(SERVER)
    await standin.server.start()
    box = Box()
    listening = await box.start()
    store = http.HttpStore(BOX)
    try:
        await check(store, box)
    finally:
        await store.close()
        listening.close()
        await standin.server.stop(0.1)


@pytest.mark.parametrize("gives_up", ["pool", "caller"])
def test_forgotten_connections_cost_one_exchange(gives_up: str) -> None:
    """A middlebox forgets the connections to the platform, which stay open.

    What is written on them vanishes. The first call finds that out by its
    timeout, or its caller's shorter one; the next must not try another of
    the forgotten ones, since a claim has only a few seconds.
    """

    async def check(store: http.HttpStore, box: Box) -> None:
        await asyncio.gather(*(store.read(f"/{n}") for n in range(5)))
        assert box.connections == 5
        box.forget()

        if gives_up == "pool":
            failed = await store.write("/k", b"1", api.CREATE)
            assert failed.error.kind is errors.Kind.STORE_OUTCOME_UNKNOWN
        else:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await store.write("/k", b"1", api.CREATE)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        written = await store.write("/k", b"1", api.CREATE)

        assert isinstance(written.ok, api.Written)
        assert loop.time() - began_s < 0.1

    async def go() -> None:
        await use_with_box(
            lambda store, box: asyncio.ensure_future(check(store, box))
        )

    virtual.run(go())


def test_a_connection_that_was_idle_for_long_is_not_used_again() -> None:
    async def check(store: http.HttpStore, box: Box) -> None:
        await store.read("/k")
        await store.read("/k")
        assert box.connections == 1
        box.forget()
        await asyncio.sleep(pool.MAX_IDLE_S + 0.1)

        assert (await store.read("/k")).is_ok()
        assert box.connections == 2

    async def go() -> None:
        await use_with_box(
            lambda store, box: asyncio.ensure_future(check(store, box))
        )

    virtual.run(go())
