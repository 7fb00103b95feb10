"""A pool of client connections to one server of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import expression

from azureramp import errors
from azureramp.ports.web import api, time_limit
from azureramp.ports.web import connection as web_connection

CONNECT_S = 1.0
"""Maximum wait for a new connection, in seconds."""

MAX_IDLE_S = 2.0
"""Maximum idle time of a connection that may be reused, in seconds."""

MAX_IDLE = 16
"""Maximum number of idle connections."""


class Pool:
    """Makes exchanges with one address over pooled connections.

    After a middlebox has lost its state for a connection, everything written
    to the connection is dropped and an exchange on it ends only by timeout or
    by cancellation. Two rules limit the damage: a connection that was idle
    for longer than `MAX_IDLE_S` is not reused, and an exchange that timed out
    or was cancelled closes every idle connection, since these used the same
    network path.
    """

    __slots__ = ("_address", "_idle")

    def __init__(self, address: str) -> None:
        """Makes an empty pool.

        Args:
            address: `IP:port` of the server.
        """
        self._address = address
        self._idle: list[web_connection.Connection] = []

    async def exchange(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        timeout_s: float = 2.0,
        headers: Sequence[tuple[str, str]] = (),
        transfer: api.Transfer | None = None,
    ) -> expression.Result[api.Response, errors.Failure]:
        """Makes one exchange; it is not retried once bytes were written.

        Args:
            method: The HTTP method.
            target: The encoded path and query.
            body: The request body.
            timeout_s: Maximum time for the exchange, in seconds, unless
                `transfer` extends it.
            headers: Additional headers.
            transfer: Limits of the response, and its progress; None for the
                default limits.

        Returns:
            The response; `STORE_UNAVAILABLE` if nothing was written, or
            `STORE_OUTCOME_UNKNOWN` if the server may have processed the
            request.
        """
        transfer = transfer or api.Transfer()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            connection = self._pop_idle()
            if connection is None:
                wait_s = min(CONNECT_S, timeout_s)
                opened = await web_connection.connect(self._address, wait_s)
                if opened.is_error():
                    return _fail(
                        errors.Kind.STORE_UNAVAILABLE, opened.error.detail
                    )
                connection = opened.ok
            try:
                async with time_limit.end_unless_extended(
                    deadline_s, transfer.get_stall_end_s
                ):
                    response = await connection.exchange(
                        method, target, headers, body, transfer=transfer
                    )
            except web_connection.NotSentError:
                connection.abort()
                continue
            except web_connection.ConnectionBrokenError as error:
                return _fail(errors.Kind.STORE_OUTCOME_UNKNOWN, str(error))
            except TimeoutError:
                self.close()
                detail = "timeout"
                if transfer.received_bytes:
                    detail += f" after {transfer.received_bytes} bytes"
                return _fail(errors.Kind.STORE_OUTCOME_UNKNOWN, detail)
            except asyncio.CancelledError:
                self.close()
                raise
            self._release(connection)
            return expression.Ok(response)

    def close(self) -> None:
        """Closes all idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _pop_idle(self) -> web_connection.Connection | None:
        """Removes and returns the most recently used reusable connection.

        Returns:
            The connection; None if no idle connection can be reused.
        """
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            is_recent = now_s - connection.used_s <= MAX_IDLE_S
            if is_recent and connection.is_reusable():
                return connection
            connection.abort()
        return None

    def _release(self, connection: web_connection.Connection) -> None:
        """Returns a connection to the pool; closes it if the pool is full."""
        if connection.is_reusable() and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.abort()


def _fail(
    kind: errors.Kind, detail: str
) -> expression.Result[api.Response, errors.Failure]:
    """Makes the result of a failed exchange."""
    return expression.Error(errors.Failure(kind, detail))
