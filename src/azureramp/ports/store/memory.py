"""An in-memory key-value service with fault injection.

A `State` represents the service. Each VM in a test has its own `MemoryStore`
with its own faults, so the service can be down for some VMs only.
"""

from __future__ import annotations

import asyncio
import dataclasses

import expression

from azureramp import errors
from azureramp.ports.store import api
from azureramp.ports.store import state as store_state

Outcome = expression.Result[api.WriteOutcome, errors.Failure]
"""The result of a write."""


@dataclasses.dataclass(slots=True)
class Faults:
    """The faults injected between one VM and the service.

    Attributes:
        down: True if calls fail without any effect.
        delay_s: Duration of each call, in seconds.
        lost_replies: Number of upcoming writes that take effect but lose
            their reply.
        lost_requests: Number of upcoming writes that are lost with an unknown
            outcome for the caller.
        late_s: If positive, the reply to each write is lost, and the write
            takes effect after this delay, in seconds.
        past: Number of revisions by which reads lag behind.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0
    late_s: float = 0.0
    past: int = 0


class MemoryStore:
    """The client of one VM for a `State`; see `api.Store`.

    Attributes:
        faults: The injected faults; mutable at any time.
        state: The service's state.
    """

    __slots__ = ("faults", "state")

    def __init__(
        self, state: store_state.State, faults: Faults | None = None
    ) -> None:
        """Makes a client.

        Args:
            state: The service's state, shared by all VMs.
            faults: The injected faults; none by default.
        """
        self.state = state
        self.faults = faults or Faults()

    async def read(
        self, key: str
    ) -> expression.Result[api.Entry | None, errors.Failure]:
        """Reads one key; see `api.Store`."""
        if not await self._begin_call():
            return expression.Error(_fail_down())
        return expression.Ok(self.state.read(key, self._get_read_revision()))

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads a prefix; see `api.Store`."""
        if not await self._begin_call():
            return expression.Error(_fail_down())
        return expression.Ok(self.state.list(prefix, self._get_read_revision()))

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Writes by compare-and-swap; see `api.Store`."""
        if len(value) > api.MAX_VALUE_BYTES:
            failure = errors.Failure(errors.Kind.TOO_LARGE, key)
            return expression.Error(failure)
        return await self._change(key, value, expected_revision, lease)

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Deletes by compare-and-swap; see `api.Store`."""
        return await self._change(key, None, expected_revision, "")

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.Store`."""
        if not await self._begin_call():
            return expression.Error(_fail_down())
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            self.state.expire_leases(loop.time())
            listing = self.state.list_changes(prefix, after)
            remaining_s = deadline_s - loop.time()
            if self.faults.down:
                return expression.Error(_fail_down())
            if listing.entries or remaining_s <= 0:
                return expression.Ok(listing)
            expiry_s = self.state.get_next_lease_expiry_s()
            if expiry_s is not None:
                remaining_s = min(remaining_s, expiry_s - loop.time())
            await self.state.wait_for_change(remaining_s)

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Creates a lease; see `api.Store`."""
        if not await self._begin_call():
            return expression.Error(_fail_down())
        now_s = asyncio.get_running_loop().time()
        return expression.Ok(self.state.grant_lease(ttl_s, now_s))

    async def renew_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Renews a lease; see `api.Store`."""
        if not await self._begin_call():
            return expression.Error(_fail_down())
        now_s = asyncio.get_running_loop().time()
        return expression.Ok(self.state.renew_lease(lease, now_s))

    async def close(self) -> None:
        """Does nothing, since there are no connections."""

    async def _begin_call(self) -> bool:
        """Waits for the call duration; returns False if the service is down."""
        await asyncio.sleep(self.faults.delay_s)
        self.state.expire_leases(asyncio.get_running_loop().time())
        return not self.faults.down

    def _get_read_revision(self) -> int | None:
        """Returns the revision at which reads are answered; None for now."""
        if not self.faults.past:
            return None
        return max(self.state.revision - self.faults.past, 0)

    async def _change(
        self, key: str, value: bytes | None, expected_revision: int, lease: str
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Makes a change, subject to the injected faults.

        The change takes effect after half of the call duration, even if the
        caller was cancelled before: a request in transit can't be revoked.
        """
        if self.faults.down:
            await asyncio.sleep(self.faults.delay_s)
            return expression.Error(_fail_down())
        half_s = self.faults.delay_s / 2
        pending: asyncio.Future[Outcome] = asyncio.ensure_future(
            self._apply(half_s, key, value, expected_revision, lease)
        )
        outcome = await asyncio.shield(pending)
        await asyncio.sleep(half_s)
        return outcome

    async def _apply(
        self,
        delay_s: float,
        key: str,
        value: bytes | None,
        expected_revision: int,
        lease: str,
    ) -> Outcome:
        """Makes a change after a delay."""
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        self.state.expire_leases(loop.time())
        faults = self.faults
        if faults.late_s > 0:
            loop.call_later(
                faults.late_s,
                self.state.write,
                key,
                value,
                expected_revision,
                lease,
            )
            return expression.Error(_fail_unknown())
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            return expression.Error(_fail_unknown())
        written = self.state.write(key, value, expected_revision, lease)
        if faults.lost_replies > 0:
            faults.lost_replies -= 1
            return expression.Error(_fail_unknown())
        if written is None:
            failure = errors.Failure(errors.Kind.NOT_FOUND, "no such lease")
            return expression.Error(failure)
        return expression.Ok(written)


def _fail_down() -> errors.Failure:
    """Makes the failure of a call that had no effect."""
    return errors.Failure(errors.Kind.STORE_UNAVAILABLE, "the store is down")


def _fail_unknown() -> errors.Failure:
    """Makes the failure of a write whose outcome is unknown."""
    return errors.Failure(errors.Kind.STORE_OUTCOME_UNKNOWN, "no reply")
