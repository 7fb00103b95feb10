"""Tests of the contract that all implementations of the peer links fulfil."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from azureramp import messages, metrics, timelines
from azureramp.ports.peers import api, memory, nng
from azureramp_standins import virtual
from tests.ports import addresses

CANCEL = messages.Cancel(request_id="r", parts=(1, 2))
WAIT_S = 10.0


@dataclasses.dataclass(slots=True)
class Link:
    """The port of one VM and the envelopes that it has received."""

    port: api.Peers
    address: str
    received: asyncio.Queue[messages.Envelope] = dataclasses.field(
        default_factory=asyncio.Queue
    )

    async def start(self) -> None:
        await self.port.start(self.received.put_nowait)

    async def receive(self) -> messages.Envelope:
        async with asyncio.timeout(WAIT_S):
            return await self.received.get()

    async def send(self, to: Link, *batch: messages.PeerMessage) -> None:
        """Retries until the link is connected and the messages are queued."""
        for _ in range(1000):
            if self.port.send(to.address, *batch):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the link did not connect in time")


Make = Callable[[str, str, int], Link]
"""Makes the link of a VM from its name, address and incarnation."""

Exchange = Callable[[Make], Coroutine[Any, Any, None]]


def run_memory(exchange: Exchange) -> None:
    network = memory.Network()

    def make(vm: str, address: str, incarnation: int) -> Link:
        timeline = timelines.Timeline(vm)
        port = memory.MemoryPeers(network, vm, address, incarnation, timeline)
        return Link(port, address)

    virtual.run(exchange(make))


def run_nng(exchange: Exchange) -> None:
    found: dict[str, str] = {}
    reserved = contextlib.ExitStack()

    def make(vm: str, address: str, incarnation: int) -> Link:
        if address not in found:
            found[address] = reserved.enter_context(addresses.reserve())
        real = found[address]
        port = nng.make(
            vm,
            real,
            incarnation,
            timelines.Timeline(vm),
            metrics.Metrics(),
            "key",
        )
        return Link(port, real)

    with reserved:
        asyncio.run(exchange(make))


@pytest.fixture(params=[run_memory, run_nng], ids=["memory", "nng"])
def run(request: pytest.FixtureRequest) -> Callable[[Exchange], None]:
    """Runs an exchange with each implementation."""
    runner: Callable[[Exchange], None] = request.param
    return runner


Pair = Callable[[Link, Link], Awaitable[None]]


def between_two(pair: Pair) -> Exchange:
    """Makes an exchange between two VMs that starts and closes them."""

    async def exchange(make: Make) -> None:
        left, right = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        await right.start()
        await pair(left, right)
        await left.port.close()
        await right.port.close()

    return exchange


def test_envelope_arrives_complete_and_names_its_sender(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL, CANCEL)
        envelope = await right.receive()
        assert (envelope.sender, envelope.incarnation) == ("a", 1)
        assert envelope.messages == (CANCEL, CANCEL)

    run(between_two(pair))


def test_many_concurrent_envelopes_all_arrive_in_any_order(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        sent = [
            messages.Cancel(request_id=str(number), parts=())
            for number in range(100)
        ]
        for message in sent:
            await left.send(right, message)
        received = {(await right.receive()).messages[0] for _ in sent}
        assert received == set(sent)

    run(between_two(pair))


def test_both_directions_work_concurrently(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL)
        await right.send(left, CANCEL)
        assert (await right.receive()).sender == "a"
        assert (await left.receive()).sender == "b"

    run(between_two(pair))


def test_sending_to_an_unused_address_neither_blocks_nor_raises(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(make: Make) -> None:
        left, unused = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        for _ in range(500):
            left.port.send(unused.address, CANCEL)
        await left.port.close()

    run(exchange)


def test_restarted_peer_is_reached_again(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(make: Make) -> None:
        left, right = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        await right.start()
        await left.send(right, CANCEL)
        await right.receive()
        await right.port.close()
        restarted = make("b", "b", 2)
        await restarted.start()
        await keep_sending(left, restarted)
        await left.port.close()
        await restarted.port.close()

    run(exchange)


def test_reconnect_replaces_the_link(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL)
        await right.receive()
        left.port.reconnect(right.address)
        await keep_sending(left, right)

    run(between_two(pair))


def test_envelope_of_an_earlier_incarnation_is_dropped(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(make: Make) -> None:
        old, new, right = (
            make("a", "o", 1),
            make("a", "n", 2),
            make("b", "b", 1),
        )
        for link in (old, new, right):
            await link.start()
        await new.send(right, CANCEL)
        assert (await right.receive()).incarnation == 2
        await old.send(right, CANCEL)
        await new.send(right, CANCEL)
        await keep_sending(new, right)
        incarnations = [2]
        while not right.received.empty():
            incarnations.append(right.received.get_nowait().incarnation)
        assert set(incarnations) == {2}
        for link in (old, new, right):
            await link.port.close()

    run(exchange)


async def keep_sending(source: Link, target: Link) -> None:
    """Sends repeatedly until an envelope is received."""
    for _ in range(1000):
        source.port.send(target.address, CANCEL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await target.received.get()
                return
    raise AssertionError("no envelope was received in time")
