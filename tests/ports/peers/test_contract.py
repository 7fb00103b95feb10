"""What every implementation of the peer links must do."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import pytest

from azureramp import messages, metrics, timelines
from azureramp.ports.peers import api, memory, nng
from azureramp_standins import virtual

CANCEL = messages.Cancel(request_id="r", parts=(1, 2))
WAIT_S = 10.0


def find_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


@dataclasses.dataclass(slots=True)
class Link:
    """One VM's end, and what it has received."""

    port: api.Peers
    address: str
    received: asyncio.Queue[messages.Envelope] = dataclasses.field(
        default_factory=asyncio.Queue
    )

    async def start(self) -> None:
        await self.port.start(self.received.put_nowait)

    async def take(self) -> messages.Envelope:
        async with asyncio.timeout(WAIT_S):
            return await self.received.get()

    async def send(self, to: Link, *batch: messages.PeerMessage) -> None:
        """Sends once the link is there; until then it drops."""
        for _ in range(1000):
            if self.port.send(to.address, *batch):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("never sent")


Make = Callable[[str, str, int], Link]
"""Makes the end of a VM, given its name, its address and incarnation."""

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

    def make(vm: str, address: str, incarnation: int) -> Link:
        real = found.setdefault(address, f"127.0.0.1:{find_port()}")
        port = nng.make(
            vm,
            real,
            incarnation,
            timelines.Timeline(vm),
            metrics.Metrics(),
            "key",
        )
        return Link(port, real)

    asyncio.run(exchange(make))


@pytest.fixture(params=[run_memory, run_nng], ids=["memory", "nng"])
def run(request: pytest.FixtureRequest) -> Callable[[Exchange], None]:
    """Runs an exchange over each implementation."""
    runner: Callable[[Exchange], None] = request.param
    return runner


Pair = Callable[[Link, Link], Awaitable[None]]


def between_two(pair: Pair) -> Exchange:
    """Makes an exchange between two VMs, started and closed."""

    async def exchange(make: Make) -> None:
        left, right = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        await right.start()
        await pair(left, right)
        await left.port.close()
        await right.port.close()

    return exchange


def test_an_envelope_arrives_whole_and_names_its_sender(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL, CANCEL)
        envelope = await right.take()
        assert (envelope.sender, envelope.incarnation) == ("a", 1)
        assert envelope.messages == (CANCEL, CANCEL)

    run(between_two(pair))


def test_many_envelopes_at_once_all_arrive_in_whatever_order(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        sent = [
            messages.Cancel(request_id=str(number), parts=())
            for number in range(100)
        ]
        for message in sent:
            await left.send(right, message)
        got = {(await right.take()).messages[0] for _ in sent}
        assert got == set(sent)

    run(between_two(pair))


def test_both_directions_work_at_once(run: Callable[[Exchange], None]) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL)
        await right.send(left, CANCEL)
        assert (await right.take()).sender == "a"
        assert (await left.take()).sender == "b"

    run(between_two(pair))


def test_sending_to_nobody_neither_waits_nor_raises(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(make: Make) -> None:
        left, gone = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        for _ in range(500):
            left.port.send(gone.address, CANCEL)
        await left.port.close()

    run(exchange)


def test_a_peer_that_restarts_is_reached_again(
    run: Callable[[Exchange], None],
) -> None:
    async def exchange(make: Make) -> None:
        left, right = make("a", "a", 1), make("b", "b", 1)
        await left.start()
        await right.start()
        await left.send(right, CANCEL)
        await right.take()
        await right.port.close()
        again = make("b", "b", 2)
        await again.start()
        await keep_sending(left, again)
        await left.port.close()
        await again.port.close()

    run(exchange)


def test_a_new_link_replaces_the_old_one(
    run: Callable[[Exchange], None],
) -> None:
    async def pair(left: Link, right: Link) -> None:
        await left.send(right, CANCEL)
        await right.take()
        left.port.reconnect(right.address)
        await keep_sending(left, right)

    run(between_two(pair))


def test_an_earlier_process_of_a_vm_is_not_heard(
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
        assert (await right.take()).incarnation == 2
        await old.send(right, CANCEL)
        await new.send(right, CANCEL)
        await keep_sending(new, right)
        heard = [2]
        while not right.received.empty():
            heard.append(right.received.get_nowait().incarnation)
        assert set(heard) == {2}
        for link in (old, new, right):
            await link.port.close()

    run(exchange)


async def keep_sending(source: Link, target: Link) -> None:
    """Sends until something arrives."""
    for _ in range(1000):
        source.port.send(target.address, CANCEL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await target.received.get()
                return
    raise AssertionError("nothing arrives")
