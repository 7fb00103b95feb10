"""Reading whole HTTP requests from a client, by h11."""

from __future__ import annotations

import asyncio
import dataclasses
import urllib.parse
from collections.abc import Callable

import h11

from azureramp.ports.web import api
from azureramp.ports.web import connection as web_connection

LINGER_S = 0.25
"""Longest time that a stopping server waits on an idle connection for a
request that is on its way, in seconds."""

READ_BYTES = 65536


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """How a request came.

    Attributes:
        began_s: When its first byte was read, on the loop's clock.
        round_trip_s: See `api.Request`.
        first: See `api.Request`.
    """

    began_s: float = 0.0
    round_trip_s: float = 0.0
    first: bool = False


UNKNOWN_ARRIVAL = Arrival()

Parse = Callable[[h11.Request, bytes, Arrival], api.Request]
"""Makes a request of its head, its body and how it came."""


class BadRequestError(Exception):
    """A request that can't be taken; the connection closes after it."""

    def __init__(self, status: int, detail: str) -> None:
        """Keeps the HTTP status and the words."""
        super().__init__(detail)
        self.status = status
        self.detail = detail


class IdleError(Exception):
    """The client has gone, or sent nothing for too long."""


class RequestReader:
    """Reads one client's requests, one after another."""

    __slots__ = (
        "_began",
        "_began_s",
        "_first",
        "_http",
        "_limits",
        "_parse",
        "_reader",
        "_round_trip_s",
        "_stopping",
        "_timeout",
        "_until_s",
        "_writer",
    )

    def __init__(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: api.Limits,
        parse: Parse,
    ) -> None:
        """Makes a reader of one connection."""
        self._http = http
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._parse = parse
        self._round_trip_s = web_connection.measure_round_trip_s(
            writer.transport
        )
        self._first = True
        self._began = False
        self._began_s = 0.0
        self._stopping = False
        self._until_s = 0.0
        self._timeout: asyncio.Timeout | None = None

    def stop(self) -> None:
        """Ends the wait for the next request soon; one begun is read.

        A request may be on its way on a connection that looks idle here.
        Closing at once would cut it off unread, so it gets a moment.
        """
        self._stopping = True
        if self._timeout is not None and not self._began:
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time() + LINGER_S)

    async def read(self) -> api.Request:
        """Reads one request.

        Raises:
            IdleError: The client closed, or sent nothing in time.
            BadRequestError: The request is too large, too slow or invalid.
            h11.RemoteProtocolError: It is not HTTP.
        """
        loop = asyncio.get_running_loop()
        self._began = False
        self._until_s = loop.time() + (
            LINGER_S if self._stopping else self._limits.idle_s
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
                    self._begin()
                    self._until_s = loop.time() + self._limits.request_s
                case h11.Data() as event:
                    body += event.data
                    if len(body) > self._limits.body_bytes:
                        raise BadRequestError(413, "the body is too large")
                case h11.EndOfMessage() if head is not None:
                    return self._parse(head, bytes(body), self._arrive())
                case _:
                    raise IdleError

    def _arrive(self) -> Arrival:
        """Tells how a request came that has been read."""
        first, self._first = self._first, False
        return Arrival(self._began_s, self._round_trip_s, first)

    async def _receive(self) -> None:
        """Waits for bytes and gives them to h11."""
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._http.send(go_on) or b"")
        try:
            async with asyncio.timeout_at(self._until_s) as self._timeout:
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            if not self._began:
                raise IdleError from None
            raise BadRequestError(408, "the request took too long") from None
        finally:
            self._timeout = None
        if data:
            self._begin()
        self._http.receive_data(data)

    def _begin(self) -> None:
        """Takes in that a request's first bytes have come."""
        if not self._began:
            self._began = True
            self._began_s = asyncio.get_running_loop().time()
            self._until_s = self._began_s + self._limits.header_s


def check_framing(head: h11.Request) -> None:
    """Refuses a request whose end two readers may see in two places.

    With both a length and chunks, one reader takes for the next request what
    another takes for the body: a request hidden in a body would be forwarded
    as one of its own. h11 goes by the chunks without a word.

    Raises:
        BadRequestError: The request has both.
    """
    names = {name for name, _ in head.headers}
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequestError(400, "both a length and a transfer encoding")


def keep_request(
    head: h11.Request, body: bytes, arrival: Arrival
) -> api.Request:
    """Makes a request of h11's that is forwarded as it came.

    Its path and its headers are not decoded, so that nothing that a server
    behind understands is refused or changed here.
    """
    return api.Request(
        method=head.method.decode("ascii"),
        path="",
        query={},
        headers={},
        body=body,
        target=head.target,
        fields=tuple(head.headers),
        began_s=arrival.began_s,
        round_trip_s=arrival.round_trip_s,
        first=arrival.first,
    )


def parse_request(
    head: h11.Request, body: bytes, arrival: Arrival = UNKNOWN_ARRIVAL
) -> api.Request:
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
        head.method.decode("ascii").upper(),
        path,
        dict(pairs),
        headers,
        body,
        began_s=arrival.began_s,
        round_trip_s=arrival.round_trip_s,
        first=arrival.first,
    )
