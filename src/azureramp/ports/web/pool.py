"""Reused client connections to one server of the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import expression

from azureramp import errors
from azureramp.ports.web import api
from azureramp.ports.web import connection as web_connection

CONNECT_S = 1.0
"""Longest wait for a new connection, in seconds."""

MAX_IDLE_S = 2.0
"""Longest idle time after which a connection is used again, in seconds."""

MAX_IDLE = 16
"""Most idle connections that are kept."""


class Pool:
    """Makes exchanges with one address, over reused connections.

    A connection that a box in between has forgotten swallows what is written
    to it, so an exchange on it ends by its timeout, or by its caller's. Two
    rules bound that: a connection idle for longer than `MAX_IDLE_S` is not
    used again, and an exchange that was given up drops every idle connection,
    since they went the same way.
    """

    __slots__ = ("_address", "_idle")

    def __init__(self, address: str) -> None:
        """Makes a pool without connections.

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
    ) -> expression.Result[api.Response, errors.Failure]:
        """Makes one exchange; it is never repeated once bytes were written.

        Returns:
            The response; `STORE_UNAVAILABLE` if nothing was written, or
            `STORE_OUTCOME_UNKNOWN` if the server may have taken it.
        """
        until_s = asyncio.get_running_loop().time() + timeout_s
        while True:
            connection = self._take()
            if connection is None:
                opened = await web_connection.connect(self._address, CONNECT_S)
                if opened.is_error():
                    return _fail(
                        errors.Kind.STORE_UNAVAILABLE, opened.error.detail
                    )
                connection = opened.ok
            try:
                async with asyncio.timeout_at(until_s):
                    response = await connection.exchange(
                        method, target, headers, body
                    )
            except web_connection.UnsentError:
                connection.abort()
                continue
            except web_connection.BrokenError as error:
                return _fail(errors.Kind.STORE_OUTCOME_UNKNOWN, str(error))
            except TimeoutError:
                self.close()
                return _fail(errors.Kind.STORE_OUTCOME_UNKNOWN, "timeout")
            except asyncio.CancelledError:
                self.close()
                raise
            self._keep(connection)
            return expression.Ok(response)

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _take(self) -> web_connection.Connection | None:
        """Takes the idle connection that was used last, if any is fit."""
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            fresh = now_s - connection.used_s <= MAX_IDLE_S
            if fresh and connection.is_reusable():
                return connection
            connection.abort()
        return None

    def _keep(self, connection: web_connection.Connection) -> None:
        """Keeps a connection for the next exchange, within the bound."""
        if connection.is_reusable() and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            connection.abort()


def _fail(
    kind: errors.Kind, detail: str
) -> expression.Result[api.Response, errors.Failure]:
    """Makes a failed exchange."""
    return expression.Error(errors.Failure(kind, detail))
