"""Calls over pooled connections, independent of the transport."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.policy import connections
from azureramp.ports.searchers import api, health, pool
from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import time_limit

CONNECT_TIMEOUT_S = 1.0
"""Maximum time to open a connection, in seconds."""

MAX_ENCODE_S = 0.05
"""Maximum time between computing a deadline and writing it, in seconds."""

CallResult = expression.Result[api.Reply, errors.Failure]


class Link(health.HealthLink, Protocol):
    """One connection to a searcher."""

    async def call(
        self, call: api.Call, remaining_ms: float, may_write: Callable[[], bool]
    ) -> CallResult:
        """Makes a call.

        Args:
            call: The call.
            remaining_ms: The remaining time to send, in milliseconds.
            may_write: See `api.Searchers.call`.

        Raises:
            NotSentError: Nothing was written.
            ConnectionBrokenError: The connection failed.
        """
        ...


_L = TypeVar("_L", bound=Link)


@dataclasses.dataclass(slots=True)
class WritePermission:
    """Checks whether a call may be written and records the result.

    Attributes:
        may_write: Returns True if the call may be written.
        computed_s: Event loop time at which the deadline to be written was
            computed, in seconds.
        checked: True if `may_write` was called.
        granted: The result of `may_write`.
    """

    may_write: Callable[[], bool]
    computed_s: float = 0.0
    checked: bool = False
    granted: bool = False

    def check(self) -> bool:
        """Returns True if the first byte may be written now.

        If the process was paused after the request was encoded, the searcher
        would receive a deadline that is too late by the length of the pause,
        and the work could outlast the lease that limits it. The pause is
        detected by the clock, and the request is not written.
        """
        elapsed_s = asyncio.get_running_loop().time() - self.computed_s
        if elapsed_s > MAX_ENCODE_S:
            return False
        self.checked = True
        self.granted = self.may_write()
        return self.granted


class PooledSearchers(Generic[_L]):
    """Makes calls over pools of connections; see `api.Searchers`."""

    __slots__ = ("_health", "_overdue_checks", "_pools")

    def __init__(self, connect: pool.Connect[_L]) -> None:
        """Makes a port without connections.

        Args:
            connect: Opens a connection.
        """
        self._pools: pool.Pools[_L] = pool.Pools(connect)
        self._health: health.HealthReader[_L] = health.HealthReader(connect)
        self._overdue_checks: set[asyncio.Task[None]] = set()

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the maximum number of connections; see `api.Searchers`."""
        for_calls, for_health = connections.split_connections(limit)
        self._health.set_limit(address, for_health)
        self._pools.get(address).set_limit(for_calls)

    def count_connections(self, address: str) -> api.ConnectionCounts:
        """Returns the connection counts; see `api.Searchers`."""
        pooled = self._pools.get(address)
        pooled.prune()
        health_links = self._health.count_connections(address)
        return api.ConnectionCounts(
            pooled.open_count + health_links.open_count,
            pooled.lost + health_links.lost_count,
        )

    async def call(
        self, call: api.Call, may_write: Callable[[], bool]
    ) -> expression.Result[api.Reply, api.CallFailure]:
        """Makes one call; see `api.Searchers`."""
        permission = WritePermission(may_write)
        deadline_s = asyncio.get_running_loop().time() + call.deadline_ms / 1000
        try:
            async with asyncio.timeout_at(deadline_s):
                outcome = await self._call(call, permission, deadline_s)
        except TimeoutError:
            outcome = expression.Error(
                errors.Failure(errors.Kind.DEADLINE_PASSED, "no reply in time")
            )
        match outcome:
            case expression.Result(tag="ok", ok=reply):
                return expression.Ok(reply)
            case expression.Result(error=failure):
                return expression.Error(
                    api.CallFailure(failure, permission.granted)
                )

    async def read_health(
        self, address: str, fresh: bool = False
    ) -> health.HealthResult:
        """Reads a searcher's health report; see `api.Searchers`."""
        return await self._health.read(address, fresh)

    async def close(self) -> None:
        """Closes all idle connections."""
        for task in self._overdue_checks:
            task.cancel()
        self._health.close()
        self._pools.close()

    async def _call(
        self, call: api.Call, permission: WritePermission, deadline_s: float
    ) -> CallResult:
        """Makes a call, trying other connections while nothing was written."""
        pooled = self._pools.get(call.address)
        while True:
            match await pooled.acquire(CONNECT_TIMEOUT_S):
                case expression.Result(tag="ok", ok=link):
                    outcome = await self._try_link(
                        pooled, link, call, permission, deadline_s
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
        permission: WritePermission,
        deadline_s: float,
    ) -> CallResult | None:
        """Makes a call on one connection.

        Returns:
            The outcome; None if the call may be made on another connection.
        """
        loop = asyncio.get_running_loop()
        permission.computed_s = loop.time()
        remaining_ms = (deadline_s - permission.computed_s) * 1000
        timer = None
        if call.suspect_after_ms:
            timer = time_limit.Timer(
                permission.computed_s + call.suspect_after_ms / 1000,
                functools.partial(
                    self._start_overdue_check,
                    pooled,
                    link,
                    call,
                    permission.computed_s,
                ),
            )
        broke = False
        try:
            return check_reply(
                call,
                await link.call(call, remaining_ms, permission.check),
                link,
            )
        except web_connection.NotSentError:
            # The searcher closed an idle connection, or this process was
            # paused. No byte was written, so another connection may be used
            # unless `may_write` returned False.
            broke = not link.is_reusable()
            if not permission.checked:
                return None
            return expression.Error(
                errors.Failure(errors.Kind.NOT_OWNER, "may not write")
            )
        except web_connection.ConnectionBrokenError as error:
            broke = True
            return expression.Error(
                errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
            )
        finally:
            if timer is not None:
                timer.cancel()
            pooled.release(link, broke)

    def _start_overdue_check(
        self,
        pooled: pool.AddressPool[_L],
        link: _L,
        call: api.Call,
        started_s: float,
    ) -> None:
        """Starts a background check for half-open connections."""
        task = asyncio.ensure_future(
            self._check_overdue(pooled, link, call, started_s)
        )
        self._overdue_checks.add(task)
        task.add_done_callback(self._overdue_checks.discard)

    async def _check_overdue(
        self,
        pooled: pool.AddressPool[_L],
        link: _L,
        call: api.Call,
        started_s: float,
    ) -> None:
        """Detects half-open connections after a reply became overdue.

        A middlebox may have lost its state for the connections, so that
        everything sent on them is dropped. This is assumed if a reply is
        overdue on an existing connection while a new one works. All idle
        connections without activity since the call started are then closed.

        A repeatable call is aborted as well, to free its slot and to allow a
        retry elsewhere before its deadline. It is aborted immediately if the
        searcher reports fewer calls in flight than this side has sent, since
        it has then never received this call; otherwise, as reports may be
        wrong, after `abort_after_ms`.
        """
        report = await self.read_health(call.address, fresh=True)
        match report:
            case expression.Result(tag="ok", ok=reported):
                pooled.close_idle_before(started_s)
            case _:
                return
        if not call.idempotent:
            return
        if reported.in_flight >= pooled.count_in_use():
            if not call.abort_after_ms:
                return
            now_s = asyncio.get_running_loop().time()
            await asyncio.sleep(started_s + call.abort_after_ms / 1000 - now_s)
        if link.last_active_s <= started_s:
            link.abort()


def check_reply(
    call: api.Call, outcome: CallResult, link: pool.Pooled
) -> CallResult:
    """Rejects a reply that belongs to another call.

    A searcher or proxy that confuses replies would expose one caller's data
    to another. A mismatch of the call id, the version or the key range
    reveals it. The connection is closed, since all later replies on it would
    be off by one as well.
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
