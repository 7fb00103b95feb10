"""One HTTP/1.1 client connection, by h11 over asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Sequence

import expression
import h11

from azureramp import errors
from azureramp.ports.web import api

MAX_BODY_BYTES = 4_000_000
"""Largest response body that is taken."""

READ_BYTES = 65536

USER_TIMEOUT_MS = 3000
"""Longest time that bytes or probes may stay without acknowledgement. A watch
on a connection that went silent must be given up while there is still time to
hear of a change that has to be in force within some 4 s."""

PROBE_S = 1
"""Time between keepalive probes of an idle connection, in seconds."""

PROBES = 3
"""Unanswered probes after which a connection is given up."""


_ROUND_TRIP_AT = 68
"""Where `tcpi_rtt` stands in Linux's `struct tcp_info`, in bytes."""


class UnsentError(Exception):
    """The exchange ended before any byte was written."""


class BrokenError(Exception):
    """The connection failed after bytes may have been written."""


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Sets the options of a stream; see `set_transport_options`."""
    set_transport_options(writer.transport)


def set_transport_options(transport: asyncio.BaseTransport) -> None:
    """Makes a connection that went silent for good fail soon.

    A middlebox that has forgotten a connection drops its packets without a
    word, so a write succeeds locally and no reply ever comes. The user
    timeout makes the kernel fail it once bytes stay unacknowledged, and the
    keepalive finds an idle one.
    """
    sock = transport.get_extra_info("socket")
    if not isinstance(sock, socket.socket) and not hasattr(sock, "setsockopt"):
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )


def measure_round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Returns the kernel's estimate of a connection's round trip, in seconds.

    Returns:
        The estimate; 0 if the transport has none.
    """
    sock = transport.get_extra_info("socket")
    if not hasattr(sock, "getsockopt"):
        return 0.0
    with contextlib.suppress(OSError, AttributeError, struct.error):
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _ROUND_TRIP_AT + 4
        )
        (microseconds,) = struct.unpack_from("I", info, _ROUND_TRIP_AT)
        return float(microseconds) / 1e6
    return 0.0


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port`."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Connection:
    """One connection, for one exchange at a time.

    Attributes:
        address: `IP:port` of the server.
        opened_s: When it was opened, on the loop's clock.
        used_s: When it last ended an exchange, on the loop's clock.
        exchanges: How many exchanges it has ended.
    """

    __slots__ = (
        "_http",
        "_reader",
        "_writer",
        "address",
        "exchanges",
        "opened_s",
        "used_s",
    )

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Takes over an open stream; see `connect`."""
        self.address = address
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.opened_s = asyncio.get_running_loop().time()
        self.used_s = self.opened_s
        self.exchanges = 0

    def is_reusable(self) -> bool:
        """Tells whether another exchange may begin on it."""
        return (
            self._http.our_state is h11.IDLE
            and not self._reader.at_eof()
            and not self._writer.is_closing()
        )

    async def exchange(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes = b"",
        may_write: Callable[[], bool] | None = None,
        host: str = "",
    ) -> api.Response:
        """Sends a request and reads its whole response.

        Args:
            method: The HTTP method.
            target: The path with its query, encoded.
            headers: Further headers.
            body: The request's body.
            may_write: Asked with no wait before the first write.
            host: The host to name; the address if empty.

        Returns:
            The response; the connection is reusable afterwards unless
            `is_reusable` says otherwise.

        Raises:
            UnsentError: `may_write` said no, or the connection was closed
                before; nothing was written.
            BrokenError: The connection failed; bytes may have been written.
        """
        data = self._encode(method, target, headers, body, host)
        if self._writer.is_closing() or self._reader.at_eof():
            raise UnsentError("closed")
        if may_write is not None and not may_write():
            # Nothing was written, so the connection is as good as new.
            self._http = h11.Connection(h11.CLIENT)
            raise UnsentError("not allowed")
        try:
            self._writer.write(data)
            await self._writer.drain()
            response = await self._read_response()
        except (OSError, h11.ProtocolError, EOFError) as error:
            self.abort()
            raise BrokenError(str(error) or type(error).__name__) from error
        except asyncio.CancelledError:
            self.abort()
            raise
        self.used_s = asyncio.get_running_loop().time()
        self.exchanges += 1
        return response

    def _encode(
        self,
        method: str,
        target: str,
        headers: Sequence[tuple[str, str]],
        body: bytes,
        host: str,
    ) -> bytes:
        """Encodes a request by h11."""
        request = h11.Request(
            method=method,
            target=target,
            headers=[
                ("Host", host or self.address),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read_response(self) -> api.Response:
        """Reads one response to its end, and makes ready for the next."""
        head: h11.Response | None = None
        body = bytearray()
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    data = await self._reader.read(READ_BYTES)
                    self._http.receive_data(data)
                case h11.InformationalResponse():
                    pass
                case h11.Response() as event:
                    head = event
                case h11.Data() as event:
                    body += event.data
                    if len(body) > MAX_BODY_BYTES:
                        raise EOFError("the body is too large")
                case h11.EndOfMessage() if head is not None:
                    break
                case event:
                    raise EOFError(f"{event} instead of a response")
        if self._http.our_state is h11.MUST_CLOSE or self._has_surplus():
            self.abort()
        else:
            self._http.start_next_cycle()
        return make_response(head, bytes(body))

    def _has_surplus(self) -> bool:
        """Tells whether bytes came past the end of the response.

        A server, or something before it, that sends more than was asked for
        would have the surplus read as the next request's response.
        """
        return bool(self._http.trailing_data[0])

    def abort(self) -> None:
        """Closes at once."""
        self._writer.transport.abort()


def make_response(head: h11.Response, body: bytes) -> api.Response:
    """Makes a response of h11's."""
    headers = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in head.headers
    )
    fields = {name.lower(): value for name, value in headers}
    return api.Response(
        status=head.status_code,
        body=body,
        content_type=fields.get("content-type", ""),
        headers=headers,
    )


async def connect(
    address: str, timeout_s: float
) -> expression.Result[Connection, errors.Failure]:
    """Opens a connection.

    Args:
        address: `IP:port`.
        timeout_s: Longest wait, in seconds.

    Returns:
        The connection, or `CONNECTION_LOST`.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        detail = f"connect to {address}: {error or 'timeout'}"
        return expression.Error(
            errors.Failure(errors.Kind.CONNECTION_LOST, detail)
        )
    set_socket_options(writer)
    return expression.Ok(Connection(address, reader, writer))
