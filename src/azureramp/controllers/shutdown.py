"""Graceful shutdown: unadvertise, hand off, finish what runs, close."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from azureramp import blackboard, events

_T = TypeVar("_T")


class Leaver(Protocol):
    """What the membership controller offers here."""

    def announce_leaving(self) -> None:
        """Tells the other VMs that this one goes."""


class Drainer(Protocol):
    """What the owner and the records offer here."""

    async def drain(self, limit_s: float) -> None:
        """Ends what runs, within a limit in seconds."""


class Stopper(Protocol):
    """What the HTTP server offers here."""

    running: int
    closing: bool

    async def stop(self, limit_s: float) -> int:
        """Stops gracefully; returns how many requests were cut."""


class Shutdown:
    """Stops one daemon.

    The order matters: the VM is named to no caller any more before it
    refuses anything, and stays until the last answer that named it has
    lapsed, so that no caller finds it gone.
    """

    __slots__ = (
        "_board",
        "_cutting",
        "_end_s",
        "_membership",
        "_owner",
        "_records",
        "_server",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        membership: Leaver,
        owner: Drainer,
        records: Drainer,
        server: Stopper,
    ) -> None:
        """Makes a shutdown that has not begun."""
        self._board = board
        self._membership = membership
        self._owner = owner
        self._records = records
        self._server = server
        self._end_s = 0.0
        self._cutting = asyncio.Event()

    async def run(self, cutting: asyncio.Event | None = None) -> int:
        """Stops gracefully.

        Args:
            cutting: Set once running work is to be cut, as by a second
                signal.

        Returns:
            How many requests were cut; 0 unless the hard limit was reached
            or `cutting` was set.
        """
        self._cutting = cutting or self._cutting
        settings = self._board.settings
        self._end_s = _now_s() + settings.drain_ms / 1000
        self._membership.announce_leaving()
        self._server.closing = True
        self._record("unadvertised")
        await self._stay()
        self._record("handing_off")
        self._board.serving = blackboard.Serving.LEAVING
        self._record("draining")
        cut = await self._stop_server()
        await self._limit(self._owner.drain(self._get_left_s()))
        await self._limit(self._records.drain(self._get_left_s()))
        if cut:
            self._record("cut", cut)
        self._record("stopped")
        return cut

    async def _stay(self) -> None:
        """Serves on until no caller's address answer names this VM.

        Other VMs name it until they hear that it leaves, at the latest by
        the list, and callers keep an answer for its lifetime. Every answer
        meanwhile closes its connection, so that in the end none is left that
        a caller might just be using.
        """
        settings = self._board.settings
        stay_s = (settings.address_lifetime_ms + settings.list_lag_ms) / 1000
        limit_s = min(stay_s, self._get_left_s())
        await self._limit(asyncio.sleep(limit_s))

    async def _stop_server(self) -> int:
        """Ends what runs; returns how many requests were cut."""
        stopping = asyncio.ensure_future(self._server.stop(self._get_left_s()))
        cut = asyncio.ensure_future(self._cutting.wait())
        await asyncio.wait({stopping, cut}, return_when=asyncio.FIRST_COMPLETED)
        cut.cancel()
        if not stopping.done():
            stopping.cancel()
            await asyncio.wait({stopping})
            return await self._server.stop(0.0)
        return stopping.result()

    async def _limit(self, work: Coroutine[Any, Any, _T]) -> None:
        """Runs a step, to its end or until work is to be cut."""
        step = asyncio.ensure_future(work)
        cut = asyncio.ensure_future(self._cutting.wait())
        await asyncio.wait({step, cut}, return_when=asyncio.FIRST_COMPLETED)
        for task in (step, cut):
            task.cancel()
        await asyncio.wait({step, cut})

    def _get_left_s(self) -> float:
        """Returns the time left to the hard limit, in seconds."""
        return max(0.0, self._end_s - _now_s())

    def _record(self, step: str, running: int | None = None) -> None:
        """Records a step in the timeline."""
        if running is None:
            running = self._server.running
        self._board.timeline.record(
            events.StopChanged(step=step, running=running), _now_s()
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    membership: Leaver,
    owner: Drainer,
    records: Drainer,
    server: Stopper,
) -> Shutdown:
    """Makes the graceful shutdown of one daemon."""
    return Shutdown(board, membership, owner, records, server)
