"""Bounded pools of connections to searchers, one for each address."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.policy import connections

DEFAULT_LIMIT = 4
"""Most connections to an address whose limit nobody has set."""


class Pooled(Protocol):
    """What the pool needs of a connection."""

    @property
    def opened_s(self) -> float:
        """When it was opened, on the loop's clock."""
        ...

    @property
    def used_s(self) -> float:
        """When it last ended an exchange, on the loop's clock."""
        ...

    def is_reusable(self) -> bool:
        """Tells whether another exchange may begin on it."""
        ...

    def abort(self) -> None:
        """Closes at once."""
        ...


_C = TypeVar("_C", bound=Pooled)

Connect = Callable[
    [str, float], Awaitable[expression.Result[_C, errors.Failure]]
]
"""Opens a connection: takes the address and the longest wait in seconds."""


class AddressPool(Generic[_C]):
    """The connections to one address.

    Attributes:
        limit: Most connections to hold open.
        suspect_before_s: Connections opened before this are not used again.
    """

    __slots__ = (
        "_address",
        "_connect",
        "_freed",
        "_idle",
        "limit",
        "opened",
        "suspect_before_s",
    )

    def __init__(self, address: str, connect: Connect[_C]) -> None:
        """Makes an empty pool.

        Args:
            address: The searcher's `IP:port`.
            connect: Opens a connection.
        """
        self.limit = DEFAULT_LIMIT
        self.opened = 0
        self.suspect_before_s = 0.0
        self._address = address
        self._connect = connect
        self._idle: list[_C] = []
        self._freed: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def acquire(
        self, timeout_s: float
    ) -> expression.Result[_C, errors.Failure]:
        """Takes a connection, an idle one if any may be reused.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            The connection, which the caller gives back by `release`; or
            `CONNECTION_LOST`, or `DEADLINE_PASSED` if none came free.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while True:
            connection = self._take_idle(loop.time())
            if connection is not None:
                return expression.Ok(connection)
            if self.opened < self.limit:
                return await self._open(until_s - loop.time())
            if not await self._wait(until_s):
                return expression.Error(
                    errors.Failure(
                        errors.Kind.DEADLINE_PASSED, "no free connection"
                    )
                )

    def release(self, connection: _C) -> None:
        """Gives a connection back; a broken one is closed."""
        if connection.is_reusable() and self.opened <= self.limit:
            self._idle.append(connection)
            self._wake()
        else:
            self._close(connection)

    def suspect(self, before_s: float) -> None:
        """Closes the idle connections opened before a time.

        Those in use are closed when they come back.
        """
        self.suspect_before_s = max(self.suspect_before_s, before_s)
        self._prune(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._close(self._idle.pop())

    def _take_idle(self, now_s: float) -> _C | None:
        """Takes the idle connection that was used last."""
        self._prune(now_s)
        return self._idle.pop() if self._idle else None

    def _prune(self, now_s: float) -> None:
        """Closes the idle connections that may not be used again."""
        kept: list[_C] = []
        for connection in self._idle:
            if connection.is_reusable() and connections.may_reuse(
                connection.opened_s,
                connection.used_s,
                now_s,
                self.suspect_before_s,
            ):
                kept.append(connection)
            else:
                self._close(connection)
        self._idle = kept

    async def _open(
        self, timeout_s: float
    ) -> expression.Result[_C, errors.Failure]:
        """Opens a connection and counts it."""
        self.opened += 1
        opened = False
        try:
            result = await self._connect(self._address, timeout_s)
            opened = result.is_ok()
            return result
        finally:
            if not opened:
                self.opened -= 1
                self._wake()

    async def _wait(self, until_s: float) -> bool:
        """Waits for a free place; False if the time ran out."""
        freed = asyncio.get_running_loop().create_future()
        self._freed.append(freed)
        try:
            async with asyncio.timeout_at(until_s):
                await freed
        except TimeoutError:
            return False
        finally:
            if freed in self._freed:
                self._freed.remove(freed)
            elif freed.cancelled():
                self._wake()
        return True

    def _wake(self) -> None:
        """Lets the longest waiter look again."""
        while self._freed:
            freed = self._freed.popleft()
            if not freed.done():
                freed.set_result(None)
                return

    def _close(self, connection: _C) -> None:
        """Closes a connection and frees its place."""
        connection.abort()
        self.opened -= 1
        self._wake()


class Pools(Generic[_C]):
    """The pools of all addresses."""

    __slots__ = ("_connect", "_pools")

    def __init__(self, connect: Connect[_C]) -> None:
        """Makes no pool yet.

        Args:
            connect: Opens a connection.
        """
        self._connect = connect
        self._pools: dict[str, AddressPool[_C]] = {}

    def get(self, address: str) -> AddressPool[_C]:
        """Returns an address's pool, made at the first use."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = AddressPool(address, self._connect)
        return pool

    def close(self) -> None:
        """Closes all idle connections."""
        for pool in self._pools.values():
            pool.close()
