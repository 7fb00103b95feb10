"""HTTP requests and responses, independent of the transport."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Awaitable, Callable, Mapping

from azureramp.ports.web import memory

UNREADABLE = "BAD"
"""Pseudo-method of the requests with which the server asks the handler for an
error response: to a request that could not be read, or after an unhandled
exception in the handler. The path is `/{status}`."""


NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise the client that the request has not run."""


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One HTTP request with its complete body.

    Attributes:
        method: The method, upper case.
        path: The decoded path, without the query.
        query: The query parameters; the last value of a repeated name wins.
        headers: The headers by lower-case name; the last value of a repeated
            name wins.
        body: The body.
        raw_target: The raw request target (path and query).
        raw_headers: The raw headers, in order, names in lower case.
        received_s: Event loop time at which its first byte was read, in
            seconds.
        round_trip_s: The kernel's round-trip time estimate for the
            connection, in seconds; 0 if there is none.
        is_first_on_connection: True if this is the first request on its
            connection.
        holding: Accounts for the bytes that are kept for this request until
            it is answered; None if nothing does.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str] = dataclasses.field(repr=False)
    body: bytes = b""
    raw_target: bytes = b""
    raw_headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(
        default=(), repr=False
    )
    received_s: float = 0.0
    round_trip_s: float = 0.0
    is_first_on_connection: bool = False
    holding: memory.Holding | None = dataclasses.field(
        default=None, repr=False, compare=False
    )


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits that a server applies to its clients; mutable at any time.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers, in
            bytes.
        max_body_bytes: Maximum size of a request body, in bytes.
        header_timeout_s: Maximum time to receive the request headers, in
            seconds.
        request_timeout_s: Maximum time from the end of the headers to the end
            of the body, in seconds.
        idle_timeout_s: Maximum time between two requests on a connection, in
            seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_s: float = 10.0
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """One HTTP response.

    Attributes:
        status: The status code.
        body: The body.
        content_type: The media type of the body; empty if `headers` contain
            it.
        headers: Additional headers.
        closes_connection: True if the connection must be closed after this
            response.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()
    closes_connection: bool = False


MAX_BODY_BYTES = 4_000_000
"""Maximum size of the body of a response that a client receives, in bytes."""


@dataclasses.dataclass(slots=True)
class Transfer:
    """Limits and progress of receiving one response.

    Attributes:
        max_body_bytes: Maximum size of the body, in bytes.
        stall_s: Maximum time between two parts of the response, in seconds. A
            response that has begun may take longer than the exchange's timeout
            as long as this is kept.
        received_bytes: Number of bytes received so far.
        received_s: Event loop time at which the last of them were received, in
            seconds; minus infinity before.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    stall_s: float = 0.0
    received_bytes: int = 0
    received_s: float = -math.inf

    def record_data(self, size: int, now_s: float) -> None:
        """Records received data.

        Args:
            size: Its size, in bytes.
            now_s: The current event loop time, in seconds.
        """
        self.received_bytes += size
        self.received_s = now_s

    def get_stall_end_s(self) -> float:
        """Returns until when more data must be received, in seconds."""
        return self.received_s + self.stall_s


Handler = Callable[[Request], Awaitable[Response]]
