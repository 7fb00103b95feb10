"""What every implementation of the peer links must do."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism
import pytest

from azureramp import events, messages, metrics
from azureramp.ports.peers import api, memory, nng

Exchange = Callable[[api.Peers, api.Peers, str], Coroutine[Any, Any, None]]
CANCEL = messages.Cancel(request_id="r", parts=(1, 2))


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def run_memory(exchange: Exchange) -> None:
    network = memory.Network()
    left, right = (
        memory.MemoryPeers(network, vm, vm, 1, events.Timeline(vm))
        for vm in ("a", "b")
    )
    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(exchange(left, right, "b"))
    finally:
        loop.close()


def run_nng(exchange: Exchange) -> None:
    addresses = [f"127.0.0.1:{find_port()}" for _ in range(2)]
    left, right = (
        nng.make(vm, address, 1, events.Timeline(vm), metrics.Metrics(), "key")
        for vm, address in zip(("a", "b"), addresses, strict=True)
    )
    asyncio.run(exchange(left, right, addresses[1]))


@pytest.mark.parametrize("run", [run_memory, run_nng])
def test_an_envelope_arrives_whole_and_names_its_sender(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(left: api.Peers, right: api.Peers, target: str) -> None:
        received: asyncio.Queue[messages.Envelope] = asyncio.Queue()
        await left.start(lambda envelope: None)
        await right.start(received.put_nowait)
        for _ in range(1000):
            if left.send(target, CANCEL, CANCEL):
                break
            await asyncio.sleep(0.01)
        async with asyncio.timeout(10.0):
            envelope = await received.get()
        assert (envelope.sender, envelope.incarnation) == ("a", 1)
        assert envelope.messages == (CANCEL, CANCEL)
        await left.close()
        await right.close()

    run(exchange)
