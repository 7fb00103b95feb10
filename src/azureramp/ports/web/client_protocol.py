"""The protocol of a connection that a client opened."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from azureramp.ports.web import memory

MAX_INPUT_BYTES = 65_536
"""Size of received, unread data from which on no more is read from the socket,
in bytes."""


class ClientProtocol(asyncio.BufferedProtocol):
    """Receives and sends the bytes of one connection.

    asyncio's streams buffer up to a few hundred KB a connection. This protocol
    accounts for its input, and keeps no output beyond what was passed to `send`
    last.

    Attributes:
        on_disconnect: Called once when the client disconnects; None if there
            is no callback.
        holding: The bytes of the input and of the answer.
        input: The received data that was not handled yet.
        is_receiving: True while the connection waits for its client's data.
        transport: The transport; None before the connection is made.
    """

    def __init__(
        self,
        accept: Callable[[ClientProtocol], Awaitable[None]],
        budget: memory.Budget,
        buffer: memoryview,
    ) -> None:
        """Makes the protocol of a connection that is not open yet.

        Args:
            accept: Called once it is open; serves it.
            budget: The memory of all connections.
            buffer: Where data is received, shared by all connections.
        """
        self._accept = accept
        self._buffer = buffer
        self._disconnected = False
        self._discardable_bytes: int | None = None
        self._received: asyncio.Future[None] | None = None
        self._sent: asyncio.Future[None] | None = None
        self._serving: asyncio.Task[None] | None = None
        self._refused = False
        self.holding = budget.open(self.end)
        self.input = bytearray()
        self.is_receiving = False
        self.on_disconnect: Callable[[], object] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts serving the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=0)
        self._serving = asyncio.ensure_future(self._accept(self))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that the transport receives data into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Stores received data, or refuses it if there is no room."""
        if self._discardable_bytes is not None:
            self._discardable_bytes -= nbytes
            if self._discardable_bytes < 0:
                self.end()
        elif self.holding.add(nbytes):
            self.input += self._buffer[:nbytes]
            if len(self.input) >= MAX_INPUT_BYTES:
                self._pause_receiving()
            _wake(self._received)
        else:
            self._refuse_input()

    def eof_received(self) -> bool:
        """Handles the end of the client's stream; the answer may be sent."""
        self._report_disconnect()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self.holding.close()
        self._report_disconnect()
        _wake(self._sent)

    def pause_writing(self) -> None:
        """Handles that the client doesn't take the output at once."""
        if self._sent is None:
            self._sent = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Handles that all output was sent."""
        _wake(self._sent)
        self._sent = None

    async def receive(self) -> bool:
        """Waits for more input.

        Returns:
            False if the client has disconnected.

        Raises:
            memory.ExhaustedError: There was no room for the input.
        """
        if self._refused:
            raise memory.ExhaustedError
        if self._disconnected:
            return False
        size = len(self.input)
        self._received = asyncio.get_running_loop().create_future()
        if self.transport is not None:
            self.transport.resume_reading()
        await self._received
        if self._refused:
            raise memory.ExhaustedError
        return len(self.input) > size

    def take(self, size: int) -> bytes:
        """Removes data from the input and returns it.

        Args:
            size: The size of the data, in bytes.
        """
        data = bytes(self.input[:size])
        del self.input[:size]
        self.holding.remove(size)
        return data

    async def send(self, data: bytes | memoryview) -> None:
        """Sends data and waits until the operating system has taken it.

        Raises:
            ConnectionResetError: The connection is closed.
        """
        if self.transport is None or self.transport.is_closing():
            raise ConnectionResetError
        self.transport.write(data)
        if self._sent is not None:
            await self._sent
            if self.transport.is_closing():
                raise ConnectionResetError

    async def discard_input(self, size: int, seconds: float) -> None:
        """Drops further input until the client disconnects.

        Args:
            size: Maximum size of the input, in bytes.
            seconds: Maximum duration.
        """
        if self._disconnected or self.transport is None:
            return
        self._discardable_bytes = size
        disconnected = asyncio.get_running_loop().create_future()
        self.on_disconnect = lambda: _wake(disconnected)
        self.transport.resume_reading()
        await asyncio.wait([disconnected], timeout=seconds)
        self.on_disconnect = None

    def has_disconnected(self) -> bool:
        """Returns True if the client disconnected or closed its side."""
        return self._disconnected

    def end(self) -> None:
        """Ends the transfer in progress; a request that is read is refused."""
        if self.is_receiving:
            self._refuse_input()
        elif self.transport is not None:
            self.transport.abort()

    def detach(self) -> None:
        """Releases what the connection held; it is not served any more."""
        self.holding.close()
        self.input = bytearray()
        self._serving = None
        self._received = self._sent = None

    def _refuse_input(self) -> None:
        """Makes the wait for input, or the next one, fail."""
        self._refused = True
        self._pause_receiving()
        _wake(self._received)

    def _pause_receiving(self) -> None:
        """Stops reading from the socket."""
        if self.transport is not None:
            self.transport.pause_reading()

    def _report_disconnect(self) -> None:
        """Records the disconnect and calls the callback once."""
        self._disconnected = True
        _wake(self._received)
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()


def _wake(future: asyncio.Future[None] | None) -> None:
    """Ends the wait for a future, if there is one."""
    if future is not None and not future.done():
        future.set_result(None)
