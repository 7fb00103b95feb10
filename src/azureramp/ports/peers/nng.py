"""Peer links over TCP with pynng: a Pull socket and a Push socket per peer.

Sending never blocks. A link that is not connected drops messages immediately,
since queued messages would be outdated on delivery: the receiver counts the
durations in a message from its arrival.
"""

from __future__ import annotations

import asyncio

import logbook
import msgspec
import pynng

from azureramp import messages, metrics, timelines
from azureramp.ports.peers import api, authentication, freshness

QUEUE_LENGTH = 128
"""Maximum number of envelopes queued for sending in a link."""

RECEIVE_LENGTH = 1024
"""Maximum number of received envelopes queued for reading."""

MAX_BYTES = 4_000_000
"""Maximum size of a received frame, in bytes."""

READ_BATCH = 64
"""Maximum number of envelopes read in one event loop iteration."""

REDIAL_MIN_MS = 50
REDIAL_MAX_MS = 200
"""Maximum time between two connection attempts, in milliseconds. It is short,
since a handoff to a VM that has just restarted is lost while the link is
down."""

CLOSE_S = 0.1
"""Time for sending queued messages before closing, in seconds."""

TASK_THREADS = 3
"""Number of nng's message threads. By default nng starts two for each core and
a few more; a single Python process doesn't need them, and they cost memory and
wake-ups."""

_logger = logbook.Logger("azureramp.peers")


class NngPeers:
    """The links of one daemon; see `api.Peers`."""

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
        """Makes links that are not listening yet.

        Args:
            vm: The name of this VM.
            address: `IP:port` to listen on.
            incarnation: The incarnation of this process.
            timeline: Supplies the clock value of each envelope.
            counters: Receives the counts of bytes and of outdated envelopes.
            key: The key for the MAC.
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
        """Starts receiving; see `api.Peers`."""
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
            self._vm, self._incarnation, self._timeline.advance_clock(), batch
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
        """Replaces a link that is not delivering; see `api.Peers`."""
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
        self._open(address)

    async def close(self) -> None:
        """Closes all links; see `api.Peers`."""
        await asyncio.sleep(CLOSE_S)
        if self._pull is not None:
            asyncio.get_running_loop().remove_reader(self._pull.recv_fd)
            self._pull.close()
            self._pull = None
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _open(self, address: str) -> pynng.Push0:
        """Opens a link that dials in the background until it is connected."""
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
        """Reads received frames, at most `READ_BATCH` at a time.

        The descriptor stays readable while more frames are queued, so the
        event loop calls this method again after it has run other callbacks.
        """
        for _ in range(READ_BATCH):
            if self._pull is None or self._handler is None:
                return
            try:
                frame = self._pull.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle_frame(frame, self._handler)

    def _handle_frame(self, frame: bytes, handler: api.Handler) -> None:
        """Verifies a frame and passes its envelope to the handler."""
        self._metrics.count("peer.received_bytes", len(frame))
        verified = self._authenticator.check(frame)
        if verified is None:
            _logger.warning("dropped a frame with an invalid MAC")
            return
        try:
            envelope = self._decoder.decode(verified[1])
        except msgspec.DecodeError as error:
            _logger.warning(
                "dropped an envelope that could not be decoded: {}", error
            )
            return
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        if self._freshness.accept(
            envelope.sender, envelope.incarnation, verified[0], now_ms
        ):
            handler(envelope)
        else:
            self._metrics.count("peer.stale")


def limit_threads() -> None:
    """Limits the number of nng's threads.

    This has no effect after nng has started its threads.
    """
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
