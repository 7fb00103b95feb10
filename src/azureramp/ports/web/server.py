"""An HTTP/1.1 server by h11 over asyncio streams.

Bounds: header bytes by h11, body bytes, connections, and the time that a
client may take for one request or one response. A graceful stop answers what
was received, says `Connection: close` with it, and closes idle connections.
"""

from __future__ import annotations

import asyncio
import dataclasses

import h11

from azureramp.ports.web import api, request_reader, server_connection
from azureramp.ports.web import connection as web_connection

ACCEPTED_S = 0.05
"""Time in which a connection that was accepted is known, in seconds: a few
turns of the event loop, each of some milliseconds under load."""

BACKLOG = 1024


class Server:
    """Accepts connections and calls one handler for each request.

    Attributes:
        address: `IP:port` that it listens on.
        running: Requests that run now.
        closing: True once each answer says that its connection closes; new
            connections are still taken.
    """

    __slots__ = (
        "_connections",
        "_handler",
        "_limits",
        "_parse",
        "_server",
        "_stopping",
        "address",
        "closing",
        "running",
    )

    def __init__(
        self,
        address: str,
        handler: api.Handler,
        limits: api.Limits | None = None,
        parse: request_reader.Parse = request_reader.parse_request,
    ) -> None:
        """Makes a server that does not listen yet.

        Args:
            address: `IP:port` to listen on.
            handler: Called for each request; cancelled if the client goes.
                A request that can't be read is told to it by the method
                `UNREADABLE` and the status as the path.
            limits: What is taken from clients; those of `api.Limits` if None.
            parse: Makes the requests that the handler gets.
        """
        self.address = address
        self.running = 0
        self.closing = False
        self._handler = handler
        self._limits = limits or api.Limits()
        self._parse = parse
        self._stopping = False
        self._server: asyncio.Server | None = None
        self._connections: dict[
            asyncio.Task[None], server_connection.ServerConnection
        ] = {}

    async def start(self) -> None:
        """Begins to listen."""
        loop = asyncio.get_running_loop()
        host, port = web_connection.split_address(self.address)
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=BACKLOG
        )

    async def stop(self, limit_s: float) -> int:
        """Stops gracefully.

        New connections are refused, running requests end and idle
        connections close.

        Args:
            limit_s: Hard limit, in seconds.

        Returns:
            How many requests were cut since the limit was reached.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + limit_s
        self._stopping = True
        listening = self._server.sockets if self._server is not None else ()
        for each in listening:
            loop.remove_reader(each.fileno())
        for served in self._connections.values():
            served.stop()
        # A connection that was accepted in this very moment is not among those
        # known yet. Its request would be cut as soon as the process ends, and
        # asyncio would drop it where its server is closed first.
        await asyncio.sleep(min(limit_s, ACCEPTED_S))
        if self._server is not None:
            self._server.close()
        while self._connections and loop.time() < until_s:
            left_s = until_s - loop.time()
            await asyncio.wait(self._connections, timeout=left_s)
        cut = self.running
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections, timeout=1.0)
        return cut

    async def _handle(self, request: api.Request) -> api.Response:
        """Runs the handler, and counts."""
        self.running += 1
        try:
            response = await self._handler(request)
            if self.closing:
                return dataclasses.replace(response, closes=True)
            return response
        finally:
            self.running -= 1

    def _make_protocol(self) -> server_connection.ClientProtocol:
        """Makes the protocol of a connection that was accepted."""
        protocol: server_connection.ClientProtocol

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._accept(reader, writer, protocol)

        protocol = server_connection.ClientProtocol(
            asyncio.StreamReader(), accept
        )
        return protocol

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: server_connection.ClientProtocol,
    ) -> None:
        """Serves one connection to its end."""
        task = asyncio.current_task()
        if task is None or len(self._connections) >= self._limits.connections:
            writer.transport.abort()
            return
        served = server_connection.ServerConnection(
            self._handle, reader, writer, protocol, self._limits, self._parse
        )
        self._connections[task] = served
        web_connection.set_socket_options(writer)
        if self._stopping:
            served.stop()
        try:
            await served.serve()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # Only `stop` cancels, past its limit. The stream's own callback
            # would take a cancelled task for a fault and print a traceback.
            writer.transport.abort()
        finally:
            del self._connections[task]
            writer.close()
