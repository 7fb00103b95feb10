"""The in-memory searchers port, for virtual time."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import expression

from azureramp import errors
from azureramp.ports.searchers import api, calls, health, memory_searcher
from azureramp.ports.web import connection as web_connection

Searcher = memory_searcher.Searcher
Faults = memory_searcher.Faults


class MemoryLink:
    """A connection to an in-memory searcher; see `calls.Link`.

    Attributes:
        last_active_s: Event loop time of its opening or last response, in
            seconds.
        half_open: True if everything sent on it is dropped.
    """

    __slots__ = ("_lost", "_searcher", "half_open", "last_active_s")

    def __init__(self, searcher: Searcher) -> None:
        """Opens a connection to a searcher."""
        self.last_active_s = asyncio.get_running_loop().time()
        self.half_open = False
        self._searcher = searcher
        self._lost: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        searcher.links[self] = None
        searcher.max_links = max(searcher.max_links, len(searcher.links))

    def is_reusable(self) -> bool:
        """Returns True if another exchange may start on this connection."""
        return not self._lost.done()

    def break_connection(self) -> None:
        """Breaks the connection from the searcher's side."""
        if not self._lost.done():
            self._lost.set_result(None)
        self._searcher.links.pop(self, None)

    def abort(self) -> None:
        """Closes the connection immediately."""
        self.break_connection()

    async def call(
        self, call: api.Call, remaining_ms: float, may_write: Callable[[], bool]
    ) -> calls.CallResult:
        """Makes a call; see `calls.Link`."""
        if self._lost.done():
            raise web_connection.NotSentError("closed")
        if not may_write():
            raise web_connection.NotSentError("not allowed")
        started_s = asyncio.get_running_loop().time()
        serving = asyncio.ensure_future(self._serve(call))
        try:
            futures: set[asyncio.Future[Any]] = {serving, self._lost}
            await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
            if not serving.done():
                raise web_connection.ConnectionBrokenError("lost")
            outcome = serving.result()
        except (asyncio.CancelledError, web_connection.ConnectionBrokenError):
            self.abort()
            raise
        finally:
            serving.cancel()
        self.last_active_s = asyncio.get_running_loop().time()
        self._searcher.record_reply(self.last_active_s - started_s)
        return outcome

    async def _serve(self, call: api.Call) -> calls.CallResult:
        """Passes a call to the searcher; never returns if half-open."""
        if self.half_open:
            await asyncio.get_running_loop().create_future()
        return await self._searcher.serve(call)

    async def read_health(self) -> health.HealthResult:
        """Reads the searcher's health; see `calls.Link`."""
        if self._lost.done():
            raise web_connection.NotSentError("closed")
        if self.half_open:
            await asyncio.wait({self._lost})
            raise web_connection.ConnectionBrokenError("lost")
        searcher = self._searcher
        searcher.health_reads += 1
        cold = searcher.faults.reports_cold
        self.last_active_s = asyncio.get_running_loop().time()
        return expression.Ok(
            api.Health(
                searcher.incarnation,
                searcher.is_cold() if cold is None else cold,
                searcher.running,
                searcher.versions,
            )
        )


class Fleet:
    """The searchers of a test by address.

    Attributes:
        searchers: The searchers by address.
        connection_counts: Number of connections opened, by address.
    """

    __slots__ = ("connection_counts", "searchers")

    def __init__(self, searchers: list[Searcher]) -> None:
        """Makes a fleet of these searchers."""
        self.searchers = {searcher.address: searcher for searcher in searchers}
        self.connection_counts: collections.Counter[str] = collections.Counter()

    async def connect(
        self, address: str, timeout_s: float
    ) -> expression.Result[MemoryLink, errors.Failure]:
        """Opens a connection; see `pool.Connect`."""
        searcher = self.searchers.get(address)
        if searcher is None or searcher.faults.down:
            return expression.Error(
                errors.Failure(errors.Kind.CONNECTION_LOST, "refused")
            )
        self.connection_counts[address] += 1
        await asyncio.sleep(searcher.connect_ms / 1000)
        return expression.Ok(MemoryLink(searcher))


def make(fleet: Fleet) -> calls.PooledSearchers[MemoryLink]:
    """Makes the searchers port of one VM for a fleet."""
    return calls.PooledSearchers(fleet.connect)
