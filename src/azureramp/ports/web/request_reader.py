"""Reads complete HTTP requests from a client connection with h11."""

from __future__ import annotations

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Callable

import h11

from azureramp.ports.web import api, time_limit
from azureramp.ports.web import connection as web_connection

LINGER_S = 0.25
"""How long a stopping server keeps an idle connection open for a request that
is already in transit, in seconds."""

READ_BYTES = 65536


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Connection data of a received request.

    Attributes:
        began_s: Event loop time at which its first byte was read, in seconds.
        round_trip_s: See `api.Request`.
        first: See `api.Request`.
    """

    began_s: float = 0.0
    round_trip_s: float = 0.0
    first: bool = False


UNKNOWN_ARRIVAL = Arrival()

RequestParser = Callable[[h11.Request, bytes, Arrival], api.Request]
"""Makes a request from its h11 head, its body and its arrival data."""


class BadRequestError(Exception):
    """The request is invalid; the connection is closed after the response."""

    def __init__(self, status: int, detail: str) -> None:
        """Makes an error with the HTTP status to return and a log detail."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class IdleError(Exception):
    """The client disconnected or exceeded the idle timeout."""


class RequestReader:
    """Reads the requests on one client connection sequentially."""

    __slots__ = (
        "_deadline_s",
        "_first",
        "_http",
        "_limits",
        "_parse",
        "_reader",
        "_round_trip_s",
        "_started",
        "_started_s",
        "_stopping",
        "_timeout",
        "_writer",
    )

    def __init__(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: api.Limits,
        parse: RequestParser,
    ) -> None:
        """Makes a reader for one connection."""
        self._http = http
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._parse = parse
        self._round_trip_s = web_connection.measure_round_trip_s(
            writer.transport
        )
        self._first = True
        self._started = False
        self._started_s = 0.0
        self._stopping = False
        self._deadline_s = 0.0
        self._timeout: asyncio.Timeout | None = None

    def stop(self) -> None:
        """Shortens the wait for the next request to `LINGER_S`.

        A request that has started to arrive is read to its end. A request may
        also be in transit on a connection that is idle on this side; closing
        the connection immediately would drop it unread.
        """
        self._stopping = True
        if self._timeout is not None and not self._started:
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time() + LINGER_S)

    async def read(self) -> api.Request:
        """Reads one request.

        Raises:
            IdleError: The client closed the connection or sent nothing in
                time.
            BadRequestError: The request is too large, too slow or invalid.
            h11.RemoteProtocolError: The data is not valid HTTP.
        """
        loop = asyncio.get_running_loop()
        self._started = False
        self._deadline_s = loop.time() + (
            LINGER_S if self._stopping else self._limits.idle_timeout_s
        )
        head: h11.Request | None = None
        body = bytearray()
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    await self._receive()
                case h11.Request() as event:
                    head = event
                    check_framing(head)
                    self._record_start()
                    self._deadline_s = (
                        loop.time() + self._limits.request_timeout_s
                    )
                case h11.Data() as event:
                    body += event.data
                    if len(body) > self._limits.max_body_bytes:
                        raise BadRequestError(
                            413, "the request body is too large"
                        )
                case h11.EndOfMessage() if head is not None:
                    return self._parse(head, bytes(body), self._make_arrival())
                case _:
                    raise IdleError

    def _make_arrival(self) -> Arrival:
        """Returns the arrival data of the request that was just read."""
        first, self._first = self._first, False
        return Arrival(self._started_s, self._round_trip_s, first)

    async def _receive(self) -> None:
        """Waits for bytes and passes them to h11."""
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._writer.write(self._http.send(continue_response) or b"")
        try:
            async with time_limit.end_at(self._deadline_s) as self._timeout:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            if not self._started:
                raise IdleError from None
            raise BadRequestError(408, "request timeout") from None
        finally:
            self._timeout = None
        if data:
            self._record_start()
        self._http.receive_data(data)

    def _record_start(self) -> None:
        """Records the arrival of a request's first bytes."""
        if not self._started:
            self._started = True
            self._started_s = asyncio.get_running_loop().time()
            self._deadline_s = self._started_s + self._limits.header_timeout_s


def check_framing(head: h11.Request) -> None:
    """Rejects a request with ambiguous framing (request smuggling).

    If both Content-Length and Transfer-Encoding are present, two parsers may
    disagree on where the body ends, and a request hidden in the body would
    be forwarded as a separate one. h11 silently prefers Transfer-Encoding.

    Raises:
        BadRequestError: Both headers are present.
    """
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequestError(
            400, "both Content-Length and Transfer-Encoding are present"
        )


def make_raw_request(
    head: h11.Request, body: bytes, arrival: Arrival
) -> api.Request:
    """Converts an h11 request that is to be forwarded unchanged.

    The target and the headers are not decoded, so that anything the upstream
    server accepts is neither rejected nor altered here.
    """
    return api.Request(
        method=head.method.decode("ascii"),
        path="",
        query={},
        headers={},
        body=body,
        raw_target=head.target,
        raw_headers=tuple(head.headers),
        received_s=arrival.began_s,
        round_trip_s=arrival.round_trip_s,
        is_first_on_connection=arrival.first,
    )


def parse_request(
    head: h11.Request, body: bytes, arrival: Arrival = UNKNOWN_ARRIVAL
) -> api.Request:
    """Converts an h11 request, decoding its target and headers.

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
        raise BadRequestError(400, f"invalid request target: {error}") from None
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in head.headers
    }
    return api.Request(
        head.method.decode("ascii").upper(),
        path,
        dict(pairs),
        headers,
        body,
        received_s=arrival.began_s,
        round_trip_s=arrival.round_trip_s,
        is_first_on_connection=arrival.first,
    )
