"""An HTTP/1.1 client connection: h11 over asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Sequence

import expression
import h11

from azureramp import errors
from azureramp.ports.web import api, time_limit

READ_BYTES = 65536

USER_TIMEOUT_MS = 3000
"""Maximum time that sent data or keepalive probes may stay unacknowledged, in
milliseconds. A configuration change must take effect within about 4 s, so a
watch on a dead connection has to fail early enough for the change to be
received on a new one."""

KEEPALIVE_INTERVAL_S = 1
"""Interval between keepalive probes on an idle connection, in seconds."""

MAX_KEEPALIVE_PROBES = 3
"""Number of unanswered keepalive probes after which a connection fails."""


_TCPI_RTT_OFFSET = 68
"""Byte offset of `tcpi_rtt` in Linux's `struct tcp_info`."""


class NotSentError(Exception):
    """The exchange failed before any byte was written."""


class ConnectionBrokenError(Exception):
    """The connection failed after bytes may have been written."""


class ResponseTooLargeError(ConnectionBrokenError):
    """The connection was closed because the response body is too large."""


def set_socket_options(writer: asyncio.StreamWriter) -> None:
    """Sets the socket options of a stream; see `set_transport_options`."""
    set_transport_options(writer.transport)


def set_transport_options(transport: asyncio.BaseTransport) -> None:
    """Makes the kernel detect a half-open connection quickly.

    A middlebox that has lost its state for a connection silently drops the
    packets, so a write succeeds locally and no reply ever arrives. The TCP
    user timeout makes the kernel fail the connection when sent data stays
    unacknowledged; keepalive probes detect an idle half-open connection.
    """
    sock = transport.get_extra_info("socket")
    if not isinstance(sock, socket.socket) and not hasattr(sock, "setsockopt"):
        return
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES
        )
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )


def measure_round_trip_s(transport: asyncio.BaseTransport | None) -> float:
    """Returns the kernel's round-trip time estimate for a connection.

    Returns:
        The estimate, in seconds; 0 if the transport has none.
    """
    if transport is None:
        return 0.0
    sock = transport.get_extra_info("socket")
    if not hasattr(sock, "getsockopt"):
        return 0.0
    with contextlib.suppress(OSError, AttributeError, struct.error):
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCPI_RTT_OFFSET + 4
        )
        (microseconds,) = struct.unpack_from("I", info, _TCPI_RTT_OFFSET)
        return float(microseconds) / 1e6
    return 0.0


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:port` into host and port; brackets of IPv6 are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Connection:
    """A client connection that carries one exchange at a time.

    Attributes:
        address: `IP:port` of the server.
        opened_s: Event loop time at which it was opened, in seconds.
        used_s: Event loop time at which the last exchange completed, in
            seconds.
        exchanges: Number of completed exchanges.
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
        """Wraps an open stream; see `connect`."""
        self.address = address
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)
        self.opened_s = asyncio.get_running_loop().time()
        self.used_s = self.opened_s
        self.exchanges = 0

    def is_reusable(self) -> bool:
        """Returns True if another exchange may start on this connection."""
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
        transfer: api.Transfer | None = None,
    ) -> api.Response:
        """Sends a request and reads the complete response.

        Args:
            method: The HTTP method.
            target: The encoded path and query.
            headers: Additional headers.
            body: The request body.
            may_write: Called immediately before the first write, without
                yielding to the event loop in between; False cancels the
                exchange.
            host: The value of the Host header; the address if empty.
            transfer: Limits of the response, and its progress; None for the
                default limits.

        Returns:
            The response. Check `is_reusable` before the next exchange.

        Raises:
            NotSentError: `may_write` returned False, or the connection was
                already closed; nothing was written.
            ConnectionBrokenError: The connection failed; bytes may have been
                written.
            ResponseTooLargeError: The response exceeds the limit.
        """
        data = self._encode(method, target, headers, body, host)
        if self._writer.is_closing() or self._reader.at_eof():
            raise NotSentError("closed")
        if may_write is not None and not may_write():
            # Nothing was written, so the connection can still be used.
            self._http = h11.Connection(h11.CLIENT)
            raise NotSentError("not allowed")
        try:
            self._writer.write(data)
            await self._writer.drain()
            response = await self._read_response(transfer or api.Transfer())
        except (OSError, h11.ProtocolError, EOFError) as error:
            self.abort()
            raise ConnectionBrokenError(
                str(error) or type(error).__name__
            ) from error
        except (ConnectionBrokenError, asyncio.CancelledError):
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
        """Encodes a request with h11."""
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

    async def _read_response(self, transfer: api.Transfer) -> api.Response:
        """Reads one complete response and resets the state for the next one."""
        head: h11.Response | None = None
        body = bytearray()
        while True:
            match self._http.next_event():
                case h11.NEED_DATA:
                    data = await self._reader.read(READ_BYTES)
                    now_s = asyncio.get_running_loop().time()
                    transfer.record_data(len(data), now_s)
                    self._http.receive_data(data)
                case h11.InformationalResponse():
                    pass
                case h11.Response() as event:
                    head = event
                    _check_size(_get_content_length(head), transfer)
                case h11.Data() as event:
                    body += event.data
                    _check_size(len(body), transfer)
                case h11.EndOfMessage() if head is not None:
                    break
                case event:
                    raise EOFError(f"{event} received instead of a response")
        if self._http.our_state is h11.MUST_CLOSE or self._has_surplus():
            self.abort()
        else:
            self._http.start_next_cycle()
        return make_response(head, bytes(body))

    def _has_surplus(self) -> bool:
        """Returns True if bytes were received past the end of the response.

        If the server or a proxy sends more than one response, the surplus
        bytes would be read as the response to the next request.
        """
        return bool(self._http.trailing_data[0])

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._writer.transport.abort()


def _get_content_length(head: h11.Response) -> int:
    """Returns the announced size of a body in bytes; 0 if there is none."""
    for name, value in head.headers:
        if name == b"content-length":
            return int(value)
    return 0


def _check_size(size: int, transfer: api.Transfer) -> None:
    """Raises `ResponseTooLargeError` if a body exceeds the limit."""
    if size > transfer.max_body_bytes:
        raise ResponseTooLargeError(
            f"the response body is too large: {size} bytes or more,"
            f" at most {transfer.max_body_bytes} are accepted"
        )


def make_response(head: h11.Response, body: bytes) -> api.Response:
    """Converts an h11 response and its body."""
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
        timeout_s: Maximum wait, in seconds.

    Returns:
        The connection, or `CONNECTION_LOST` if it could not be opened in
        time.
    """
    host, port = split_address(address)
    try:
        async with time_limit.end_after(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
    except (OSError, TimeoutError) as error:
        detail = f"connect to {address}: {str(error) or 'timeout'}"
        return expression.Error(
            errors.Failure(errors.Kind.CONNECTION_LOST, detail)
        )
    set_socket_options(writer)
    return expression.Ok(Connection(address, reader, writer))
