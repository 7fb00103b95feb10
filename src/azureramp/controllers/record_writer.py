"""Writes idempotency records by compare-and-swap, under retention leases."""

from __future__ import annotations

import asyncio
import random

import expression

from azureramp import errors
from azureramp.policy import backoff, idempotency, record_limits
from azureramp.ports.store import api

CALL_TIMEOUT_S = 2.0
"""Timeout of a call to the store, in seconds."""

MIN_WAIT_S = 0.001
"""Minimum wait before the next check, in seconds. Without it, a wait that
rounds to zero would repeat the check without any progress of the clock."""


class RecordWriter:
    """Reads and writes the records in the store for one VM.

    Attributes:
        backoff: Decides when the store may be called.
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
        """Creates a writer without a lease.

        Args:
            store: The key-value service.
            rng: Source of the random delays of the backoff.
        """
        self._store = store
        self._rng = rng
        self.backoff = backoff.Backoff()
        self._lease = ""
        self._lease_lock = asyncio.Lock()
        self._lease_until_s = 0.0

    def may_call(self) -> bool:
        """Returns True if the store may be called now; see `backoff`."""
        return self.backoff.may_call(self._get_now_s(), CALL_TIMEOUT_S)

    def get_wait_s(self) -> float:
        """Returns the time until the store may be called, in seconds."""
        return self.backoff.get_delay_s(self._get_now_s())

    async def write(
        self,
        store_key: str,
        data: bytes,
        expected: int,
        attempt_s: float = CALL_TIMEOUT_S,
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Writes a value if the key has the expected revision.

        Args:
            store_key: The key in the store.
            data: The value.
            expected: The revision to replace, or `api.NO_REVISION`.
            attempt_s: Timeout for the reply, in seconds.

        Returns:
            The outcome; `STORE_OUTCOME_UNKNOWN` if the write may have taken
            effect or may still do so, `STORE_UNAVAILABLE` if it has not and
            will not.
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
            # The platform has lost the lease; the next write requests one.
            self._lease = ""
        return expression.Error(
            errors.Failure(errors.Kind.STORE_UNAVAILABLE, result.error.detail)
        )

    async def read_group(
        self, name: str, attempt_s: float
    ) -> idempotency.Outcomes | None:
        """Reads the outcomes of a group; returns None if the read fails.

        The read may return an old state, so an outcome may be missing, but
        each one that it returns is real.
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
        """Returns the lease to which the records written now are attached.

        When the lease expires, the platform deletes all these records at
        once: VMs don't have to compare clocks, and deletion costs no writes.
        The lease is never renewed, so that it certainly expires.
        """
        async with self._lease_lock:
            now_s = self._get_now_s()
            if self._lease and now_s < self._lease_until_s:
                return expression.Ok(self._lease)
            granted = await self._store.grant_lease(
                record_limits.RETENTION_S + record_limits.LEASE_WINDOW_S
            )
            if granted.is_ok():
                self._lease = granted.ok
                self._lease_until_s = now_s + record_limits.LEASE_WINDOW_S
            return granted

    def _record_failure(self) -> None:
        """Reports a failed call to the backoff."""
        self.backoff.record_failure(self._get_now_s(), self._rng)

    def _get_now_s(self) -> float:
        """Returns the loop's time, in seconds."""
        return asyncio.get_running_loop().time()
