"""The searchers port over HTTP, against the searcher stand-in."""

from __future__ import annotations

import asyncio
import socket

import msgspec

from azureramp import errors
from azureramp.ports.searchers import api, http
from azureramp.ports.web import server as web_server
from azureramp_standins import searcher as standin


def find_free_address() -> str:
    """Finds a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_call(address: str, **fields: object) -> api.Call:
    values: dict[str, object] = {
        "address": address,
        "call_id": "r1/1",
        "index": "arrears",
        "version": 1,
        "shard": "s",
        "low": 0,
        "high": 1200,
        "deadline_ms": 5000.0,
        "body": b'{"text":""}',
    }
    return api.Call(**(values | fields))  # type: ignore[arg-type]


def test_a_call_brings_the_documents_of_its_range() -> None:
    async def scenario() -> None:
        address = find_free_address()
        searcher = standin.Searcher(
            standin.read_documents(standin.DEFAULT_DATA),
            incarnation=1,
            versions=("arrears.1",),
            slots=2,
            service_ms=0,
            warm_after=0,
        )
        server = web_server.Server(address, searcher.handle)
        await server.start()
        port = http.make()

        done = await port.call(make_call(address), lambda: True)
        gone = await port.call(make_call(address, version=9), lambda: True)
        barred = await port.call(make_call(address), lambda: False)
        health = await port.read_health(address)
        await port.close()
        await server.stop(1)

        keys = [item["key"] for item in msgspec.json.decode(done.ok.items)]
        assert keys
        assert all(0 <= key < 1200 for key in keys)
        assert gone.error.failure.kind is errors.Kind.VERSION_GONE
        assert barred.error.failure.kind is errors.Kind.NOT_OWNER
        assert not barred.error.sent
        assert health.ok.versions == ("arrears.1",)

    asyncio.run(scenario())
