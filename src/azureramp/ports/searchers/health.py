"""Health reads, on connections of their own.

One connection to each searcher stays open between the reads. When the
searcher's process ends, this connection ends with it, so a restart shows at
once even where no call is under way.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Generic, Protocol, TypeVar

import expression

from azureramp import errors
from azureramp.ports.searchers import api, pool
from azureramp.ports.web import connection as web_connection

TIMEOUT_S = 0.25
"""Longest time that a health read may take, in seconds."""

Report = expression.Result[api.Health, errors.Failure]


class HealthLink(pool.Pooled, Protocol):
    """A connection that health is read on."""

    async def read_health(self) -> Report:
        """Reads the searcher's health.

        Raises:
            UnsentError: Nothing was written.
            BrokenError: The connection failed.
        """
        ...


_L = TypeVar("_L", bound=HealthLink)


@dataclasses.dataclass(slots=True)
class Watch(Generic[_L]):
    """The health reads of one address.

    Attributes:
        limit: Connections allowed; 0 keeps none open.
        opened: Connections open.
        lost: Connections that the searcher has closed, ever.
        kept: The one that stays open; None while it is in use.
        fresh: The read on a fresh connection that is under way.
    """

    limit: int = 2
    opened: int = 0
    lost: int = 0
    kept: _L | None = None
    fresh: asyncio.Task[Report] | None = None


class Reader(Generic[_L]):
    """Reads the health of searchers."""

    __slots__ = ("_connect", "_watches")

    def __init__(self, connect: pool.Connect[_L]) -> None:
        """Makes it without any connection."""
        self._connect = connect
        self._watches: dict[str, Watch[_L]] = {}

    def get_links(self, address: str) -> api.Links:
        """Returns what is known of the connections to an address."""
        watch = self._get(address)
        self._prune(watch)
        return api.Links(watch.opened, watch.lost)

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the most connections; 0 closes the one that stays open."""
        watch = self._get(address)
        watch.limit = limit
        if limit == 0:
            self._drop(watch)

    async def read(self, address: str, fresh: bool) -> Report:
        """Reads a searcher's health; see `api.Searchers`."""
        watch = self._get(address)
        self._prune(watch)
        if watch.kept is not None and not fresh:
            link, watch.kept = watch.kept, None
            report = await self._read_on(watch, link)
            if report.is_ok():
                return report
        return await self._read_fresh(watch, address)

    def close(self) -> None:
        """Closes every connection."""
        for watch in self._watches.values():
            self._drop(watch)
            if watch.fresh is not None:
                watch.fresh.cancel()

    async def _read_fresh(self, watch: Watch[_L], address: str) -> Report:
        """Reads on a fresh connection; concurrent readers share it."""
        if watch.fresh is None:
            watch.fresh = asyncio.ensure_future(self._open(watch, address))
            watch.fresh.add_done_callback(lambda _: _forget_fresh(watch))
        return await asyncio.shield(watch.fresh)

    async def _open(self, watch: Watch[_L], address: str) -> Report:
        """Opens a connection and reads on it."""
        watch.opened += 1
        opened = False
        try:
            async with asyncio.timeout(TIMEOUT_S):
                result = await self._connect(address, 2 * TIMEOUT_S)
            opened = result.is_ok()
        except TimeoutError:
            return expression.Error(_make_late())
        finally:
            if not opened:
                watch.opened -= 1
        match result:
            case expression.Result(tag="ok", ok=link):
                return await self._read_on(watch, link)
            case expression.Result(error=failure):
                return expression.Error(failure)

    async def _read_on(self, watch: Watch[_L], link: _L) -> Report:
        """Reads on one connection, and keeps it if that went well."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                report = await link.read_health()
        except TimeoutError:
            report = expression.Error(_make_late())
        except (
            web_connection.UnsentError,
            web_connection.BrokenError,
        ) as error:
            watch.lost += 1
            failure = errors.Failure(errors.Kind.CONNECTION_LOST, str(error))
            report = expression.Error(failure)
        except asyncio.CancelledError:
            self._close(watch, link)
            raise
        if report.is_ok() and link.is_reusable() and watch.limit > 0:
            self._drop(watch)
            watch.kept = link
        else:
            self._close(watch, link)
        return report

    def _get(self, address: str) -> Watch[_L]:
        """Returns an address's watch, made at the first use."""
        return self._watches.setdefault(address, Watch())

    def _prune(self, watch: Watch[_L]) -> None:
        """Notices that the searcher has closed the open connection."""
        if watch.kept is not None and not watch.kept.is_reusable():
            watch.lost += 1
            self._drop(watch)

    def _drop(self, watch: Watch[_L]) -> None:
        """Closes the connection that stays open."""
        if watch.kept is not None:
            self._close(watch, watch.kept)
            watch.kept = None

    def _close(self, watch: Watch[_L], link: _L) -> None:
        """Closes a connection."""
        link.abort()
        watch.opened -= 1


def _forget_fresh(watch: Watch[_L]) -> None:
    """Forgets a read that has ended."""
    watch.fresh = None


def _make_late() -> errors.Failure:
    """Makes the failure of a read that took too long."""
    return errors.Failure(errors.Kind.DEADLINE_PASSED, "no health in time")
