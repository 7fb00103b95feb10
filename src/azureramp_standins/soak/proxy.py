"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import contextlib

from azureramp.ports.web import connection as web_connection

READ_BYTES = 65536
DELAY_S = 0.15
"""How much later bytes arrive on a delayed link, in seconds; a hundred times
the way between two availability zones."""


class _Pipe:
    """One connection through the proxy."""

    __slots__ = ("dead", "writers")

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.dead = False
        self.writers = writers


class Proxy:
    """Passes connections on to one address.

    Attributes:
        address: Where it listens, `IP:port`.
    """

    def __init__(self, address: str, target: str) -> None:
        """Makes a proxy; see `start`."""
        self.address = address
        self._target = target
        self._delayed = False
        self._open = {"up": asyncio.Event(), "down": asyncio.Event()}
        self._pipes: set[_Pipe] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Begins to listen."""
        self.heal()
        host, port = web_connection.split_address(self.address)
        self._server = await asyncio.start_server(self._accept, host, port)

    def harm(self, how: str) -> None:
        """Harms the link; see `plan.LinkHarmed`."""
        match how:
            case "delay":
                self._delayed = True
            case "reset":
                for pipe in list(self._pipes):
                    _abort(pipe)
            case "silent":
                for pipe in self._pipes:
                    pipe.dead = True
            case _:
                self._open[how].clear()

    def heal(self) -> None:
        """Ends every harm; connections that fell silent stay so."""
        self._delayed = False
        for event in self._open.values():
            event.set()

    async def stop(self) -> None:
        """Ends everything."""
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
        """Passes one connection on."""
        host, port = web_connection.split_address(self._target)
        await self._open["up"].wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        pipe = _Pipe(writer, far_writer)
        self._pipes.add(pipe)
        for source, sink, way in (
            (reader, far_writer, "up"),
            (far_reader, writer, "down"),
        ):
            task = asyncio.ensure_future(self._pass(pipe, source, sink, way))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pass(
        self,
        pipe: _Pipe,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        way: str,
    ) -> None:
        """Passes the bytes of one direction on."""
        with contextlib.suppress(OSError):
            while data := await source.read(READ_BYTES):
                if self._delayed:
                    await asyncio.sleep(DELAY_S)
                await self._open[way].wait()
                if not pipe.dead:
                    sink.write(data)
                    await sink.drain()
        self._pipes.discard(pipe)
        if not pipe.dead:
            _abort(pipe) if sink.transport.is_closing() else sink.close()


def _abort(pipe: _Pipe) -> None:
    """Resets both ends of a connection."""
    for writer in pipe.writers:
        writer.transport.abort()
