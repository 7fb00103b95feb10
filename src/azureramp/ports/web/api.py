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
        headers: The headers, names in lower case.
        body: The body.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes = b""


@dataclasses.dataclass(slots=True, frozen=True)
class Response:
    """One HTTP response.

    Attributes:
        status: The status.
        body: The body.
        content_type: The body's media type.
        headers: Further headers.
        closes: True if the connection must close after this response.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json; charset=utf-8"
    headers: tuple[tuple[str, str], ...] = ()
    closes: bool = False


Handler = Callable[[Request], Awaitable[Response]]
