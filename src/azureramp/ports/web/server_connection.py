"""The server side of one client connection."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import h11
import logbook

from azureramp.ports.web import api, request_reader

WRITE_S = 10.0
"""Maximum time that a client may take to read a response, in seconds."""

_logger = logbook.Logger("azureramp.web")


class ClientProtocol(asyncio.StreamReaderProtocol):
    """A stream protocol that reports a client disconnect immediately.

    Attributes:
        on_disconnect: Called once when the client disconnects; None if there
            is no callback.
    """

    on_disconnect: Callable[[], object] | None = None
    _disconnected = False

    def has_disconnected(self) -> bool:
        """Returns True if the client disconnected or closed its side."""
        return self._disconnected

    def eof_received(self) -> bool | None:
        """Handles the end of the client's stream."""
        self._report_disconnect()
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handles the end of the connection."""
        self._report_disconnect()
        super().connection_lost(exc)

    def _report_disconnect(self) -> None:
        """Records the disconnect and calls the callback once."""
        self._disconnected = True
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()


class ServerConnection:
    """Serves one client until it disconnects or the server stops."""

    __slots__ = (
        "_handler",
        "_http",
        "_protocol",
        "_requests",
        "_stopping",
        "_writer",
    )

    def __init__(
        self,
        handler: api.Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: ClientProtocol,
        limits: api.Limits,
        parse: request_reader.RequestParser,
    ) -> None:
        """Makes the server side of a connection."""
        self._handler = handler
        self._writer = writer
        self._protocol = protocol
        self._stopping = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._requests = request_reader.RequestReader(
            self._http, reader, writer, limits, parse
        )

    def stop(self) -> None:
        """Closes the connection after the request in progress or in transit."""
        self._stopping = True
        self._requests.stop()

    async def serve(self) -> None:
        """Reads requests and writes responses sequentially."""
        while await self._serve_one():
            self._http.start_next_cycle()

    async def _serve_one(self) -> bool:
        """Serves one request; returns False if the connection must close."""
        try:
            request = await self._requests.read()
        except request_reader.IdleError:
            return False
        except request_reader.BadRequestError as error:
            await self._reject(error.status, error.detail)
            return False
        except h11.RemoteProtocolError as error:
            # The text after the colon quotes the request, maybe with a key.
            detail = str(error).partition(":")[0]
            await self._reject(error.error_status_hint, detail)
            return False
        response = await self._handle(request)
        if response is None:
            return False
        closes = response.closes_connection or self._stopping
        await self._write(response, closes, request.method != "HEAD")
        return not closes and self._http.our_state is not h11.MUST_CLOSE

    async def _handle(self, request: api.Request) -> api.Response | None:
        """Runs the handler; returns None if the client disconnected.

        An abandoned request must not keep using slots, so the end of the
        client's stream cancels the handler.
        """
        task = asyncio.current_task()
        if task is None or self._protocol.has_disconnected():
            return None
        self._protocol.on_disconnect = task.cancel
        try:
            return await self._handler(request)
        except asyncio.CancelledError:
            if not self._protocol.has_disconnected():
                raise
            task.uncancel()
            return None
        except Exception:
            # Outermost exception handler of a request: the client still gets
            # a response.
            _logger.exception("unhandled exception while handling a request")
            return await self._handler(
                api.Request(api.UNREADABLE, "/500", {}, {})
            )
        finally:
            self._protocol.on_disconnect = None

    async def _reject(self, status: int, detail: str) -> None:
        """Responds to a request that could not be read, and closes."""
        _logger.info("rejected a request: {}", detail)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            request = api.Request(api.UNREADABLE, f"/{status}", {}, {})
            await self._write(await self._handler(request), True)

    async def _write(
        self, response: api.Response, closes: bool, with_body: bool = True
    ) -> None:
        """Writes one response.

        Args:
            response: The response.
            closes: True to close the connection after it.
            with_body: False if the client expects the headers only.

        Raises:
            TimeoutError: The client did not read it in time.
        """
        self._writer.write(self._encode(response, closes, with_body))
        async with asyncio.timeout(WRITE_S):
            await self._writer.drain()
        if closes:
            with contextlib.suppress(OSError):
                if self._writer.can_write_eof():
                    self._writer.write_eof()

    def _encode(
        self, response: api.Response, closes: bool, with_body: bool
    ) -> bytes:
        headers = [
            ("Content-Length", str(len(response.body))),
            *response.headers,
        ]
        if response.content_type:
            headers.append(("Content-Type", response.content_type))
        if closes:
            headers.append(("Connection", "close"))
        # The values of a searcher's headers may be any Latin-1 text.
        encoded = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in headers
        ]
        head = h11.Response(status_code=response.status, headers=encoded)
        return b"".join(
            self._http.send(event) or b""
            for event in (
                head,
                h11.Data(data=response.body if with_body else b""),
                h11.EndOfMessage(),
            )
        )
