"""Reads complete HTTP requests from a client connection with h11."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import urllib.parse
from collections.abc import Callable

import h11

from azureramp.ports.web import (
    api,
    chunks,
    client_protocol,
    memory,
    resources,
    time_limit,
    turns,
)
from azureramp.ports.web import connection as web_connection

LINGER_S = 0.25
"""How long a stopping server keeps an idle connection open for a request that
is already in transit, in seconds."""

FIELD_BYTES = 256
"""Size of the objects that a parsed header field consists of, in bytes."""

SEPARATORS = b"\n&,;=%"
MAX_FREE_SEPARATORS = 192
MAX_FREE_BYTES = 65_536
"""Number of separators and size of a part of a request, and size of a body,
from which on handling it takes a turn."""

HANDLING_FACTOR = 3.0
"""Duration of all work for a part of a request, as a multiple of the duration
of parsing it."""

CRLF = b"\r\n"
EMPTY_LINE = re.compile(rb"\n\r?\n")
ILLEGAL_CHARACTER = re.compile(rb"[\x00\x0b\x0c\x7f]|\r(?!\n)")
FIRST_METHOD_BYTE = ord("!")
"""Smallest byte with which a request line can begin."""


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Connection data of a received request.

    Attributes:
        began_s: Event loop time at which its first byte was read, in seconds.
        round_trip_s: See `api.Request`.
        first: See `api.Request`.
        holding: See `api.Request`.
    """

    began_s: float = 0.0
    round_trip_s: float = 0.0
    first: bool = False
    holding: memory.Holding | None = None


UNKNOWN_ARRIVAL = Arrival()

Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]

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
    """Reads the requests on one client connection sequentially.

    Attributes:
        holding: The bytes of the request that was read last.
    """

    __slots__ = (
        "_chunks",
        "_deadline_s",
        "_first",
        "_http",
        "_is_large",
        "_left",
        "_limits",
        "_parse",
        "_protocol",
        "_resources",
        "_round_trip_s",
        "_started",
        "_started_s",
        "_stopping",
        "_timeout",
        "holding",
    )

    def __init__(
        self,
        http: h11.Connection,
        protocol: client_protocol.ClientProtocol,
        shared: resources.Resources,
        limits: api.Limits,
        parse: RequestParser,
    ) -> None:
        """Makes a reader for one connection."""
        self._http = http
        self._protocol = protocol
        self._resources = shared
        self._limits = limits
        self._parse = parse
        self._round_trip_s = web_connection.measure_round_trip_s(
            protocol.transport
        )
        self._first = True
        self._started = False
        self._started_s = 0.0
        self._stopping = False
        self._deadline_s = 0.0
        self._timeout: asyncio.Timeout | None = None
        self._chunks: chunks.ChunkJoiner | None = None
        self._left = 0
        self._is_large = False
        self.holding = shared.budget.open(protocol.end)

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
            BadRequestError: The request is too large, too slow or invalid, or
                the process is too busy for it.
            h11.RemoteProtocolError: The data is not valid HTTP.
        """
        try:
            return await self._read()
        except (memory.ExhaustedError, turns.TooBusyError) as error:
            raise BadRequestError(503, str(error)) from None

    async def _read(self) -> api.Request:
        """Reads one request; see `read`."""
        loop = asyncio.get_running_loop()
        self.holding = self._resources.budget.open(self._protocol.end)
        self._started = False
        self._deadline_s = loop.time() + (
            LINGER_S if self._stopping else self._limits.idle_timeout_s
        )
        head = await self._read_head()
        body: list[bytes] = []
        size = 0
        event = self._http.next_event()
        while True:
            match event:
                case h11.NEED_DATA:
                    event = await self._read_part()
                    continue
                case h11.Data(data=data):
                    self._hold(len(data))
                    body.append(bytes(data))
                    size += len(data)
                    if size > self._limits.max_body_bytes:
                        raise BadRequestError(
                            413, "the request body is too large"
                        )
                case h11.EndOfMessage():
                    arrival = self._make_arrival()
                    return self._parse(head, b"".join(body), arrival)
                case _:
                    raise IdleError
            event = self._http.next_event()

    async def _read_head(self) -> h11.Request:
        """Reads the request line and the headers."""
        # Without a turn, a connection with many requests sent ahead would keep
        # the event loop until all of them are answered.
        sent_ahead = bool(self._protocol.input)
        if sent_ahead:
            self._record_start()
        size = await self._find_end(FIRST_METHOD_BYTE)
        lines = self._protocol.input.count(b"\n", 0, size)
        self._hold(size + FIELD_BYTES * lines)
        check_characters(self._protocol.input, size)
        if sent_ahead or is_costly(self._protocol.input[:size]):
            self._resources.turns.check_wait()
            event = await self._parse_in_turn(size, HANDLING_FACTOR)
        else:
            event = self._parse_input(size)
        if not isinstance(event, h11.Request):
            raise IdleError
        check_framing(event)
        loop = asyncio.get_running_loop()
        self._deadline_s = loop.time() + self._limits.request_timeout_s
        self._chunks = None
        self._left = 0
        for name, value in event.headers:
            if name == b"transfer-encoding":
                self._chunks = chunks.ChunkJoiner()
            elif name == b"content-length":
                self._left = int(value)
        if self._left > self._limits.max_body_bytes:
            raise BadRequestError(413, "the request body is too large")
        self._is_large = self._left > MAX_FREE_BYTES
        if self._is_large:
            self._resources.turns.check_wait()
        return event

    async def _find_end(self, first_byte: int) -> int:
        """Receives until the input has an empty line.

        Args:
            first_byte: Smallest byte with which the input can begin.

        Returns:
            Where the line ends.

        Raises:
            BadRequestError: The line comes too late.
            IdleError: The client disconnected.
        """
        searched = 0
        while True:
            found = EMPTY_LINE.search(
                self._protocol.input, max(0, searched - 3)
            )
            size = (
                found.end() if found is not None else len(self._protocol.input)
            )
            if size > self._limits.max_header_bytes:
                raise BadRequestError(431, "the headers are too large")
            if found is not None:
                return size
            if size and self._protocol.input[0] < first_byte:
                raise BadRequestError(400, "illegal request line")
            searched = size
            await self._receive()

    async def _read_part(self) -> Event:
        """Reads a part of the body; receives it first if needed."""
        if not self._protocol.input:
            await self._receive()
        if self._chunks is None:
            size = min(self._left, len(self._protocol.input))
            self._left -= size
            if self._is_large:
                return await self._parse_in_turn(size, HANDLING_FACTOR)
            return self._parse_input(size)
        if self._chunks.ended:
            return await self._read_trailers()
        return await self._read_chunks(self._chunks)

    async def _read_chunks(self, joiner: chunks.ChunkJoiner) -> Event:
        """Reads the next chunks of a body."""
        if is_costly(self._protocol.input[: chunks.MAX_STEP_BYTES]):
            async with self._resources.turns.take(self._started_s):
                self._check_connected()
                has_more = self._join_chunks(joiner)
        else:
            has_more = self._join_chunks(joiner)
        if not has_more:
            await self._receive()
        return self._http.next_event()

    def _join_chunks(self, joiner: chunks.ChunkJoiner) -> bool:
        """Passes the next chunks to h11; returns False if there are none.

        Raises:
            BadRequestError: The input isn't a chunk.
        """
        size = len(self._protocol.input)
        try:
            data = joiner.join(self._protocol.input)
        except ValueError as error:
            raise BadRequestError(400, str(error)) from None
        used = size - len(self._protocol.input)
        self._protocol.holding.remove(used)
        if data:
            self._http.receive_data(data)
        elif not used and CRLF in self._protocol.input:
            raise BadRequestError(400, "a chunk's header is invalid")
        elif not used and size > self._limits.max_header_bytes:
            raise BadRequestError(431, "a chunk's header is too large")
        return used > 0

    async def _read_trailers(self) -> Event:
        """Reads the trailers that follow a body in chunks."""
        while self._protocol.input == b"\r":
            await self._receive()
        if self._protocol.input.startswith((b"\n", CRLF)):
            return self._parse_input(self._protocol.input.index(b"\n") + 1)
        size = await self._find_end(0)
        self._hold(
            size + FIELD_BYTES * self._protocol.input.count(b"\n", 0, size)
        )
        check_characters(self._protocol.input, size)
        if is_costly(self._protocol.input[:size]):
            return await self._parse_in_turn(size)
        return self._parse_input(size)

    async def _parse_in_turn(self, size: int, factor: float = 1.0) -> Event:
        """Parses costly input; see `_parse_input` and `turns.Turns.take`."""
        async with self._resources.turns.take(self._started_s, factor):
            self._check_connected()
            return self._parse_input(size)

    def _parse_input(self, size: int) -> Event:
        """Passes input to h11 and returns the event.

        Args:
            size: Its size, in bytes.
        """
        self._http.receive_data(self._protocol.take(size))
        return self._http.next_event()

    def _check_connected(self) -> None:
        """Raises `IdleError` if the client has disconnected."""
        if self._protocol.has_disconnected():
            raise IdleError

    def _hold(self, size: int) -> None:
        """Accounts for further bytes of the request.

        Raises:
            memory.ExhaustedError: There is no room for them.
        """
        if not self.holding.add(size):
            raise memory.ExhaustedError

    def _make_arrival(self) -> Arrival:
        """Returns the arrival data of the request that was just read."""
        first, self._first = self._first, False
        return Arrival(self._started_s, self._round_trip_s, first, self.holding)

    async def _receive(self) -> None:
        """Waits for input.

        Raises:
            IdleError: The client disconnected, or sent nothing in time.
            BadRequestError: It took too long to send the request.
        """
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            await self._protocol.send(self._http.send(continue_response) or b"")
        self._wait_for_client()
        try:
            async with time_limit.end_at(self._deadline_s) as self._timeout:
                received = await self._protocol.receive()
        except TimeoutError:
            if not self._started:
                raise IdleError from None
            raise BadRequestError(408, "request timeout") from None
        finally:
            self._timeout = None
            self._protocol.is_receiving = False
            self._protocol.holding.stop_waiting()
            self.holding.stop_waiting()
        if not received:
            raise IdleError
        self._record_start()

    def _wait_for_client(self) -> None:
        """Records that the request waits for its client since it started."""
        self._protocol.is_receiving = True
        if self._started:
            self._protocol.holding.wait(self._started_s)
            self.holding.wait(self._started_s)

    def _record_start(self) -> None:
        """Records the arrival of a request's first bytes."""
        if not self._started:
            self._started = True
            self._started_s = asyncio.get_running_loop().time()
            self._deadline_s = self._started_s + self._limits.header_timeout_s


def is_costly(data: bytes | bytearray) -> bool:
    """Returns True if parsing data would keep the event loop from other work.

    Args:
        data: The head of a request, or a part of its body in chunks.
    """
    marks = len(data) - len(data.translate(None, SEPARATORS))
    return marks > MAX_FREE_SEPARATORS or len(data) > MAX_FREE_BYTES


def check_characters(data: bytes | bytearray, size: int) -> None:
    """Rejects a head, or trailers, with characters that no field may have.

    h11 rejects them as well, but its pattern of a field tries each division of
    a run of spaces before one of them.

    Args:
        data: The data.
        size: Size of the head or trailers at its beginning, in bytes.

    Raises:
        BadRequestError: There is such a character.
    """
    if ILLEGAL_CHARACTER.search(data, 0, size) is not None:
        raise BadRequestError(400, "illegal header line")


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
        holding=arrival.holding,
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
        holding=arrival.holding,
    )
