"""Tests of replies that are crossed, truncated, late or not HTTP."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism
import msgspec
import pytest

from azureramp import errors
from azureramp.ports.searchers import api, http
from tests.ports.searchers import harness as harness_module

ADDRESS = "127.0.0.1:8000"
Responder = Callable[[int], bytes]
"""Returns the raw response to the nth request; empty closes the connection."""


def encode_reply(**fields: Any) -> bytes:
    """Encodes the reply to the harness's call with changed fields."""
    values: dict[str, Any] = {
        "call_id": "r1/1",
        "version": 1,
        "low": 0,
        "high": 1200,
        "items": msgspec.Raw(b'[{"key":7}]'),
    }
    return msgspec.json.encode(api.Reply(**(values | fields)))


def encode_response(body: bytes, extra: bytes = b"", length: int = -1) -> bytes:
    """Encodes a response with a body."""
    length = len(body) if length < 0 else length
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n".encode()
    return head + extra + b"\r\n" + body


def run(
    respond: Responder,
    scenario: Callable[[Any], Coroutine[Any, Any, None]],
) -> None:
    """Runs a scenario against a searcher that sends arbitrary bytes."""
    count = [0]

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length: ")[2]
                await reader.readexactly(int(length.split(b"\r\n")[0]))
                data = respond(count[0])
                count[0] += 1
                if not data:
                    break
                writer.write(data)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def run_scenario() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 8000)
        port = http.make()
        await scenario(port)
        await port.close()
        assert port.count_connections(ADDRESS).open_count == 0
        server.close()
        await asyncio.sleep(1)

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(run_scenario())


def call(port: Any, call_id: str = "r1/1") -> Any:
    """Makes the harness's call with a deadline of one second."""
    made = harness_module.make_call(
        ADDRESS, call_id=call_id, deadline_ms=1000.0
    )
    return port.call(made, lambda: True)


MISMATCHES = [
    ({"call_id": "r2/1"}, "another call"),
    ({"version": 2}, "another version"),
    ({"low": 1}, "a shorter range"),
    ({"high": 1201}, "a longer range"),
]


@pytest.mark.parametrize(
    "fields",
    [case[0] for case in MISMATCHES],
    ids=[case[1] for case in MISMATCHES],
)
def test_reply_to_something_else_is_rejected(
    fields: dict[str, Any],
) -> None:
    """A searcher confuses the replies to two calls.

    Accepting such a reply would expose one caller's data to another, or state
    a coverage that the answer doesn't have. The connection is closed as well,
    since all later replies on it would be off by one.
    """

    async def scenario(port: Any) -> None:
        result = await call(port)

        assert result.error.failure.kind is errors.Kind.CROSSED_REPLY
        assert result.error.sent
        assert port.count_connections(ADDRESS).open_count == 0

    run(lambda number: encode_response(encode_reply(**fields)), scenario)


CORRUPT_RESPONSES = {
    "half a body": encode_response(encode_reply()[:40], length=90),
    "half the JSON": encode_response(encode_reply()[:40]),
    "no JSON": encode_response(b"<html>"),
    "no UTF-8": encode_response(b'{"call_id":"\xff\xfe"}'),
    "other fields": encode_response(b'{"ok":true}'),
    "a list": encode_response(b"[]"),
    "no HTTP": b"220 mail.example ESMTP\r\n\r\n",
    "a wrong length": encode_response(encode_reply(), length=10_000),
    "two lengths": encode_response(b"{}", b"Content-Length: 5\r\n"),
    "only a hint": b"HTTP/1.1 100 Continue\r\n\r\n",
    "other protocol": b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "nothing": b"",
    "too much": encode_response(b"a" * 4_000_001),
}


@pytest.mark.parametrize(
    "data", CORRUPT_RESPONSES.values(), ids=CORRUPT_RESPONSES.keys()
)
def test_corrupt_reply_closes_its_connection(data: bytes) -> None:
    async def scenario(port: Any) -> None:
        result = await call(port)

        assert result.error.sent
        assert result.error.failure.kind in {
            errors.Kind.CROSSED_REPLY,
            errors.Kind.CONNECTION_LOST,
            errors.Kind.DEADLINE_PASSED,
        }
        assert port.count_connections(ADDRESS).open_count == 0

    run(lambda number: data, scenario)


def test_bytes_past_a_reply_do_not_reach_the_next_call() -> None:
    """A proxy sends a reply twice; the copy must not answer the next call."""

    async def scenario(port: Any) -> None:
        first = await call(port)
        second = await call(port, "r2/1")

        assert first.is_ok()
        assert second.ok.call_id == "r2/1"

    replies = [
        encode_response(encode_reply()) * 2,
        encode_response(encode_reply(call_id="r2/1")),
    ]
    run(lambda number: replies[number], scenario)


def test_reply_after_the_deadline_of_its_call_is_dropped() -> None:
    async def scenario() -> None:
        harness = harness_module.HttpHarness(ADDRESS)
        await harness.start()
        harness.fail("delay_ms", 300.0)
        late = await harness.port.call(
            harness_module.make_call(ADDRESS, deadline_ms=100.0), lambda: True
        )
        harness.fail("delay_ms", 0.0)
        next_call = await harness.port.call(
            harness_module.make_call(ADDRESS, call_id="r2/1"), lambda: True
        )
        await harness.port.close()
        await harness.stop()

        assert late.error.failure.kind is errors.Kind.DEADLINE_PASSED
        assert next_call.ok.call_id == "r2/1"

    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(scenario())


def test_invalid_retry_after_is_ignored_and_a_long_one_capped() -> None:
    async def scenario(port: Any) -> None:
        retry_after_ms = [
            (await call(port)).error.failure.retry_after_ms for _ in range(4)
        ]

        assert retry_after_ms == [None, 2000, 60_000, None]

    values = [b"soon", b"2", b"999999999999", "٣".encode()]
    run(
        lambda number: (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: "
            + values[number]
            + b"\r\n\r\n"
        ),
        scenario,
    )


@pytest.mark.parametrize("seed", range(5))
def test_random_replies_return_a_kind_and_leak_no_connection(seed: int) -> None:
    """A hundred replies with changed, deleted, repeated or truncated bytes."""
    rng = random.Random(seed)

    def respond(number: int) -> bytes:
        data = bytearray(encode_response(encode_reply()))
        for _ in range(rng.randrange(4)):
            at = rng.randrange(len(data))
            match rng.randrange(4):
                case 0:
                    data[at] = rng.randrange(256)
                case 1:
                    del data[at : at + rng.randrange(1, 20)]
                case 2:
                    data[at:at] = data[at : at + rng.randrange(1, 20)]
                case _:
                    del data[at:]
        return bytes(data)

    async def scenario(port: Any) -> None:
        port.set_limit(ADDRESS, 5)
        for _ in range(100):
            result = await call(port)
            if result.is_ok():
                assert result.ok.call_id == "r1/1"
                assert result.ok.high == 1200
            else:
                assert isinstance(result.error.failure.kind, errors.Kind)
            assert port.count_connections(ADDRESS).open_count <= 1

    run(respond, scenario)
