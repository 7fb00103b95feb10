"""Writes idempotency records by compare-and-swap, under retention leases."""

from __future__ import annotations

import asyncio
import random

import expression

from azureramp import errors
from azureramp.policy import backoff, idempotency, record_bounds
from azureramp.ports.store import api

CALL_S = 2.0
"""Longest time that a call of the store takes, in seconds."""

LEAST_WAIT_S = 0.001
"""Shortest wait before the next look, in seconds, so that time goes on."""


class RecordWriter:
    """One VM's way to the records.

    Attributes:
        backoff: When the store may be called.
    """

    __slots__ = (
        "_lease",
        "_lease_lock",
        "_lease_until_s",
        "_rng",
        "_store",
        "backoff",
    )

    def __init__(self, store: api.Store, rng: random.Random) -> None:
        """Makes a writer without a lease.

        Args:
            store: The key-value service.
            rng: Draws the waits of the backoff.
        """
        self._store = store
        self._rng = rng
        self.backoff = backoff.Backoff()
        self._lease = ""
        self._lease_lock = asyncio.Lock()
        self._lease_until_s = 0.0

    def may_call(self) -> bool:
        """Tells whether the store may be called now; see `backoff`."""
        return self.backoff.may_call(self._get_now_s(), CALL_S)

    def get_wait_s(self) -> float:
        """Returns the time until the store may be called, in seconds."""
        return self.backoff.get_wait_s(self._get_now_s())

    async def write(
        self,
        store_key: str,
        data: bytes,
        expected: int,
        attempt_s: float = CALL_S,
    ) -> expression.Result[api.Write, errors.Failure]:
        """Writes a value over a revision.

        Args:
            store_key: The key in the store.
            data: The value.
            expected: The revision that it replaces, or `api.CREATE`.
            attempt_s: Longest wait for the reply, in seconds.

        Returns:
            The outcome; `STORE_OUTCOME_UNKNOWN` if the write may have taken
            effect or still may, `STORE_UNAVAILABLE` if it never will.
        """
        lease = await self._get_lease()
        if lease.is_error():
            self._record_failure()
            return expression.Error(
                errors.Failure(
                    errors.Kind.STORE_UNAVAILABLE, lease.error.detail
                )
            )
        try:
            async with asyncio.timeout(attempt_s):
                result = await self._store.write(
                    store_key, data, expected, lease.ok
                )
        except TimeoutError:
            result = expression.Error(
                errors.Failure(errors.Kind.STORE_OUTCOME_UNKNOWN, "timeout")
            )
        if result.is_ok():
            self.backoff.record_success()
            return result
        self._record_failure()
        kind = result.error.kind
        if kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
            return result
        if kind is errors.Kind.NOT_FOUND:
            # The platform has lost the lease: the next write gets another.
            self._lease = ""
        return expression.Error(
            errors.Failure(errors.Kind.STORE_UNAVAILABLE, result.error.detail)
        )

    async def read_group(
        self, name: str, attempt_s: float
    ) -> idempotency.Outcomes | None:
        """Reads the outcomes of a group; None if they can't be had now.

        The read may answer from the past and miss an outcome, never invent
        one.
        """
        key = idempotency.GROUP_PREFIX + name
        try:
            async with asyncio.timeout(attempt_s):
                result = await self._store.read(key)
        except TimeoutError:
            self._record_failure()
            return None
        if result.is_error():
            self._record_failure()
            return None
        self.backoff.record_success()
        if result.ok is None or result.ok.value is None:
            return {}
        return idempotency.decode_group(result.ok.value)

    async def _get_lease(self) -> expression.Result[str, errors.Failure]:
        """Gets the lease whose end deletes the records written now.

        The platform counts the time and deletes all of them at once: no VM
        compares clocks, and no write is spent on deleting. It is never kept
        alive, so that it ends for sure.
        """
        async with self._lease_lock:
            now_s = self._get_now_s()
            if self._lease and now_s < self._lease_until_s:
                return expression.Ok(self._lease)
            granted = await self._store.grant_lease(
                record_bounds.RETENTION_S + record_bounds.WINDOW_S
            )
            if granted.is_ok():
                self._lease = granted.ok
                self._lease_until_s = now_s + record_bounds.WINDOW_S
            return granted

    def _record_failure(self) -> None:
        """Tells the backoff of a failed call."""
        self.backoff.record_failure(self._get_now_s(), self._rng)

    def _get_now_s(self) -> float:
        """Returns the loop's time, in seconds."""
        return asyncio.get_running_loop().time()
