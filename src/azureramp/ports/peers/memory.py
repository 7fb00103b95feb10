"""In-memory peer links, with the faults that real ones have.

One `Network` joins the `Peers` of all VMs in a test. Envelopes are encoded
and decoded, as on the wire.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random

import msgspec

from azureramp import messages, timelines
from azureramp.ports.peers import api, freshness


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong on the way, the same for all links.

    Attributes:
        delay_s: The least time on the way, in seconds.
        jitter_s: The most further time, drawn evenly; it reorders.
        loss: Probability that an envelope is lost.
        doubling: Probability that an envelope arrives twice.
        cut: Pairs (from, to) of addresses between which all is lost.
        half_open: Pairs (from, to) of addresses whose present link has gone
            silent; a new one works.
        frozen: Addresses whose processes are paused: what they should get
            waits.
    """

    delay_s: float = 0.001
    jitter_s: float = 0.0
    loss: float = 0.0
    doubling: float = 0.0
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    half_open: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    frozen: set[str] = dataclasses.field(default_factory=set)


class Network:
    """Carries envelopes between addresses.

    Attributes:
        faults: What goes wrong; may be changed at any time.
        sent_bytes: Encoded bytes sent, by sending address.
    """

    __slots__ = (
        "_decoder",
        "_freshness",
        "_handlers",
        "_random",
        "_waiting",
        "faults",
        "sent_bytes",
    )

    def __init__(self, seed: int = 0) -> None:
        """Makes a network without faults.

        Args:
            seed: Of the faults' draws.
        """
        self.faults = Faults()
        self.sent_bytes: dict[str, int] = {}
        self._freshness: dict[str, freshness.Freshness] = {}
        self._handlers: dict[str, api.Handler] = {}
        self._waiting: dict[str, list[tuple[bytes, int]]] = {}
        self._random = random.Random(seed)
        self._decoder = msgspec.msgpack.Decoder(messages.Envelope)

    def attach(self, address: str, handler: api.Handler) -> None:
        """Begins to deliver what is sent to an address."""
        self._handlers[address] = handler
        self._freshness[address] = freshness.Freshness()

    def detach(self, address: str) -> None:
        """Ends it, as when the process has gone."""
        self._handlers.pop(address, None)
        self._waiting.pop(address, None)

    def carry(self, source: str, target: str, data: bytes) -> None:
        """Takes an encoded envelope on its way."""
        self.sent_bytes[source] = self.sent_bytes.get(source, 0) + len(data)
        faults = self.faults
        if (source, target) in faults.cut | faults.half_open:
            return
        if self._random.random() < faults.loss:
            return
        copies = 2 if self._random.random() < faults.doubling else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay_s = faults.delay_s + self._random.random() * faults.jitter_s
            loop.call_later(delay_s, self._deliver, target, data, _now_ms())

    def thaw(self, address: str) -> None:
        """Ends a process's pause, and delivers what waited for it."""
        self.faults.frozen.discard(address)
        for data, sent_ms in self._waiting.pop(address, []):
            self._deliver(address, data, sent_ms)

    def _deliver(self, target: str, data: bytes, sent_ms: int) -> None:
        """Hands an envelope to the process at the target."""
        if target in self.faults.frozen:
            self._waiting.setdefault(target, []).append((data, sent_ms))
            return
        handler = self._handlers.get(target)
        if handler is None:
            return
        envelope = self._decoder.decode(data)
        if self._freshness[target].accept(
            envelope.sender, envelope.incarnation, sent_ms, _now_ms()
        ):
            handler(envelope)


class MemoryPeers:
    """One VM's links over a `Network`."""

    __slots__ = (
        "_address",
        "_encoder",
        "_incarnation",
        "_network",
        "_timeline",
        "_vm",
    )

    def __init__(
        self,
        network: Network,
        vm: str,
        address: str,
        incarnation: int,
        timeline: timelines.Timeline,
    ) -> None:
        """Makes the links of one VM."""
        self._network = network
        self._vm = vm
        self._address = address
        self._incarnation = incarnation
        self._timeline = timeline
        self._encoder = msgspec.msgpack.Encoder()

    async def start(self, handler: api.Handler) -> None:
        """Begins to receive; see `api.Peers`."""
        self._network.attach(self._address, handler)

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Sends messages; see `api.Peers`."""
        envelope = messages.Envelope(
            self._vm, self._incarnation, self._timeline.read_clock(), batch
        )
        data = self._encoder.encode(envelope)
        self._network.carry(self._address, address, data)
        return True

    def reconnect(self, address: str) -> None:
        """Opens a new link in place of a silent one; see `api.Peers`."""
        self._network.faults.half_open.discard((self._address, address))

    async def close(self) -> None:
        """Ends receiving."""
        self._network.detach(self._address)


def _now_ms() -> int:
    return int(asyncio.get_running_loop().time() * 1000)
