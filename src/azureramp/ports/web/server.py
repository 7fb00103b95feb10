"""An HTTP/1.1 server by h11 over asyncio streams.

Bounds: header bytes by h11, body bytes, connections, and the time that a
client may take for one request. A graceful stop answers what was received,
says `Connection: close` with it, and closes idle connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import urllib.parse

import h11
import logbook

from azureramp.ports.web import api
from azureramp.ports.web import connection as web_connection

MAX_BODY_BYTES = 1_000_000
MAX_HEADER_BYTES = 16_384
MAX_CONNECTIONS = 2000
IDLE_S = 60.0
"""Longest time between two requests on one connection, in seconds."""

REQUEST_S = 10.0
"""Longest time from a request's first byte to its last, in seconds."""

READ_BYTES = 65536

_logger = logbook.Logger("azureramp.web")


class BadRequestError(Exception):
    """A request that can't be taken; the connection closes after it."""

    def __init__(self, status: int, detail: str) -> None:
        """Keeps the HTTP status and the words."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class Server:
    """Accepts connections and calls one handler for each request.

    Attributes:
        address: `IP:port` that it listens on.
        running: Requests that run now.
        closing: True once each answer says that its connection closes; new
            connections are still taken.
    """

    __slots__ = (
        "_bad_request_body",
        "_connections",
        "_handler",
        "_idle",
        "_server",
        "_stopping",
        "address",
        "closing",
        "running",
    )

    def __init__(self, address: str, handler: api.Handler) -> None:
        """Makes a server that does not listen yet.

        Args:
            address: `IP:port` to listen on.
            handler: Called for each request; cancelled if the client goes.
        """
        self.address = address
        self.running = 0
        self.closing = False
        self._handler = handler
        self._stopping = False
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._idle: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Begins to listen."""
        host, port = web_connection.split_address(self.address)
        self._server = await asyncio.start_server(
            self._accept, host, port, backlog=1024
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
        self._stopping = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._idle):
            writer.close()
        if self._connections:
            await asyncio.wait(self._connections, timeout=limit_s)
        cut = self.running
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(self._connections, timeout=1.0)
        return cut

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection to its end."""
        task = asyncio.current_task()
        if task is None or len(self._connections) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self._connections.add(task)
        web_connection.set_socket_options(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, TimeoutError, h11.LocalProtocolError):
            writer.transport.abort()
        finally:
            self._connections.discard(task)
            self._idle.discard(writer)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Reads requests and writes responses, one after another."""
        http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        while True:
            try:
                request = await self._read_request(http, reader, writer)
            except BadRequestError as error:
                await self._refuse(http, writer, error)
                return
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                await self._refuse(
                    http, writer, BadRequestError(status, str(error))
                )
                return
            if request is None:
                return
            response = await self._handle(request, reader)
            if response is None:
                return
            closes = response.closes or self._stopping or self.closing
            await self._write(http, writer, response, closes)
            if closes or http.our_state is h11.MUST_CLOSE:
                return
            http.start_next_cycle()

    async def _read_request(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> api.Request | None:
        """Reads one whole request; None if the client closed or idled."""
        head: h11.Request | None = None
        body = bytearray()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + IDLE_S
        began = False
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                if not began and head is None:
                    self._idle.add(writer)
                    if self._stopping:
                        return None
                if http.they_are_waiting_for_100_continue:
                    data = http.send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                    writer.write(data or b"")
                try:
                    async with asyncio.timeout_at(until_s):
                        data = await reader.read(READ_BYTES)
                except TimeoutError:
                    if head is None and not began:
                        return None
                    raise BadRequestError(
                        408, "the request took too long"
                    ) from None
                finally:
                    self._idle.discard(writer)
                if data and not began:
                    began = True
                    until_s = loop.time() + REQUEST_S
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
                began = True
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise BadRequestError(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return parse_request(head, bytes(body))
            else:
                return None

    async def _handle(
        self, request: api.Request, reader: asyncio.StreamReader
    ) -> api.Response | None:
        """Runs the handler; None if the client went away meanwhile.

        An abandoned request must not go on using slots, so the end of the
        client's stream cancels the handler. A client that has pipelined
        more bytes is left alone: they wait in the reader.
        """
        self.running += 1
        handling = asyncio.ensure_future(self._handler(request))
        watching = asyncio.ensure_future(_wait_for_eof(reader))
        try:
            await asyncio.wait(
                {handling, watching}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                return None
            return handling.result()
        finally:
            self.running -= 1
            for task in (handling, watching):
                task.cancel()
            await asyncio.wait({handling, watching})

    async def _refuse(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        error: BadRequestError,
    ) -> None:
        """Answers a request that couldn't be read, and closes."""
        _logger.info("refused a request: {}", error.detail)
        if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = await self._handler(
            api.Request("BAD", f"/{error.status}", {}, {})
        )
        await self._write(http, writer, response, True)

    async def _write(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        response: api.Response,
        closes: bool,
    ) -> None:
        """Writes one response."""
        headers = [
            ("Content-Length", str(len(response.body))),
            ("Content-Type", response.content_type),
            *response.headers,
        ]
        if closes:
            headers.append(("Connection", "close"))
        data = http.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        data = (data or b"") + (http.send(h11.Data(data=response.body)) or b"")
        data += http.send(h11.EndOfMessage()) or b""
        writer.write(data)
        await writer.drain()
        if closes:
            with contextlib.suppress(OSError):
                if writer.can_write_eof():
                    writer.write_eof()


async def _wait_for_eof(reader: asyncio.StreamReader) -> None:
    """Waits until the client has closed its side."""
    while not reader.at_eof():
        exception = reader.exception()
        if exception is not None:
            return
        await asyncio.sleep(EOF_POLL_S)


EOF_POLL_S = 0.05
"""Time between looks for the end of a client's stream, in seconds."""


def parse_request(head: h11.Request, body: bytes) -> api.Request:
    """Makes a request of h11's.

    Raises:
        BadRequestError: The target or a header is not valid text.
    """
    try:
        target = head.target.decode("ascii")
        parts = urllib.parse.urlsplit(target)
        path = urllib.parse.unquote(parts.path, errors="strict")
        pairs = urllib.parse.parse_qsl(
            parts.query, keep_blank_values=True, errors="strict"
        )
    except ValueError as error:
        raise BadRequestError(400, f"bad target: {error}") from None
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in head.headers
    }
    return api.Request(
        head.method.decode("ascii").upper(), path, dict(pairs), headers, body
    )
