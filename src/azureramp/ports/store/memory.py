"""An in-memory key-value service, with the faults that the real one has.

One `State` is the service; each VM in a test has its own `MemoryStore` with
its own faults, so that the service can be down for some VMs and not others.
"""

from __future__ import annotations

import asyncio
import dataclasses

import expression

from azureramp import errors
from azureramp.ports.store import api
from azureramp.ports.store import state as store_state

Outcome = expression.Result[api.Write, errors.Failure]
"""What a write says of itself."""


@dataclasses.dataclass(slots=True)
class Faults:
    """What goes wrong between one VM and the service.

    Attributes:
        down: Calls fail at once; nothing takes effect.
        delay_s: Time that each call takes, in seconds.
        lost_replies: So many next writes take effect and lose the reply.
        lost_requests: So many next writes never take effect, though the
            caller can't tell.
        late_s: While positive, a write's reply is lost at once and the write
            takes effect so much later, in seconds.
        past: Reads answer from so many revisions ago.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_replies: int = 0
    lost_requests: int = 0
    late_s: float = 0.0
    past: int = 0


class MemoryStore:
    """One VM's client of a `State`; see `api.Store`.

    Attributes:
        faults: What goes wrong; may be changed at any time.
        state: The service's state.
    """

    __slots__ = ("faults", "state")

    def __init__(
        self, state: store_state.State, faults: Faults | None = None
    ) -> None:
        """Makes a client.

        Args:
            state: The service's state, shared by all VMs.
            faults: What goes wrong; none by default.
        """
        self.state = state
        self.faults = faults or Faults()

    async def read(
        self, key: str
    ) -> expression.Result[api.Entry | None, errors.Failure]:
        """Reads one key; see `api.Store`."""
        if not await self._reach():
            return expression.Error(_fail_down())
        return expression.Ok(self.state.read(key, self._get_at()))

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads a prefix; see `api.Store`."""
        if not await self._reach():
            return expression.Error(_fail_down())
        return expression.Ok(self.state.list(prefix, self._get_at()))

    async def write(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> expression.Result[api.Write, errors.Failure]:
        """Writes by compare-and-swap; see `api.Store`."""
        if len(value) > api.MAX_VALUE_BYTES:
            failure = errors.Failure(errors.Kind.TOO_LARGE, key)
            return expression.Error(failure)
        return await self._change(key, value, expected, lease)

    async def delete(
        self, key: str, expected: int
    ) -> expression.Result[api.Write, errors.Failure]:
        """Deletes by compare-and-swap; see `api.Store`."""
        return await self._change(key, None, expected, "")

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.Store`."""
        if not await self._reach():
            return expression.Error(_fail_down())
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while True:
            self.state.expire_leases(loop.time())
            listing = self.state.list_changes(prefix, after)
            left_s = until_s - loop.time()
            if self.faults.down:
                return expression.Error(_fail_down())
            if listing.entries or left_s <= 0:
                return expression.Ok(listing)
            expiry_s = self.state.get_next_expiry_s()
            if expiry_s is not None:
                left_s = min(left_s, expiry_s - loop.time())
            await self.state.wait_for_change(left_s)

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Makes a lease; see `api.Store`."""
        if not await self._reach():
            return expression.Error(_fail_down())
        now_s = asyncio.get_running_loop().time()
        return expression.Ok(self.state.grant_lease(ttl_s, now_s))

    async def keep_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Keeps a lease alive; see `api.Store`."""
        if not await self._reach():
            return expression.Error(_fail_down())
        now_s = asyncio.get_running_loop().time()
        return expression.Ok(self.state.keep_lease(lease, now_s))

    async def close(self) -> None:
        """Does nothing: there are no connections."""

    async def _reach(self) -> bool:
        """Waits as long as a call takes; False if the service is down."""
        await asyncio.sleep(self.faults.delay_s)
        self.state.expire_leases(asyncio.get_running_loop().time())
        return not self.faults.down

    def _get_at(self) -> int | None:
        """Returns the past revision that reads answer from, if any."""
        if not self.faults.past:
            return None
        return max(self.state.revision - self.faults.past, 0)

    async def _change(
        self, key: str, value: bytes | None, expected: int, lease: str
    ) -> expression.Result[api.Write, errors.Failure]:
        """Makes a change, under the faults that writes have.

        It takes effect half-way, also if the caller has given up by then:
        a request on its way can't be called back.
        """
        if self.faults.down:
            await asyncio.sleep(self.faults.delay_s)
            return expression.Error(_fail_down())
        half_s = self.faults.delay_s / 2
        taking_effect: asyncio.Future[Outcome] = asyncio.ensure_future(
            self._take_effect(half_s, key, value, expected, lease)
        )
        outcome = await asyncio.shield(taking_effect)
        await asyncio.sleep(half_s)
        return outcome

    async def _take_effect(
        self,
        delay_s: float,
        key: str,
        value: bytes | None,
        expected: int,
        lease: str,
    ) -> Outcome:
        """Makes a change after a while."""
        await asyncio.sleep(delay_s)
        loop = asyncio.get_running_loop()
        self.state.expire_leases(loop.time())
        faults = self.faults
        if faults.late_s > 0:
            loop.call_later(
                faults.late_s, self.state.write, key, value, expected, lease
            )
            return expression.Error(_fail_unknown())
        if faults.lost_requests > 0:
            faults.lost_requests -= 1
            return expression.Error(_fail_unknown())
        written = self.state.write(key, value, expected, lease)
        if faults.lost_replies > 0:
            faults.lost_replies -= 1
            return expression.Error(_fail_unknown())
        if written is None:
            failure = errors.Failure(errors.Kind.NOT_FOUND, "no such lease")
            return expression.Error(failure)
        return expression.Ok(written)


def _fail_down() -> errors.Failure:
    """Makes the failure of a call that certainly had no effect."""
    return errors.Failure(errors.Kind.STORE_UNAVAILABLE, "the store is down")


def _fail_unknown() -> errors.Failure:
    """Makes the failure of a write that may still take effect."""
    return errors.Failure(errors.Kind.STORE_OUTCOME_UNKNOWN, "no reply")
