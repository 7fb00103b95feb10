"""Peer links by pynng over TCP: one Pull socket, one Push socket a peer.

Sending never waits. A link that is not connected drops at once, since what
would wait in its queue would arrive stale: the receiver counts the durations
in a message from its arrival.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pynng

from azureramp import messages, metrics, timelines
from azureramp.ports.peers import api, authentication, freshness

QUEUE_LENGTH = 128
"""Most envelopes that wait in one link."""

RECEIVE_LENGTH = 1024
"""Most envelopes that wait to be read."""

MAX_BYTES = 4_000_000
"""Largest frame that is taken."""

READ_BATCH = 64
"""Most envelopes that one turn of the event loop reads."""

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 200
"""Longest time between two attempts to connect. A handoff to a VM that has
just restarted gets lost while the link is down, so it is short."""

CLOSE_S = 0.1
"""How long closing waits for the queues to empty, in seconds."""

TASK_THREADS = 3
"""Threads in which nng moves messages. By default it starts two for each
core and some more, which is memory, and wake-ups that the messages of one
Python process don't need."""

_logger = logbook.Logger("azureramp.peers")


class NngPeers:
    """The links of one daemon."""

    __slots__ = (
        "_address",
        "_authenticator",
        "_decoder",
        "_encoder",
        "_freshness",
        "_handler",
        "_incarnation",
        "_links",
        "_metrics",
        "_pull",
        "_timeline",
        "_vm",
    )

    def __init__(
        self,
        vm: str,
        address: str,
        incarnation: int,
        timeline: timelines.Timeline,
        counters: metrics.Metrics,
        key: str,
    ) -> None:
        """Makes links that do not listen yet.

        Args:
            vm: This VM's name.
            address: `IP:port` to listen on.
            incarnation: This process's incarnation.
            timeline: Gives the clock of each envelope.
            counters: Counts bytes.
            key: The key of the MAC.
        """
        self._vm = vm
        self._address = address
        self._incarnation = incarnation
        self._timeline = timeline
        self._metrics = counters
        self._authenticator = authentication.Authenticator(key)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(messages.Envelope)
        self._freshness = freshness.Freshness()
        self._links: dict[str, pynng.Push0] = {}
        self._pull: pynng.Pull0 | None = None
        self._handler: api.Handler | None = None

    async def start(self, handler: api.Handler) -> None:
        """Begins to receive; see `api.Peers`."""
        self._handler = handler
        limit_threads()
        pull = pynng.Pull0(
            recv_buffer_size=RECEIVE_LENGTH, recv_max_size=MAX_BYTES
        )
        pull.tcp_keepalive = True
        pull.listen(f"tcp://{self._address}")
        self._pull = pull
        asyncio.get_running_loop().add_reader(pull.recv_fd, self._read)

    def send(self, address: str, *batch: messages.PeerMessage) -> bool:
        """Sends messages; see `api.Peers`."""
        link = self._links.get(address)
        if link is None:
            link = self._open(address)
        if not link.pipes:
            return False
        envelope = messages.Envelope(
            self._vm, self._incarnation, self._timeline.read_clock(), batch
        )
        sent_ms = int(asyncio.get_running_loop().time() * 1000)
        payload = self._encoder.encode(envelope)
        frame = self._authenticator.sign(sent_ms, payload)
        try:
            link.send(frame, block=False)
        except pynng.TryAgain:
            return False
        self._metrics.count("peer.sent_bytes", len(frame))
        return True

    def reconnect(self, address: str) -> None:
        """Opens a new link in place of a silent one; see `api.Peers`."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
        self._open(address)

    async def close(self) -> None:
        """Sends what is queued, within a short time, and closes."""
        await asyncio.sleep(CLOSE_S)
        if self._pull is not None:
            asyncio.get_running_loop().remove_reader(self._pull.recv_fd)
            self._pull.close()
            self._pull = None
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _open(self, address: str) -> pynng.Push0:
        """Opens a link, which then dials until it is connected."""
        link = pynng.Push0(
            send_buffer_size=QUEUE_LENGTH,
            reconnect_time_min=REDIAL_MIN_MS,
            reconnect_time_max=REDIAL_MAX_MS,
        )
        link.tcp_keepalive = True
        link.dial(f"tcp://{address}", block=False)
        self._links[address] = link
        return link

    def _read(self) -> None:
        """Reads what has arrived, a bounded number at a time.

        The descriptor stays readable while more waits, so that the loop
        calls again after it has served others.
        """
        for _ in range(READ_BATCH):
            if self._pull is None or self._handler is None:
                return
            try:
                frame = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._take(frame, self._handler)

    def _take(self, frame: bytes, handler: api.Handler) -> None:
        """Checks one frame and hands its envelope on."""
        self._metrics.count("peer.received_bytes", len(frame))
        opened = self._authenticator.check(frame)
        if opened is None:
            _logger.warning("dropped a frame that is not authentic")
            return
        try:
            envelope = self._decoder.decode(opened[1])
        except msgspec.DecodeError as error:
            _logger.warning("dropped an envelope: {}", error)
            return
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        if self._freshness.accept(
            envelope.sender, envelope.incarnation, opened[0], now_ms
        ):
            handler(envelope)
        else:
            self._metrics.count("peer.stale")


def limit_threads() -> None:
    """Limits nng's threads; without effect once it has started them."""
    for parameter, threads in (
        (pynng.lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS),
        (pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS, 1),
        (pynng.lib.NNG_INIT_NUM_POLLER_THREADS, 1),
        (pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS, 1),
    ):
        pynng.lib.nng_init_set_parameter(parameter, threads)


def make(
    vm: str,
    address: str,
    incarnation: int,
    timeline: timelines.Timeline,
    counters: metrics.Metrics,
    key: str,
) -> NngPeers:
    """Makes the links of one daemon; see `NngPeers`."""
    return NngPeers(vm, address, incarnation, timeline, counters, key)
