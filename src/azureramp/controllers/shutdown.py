"""Graceful shutdown: unadvertise, hand off, finish running work, close."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from azureramp import blackboard, events

_T = TypeVar("_T")


class LeaveAnnouncer(Protocol):
    """The part of the membership controller that is used here."""

    def announce_leaving(self) -> None:
        """Announces to the other VMs that this one shuts down."""


class Drainer(Protocol):
    """The part of the owner and of the records that is used here."""

    async def drain(self, limit_s: float) -> None:
        """Waits until running work ends, up to a limit in seconds."""


class StoppableServer(Protocol):
    """The part of the HTTP server that is used here."""

    running_requests: int
    closes_connections: bool

    async def stop(self, limit_s: float) -> int:
        """Stops gracefully; returns the number of aborted requests."""


class Shutdown:
    """Stops one daemon.

    The order matters: the VM is no longer advertised to callers before it
    refuses any request, and it keeps running until the last address answer
    that contains it has expired, so that no caller finds it gone.
    """

    __slots__ = (
        "_abort",
        "_board",
        "_end_s",
        "_membership",
        "_owner",
        "_records",
        "_server",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        membership: LeaveAnnouncer,
        owner: Drainer,
        records: Drainer,
        server: StoppableServer,
    ) -> None:
        """Creates a shutdown that has not started; see `run`."""
        self._board = board
        self._membership = membership
        self._owner = owner
        self._records = records
        self._server = server
        self._end_s = 0.0
        self._abort = asyncio.Event()

    async def run(self, abort: asyncio.Event | None = None) -> int:
        """Stops gracefully.

        Args:
            abort: Set once running work is to be aborted, for example by a
                second signal.

        Returns:
            The number of aborted requests; 0 unless the hard limit was
            reached or `abort` was set.
        """
        self._abort = abort or self._abort
        settings = self._board.settings
        self._end_s = _now_s() + settings.drain_ms / 1000
        self._membership.announce_leaving()
        self._server.closes_connections = True
        self._record("unadvertised")
        await self._wait_for_address_expiry()
        self._record("handing_off")
        self._board.serving = blackboard.Serving.LEAVING
        self._record("draining")
        aborted = await self._stop_server()
        await self._run_step(self._owner.drain(self._get_remaining_s()))
        await self._run_step(self._records.drain(self._get_remaining_s()))
        if aborted:
            self._record("cut", aborted)
        self._record("stopped")
        return aborted

    async def _wait_for_address_expiry(self) -> None:
        """Continues to serve until no caller's address answer contains this VM.

        Other VMs advertise it until they are notified that it leaves, at the
        latest by the VM list, and callers keep an answer for its lifetime. In
        the meantime every response closes its connection, so that at the end no
        connection is left that a caller might be using.
        """
        settings = self._board.settings
        expiry_s = (settings.address_lifetime_ms + settings.list_lag_ms) / 1000
        limit_s = min(expiry_s, self._get_remaining_s())
        await self._run_step(asyncio.sleep(limit_s))

    async def _stop_server(self) -> int:
        """Stops the server; returns the number of aborted requests."""
        stopping = asyncio.ensure_future(
            self._server.stop(self._get_remaining_s())
        )
        abort_wait = asyncio.ensure_future(self._abort.wait())
        await asyncio.wait(
            {stopping, abort_wait}, return_when=asyncio.FIRST_COMPLETED
        )
        abort_wait.cancel()
        if not stopping.done():
            stopping.cancel()
            await asyncio.wait({stopping})
            return await self._server.stop(0.0)
        return stopping.result()

    async def _run_step(self, work: Coroutine[Any, Any, _T]) -> None:
        """Runs a step until it ends or running work is to be aborted."""
        step = asyncio.ensure_future(work)
        abort_wait = asyncio.ensure_future(self._abort.wait())
        await asyncio.wait(
            {step, abort_wait}, return_when=asyncio.FIRST_COMPLETED
        )
        for task in (step, abort_wait):
            task.cancel()
        await asyncio.wait({step, abort_wait})

    def _get_remaining_s(self) -> float:
        """Returns the time left until the hard limit, in seconds."""
        return max(0.0, self._end_s - _now_s())

    def _record(self, step: str, running: int | None = None) -> None:
        """Records a step in the timeline."""
        if running is None:
            running = self._server.running_requests
        self._board.timeline.record(
            events.StopChanged(step=step, running=running), _now_s()
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    membership: LeaveAnnouncer,
    owner: Drainer,
    records: Drainer,
    server: StoppableServer,
) -> Shutdown:
    """Creates the graceful shutdown of one daemon."""
    return Shutdown(board, membership, owner, records, server)
