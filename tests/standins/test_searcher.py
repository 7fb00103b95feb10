"""Tests of the searcher's test double, run as a process."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from collections.abc import AsyncIterator
from typing import Any

import expression
import msgspec

from azureramp import errors
from azureramp.ports.searchers import http
from azureramp.ports.web import connection as web_connection
from azureramp_standins import searcher as searcher_double
from tests.ports import addresses
from tests.ports.searchers import harness

VERSIONS = ("--version", "arrears.1", "--version", "arrears.2")


def start_process(address: str, *flags: str) -> subprocess.Popen[bytes]:
    """Starts the searcher's process."""
    command = [sys.executable, "-m", "azureramp_standins.searcher"]
    command += ["--address", address, "--name", "s1", *VERSIONS, *flags]
    return subprocess.Popen(command)


@contextlib.asynccontextmanager
async def start(
    *flags: str,
) -> AsyncIterator[tuple[str, subprocess.Popen[bytes]]]:
    """Starts the process, waits until it accepts connections, and stops it.

    Yields:
        Its address and the process.
    """
    with addresses.reserve() as address:
        process = start_process(address, *flags)
        try:
            for _ in range(500):
                opened = await web_connection.connect(address, 1.0)
                if opened.is_ok():
                    opened.ok.abort()
                    break
                await asyncio.sleep(0.02)
            check(opened, process)
            yield address, process
        finally:
            process.terminate()
            await asyncio.to_thread(process.wait)


def check(
    result: expression.Result[Any, Any], process: subprocess.Popen[bytes]
) -> None:
    """Fails with the error's detail and the state of the process."""
    assert result.is_ok(), f"{result}, exit status {process.poll()}"


async def send_request(
    process: subprocess.Popen[bytes],
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
) -> Any:
    """Sends a request and decodes the response's JSON body."""
    opened = await web_connection.connect(address, 1.0)
    check(opened, process)
    response = await opened.ok.exchange(method, path, (), body)
    opened.ok.abort()
    return msgspec.json.decode(response.body)


def test_searcher_serves_a_range_of_a_version_and_records_effects() -> None:
    async def scenario() -> None:
        async with start("--incarnation", "4") as (address, process):
            port = http.make()
            text = b'{"text":""}'
            replies = [
                await port.call(
                    harness.make_call(address, version=version, body=text),
                    lambda: True,
                )
                for version in (1, 2)
            ]
            for reply in replies:
                check(reply, process)
            grant = harness.make_call(
                address, body=b'{"grant":"BF-1"}', idempotent=False
            )
            check(await port.call(grant, lambda: True), process)
            effects = await send_request(process, address, "GET", "/v1/effects")
            health = await port.read_health(address)
            check(health, process)
            await port.close()
            process.terminate()
            exit_code = await asyncio.to_thread(process.wait)

        items_1, items_2 = (
            msgspec.json.decode(reply.ok.items) for reply in replies
        )
        assert len(items_1) < len(items_2)
        assert all(0 <= item["key"] < 1200 for item in items_2)
        assert effects == [{"call_id": "r1/1", "query": {"grant": "BF-1"}}]
        assert health.ok.incarnation == 4
        assert exit_code == 0

    asyncio.run(scenario())


def test_searcher_crashes_on_a_configured_query() -> None:
    async def scenario() -> None:
        async with start() as (address, process):
            await send_request(
                process, address, "POST", "/v1/faults", b'{"crash":"poison"}'
            )
            port = http.make()
            result = await port.call(
                harness.make_call(address, body=b'{"text":"poison"}'),
                lambda: True,
            )
            exit_code = await asyncio.to_thread(process.wait)
            await port.close()

        assert result.error.failure.kind is errors.Kind.CONNECTION_LOST
        assert exit_code == searcher_double.CRASH_STATUS

    asyncio.run(scenario())
