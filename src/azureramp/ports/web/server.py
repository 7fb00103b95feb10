"""An HTTP/1.1 server: h11 over asyncio streams.

Limits apply to the header size (enforced by h11), the body size, the number
of connections, and the time a client takes to send a request or to read a
response. A graceful stop completes received requests, answers them with
`Connection: close`, and closes idle connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import socket

import h11

from azureramp.ports.web import (
    api,
    client_protocol,
    request_reader,
    resources,
    server_connection,
)
from azureramp.ports.web import connection as web_connection

ACCEPTED_S = 0.05
"""Time within which an accepted connection is registered, in seconds: a few
event loop iterations, each of which takes some milliseconds under load."""

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""

ACCEPT_BATCH = 16
"""Maximum number of connections that are accepted in one iteration of the event
loop."""


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
        "_group",
        "_handler",
        "_limits",
        "_max_running",
        "_parse",
        "_server",
        "_shared",
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
        shared: resources.Resources | None = None,
        connection_share: float = 1.0,
    ) -> None:
        """Makes a server that is not listening yet.

        Args:
            address: `IP:port` to listen on.
            handler: Called for each request; cancelled if the client
                disconnects. For a request that can't be read, it is called
                with the method `UNREADABLE` and the status as the path.
            limits: Limits for clients; the defaults of `api.Limits` if None.
            parse: Makes the requests that are passed to the handler.
            shared: What it shares with the process's other servers; None if
                there are no others.
            connection_share: Its share of the process's connections, and of
                the requests in progress.
        """
        self.address = address
        self.running_requests = 0
        self.closes_connections = False
        self._handler = handler
        self._limits = limits or api.Limits()
        self._parse = parse
        self._shared = shared or resources.Resources()
        table = self._shared.connections
        self._group = table.add_group(connection_share)
        self._max_running = max(1, round(connection_share * table.limit))
        self._stopping = False
        self._server: asyncio.Server | None = None
        self._connections: dict[
            asyncio.Task[None], server_connection.ServerConnection
        ] = {}

    def get_resources(self) -> resources.Resources:
        """Returns what it shares with the process's other servers."""
        return self._shared

    async def start(self) -> None:
        """Starts listening."""
        loop = asyncio.get_running_loop()
        host, port = web_connection.split_address(self.address)
        self._server = await loop.create_server(
            self._make_protocol, host, port, backlog=ACCEPT_BATCH
        )
        for listener in self._server.sockets:
            lengthen_backlog(listener)

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
        """Runs the handler and counts the requests in progress.

        A connection whose request is in progress isn't replaced, so that their
        number is limited: a server's requests can't shut out another server.
        """
        if self.running_requests >= self._max_running:
            refusal = api.Request(api.UNREADABLE, "/503", {}, {})
            return await self._handler(refusal)
        self.running_requests += 1
        try:
            response = await self._handler(request)
            if self.closes_connections:
                return dataclasses.replace(response, closes_connection=True)
            return response
        finally:
            self.running_requests -= 1

    def _make_protocol(self) -> client_protocol.ClientProtocol:
        """Makes the protocol instance for an accepted connection."""
        return client_protocol.ClientProtocol(
            self._accept, self._shared.budget, self._shared.buffer
        )

    async def _accept(self, protocol: client_protocol.ClientProtocol) -> None:
        """Serves one connection until it is closed."""
        task = asyncio.current_task()
        transport = protocol.transport
        assert task is not None
        assert transport is not None
        connection = server_connection.ServerConnection(
            self._handle,
            protocol,
            self._group,
            self._shared,
            self._limits,
            self._parse,
        )
        if not self._group.admit(connection):
            transport.abort()
            protocol.detach()
            return
        self._connections[task] = connection
        web_connection.set_transport_options(transport)
        if self._stopping:
            connection.stop()
        try:
            await connection.serve()
        except (OSError, TimeoutError, h11.LocalProtocolError):
            transport.abort()
        except asyncio.CancelledError:
            # Only `stop` cancels this task, at its limit.
            transport.abort()
        finally:
            del self._connections[task]
            self._group.remove(connection)
            protocol.detach()
            transport.close()


def lengthen_backlog(listener: socket.socket) -> None:
    """Lets more connections wait than asyncio accepts at once.

    asyncio uses one number for both. If the queue of waiting connections is
    full, the client's SYN is dropped, and it sends another one seconds later.
    """
    # In-memory sockets can't be duplicated.
    with contextlib.suppress(AttributeError), listener.dup() as duplicate:
        duplicate.listen(BACKLOG)
