"""A store wrapper that counts calls, as the platform does."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import expression

from azureramp import errors, metrics
from azureramp.ports.store import api
from azureramp.ports.web import api as web_api

_T = TypeVar("_T")


class CountingStore:
    """Forwards calls to a store and counts them by kind; see `api.Store`."""

    __slots__ = ("_metrics", "_store")

    def __init__(self, store: api.Store, counters: metrics.Metrics) -> None:
        """Wraps a store.

        Args:
            store: The wrapped store.
            counters: Receives the counts of calls by kind and of failed
                calls.
        """
        self._store = store
        self._metrics = counters

    async def read(
        self, key: str
    ) -> expression.Result[api.Entry | None, errors.Failure]:
        """Reads one key; see `api.Store`."""
        self._metrics.count("store.reads")
        return self._check(await self._store.read(key))

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads a prefix; see `api.Store`."""
        result = self._check(await self._store.read_prefix(prefix))
        self._metrics.count(
            "store.reads", result.ok.calls if result.is_ok() else 1
        )
        return result

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Writes by compare-and-swap; see `api.Store`."""
        self._metrics.count("store.writes")
        return self._check(
            await self._store.write(key, value, expected_revision, lease)
        )

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Deletes by compare-and-swap; see `api.Store`."""
        self._metrics.count("store.writes")
        return self._check(await self._store.delete(key, expected_revision))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.Store`."""
        self._metrics.count("store.watches")
        return self._check(await self._store.watch(prefix, after, wait_s))

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Creates a lease; see `api.Store`."""
        self._metrics.count("store.leases")
        return self._check(await self._store.grant_lease(ttl_s))

    async def renew_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Renews a lease; see `api.Store`."""
        self._metrics.count("store.renewals")
        return self._check(await self._store.renew_lease(lease))

    async def close(self) -> None:
        """Closes the store."""
        await self._store.close()

    def _check(
        self, result: expression.Result[_T, errors.Failure]
    ) -> expression.Result[_T, errors.Failure]:
        """Counts the call as failed if its result is an error."""
        if result.is_error():
            self._metrics.count("store.failures")
        return result


class CountingPlatformStore(CountingStore):
    """A `CountingStore` with all calls of `api.PlatformStore`."""

    __slots__ = ("_platform_store",)

    def __init__(
        self, store: api.PlatformStore, counters: metrics.Metrics
    ) -> None:
        """Wraps a store; see `CountingStore`."""
        super().__init__(store, counters)
        self._platform_store = store

    async def read_page(
        self, prefix: str, after: str
    ) -> expression.Result[api.Page, errors.Failure]:
        """Reads a page; see `api.PagedStore`."""
        self._metrics.count("store.reads")
        return self._check(await self._platform_store.read_page(prefix, after))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        transfer: web_api.Transfer | None = None,
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.PagedStore`."""
        self._metrics.count("store.watches")
        return self._check(
            await self._platform_store.watch(prefix, after, wait_s, transfer)
        )

    async def write_batch(
        self, changes: Sequence[api.Change]
    ) -> expression.Result[api.BatchOutcome, errors.Failure]:
        """Writes a batch; see `api.BatchStore`."""
        self._metrics.count("store.writes")
        return self._check(await self._platform_store.write_batch(changes))
