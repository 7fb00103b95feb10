"""Bounded pools of connections to searchers, one for each address."""

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
"""Most connections to an address whose limit nobody has set."""


class Pooled(Protocol):
    """What the pool needs of a connection."""

    @property
    def proven_s(self) -> float:
        """When it last gave proof of life, on the loop's clock."""
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
    """The connections to one address that carry calls.

    Attributes:
        opened: How many are open, in use or idle.
        lost: How many the other side has closed, or broke, ever.
    """

    __slots__ = (
        "_address",
        "_connect",
        "_idle",
        "_limit",
        "_suspect_before_s",
        "_waiters",
        "lost",
        "opened",
    )

    def __init__(self, address: str, connect: Connect[_C]) -> None:
        """Makes an empty pool.

        Args:
            address: The searcher's `IP:port`.
            connect: Opens a connection.
        """
        self.opened = 0
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
        """Sets the most connections to hold open."""
        self._limit = limit
        while self._idle and self.opened > limit:
            self._close(self._idle.pop(0))
        self._wake()

    def count_in_use(self) -> int:
        """Returns how many connections carry a call now."""
        return self.opened - len(self._idle)

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
            self.prune()
            if self._idle:
                return expression.Ok(self._idle.pop())
            if self.opened < self._limit:
                return await self._open(until_s - loop.time())
            if not await self._wait(until_s):
                return expression.Error(
                    errors.Failure(
                        errors.Kind.DEADLINE_PASSED, "no free connection"
                    )
                )

    def release(self, connection: _C, broke: bool = False) -> None:
        """Gives a connection back; one that can't be reused is closed.

        Args:
            connection: The connection.
            broke: True if it failed, and wasn't closed by this side.
        """
        if broke:
            self.lost += 1
        if connection.is_reusable() and self.opened <= self._limit:
            self._idle.append(connection)
            self._wake()
        else:
            self._close(connection)

    def suspect(self, before_s: float) -> None:
        """Closes the idle connections without proof of life since a time.

        Those in use are judged by their own replies when they come back.
        """
        self._suspect_before_s = max(self._suspect_before_s, before_s)
        self.prune()

    def prune(self) -> None:
        """Closes the idle connections that may not be used again."""
        now_s = asyncio.get_running_loop().time()
        for connection in tuple(self._idle):
            if not connection.is_reusable():
                self.lost += 1
            elif connections.may_reuse(
                connection.proven_s, now_s, self._suspect_before_s
            ):
                continue
            self._idle.remove(connection)
            self._close(connection)

    async def _open(
        self, timeout_s: float
    ) -> expression.Result[_C, errors.Failure]:
        """Opens a connection and counts it."""
        self.opened += 1
        succeeded = False
        try:
            result = await self._connect(self._address, timeout_s)
            succeeded = result.is_ok()
            return result
        finally:
            if not succeeded:
                self.opened -= 1
                self._wake()

    async def _wait(self, until_s: float) -> bool:
        """Waits for a free place; False if the time ran out."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(until_s):
                await waiter
        except TimeoutError:
            return False
        finally:
            self._stop_waiting(waiter)
        return True

    def _stop_waiting(self, waiter: asyncio.Future[None]) -> None:
        """Forgets a waiter; one that was woken in vain wakes the next.

        A waiter that is cancelled in the turn in which it was woken would
        otherwise take the free place with it, and the next would wait on
        with places free.
        """
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        else:
            self._wake()

    def _wake(self) -> None:
        """Lets the longest waiter look again, if there is a place."""
        if not self._idle and self.opened >= self._limit:
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
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
        """Closes all idle connections, and others when they come back."""
        for pool in self._pools.values():
            pool.set_limit(0)
