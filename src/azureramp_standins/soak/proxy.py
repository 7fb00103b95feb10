"""A loopback TCP proxy that injects link faults."""

from __future__ import annotations

import asyncio
import contextlib

from azureramp.ports.web import connection as web_connection

READ_BYTES = 65536
DELAY_S = 0.15
"""Added latency of a delayed link, in seconds: a hundred times the latency
between two availability zones."""


NARROW_BYTES_PER_S = 1_500_000
"""Bandwidth of a narrow link, in bytes per second, in each direction."""


class _Pipe:
    """A connection through the proxy.

    Attributes:
        silent: True if the proxy discards all further bytes.
        writers: The writers of both ends.
    """

    __slots__ = ("silent", "writers")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.silent = False
        self.writers = writers


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: The `IP:port` that it listens on.
    """

    def __init__(self, address: str, target: str) -> None:
        """Makes a proxy that does not listen before `start`."""
        self.address = address
        self._target = target
        self._delayed = False
        self._bytes_per_s: float | None = None
        self._free_s = {"up": 0.0, "down": 0.0}
        self._flowing = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._pipes: set[_Pipe] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening, without faults."""
        self.clear()
        host, port = web_connection.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def inject(self, how: str) -> None:
        """Injects a fault; see `plan.LinkFault` for their names."""
        match how:
            case "delay":
                self._delayed = True
            case "narrow":
                self._bytes_per_s = NARROW_BYTES_PER_S
            case "reset":
                for pipe in list(self._pipes):
                    _abort(pipe)
            case "silent":
                for pipe in self._pipes:
                    pipe.silent = True
            case _:
                self._flowing[how].clear()

    def clear(self) -> None:
        """Clears all faults; connections that are silent remain silent."""
        self._delayed = False
        self._bytes_per_s = None
        for event in self._flowing.values():
            event.set()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        for pipe in list(self._pipes):
            _abort(pipe)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection in both directions."""
        host, port = web_connection.split_address(self._target)
        await self._flowing["up"].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writer, far_writer)
        self._pipes.add(pipe)
        for source, sink, direction in (
            (reader, far_writer, "up"),
            (far_reader, writer, "down"),
        ):
            task = asyncio.ensure_future(
                self._forward(pipe, source, sink, direction)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _wait_for_bandwidth(self, direction: str, size: int) -> None:
        """Waits until the link has carried bytes, after those before them."""
        if self._bytes_per_s is None:
            return
        now_s = asyncio.get_running_loop().time()
        done_s = max(now_s, self._free_s[direction]) + size / self._bytes_per_s
        self._free_s[direction] = done_s
        await asyncio.sleep(done_s - now_s)

    async def _forward(
        self,
        pipe: _Pipe,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        """Forwards the bytes of one direction."""
        with contextlib.suppress(OSError):
            while data := await source.read(READ_BYTES):
                if self._delayed:
                    await asyncio.sleep(DELAY_S)
                await self._wait_for_bandwidth(direction, len(data))
                await self._flowing[direction].wait()
                if not pipe.silent:
                    sink.write(data)
                    await sink.drain()
        self._pipes.discard(pipe)
        if not pipe.silent:
            _abort(pipe) if sink.transport.is_closing() else sink.close()


def _abort(pipe: _Pipe) -> None:
    """Resets both ends of a connection."""
    for writer in pipe.writers:
        writer.transport.abort()
