"""Tests of the nng links that need real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from azureramp import (
    messages,
    metrics,
    resources,
    timelines,
)
from azureramp.ports.peers import authentication, nng
from tests.ports import addresses
from tests.ports.peers import test_contract

CANCEL = messages.Cancel(request_id="r", parts=())
LARGE = messages.QueryBatch(
    request_id="r",
    index="i",
    version=1,
    priority=resources.Priority.URGENT,
    remaining_ms=1.0,
    fingerprint=1,
    body=b"x" * 100_000,
    parts=(),
)
GREETING = b"\0SP\0\0\x51\0\0"
"""The bytes with which a Pull socket opens a connection."""


@pytest.mark.parametrize(
    "alter",
    [
        pytest.param(lambda frame: frame[:-1], id="truncated"),
        pytest.param(lambda frame: frame + b"x", id="longer"),
        pytest.param(lambda frame: b"\0" + frame[1:], id="other MAC"),
        pytest.param(
            lambda frame: frame[:20] + b"\xff" + frame[21:], id="other time"
        ),
        pytest.param(lambda frame: b"", id="empty"),
    ],
)
def test_altered_frame_is_not_authentic(alter: object) -> None:
    signer = authentication.Authenticator("key")
    frame = signer.sign(1234, b"payload")
    assert signer.check(frame) == (1234, b"payload")
    assert callable(alter)

    assert signer.check(alter(frame)) is None


def test_message_with_another_key_is_dropped() -> None:
    """A sender without the key sends well-formed messages.

    If they were accepted, any process could claim to be an owner.
    """

    async def run_exchange(
        ports: list[str],
    ) -> tuple[list[messages.Envelope], int]:
        envelopes: list[messages.Envelope] = []
        counters = metrics.Metrics()
        right = nng.make(
            "b", ports[0], 1, timelines.Timeline("b"), counters, "key"
        )
        await right.start(envelopes.append)
        for number, key in ((1, "other"), (2, "key")):
            left = nng.make(
                key,
                ports[number],
                1,
                timelines.Timeline("a"),
                metrics.Metrics(),
                key,
            )
            await left.start(lambda envelope: None)
            link = test_contract.Link(left, ports[number])
            target = test_contract.Link(right, ports[0])
            before = counters.counts["peer.received_bytes"]
            await link.send(target, CANCEL)
            for _ in range(1000):
                if counters.counts["peer.received_bytes"] > before:
                    break
                await asyncio.sleep(0.01)
            await left.close()
        await right.close()
        return envelopes, counters.counts["peer.received_bytes"]

    with contextlib.ExitStack() as reserved:
        ports = [reserved.enter_context(addresses.reserve()) for _ in range(3)]
        envelopes, received = asyncio.run(run_exchange(ports))

    assert [envelope.sender for envelope in envelopes] == ["key"]
    assert received > 0


def test_link_drops_messages_when_its_queue_is_full() -> None:
    """A peer is paused and its kernel buffers fill up.

    Sending must neither block nor queue more than the bound.
    """

    async def run_exchange(own_address: str) -> int:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        left = nng.make(
            "a",
            own_address,
            1,
            timelines.Timeline("a"),
            metrics.Metrics(),
            "key",
        )
        await left.start(lambda envelope: None)
        assert not left.send(address, LARGE)
        accepted, _ = await loop.sock_accept(listener)
        await loop.sock_recv(accepted, len(GREETING))
        await loop.sock_sendall(accepted, GREETING)
        await test_contract.Link(left, "").send(
            test_contract.Link(left, address), LARGE
        )
        dropped = sum(not left.send(address, LARGE) for _ in range(1000))
        await left.close()
        accepted.close()
        listener.close()
        return dropped

    with addresses.reserve() as address:
        assert asyncio.run(run_exchange(address)) >= 500
