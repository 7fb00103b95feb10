"""The server side of one client connection."""

from __future__ import annotations

import asyncio
import contextlib
import http

import h11
import logbook

from azureramp.ports.web import (
    api,
    client_protocol,
    connection_table,
    request_reader,
    resources,
)

WRITE_S = 10.0
"""Maximum time that a client may take to read a response, in seconds."""

WRITE_BYTES = 65_536
"""Maximum size of the part of a response that is passed to the transport, in
bytes: the transport copies what the client doesn't take at once."""

REFUSED_LINGER_S = 0.25
"""Time for which the rest of a refused request is received, in seconds.
Closing the connection with unread data would reset it, and the client would
lose the answer."""

_logger = logbook.Logger("azureramp.web")


class ServerConnection:
    """Serves one client until it disconnects or the server stops."""

    __slots__ = (
        "_busy",
        "_group",
        "_handler",
        "_http",
        "_limits",
        "_log_limiter",
        "_protocol",
        "_refusals",
        "_requests",
        "_stopping",
    )

    def __init__(
        self,
        handler: api.Handler,
        protocol: client_protocol.ClientProtocol,
        group: connection_table.Group,
        shared: resources.Resources,
        limits: api.Limits,
        parse: request_reader.RequestParser,
    ) -> None:
        """Makes the server side of a connection."""
        self._handler = handler
        self._group = group
        self._limits = limits
        self._log_limiter = shared.log_limiter
        self._refusals = shared.refusals
        self._busy = False
        self._protocol = protocol
        self._stopping = False
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes
        )
        self._requests = request_reader.RequestReader(
            self._http, protocol, shared, limits, parse
        )

    def stop(self) -> None:
        """Closes the connection after the request in progress or in transit."""
        self._stopping = True
        self._requests.stop()

    def waits_for_request(self) -> bool:
        """Returns True if no request is being handled or answered."""
        return not self._busy

    def close(self) -> None:
        """Closes the connection; see `connection_table.Connection`."""
        if self._protocol.transport is not None:
            self._protocol.transport.abort()

    async def serve(self) -> None:
        """Reads requests and writes responses sequentially."""
        try:
            while await self._serve_one():
                self._group.record_request(self)
                self._busy = False
                self._http.start_next_cycle()
        finally:
            self._requests.holding.close()

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
        self._busy = True
        response = await self._handle(request)
        if response is None:
            return False
        closes = response.closes_connection or self._stopping
        with_body = request.method != "HEAD"
        # The response is kept in place of the request.
        del request
        self._requests.holding.close()
        await self._write(response, closes, with_body)
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
        now_s = asyncio.get_running_loop().time()
        if self._log_limiter.allow(now_s):
            left_out = self._log_limiter.pop_skipped_count()
            extra = {"lines_left_out": left_out} if left_out else {}
            _logger.info("rejected a request: {}", detail, extra=extra)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._busy = True
            self._requests.holding.close()
            is_refused = status == http.HTTPStatus.SERVICE_UNAVAILABLE
            if is_refused and not self._refusals.allow(now_s):
                self.close()
                return
            request = api.Request(api.UNREADABLE, f"/{status}", {}, {})
            await self._write(await self._handler(request), True)
            if status in api.NOT_RUN_STATUSES:
                await self._protocol.discard_input(
                    self._limits.max_body_bytes, REFUSED_LINGER_S
                )

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
            ConnectionError: The connection was closed, because the client
                reads too slowly or there is no room for the response.
        """
        body = response.body if with_body else b""
        holding = self._protocol.holding
        if body and not holding.add(len(body)):
            raise ConnectionAbortedError
        holding.wait(asyncio.get_running_loop().time())
        try:
            async with asyncio.timeout(WRITE_S):
                await self._write_parts(response, closes, memoryview(body))
        finally:
            holding.stop_waiting()
        transport = self._protocol.transport
        if closes and transport is not None:
            with contextlib.suppress(OSError):
                if transport.can_write_eof():
                    transport.write_eof()

    async def _write_parts(
        self, response: api.Response, closes: bool, body: memoryview
    ) -> None:
        """Writes a response in parts, each when the one before was sent."""
        first = body[:WRITE_BYTES]
        await self._protocol.send(self._encode_head(response, closes, first))
        self._protocol.holding.remove(len(first))
        for begin in range(WRITE_BYTES, len(body), WRITE_BYTES):
            part = body[begin : begin + WRITE_BYTES]
            data = h11.Data(data=part)  # type: ignore[arg-type]
            for each in self._http.send_with_data_passthrough(data) or ():
                await self._protocol.send(each)
            self._protocol.holding.remove(len(part))
        self._http.send(h11.EndOfMessage())

    def _encode_head(
        self, response: api.Response, closes: bool, body: memoryview
    ) -> bytes:
        """Encodes the head of a response and the first part of its body."""
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
            for event in (head, h11.Data(data=bytes(body)))
        )
