"""What only the real links can show."""

from __future__ import annotations

import asyncio
import socket

import pytest

from azureramp import (
    messages,
    metrics,
    resources,
    timelines,
)
from azureramp.ports.peers import authentication, nng
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
"""With which a Pull socket begins a connection."""


@pytest.mark.parametrize(
    "spoil",
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
def test_an_altered_frame_is_not_authentic(spoil: object) -> None:
    signer = authentication.Authenticator("key")
    frame = signer.sign(1234, b"payload")
    assert signer.check(frame) == (1234, b"payload")
    assert callable(spoil)

    assert signer.check(spoil(frame)) is None


def test_a_peer_with_another_key_is_not_heard() -> None:
    """Somebody who does not know the key sends what looks like a heartbeat.

    Were it taken, anybody could name himself an owner.
    """

    async def body() -> tuple[list[messages.Envelope], int]:
        got: list[messages.Envelope] = []
        counters = metrics.Metrics()
        ports = [f"127.0.0.1:{test_contract.find_port()}" for _ in range(3)]
        right = nng.make(
            "b", ports[0], 1, timelines.Timeline("b"), counters, "key"
        )
        await right.start(got.append)
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
        return got, counters.counts["peer.received_bytes"]

    got, received = asyncio.run(body())

    assert [envelope.sender for envelope in got] == ["key"]
    assert received > 0


def test_a_link_whose_peer_reads_nothing_drops_when_it_is_full() -> None:
    """A peer is paused, and its kernel's buffers fill up.

    Sending must neither wait nor keep more than its bound.
    """

    async def body() -> int:
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        left = nng.make(
            "a",
            f"127.0.0.1:{test_contract.find_port()}",
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

    assert asyncio.run(body()) >= 500
