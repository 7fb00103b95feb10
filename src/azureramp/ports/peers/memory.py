"""In-memory peer links with fault injection.

A `Network` connects the peers of all VMs in a test. Envelopes are encoded and
decoded as on the wire.
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
    """The faults injected into a network.

    Delay, loss and duplication apply to all links.

    Attributes:
        delay_s: Minimum delay, in seconds.
        jitter_s: Maximum additional delay, in seconds, uniformly distributed;
            it can reorder envelopes.
        loss: Probability that an envelope is lost.
        doubling: Probability that an envelope is duplicated.
        cut: Pairs (from, to) of addresses between which all envelopes are
            lost.
        half_open: Pairs (from, to) of addresses whose current link is
            half-open, so that all envelopes are lost; a new link works.
        frozen: Addresses whose processes are paused; their envelopes are
            queued.
    """

    delay_s: float = 0.001
    jitter_s: float = 0.0
    loss: float = 0.0
    doubling: float = 0.0
    cut: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    half_open: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    frozen: set[str] = dataclasses.field(default_factory=set)


class Network:
    """Delivers envelopes between addresses.

    Attributes:
        faults: The injected faults; mutable at any time.
        sent_bytes: Number of encoded bytes sent, by sending address.
    """

    __slots__ = (
        "_decoder",
        "_freshness",
        "_handlers",
        "_queued",
        "_random",
        "faults",
        "sent_bytes",
    )

    def __init__(self, seed: int = 0) -> None:
        """Makes a network without faults.

        Args:
            seed: The seed for random faults.
        """
        self.faults = Faults()
        self.sent_bytes: dict[str, int] = {}
        self._freshness: dict[str, freshness.Freshness] = {}
        self._handlers: dict[str, api.Handler] = {}
        self._queued: dict[str, list[tuple[bytes, int]]] = {}
        self._random = random.Random(seed)
        self._decoder = msgspec.msgpack.Decoder(messages.Envelope)

    def attach(self, address: str, handler: api.Handler) -> None:
        """Starts delivering envelopes to an address."""
        self._handlers[address] = handler
        self._freshness[address] = freshness.Freshness()

    def detach(self, address: str) -> None:
        """Stops delivering, as when the process has exited."""
        self._handlers.pop(address, None)
        self._queued.pop(address, None)

    def send(self, source: str, target: str, data: bytes) -> None:
        """Sends an encoded envelope, subject to the injected faults."""
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
        """Resumes a paused process and delivers its queued envelopes."""
        self.faults.frozen.discard(address)
        for data, sent_ms in self._queued.pop(address, []):
            self._deliver(address, data, sent_ms)

    def _deliver(self, target: str, data: bytes, sent_ms: int) -> None:
        """Delivers an envelope to the process at the target."""
        if target in self.faults.frozen:
            self._queued.setdefault(target, []).append((data, sent_ms))
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
    """The links of one VM over a `Network`."""

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
        """Starts receiving; see `api.Peers`."""
        self._network.attach(self._address, handler)

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Sends messages; see `api.Peers`."""
        envelope = messages.Envelope(
            self._vm, self._incarnation, self._timeline.advance_clock(), batch
        )
        data = self._encoder.encode(envelope)
        self._network.send(self._address, address, data)
        return True

    def reconnect(self, address: str) -> None:
        """Replaces a half-open link; see `api.Peers`."""
        self._network.faults.half_open.discard((self._address, address))

    async def close(self) -> None:
        """Stops receiving."""
        self._network.detach(self._address)


def _now_ms() -> int:
    return int(asyncio.get_running_loop().time() * 1000)
