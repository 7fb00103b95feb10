"""Tests of time limits in a process that is paused."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import pytest

from azureramp.platform import headers
from azureramp.ports.forwarding import pool as forwarding_pool
from azureramp.ports.web import api, pool, server, time_limit
from azureramp.ports.web import connection as web_connection
from tests.ports import addresses

LIMIT_S = 0.1
PAUSE_S = 0.3


async def respond(request: api.Request) -> api.Response:
    return api.Response(200, request.path.encode())


def pause() -> None:
    """Stops the event loop for longer than the limits."""
    time.sleep(PAUSE_S)


def pause_soon() -> None:
    """Pauses in the next iteration of the event loop."""
    asyncio.get_running_loop().call_soon(pause)


def run(scenario: Any) -> None:
    """Runs a scenario with the address of a server on loopback."""

    async def run_with_server(address: str) -> None:
        served = server.Server(address, respond)
        await served.start()
        try:
            await scenario(address)
        finally:
            await served.stop(0.0)

    with addresses.reserve() as address:
        asyncio.run(run_with_server(address))


def test_connection_that_opens_during_a_pause_is_used() -> None:
    """Guards against a paused VM that takes sound servers for dead."""

    async def scenario(address: str) -> None:
        pause_soon()
        opened = await web_connection.connect(address, LIMIT_S)
        assert opened.is_ok(), opened
        opened.ok.abort()

    run(scenario)


def test_response_that_arrives_during_a_pause_is_used() -> None:
    """Guards against a paused VM that repeats what was answered."""

    async def scenario(address: str) -> None:
        client = pool.Pool(address)
        await client.exchange("GET", "/first")
        pause_soon()
        result = await client.exchange("GET", "/second", timeout_s=LIMIT_S)
        assert result.is_ok(), result
        assert result.ok.body == b"/second"
        client.close()

    run(scenario)


def test_searcher_that_accepts_a_connection_during_a_pause_is_available() -> (
    None
):
    """Guards against a paused VM that avoids all searchers when it wakes."""

    async def scenario(address: str) -> None:
        unreachable: list[bool] = []
        result: asyncio.Future[forwarding_pool.ProbeResult] = (
            asyncio.get_running_loop().create_future()
        )
        probing = forwarding_pool.Pool(
            headers.Codec(), address, 1, lambda: unreachable.append(True)
        )
        probing.probe(result.set_result)
        asyncio.get_running_loop().call_soon(
            time.sleep, forwarding_pool.PROBE_S + PAUSE_S
        )
        assert await result is forwarding_pool.ProbeResult.OPENED
        assert not unreachable
        probing.close()

    run(scenario)


def test_request_that_arrives_during_a_pause_is_answered() -> None:
    """Guards against closing an idle connection over an unread request."""

    def request(client: socket.socket, path: str, delay_s: float) -> bytes:
        time.sleep(delay_s)
        client.sendall(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        return client.recv(65536)

    async def scenario(address: str) -> None:
        limits = api.Limits(idle_timeout_s=LIMIT_S)
        served = server.Server(address, respond, limits)
        await served.start()
        with socket.create_connection(
            web_connection.split_address(address)
        ) as (client):
            await asyncio.to_thread(request, client, "/first", 0.0)
            asking = asyncio.ensure_future(
                asyncio.to_thread(request, client, "/second", 1.5 * LIMIT_S)
            )
            await asyncio.sleep(0)
            pause()
            assert (await asking).endswith(b"/second")
        await served.stop(0.0)

    with addresses.reserve() as address:
        asyncio.run(scenario(address))


@pytest.mark.parametrize("pause_s", [0.0, PAUSE_S])
def test_limit_ends_what_gets_no_response(pause_s: float) -> None:
    """Guards against a limit that never ends after a pause."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        loop.call_soon(time.sleep, pause_s)
        with pytest.raises(TimeoutError):
            async with time_limit.end_after(LIMIT_S):
                await asyncio.Event().wait()
        duration_s = loop.time() - began_s
        assert duration_s >= max(LIMIT_S, pause_s)

    asyncio.run(scenario())
