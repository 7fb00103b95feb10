"""Bounded connection pools, one for each searcher address."""

from __future__ import annotations

import asyncio
import collections
import math
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.policy import connections

DEFAULT_LIMIT = 4
"""Maximum number of connections to an address without a set limit."""


class Pooled(Protocol):
    """The connection interface that the pool requires."""

    @property
    def last_active_s(self) -> float:
        """Event loop time of its opening or last response, in seconds."""
        ...

    def is_reusable(self) -> bool:
        """Returns True if another exchange may start on this connection."""
        ...

    def abort(self) -> None:
        """Closes the connection immediately."""
        ...


_C = TypeVar("_C", bound=Pooled)

Connect = Callable[
    [str, float], Awaitable[expression.Result[_C, errors.Failure]]
]
"""Opens a connection to an address, with a timeout in seconds."""


class AddressPool(Generic[_C]):
    """The connections for calls to one address.

    Attributes:
        open_count: Number of open connections, in use or idle.
        lost: Number of connections broken or closed by the other side since
            the start.
    """

    __slots__ = (
        "_address",
        "_connect",
        "_idle",
        "_limit",
        "_suspect_before_s",
        "_waiters",
        "lost",
        "open_count",
    )

    def __init__(self, address: str, connect: Connect[_C]) -> None:
        """Makes an empty pool.

        Args:
            address: The searcher's `IP:port`.
            connect: Opens a connection.
        """
        self.open_count = 0
        self.lost = 0
        self._limit = DEFAULT_LIMIT
        self._suspect_before_s = -math.inf
        self._address = address
        self._connect = connect
        self._idle: list[_C] = []
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def set_limit(self, limit: int) -> None:
        """Sets the maximum number of open connections."""
        self._limit = limit
        while self._idle and self.open_count > limit:
            self._close(self._idle.pop(0))
        self._wake()

    def count_in_use(self) -> int:
        """Returns the number of connections in use."""
        return self.open_count - len(self._idle)

    async def acquire(
        self, timeout_s: float
    ) -> expression.Result[_C, errors.Failure]:
        """Returns an idle connection if one is reusable, else opens one.

        Args:
            timeout_s: Maximum wait, in seconds.

        Returns:
            The connection, which the caller must return with `release`;
            `CONNECTION_LOST` if none could be opened; `DEADLINE_PASSED` if
            none became free in time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            self.prune()
            if self._idle:
                return expression.Ok(self._idle.pop())
            if self.open_count < self._limit:
                return await self._open(deadline_s - loop.time())
            if not await self._wait(deadline_s):
                return expression.Error(
                    errors.Failure(
                        errors.Kind.DEADLINE_PASSED, "no free connection"
                    )
                )

    def release(self, connection: _C, broke: bool = False) -> None:
        """Returns a connection to the pool; closes it if not reusable.

        Args:
            connection: The connection.
            broke: True if it failed and was not closed by this side.
        """
        if broke:
            self.lost += 1
        if connection.is_reusable() and self.open_count <= self._limit:
            self._idle.append(connection)
            self._wake()
        else:
            self._close(connection)

    def close_idle_before(self, before_s: float) -> None:
        """Closes the idle connections without activity since a given time.

        Connections in use are checked in the same way after their release, by
        the time of their last response.

        Args:
            before_s: The event loop time, in seconds.
        """
        self._suspect_before_s = max(self._suspect_before_s, before_s)
        self.prune()

    def prune(self) -> None:
        """Closes the idle connections that must not be reused."""
        now_s = asyncio.get_running_loop().time()
        for connection in tuple(self._idle):
            if not connection.is_reusable():
                self.lost += 1
            elif connections.may_reuse(
                connection.last_active_s, now_s, self._suspect_before_s
            ):
                continue
            self._idle.remove(connection)
            self._close(connection)

    async def _open(
        self, timeout_s: float
    ) -> expression.Result[_C, errors.Failure]:
        """Opens a connection and counts it."""
        self.open_count += 1
        succeeded = False
        try:
            result = await self._connect(self._address, timeout_s)
            succeeded = result.is_ok()
            return result
        finally:
            if not succeeded:
                self.open_count -= 1
                self._wake()

    async def _wait(self, deadline_s: float) -> bool:
        """Waits for a free connection slot; returns False on timeout."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._stop_waiting(waiter)
        return True

    def _stop_waiting(self, waiter: asyncio.Future[None]) -> None:
        """Removes a waiter; passes its wake-up on if it has received one.

        If a waiter is cancelled in the same event loop iteration in which it
        is woken, the wake-up would otherwise be lost and the next waiter
        would keep waiting although a slot is free.
        """
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        else:
            self._wake()

    def _wake(self) -> None:
        """Wakes the longest-waiting waiter if a connection or slot is free."""
        if not self._idle and self.open_count >= self._limit:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _close(self, connection: _C) -> None:
        """Closes a connection and frees its slot."""
        connection.abort()
        self.open_count -= 1
        self._wake()


class Pools(Generic[_C]):
    """The connection pools of all addresses."""

    __slots__ = ("_connect", "_pools")

    def __init__(self, connect: Connect[_C]) -> None:
        """Makes a set without any pool.

        Args:
            connect: Opens a connection.
        """
        self._connect = connect
        self._pools: dict[str, AddressPool[_C]] = {}

    def get(self, address: str) -> AddressPool[_C]:
        """Returns the pool of an address; makes it if needed."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool(address, self._connect)
        return pool

    def close(self) -> None:
        """Closes all idle connections, and the others once released."""
        for pool in self._pools.values():
            pool.set_limit(0)
