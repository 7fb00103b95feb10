"""Making calls over pooled connections, whatever carries them."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.policy import connections
from azureramp.ports.searchers import api, health, pool
from azureramp.ports.web import connection as web_connection

CONNECT_TIMEOUT_S = 1.0
"""Longest time that opening a connection may take, in seconds."""

ENCODE_S = 0.05
"""Longest time between telling a deadline and writing it, in seconds."""

Outcome = expression.Result[api.Reply, errors.Failure]


class Link(health.HealthLink, Protocol):
    """One connection to a searcher."""

    async def call(
        self, call: api.Call, left_ms: float, may_write: Callable[[], bool]
    ) -> Outcome:
        """Makes a call.

        Args:
            call: The call.
            left_ms: The deadline to tell, in milliseconds from now.
            may_write: See `api.Searchers.call`.

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
        told_s: When the deadline that will be written was worked out.
        asked: True once asked.
        given: The answer.
    """

    may_write: Callable[[], bool]
    told_s: float = 0.0
    asked: bool = False
    given: bool = False

    def ask(self) -> bool:
        """Returns whether the first byte may be written now.

        A process paused since it encoded the request would tell the searcher
        a deadline that is later than meant by the pause, and the work could
        outlast the lease that it was cut to. It shows by the clock, and the
        request isn't written.
        """
        late_s = asyncio.get_running_loop().time() - self.told_s
        if late_s > ENCODE_S:
            return False
        self.asked = True
        self.given = self.may_write()
        return self.given


class PooledSearchers(Generic[_L]):
    """Calls to searchers over pools of links; see `api.Searchers`."""

    __slots__ = ("_health", "_judging", "_pools")

    def __init__(self, connect: pool.Connect[_L]) -> None:
        """Makes it without any connection.

        Args:
            connect: Opens a link.
        """
        self._pools: pool.Pools[_L] = pool.Pools(connect)
        self._health: health.Reader[_L] = health.Reader(connect)
        self._judging: set[asyncio.Task[None]] = set()

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the most connections to hold open; see `api.Searchers`."""
        for_calls, for_health = connections.split_share(limit)
        self._health.set_limit(address, for_health)
        self._pools.get(address).set_limit(for_calls)

    def get_links(self, address: str) -> api.Links:
        """Returns what is known of the connections to an address."""
        pooled = self._pools.get(address)
        pooled.prune()
        watched = self._health.get_links(address)
        return api.Links(
            pooled.opened + watched.open, pooled.lost + watched.lost
        )

    async def call(
        self, call: api.Call, may_write: Callable[[], bool]
    ) -> expression.Result[api.Reply, api.CallFailure]:
        """Makes one call, once; see `api.Searchers`."""
        permission = Permission(may_write)
        until_s = asyncio.get_running_loop().time() + call.deadline_ms / 1000
        try:
            async with asyncio.timeout_at(until_s):
                outcome = await self._call(call, permission, until_s)
        except TimeoutError:
            outcome = expression.Error(
                errors.Failure(errors.Kind.DEADLINE_PASSED, "no reply in time")
            )
        match outcome:
            case expression.Result(tag="ok", ok=reply):
                return expression.Ok(reply)
            case expression.Result(error=failure):
                return expression.Error(
                    api.CallFailure(failure, permission.given)
                )

    async def read_health(
        self, address: str, fresh: bool = False
    ) -> health.Report:
        """Reads a searcher's own report; see `api.Searchers`."""
        return await self._health.read(address, fresh)

    async def close(self) -> None:
        """Closes every idle connection."""
        for task in self._judging:
            task.cancel()
        self._health.close()
        self._pools.close()

    async def _call(
        self, call: api.Call, permission: Permission, until_s: float
    ) -> Outcome:
        """Makes a call on the first connection that takes its bytes."""
        pooled = self._pools.get(call.address)
        while True:
            match await pooled.acquire(CONNECT_TIMEOUT_S):
                case expression.Result(tag="ok", ok=link):
                    outcome = await self._try_link(
                        pooled, link, call, permission, until_s
                    )
                    if outcome is not None:
                        return outcome
                case expression.Result(error=failure):
                    return expression.Error(failure)

    async def _try_link(
        self,
        pooled: pool.AddressPool[_L],
        link: _L,
        call: api.Call,
        permission: Permission,
        until_s: float,
    ) -> Outcome | None:
        """Makes a call on one connection; None if it may go to another."""
        loop = asyncio.get_running_loop()
        permission.told_s = loop.time()
        left_ms = (until_s - permission.told_s) * 1000
        overdue = None
        if call.overdue_ms:
            overdue = loop.call_later(
                call.overdue_ms / 1000,
                self._begin_judging,
                pooled,
                link,
                call,
                permission.told_s,
            )
        broke = False
        try:
            return check_reply(
                call, await link.call(call, left_ms, permission.ask), link
            )
        except web_connection.UnsentError:
            # The searcher closed an idle connection, or this process was
            # paused: no byte was written, so the call may go to another
            # connection, unless its owner has forbidden it.
            broke = not link.is_reusable()
            if not permission.asked:
                return None
            return expression.Error(
                errors.Failure(errors.Kind.NOT_OWNER, "may not write")
            )
        except web_connection.BrokenError as error:
            broke = True
            return expression.Error(
                errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
            )
        finally:
            if overdue is not None:
                overdue.cancel()
            pooled.release(link, broke)

    def _begin_judging(
        self,
        pooled: pool.AddressPool[_L],
        link: _L,
        call: api.Call,
        began_s: float,
    ) -> None:
        """Looks into an overdue reply, in the background."""
        task = asyncio.ensure_future(self._judge(pooled, link, call, began_s))
        self._judging.add(task)
        task.add_done_callback(self._judging.discard)

    async def _judge(
        self,
        pooled: pool.AddressPool[_L],
        link: _L,
        call: api.Call,
        began_s: float,
    ) -> None:
        """Judges the connections after a reply was overdue on one.

        Something between the two ends may have lost track of them: bytes go
        in and nothing comes out, for good. It shows by an overdue reply on
        an old connection while a fresh one works. Then every idle connection
        without proof of life since the call began is closed. The call itself
        is given up too if it may be repeated, so that its slot comes free
        and it can go elsewhere before its deadline: at once if the searcher
        reports fewer calls than this side has there, since then it never
        got this one; else, as reports mislead, after some more time.
        """
        report = await self.read_health(call.address, fresh=True)
        match report:
            case expression.Result(tag="ok", ok=seen):
                pooled.suspect(began_s)
            case _:
                return
        if not call.repeatable:
            return
        if seen.in_flight >= pooled.count_in_use():
            if not call.give_up_ms:
                return
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(began_s + call.give_up_ms / 1000 - now_s)
        if link.proven_s <= began_s:
            link.abort()


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
