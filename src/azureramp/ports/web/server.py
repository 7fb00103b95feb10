"""An HTTP/1.1 server: h11 over asyncio streams.

Limits apply to the header size (enforced by h11), the body size, the number
of connections, and the time a client takes to send a request or to read a
response. A graceful stop completes received requests, answers them with
`Connection: close`, and closes idle connections.
"""

from __future__ import annotations

import asyncio
import dataclasses

import h11

from azureramp.ports.web import api, request_reader, server_connection
from azureramp.ports.web import connection as web_connection

ACCEPTED_S = 0.05
"""Time within which an accepted connection is registered, in seconds: a few
event loop iterations, each of which takes some milliseconds under load."""

BACKLOG = 1024


class Server:
    """Accepts connections and calls a handler for each request.

    Attributes:
        address: `IP:port` that it listens on.
        running_requests: Number of requests in progress.
        closes_connections: True if each response closes its connection; new
            connections are still accepted.
    """

    __slots__ = (
        "_connections",
        "_handler",
        "_limits",
        "_parse",
        "_server",
        "_stopping",
        "address",
        "closes_connections",
        "running_requests",
    )

    def __init__(
        self,
        address: str,
        handler: api.Handler,
        limits: api.Limits | None = None,
        parse: request_reader.RequestParser = request_reader.parse_request,
    ) -> None:
        """Makes a server that is not listening yet.

        Args:
            address: `IP:port` to listen on.
            handler: Called for each request; cancelled if the client
                disconnects. For a request that can't be read, it is called
                with the method `UNREADABLE` and the status as the path.
            limits: Limits for clients; the defaults of `api.Limits` if None.
            parse: Makes the requests that are passed to the handler.
        """
        self.address = address
        self.running_requests = 0
        self.closes_connections = False
        self._handler = handler
        self._limits = limits or api.Limits()
        self._parse = parse
        self._stopping = False
        self._server: asyncio.Server | None = None
        self._connections: dict[
            asyncio.Task[None], server_connection.ServerConnection
        ] = {}

    async def start(self) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        host, port = web_connection.split_address(self.address)
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=BACKLOG
        )

    async def stop(self, limit_s: float) -> int:
        """Stops gracefully.

        New connections are refused, requests in progress are completed and
        idle connections are closed.

        Args:
            limit_s: Hard limit, in seconds.

        Returns:
            The number of requests aborted at the limit.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + limit_s
        self._stopping = True
        listeners = self._server.sockets if self._server is not None else ()
        for listener in listeners:
            loop.remove_reader(listener.fileno())
        for connection in self._connections.values():
            connection.stop()
        # A connection accepted just now is not in `_connections` yet. Without
        # this wait its request would be aborted when the process exits, and
        # asyncio drops the connection if its server is closed first.
        await asyncio.sleep(min(limit_s, ACCEPTED_S))
        if self._server is not None:
            self._server.close()
        while self._connections and loop.time() < deadline_s:
            remaining_s = deadline_s - loop.time()
            await asyncio.wait(self._connections, timeout=remaining_s)
        aborted = self.running_requests
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections, timeout=1.0)
        return aborted

    async def _handle(self, request: api.Request) -> api.Response:
        """Runs the handler and counts the requests in progress."""
        self.running_requests += 1
        try:
            response = await self._handler(request)
            if self.closes_connections:
                return dataclasses.replace(response, closes_connection=True)
            return response
        finally:
            self.running_requests -= 1

    def _make_protocol(self) -> server_connection.ClientProtocol:
        """Makes the protocol instance for an accepted connection."""
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
        """Serves one connection until it is closed."""
        task = asyncio.current_task()
        if (
            task is None
            or len(self._connections) >= self._limits.max_connections
        ):
            writer.transport.abort()
            return
        connection = server_connection.ServerConnection(
            self._handle, reader, writer, protocol, self._limits, self._parse
        )
        self._connections[task] = connection
        web_connection.set_socket_options(writer)
        if self._stopping:
            connection.stop()
        try:
            await connection.serve()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            writer.transport.abort()
        except asyncio.CancelledError:
            # Only `stop` cancels this task, at its limit. asyncio's stream
            # callback would treat the cancellation as an error and print a
            # traceback.
            writer.transport.abort()
        finally:
            del self._connections[task]
            writer.close()
