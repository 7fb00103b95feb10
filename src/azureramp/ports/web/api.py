"""HTTP requests and responses, apart from any transport."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable, Mapping

UNREADABLE = "BAD"
"""The method under which a handler is asked to answer what the server could
not read, or what failed in the handler itself; the path is `/{status}`."""


@dataclasses.dataclass(slots=True, frozen=True)
class Request:
    """One HTTP request, its body whole.

    Attributes:
        method: The method, upper case.
        path: The decoded path, without the query.
        query: The query's parameters, the last of each name.
        headers: The headers, names in lower case, the last of each name.
        body: The body.
        target: The path with its query as the client sent it.
        fields: The headers as the client sent them, names in lower case.
        began_s: When its first byte was read, on the loop's clock.
        round_trip_s: The kernel's estimate of the connection's round trip,
            in seconds; 0 if there is none.
        first: True if it is the first request on its connection.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""
    target: bytes = b""
    fields: tuple[tuple[bytes, bytes], ...] = ()
    began_s: float = 0.0
    round_trip_s: float = 0.0
    first: bool = False


@dataclasses.dataclass(slots=True)
class Limits:
    """What a server takes from its clients; it may be changed at any time.

    Attributes:
        header_bytes: Most bytes of a request's line and headers.
        body_bytes: Most bytes of a request's body.
        header_s: Longest time for a request's headers, in seconds.
        request_s: Longest time from the headers to the body's end, in
            seconds.
        idle_s: Longest time between two requests, in seconds.
        connections: Most connections at once.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_000_000
    header_s: float = 10.0
    request_s: float = 10.0
    idle_s: float = 60.0
    connections: int = 2000


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """One HTTP response.

    Attributes:
        status: The status.
        body: The body.
        content_type: The body's media type; empty if `headers` hold it.
        headers: Further headers.
        closes: True if the connection must close after this response.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()
    closes: bool = False


Handler = Callable[[Request], Awaitable[Response]]
