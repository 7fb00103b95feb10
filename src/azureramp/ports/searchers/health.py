"""Health reads over separate connections.

One connection to each searcher is kept open between reads. It breaks when the
searcher's process exits, so a restart is detected immediately even if no call
is in progress.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.ports.searchers import api, pool
from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import time_limit

TIMEOUT_S = 0.25
"""Timeout of a health read, in seconds."""

HealthResult = expression.Result[api.Health, errors.Failure]


class HealthLink(pool.Pooled, Protocol):
    """A connection for health reads."""

    async def read_health(self) -> HealthResult:
        """Reads the searcher's health.

        Raises:
            NotSentError: Nothing was written.
            ConnectionBrokenError: The connection failed.
        """
        ...


_L = TypeVar("_L", bound=HealthLink)


@dataclasses.dataclass(slots=True)
class HealthLinks(Generic[_L]):
    """The health connections to one address.

    Attributes:
        limit: Maximum number of connections; 0 keeps none open.
        opened: Number of open connections.
        lost: Number of connections lost since the start.
        idle: The connection kept open; None while it is in use.
        new_read: The read in progress on a new connection; None if there is
            none.
    """

    limit: int = 2
    opened: int = 0
    lost: int = 0
    idle: _L | None = None
    new_read: asyncio.Task[HealthResult] | None = None


class HealthReader(Generic[_L]):
    """Reads the health of searchers."""

    __slots__ = ("_connect", "_links")

    def __init__(self, connect: pool.Connect[_L]) -> None:
        """Makes a reader without connections."""
        self._connect = connect
        self._links: dict[str, HealthLinks[_L]] = {}

    def count_connections(self, address: str) -> api.ConnectionCounts:
        """Returns the connection counts for an address."""
        links = self._get(address)
        self._prune(links)
        return api.ConnectionCounts(links.opened, links.lost)

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the maximum number of connections; 0 closes the idle one."""
        links = self._get(address)
        links.limit = limit
        if limit == 0:
            self._close_idle(links)

    async def read(self, address: str, fresh: bool) -> HealthResult:
        """Reads a searcher's health; see `api.Searchers`."""
        links = self._get(address)
        self._prune(links)
        if links.idle is not None and not fresh:
            link, links.idle = links.idle, None
            report = await self._read_on(links, link)
            if report.is_ok():
                return report
        return await self._read_on_new(links, address)

    def close(self) -> None:
        """Closes all connections."""
        for links in self._links.values():
            self._close_idle(links)
            if links.new_read is not None:
                links.new_read.cancel()

    async def _read_on_new(
        self, links: HealthLinks[_L], address: str
    ) -> HealthResult:
        """Reads over a new connection; concurrent reads share the result."""
        if links.new_read is None:
            links.new_read = asyncio.ensure_future(self._open(links, address))
            links.new_read.add_done_callback(lambda _: _clear_new_read(links))
        return await asyncio.shield(links.new_read)

    async def _open(self, links: HealthLinks[_L], address: str) -> HealthResult:
        """Opens a connection and reads the health over it."""
        links.opened += 1
        opened = False
        try:
            async with time_limit.end_after(TIMEOUT_S):
                result = await self._connect(address, 2 * TIMEOUT_S)
            opened = result.is_ok()
        except TimeoutError:
            return expression.Error(_make_timeout())
        finally:
            if not opened:
                links.opened -= 1
        match result:
            case expression.Result(tag="ok", ok=link):
                return await self._read_on(links, link)
            case expression.Result(error=failure):
                return expression.Error(failure)

    async def _read_on(self, links: HealthLinks[_L], link: _L) -> HealthResult:
        """Reads the health over a connection and keeps it if successful."""
        try:
            async with time_limit.end_after(TIMEOUT_S):
                report = await link.read_health()
        except TimeoutError:
            report = expression.Error(_make_timeout())
        except (
            web_connection.NotSentError,
            web_connection.ConnectionBrokenError,
        ) as error:
            links.lost += 1
            failure = errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
            report = expression.Error(failure)
        except asyncio.CancelledError:
            self._close(links, link)
            raise
        if report.is_ok() and link.is_reusable() and links.limit > 0:
            self._close_idle(links)
            links.idle = link
        else:
            self._close(links, link)
        return report

    def _get(self, address: str) -> HealthLinks[_L]:
        """Returns the connections to an address; makes the entry if needed."""
        return self._links.setdefault(address, HealthLinks())

    def _prune(self, links: HealthLinks[_L]) -> None:
        """Removes the idle connection if the searcher has closed it."""
        if links.idle is not None and not links.idle.is_reusable():
            links.lost += 1
            self._close_idle(links)

    def _close_idle(self, links: HealthLinks[_L]) -> None:
        if links.idle is not None:
            self._close(links, links.idle)
            links.idle = None

    def _close(self, links: HealthLinks[_L], link: _L) -> None:
        """Closes a connection and updates the count."""
        link.abort()
        links.opened -= 1


def _clear_new_read(links: HealthLinks[_L]) -> None:
    """Removes a completed read."""
    links.new_read = None


def _make_timeout() -> errors.Failure:
    """Makes the failure of a read that timed out."""
    return errors.Failure(errors.Kind.DEADLINE_PASSED, "no health in time")
