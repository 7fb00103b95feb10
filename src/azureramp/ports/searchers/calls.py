"""Making calls over pooled connections, whatever carries them."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.ports.searchers import api, pool
from azureramp.ports.web import connection as web_connection

CONNECT_TIMEOUT_S = 1.0
"""Longest time that opening a connection may take, in seconds."""

HEALTH_TIMEOUT_S = 1.0
"""Longest time that a health read may take, in seconds."""

Outcome = expression.Result[api.Reply, errors.Failure]


class Link(pool.Pooled, Protocol):
    """One connection to a searcher."""

    async def call(
        self, call: api.Call, may_write: Callable[[], bool]
    ) -> Outcome:
        """Makes a call.

        Raises:
            UnsentError: Nothing was written.
            BrokenError: The connection failed.
        """
        ...

    async def read_health(
        self,
    ) -> expression.Result[api.Health, errors.Failure]:
        """Reads the searcher's health.

        Raises:
            UnsentError: Nothing was written.
            BrokenError: The connection failed.
        """
        ...


_L = TypeVar("_L", bound=Link)


@dataclasses.dataclass(slots=True)
class Permission:
    """Asks for the leave to write, once, and remembers the answer.

    Attributes:
        may_write: Who is asked.
        asked: True once asked.
        given: The answer.
    """

    may_write: Callable[[], bool]
    asked: bool = False
    given: bool = False

    def ask(self) -> bool:
        """Returns whether the first byte may be written now."""
        self.asked = True
        self.given = self.may_write()
        return self.given


class PooledSearchers(Generic[_L]):
    """Calls to searchers over pools of links; see `api.Searchers`."""

    __slots__ = ("_connect", "_pools")

    def __init__(self, connect: pool.Connect[_L]) -> None:
        """Makes it without any connection.

        Args:
            connect: Opens a link.
        """
        self._connect = connect
        self._pools: pool.Pools[_L] = pool.Pools(connect)

    def set_limit(self, address: str, connections: int) -> None:
        """Sets the most connections to hold open to an address."""
        self._pools.get(address).limit = connections

    async def call(
        self, call: api.Call, may_write: Callable[[], bool]
    ) -> expression.Result[api.Reply, api.CallFailure]:
        """Makes one call, once; see `api.Searchers`."""
        permission = Permission(may_write)
        try:
            async with asyncio.timeout(max(0.0, call.deadline_ms / 1000)):
                outcome = await self._call(call, permission)
        except TimeoutError:
            outcome = expression.Error(
                errors.Failure(errors.Kind.DEADLINE_PASSED, "no reply in time")
            )
        return outcome.map_error(
            lambda failure: api.CallFailure(failure, permission.given)
        )

    async def read_health(
        self, address: str
    ) -> expression.Result[api.Health, errors.Failure]:
        """Reads a searcher's own report, on its own connection.

        The connection is always a fresh one: this is what tells a crashed
        searcher from a connection that went silent.
        """
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                opened = await self._connect(address, HEALTH_TIMEOUT_S)
                match opened:
                    case expression.Result(tag="ok", ok=link):
                        try:
                            return await link.read_health()
                        finally:
                            link.abort()
                    case expression.Result(error=failure):
                        return expression.Error(failure)
        except (
            TimeoutError,
            web_connection.UnsentError,
            web_connection.BrokenError,
        ) as error:
            return expression.Error(
                errors.Failure(
                    errors.Kind.CONNECTION_LOST, f"health: {error!r}"
                )
            )

    async def close(self) -> None:
        """Closes every idle connection."""
        self._pools.close()

    async def _call(self, call: api.Call, permission: Permission) -> Outcome:
        """Makes a call on the first connection that takes its bytes."""
        pooled = self._pools.get(call.address)
        while True:
            opened = await pooled.acquire(CONNECT_TIMEOUT_S)
            match opened:
                case expression.Result(tag="ok", ok=link):
                    pass
                case expression.Result(error=failure):
                    return expression.Error(failure)
            try:
                return check_reply(
                    call, await link.call(call, permission.ask), link
                )
            except web_connection.UnsentError:
                # The searcher closed an idle connection: no byte was
                # written, so the call goes to another one.
                if permission.asked:
                    return expression.Error(
                        errors.Failure(errors.Kind.NOT_OWNER, "may not write")
                    )
            except web_connection.BrokenError as error:
                return expression.Error(
                    errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
                )
            finally:
                pooled.release(link)


def check_reply(call: api.Call, outcome: Outcome, link: pool.Pooled) -> Outcome:
    """Refuses a reply that belongs to another call.

    A searcher, or something before it, that gives one call's reply to
    another would mix two callers' data. It shows by the call's id, version
    or range; the connection is closed, since the replies that still come on
    it are one off too.
    """
    match outcome:
        case expression.Result(tag="ok", ok=reply) if (
            reply.call_id != call.call_id
            or reply.version != call.version
            or (reply.low, reply.high) != (call.low, call.high)
        ):
            link.abort()
            return expression.Error(
                errors.Failure(
                    errors.Kind.CROSSED_REPLY, "the reply is of another call"
                )
            )
        case _:
            return outcome
