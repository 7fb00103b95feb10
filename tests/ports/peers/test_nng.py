"""What only the real links can show."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import events, messages, metrics
from azureramp.ports.peers import authentication, nng
from tests.ports.peers import test_contract

CANCEL = messages.Cancel(request_id="r", parts=())


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
            "b", ports[0], 1, events.Timeline("b"), counters, "key"
        )
        await right.start(got.append)
        for number, key in ((1, "other"), (2, "key")):
            left = nng.make(
                key,
                ports[number],
                1,
                events.Timeline("a"),
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
        address = f"127.0.0.1:{test_contract.find_port()}"
        server = await asyncio.start_server(accept, *address.split(":"))
        left = nng.make(
            "a",
            f"127.0.0.1:{test_contract.find_port()}",
            1,
            events.Timeline("a"),
            metrics.Metrics(),
            "key",
        )
        await left.start(lambda envelope: None)
        large = messages.QueryBatch(
            request_id="r",
            index="i",
            version=1,
            priority=0,  # type: ignore[arg-type]
            remaining_ms=1.0,
            fingerprint=1,
            body=b"x" * 100_000,
            parts=(),
        )
        await test_contract.Link(left, "").send(
            test_contract.Link(left, address), large
        )
        dropped = 0
        for _ in range(1000):
            dropped += not left.send(address, large)
        await left.close()
        server.close()
        return dropped

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers nng's greeting as a Pull socket, and then reads nothing."""
        await reader.readexactly(8)
        writer.write(b"\0SP\0\0\x51\0\0")
        await writer.drain()
        reader._transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0.5)
        writer.transport.abort()

    assert asyncio.run(body()) >= 500
