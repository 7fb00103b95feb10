"""An in-memory searcher with fault injection, for virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

import expression
import msgspec

from azureramp import errors
from azureramp.ports.searchers import api, calls, memory_faults
from azureramp.ports.web import connection as web_connection

MIN_SLOW_REPLIES = 3
"""Number of slow replies that distinguishes a searcher in cold start from one
with stragglers. Its health reports don't, since they may be outdated or
wrong."""

SLOW_FACTOR = 3.0
"""A reply is slow if it takes this many times the median service time."""

SearchFunction = Callable[[api.Call], bytes]
"""Returns the items of a call as a JSON array."""


def return_no_items(call: api.Call) -> bytes:
    """Returns no items."""
    return b"[]"


class Link(Protocol):
    """The connection interface that a searcher requires."""

    half_open: bool

    def break_connection(self) -> None:
        """Breaks the connection from the searcher's side."""
        ...


Faults = memory_faults.Faults


class Searcher:
    """One searcher process.

    Attributes:
        address: Its `IP:port`.
        slots: Number of calls it runs concurrently; further calls are queued.
        cold_limit: Number of concurrent calls it can handle in cold start.
        versions: The `index.version` names that it serves.
        faults: The injected faults.
        search: Returns the items of a reply.
        incarnation: Its start number.
        warm_after: Number of calls after which it is warm.
        cold_factor: Factor on the service time in cold start.
        service_ms: Median service time, in milliseconds.
        service_time_sigma: Sigma of the service time's log-normal distribution.
        connect_ms: Time to open a connection, in milliseconds.
        siblings: The searchers that crash with it, including itself.
        served: Number of calls completed since it started or became cold.
        running: Number of calls running or queued.
        calls: Total number of calls received.
        crashes: Total number of crashes.
        max_cold_running: Maximum number of concurrent calls in cold start.
        max_running: Maximum number of concurrent calls.
        max_links: Maximum number of concurrent connections.
        effect_bodies: The bodies of the calls with side effects that it ran.
        links: The open connections.
        last_call_s: Event loop time of the last received call, in seconds; -1
            if there was none.
        on_arrival: Called for each call that it accepts; None for no callback.
        cold_detectable: True if its cold start can be detected from outside:
            its connections broke, or `MIN_SLOW_REPLIES` slow replies were
            received.
        slow_replies: Number of slow replies received since it became cold.
        health_reads: Total number of health reads.
    """

    __slots__ = (
        "_random",
        "_slots",
        "address",
        "calls",
        "cold_detectable",
        "cold_factor",
        "cold_limit",
        "connect_ms",
        "crashes",
        "effect_bodies",
        "faults",
        "health_reads",
        "incarnation",
        "last_call_s",
        "links",
        "max_cold_running",
        "max_links",
        "max_running",
        "on_arrival",
        "running",
        "search",
        "served",
        "service_ms",
        "service_time_sigma",
        "siblings",
        "slots",
        "slow_replies",
        "versions",
        "warm_after",
    )

    def __init__(
        self,
        address: str,
        *,
        slots: int = 2,
        cold_limit: int = 1,
        service_ms: float = 10.0,
        service_time_sigma: float = 0.2,
        connect_ms: float = 6.0,
        versions: tuple[str, ...] = (),
        seed: int = 0,
    ) -> None:
        """Makes a warm searcher without faults."""
        self.address = address
        self.slots = slots
        self.cold_limit = cold_limit
        self.versions = versions
        self.faults = Faults()
        self.search: SearchFunction = return_no_items
        self.incarnation = 1
        self.warm_after = 0
        self.cold_factor = 5.0
        self.service_ms = service_ms
        self.service_time_sigma = service_time_sigma
        self.connect_ms = connect_ms
        self.siblings: list[Searcher] = [self]
        self.served = 0
        self.running = 0
        self.calls = 0
        self.crashes = 0
        self.max_cold_running = 0
        self.max_running = 0
        self.max_links = 0
        self.effect_bodies: list[bytes] = []
        self.links: dict[Link, None] = {}
        self.last_call_s = -1.0
        self.health_reads = 0
        self.slow_replies = 0
        self.on_arrival: Callable[[api.Call], None] | None = None
        self.cold_detectable = True
        self._random = random.Random(f"{address}/{seed}")
        self._slots = asyncio.Semaphore(slots)

    def is_cold(self) -> bool:
        """Returns True if it is in cold start."""
        return self.served < self.warm_after

    def restart(self, warm_after: int = 0) -> None:
        """Restarts with a new incarnation; all connections break.

        Args:
            warm_after: Number of calls after which it is warm.
        """
        self.incarnation += 1
        self.served = 0
        self.cold_detectable = True
        self.warm_after = warm_after
        for link in list(self.links):
            link.break_connection()

    def make_half_open(self) -> None:
        """Makes all open connections half-open, as a failing middlebox does."""
        for link in self.links:
            link.half_open = True

    def reset_to_cold(self, warm_after: int) -> None:
        """Returns to cold start without a restart or any other visible sign."""
        self.served = 0
        self.slow_replies = 0
        self.cold_detectable = False
        self.warm_after = warm_after

    def record_reply(self, duration_s: float) -> None:
        """Records that a reply has reached the caller.

        Args:
            duration_s: Duration of the call, in seconds.
        """
        if duration_s * 1000 >= self.service_ms * SLOW_FACTOR:
            self.slow_replies += 1
        if self.slow_replies >= MIN_SLOW_REPLIES:
            self.cold_detectable = True

    def crash(self) -> None:
        """Crashes; restarts after `faults.restart_s`."""
        self.crashes += 1
        self.faults.down = True
        for link in list(self.links):
            link.break_connection()
        asyncio.get_running_loop().call_later(
            self.faults.restart_s, self._recover
        )

    def _recover(self) -> None:
        """Restarts after a crash."""
        self.faults.down = False
        self.restart(self.warm_after)

    async def serve(self, call: api.Call) -> calls.CallResult:
        """Runs a call, waiting for a slot if necessary."""
        self.calls += 1
        self.last_call_s = asyncio.get_running_loop().time()
        if f"{call.index}.{call.version}" not in self.versions:
            return _refuse(errors.Kind.VERSION_GONE)
        if self._random.random() < self.faults.sheds:
            return _refuse(errors.Kind.SHED)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        if self.is_cold():
            self.max_cold_running = max(self.max_cold_running, self.running)
        if self.on_arrival is not None:
            self.on_arrival(call)
        try:
            async with self._slots:
                return await self._run(call)
        finally:
            self.running -= 1

    async def _run(self, call: api.Call) -> calls.CallResult:
        """Runs a call in a slot."""
        faults = self.faults
        if faults.hangs:
            faults.hangs -= 1
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(self._draw_ms() / 1000)
        if faults.crashes_on and faults.crashes_on in call.body:
            for sibling in self.siblings:
                sibling.crash()
            await asyncio.get_running_loop().create_future()
        self.served += 1
        if self._random.random() < faults.fails:
            return _refuse(errors.Kind.BACKEND_FAILED)
        if not call.idempotent:
            self.effect_bodies.append(call.body)
        if faults.truncated:
            faults.truncated -= 1
            raise web_connection.ConnectionBrokenError(
                "the reply was truncated"
            )
        call_id = call.call_id
        if faults.crossed:
            faults.crossed -= 1
            call_id = "another"
        return expression.Ok(
            api.Reply(
                call_id,
                call.version,
                call.low,
                call.high,
                msgspec.Raw(self.search(call)),
            )
        )

    def _draw_ms(self) -> float:
        """Returns a random service time, in milliseconds."""
        duration_ms = self.service_ms * self._random.lognormvariate(
            0, self.service_time_sigma
        )
        if self._random.random() < self.faults.straggles:
            duration_ms *= self.faults.straggler_factor
        if self.is_cold():
            duration_ms *= self.cold_factor
        return duration_ms


def _refuse(kind: errors.Kind) -> calls.CallResult:
    """Makes the result of a rejected call."""
    return expression.Error(errors.Failure(kind, "the searcher refused"))
