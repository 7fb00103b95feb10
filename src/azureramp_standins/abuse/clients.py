"""How each kind of abusive client behaves on its connections."""

from __future__ import annotations

import dataclasses

from azureramp.ports.relays import api, encoding
from azureramp_standins.fleet import deployment

BODY_BYTES = 262_144
HEADER_BYTES = 16_384
"""The limits of the configuration that the clients stay within, or exceed."""

FIELDS = 3_000
SMALL_WRITE_BYTES = 64
DEADLINE_MS = 1_500

NO_REVISION_YET = 2**40
MAX_WAIT_MS = 60_000
"""A revision that the store doesn't reach, and how long to wait for it."""

ID_MARK = b"@request-id-of-32-bytes-in-length"
"""Replaced by a new id in each request; of the same length."""


@dataclasses.dataclass(slots=True, frozen=True)
class Repeat:
    """Sends a request, reads the answer and begins again.

    Attributes:
        data: The request.
        write_bytes: Size of each write, in bytes; 0 for a single write.
    """

    data: bytes
    write_bytes: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Stop:
    """Sends the beginning of a request, then nothing more.

    Attributes:
        data: The beginning.
    """

    data: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Trickle:
    """Sends the beginning of a request, then one byte after another.

    Attributes:
        data: The beginning.
        rest: The bytes that follow.
        gap_s: The time between two of them, in seconds.
    """

    data: bytes
    rest: bytes
    gap_s: float = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class SendAhead:
    """Sends without waiting for answers.

    Attributes:
        data: What is sent first.
        again: What is sent again and again after that.
        reads: True to read the answers.
    """

    data: bytes
    again: bytes
    reads: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class SlowRead:
    """Sends a request and reads the answer slowly.

    Attributes:
        data: The request.
        bytes_per_s: How much is read in a second, in bytes; 0 for nothing.
    """

    data: bytes
    bytes_per_s: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Reconnect:
    """Opens a connection, sends the beginning of a request and closes.

    Attributes:
        data: The beginning.
    """

    data: bytes


Behavior = Repeat | Stop | Trickle | SendAhead | SlowRead | Reconnect

KINDS = (
    "whole",
    "pieces",
    "chunks",
    "chunk_pairs",
    "stopped_body",
    "stopped_head",
    "over_length",
    "over_chunks",
    "over_head",
    "fields",
    "query",
    "slashes",
    "spaces",
    "trailers",
    "ahead_read",
    "ahead_unread",
    "unread",
    "slow_read",
    "slow_head",
    "slow_body",
    "idle",
    "reconnect",
    "wait",
)


def make_behavior(
    kind: str, path: str, body_bytes: int = BODY_BYTES
) -> Behavior:
    """Returns how a client of a kind behaves.

    Args:
        kind: One of `KINDS`.
        path: The path that it requests.
        body_bytes: The limit on a body, in bytes.
    """
    body = b"x" * body_bytes
    sized = _make_head("POST", path, f"Content-Length: {len(body)}")
    chunked = _make_head("POST", path, "Transfer-Encoding: chunked")
    get = _make_head("GET", path)
    match kind:
        case "whole":
            return Repeat(sized + body)
        case "pieces":
            return Repeat(sized + body, SMALL_WRITE_BYTES)
        case "chunks":
            return Repeat(chunked + b"1\r\nx\r\n" * body_bytes + b"0\r\n\r\n")
        case "chunk_pairs":
            pair = b"1;a\r\nx\r\n02\r\nxx\r\n"
            return Repeat(chunked + pair * (body_bytes // 3) + b"0\r\n\r\n")
        case "stopped_body":
            return Stop(sized + body[1:])
        case "stopped_head":
            return Stop(get[:-2] + b"a: " + b"x" * (HEADER_BYTES // 2))
        case "over_length":
            over = f"Content-Length: {1000 * body_bytes}"
            return SendAhead(_make_head("POST", path, over), body)
        case "over_chunks":
            chunk = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
            return SendAhead(chunked, chunk)
        case "over_head":
            return SendAhead(get[:-2], b"a: b\r\n" * 3_000)
        case "fields":
            return Repeat(get[:-2] + b"a:b\r\n" * FIELDS + b"\r\n")
        case "query":
            query = "&".join(["a=b"] * (HEADER_BYTES // 4 - 100))
            return Repeat(_make_head("GET", f"{path}?{query}"))
        case "slashes":
            long = "/" * (HEADER_BYTES - 400)
            return Repeat(_make_head("GET", path + long))
        case "spaces":
            spaces = b" " * (HEADER_BYTES - 400)
            return Repeat(get[:-2] + b"a:" + spaces + b"\0\r\n\r\n")
        case "trailers":
            trailers = b"a:b\r\n" * FIELDS
            return Repeat(chunked + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n")
        case "ahead_read":
            return SendAhead(b"", get * 50, reads=True)
        case "ahead_unread":
            return SendAhead(b"", get * 50)
        case "unread":
            return SlowRead(get)
        case "slow_read":
            return SlowRead(get, 1_000)
        case "slow_head":
            return Trickle(get[:-2], b"a: " + b"x" * 1_000)
        case "slow_body":
            return Trickle(sized + body[:-1_000], body[:1_000])
        case "idle":
            return Stop(b"")
        case "reconnect":
            return Reconnect(get[:-2])
        case "wait":
            changes = api.ChangesRequest("vm-1", NO_REVISION_YET, MAX_WAIT_MS)
            asked = encoding.encode_request(changes)
            length = f"Content-Length: {len(asked)}"
            return Repeat(_make_head("POST", path, length) + asked)
    raise ValueError(f"{kind}: unknown kind of client")


def _make_head(method: str, path: str, *fields: str) -> bytes:
    """Returns a request line and headers."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {deployment.HOST}",
        f"Azureramp-Request-Id: {ID_MARK.decode()}",
        f"Azureramp-Deadline-Ms: {DEADLINE_MS}",
        *fields,
    )
    return "\r\n".join([*lines, "", ""]).encode()
