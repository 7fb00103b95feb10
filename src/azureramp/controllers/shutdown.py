"""Graceful shutdown: unadvertise, hand off, finish what runs, close."""

from __future__ import annotations

import asyncio
from typing import Protocol

from azureramp import blackboard, events


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

    async def stop(self, limit_s: float) -> int:
        """Stops gracefully; returns how many requests were cut."""


class Shutdown:
    """Stops one daemon."""

    __slots__ = ("_board", "_membership", "_owner", "_records", "_server")

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

    async def run(self) -> int:
        """Stops gracefully.

        Returns:
            How many requests were cut, 0 unless the hard limit was reached.
        """
        loop = asyncio.get_running_loop()
        settings = self._board.settings
        end_s = loop.time() + settings.drain_ms / 1000
        self._membership.announce_leaving()
        self._record("unadvertised")
        stay_ms = settings.address_lifetime_ms + settings.list_lag_ms
        await asyncio.sleep(stay_ms / 1000)
        self._record("handing_off")
        handing_off = asyncio.ensure_future(
            self._owner.drain(max(0.0, end_s - loop.time()))
        )
        self._record("draining")
        cut = await self._server.stop(max(0.0, end_s - loop.time()))
        await handing_off
        await self._records.drain(max(0.0, end_s - loop.time()))
        if cut:
            self._record("cut", cut)
        self._record("stopped")
        return cut

    def _record(self, step: str, running: int | None = None) -> None:
        """Records a step in the timeline."""
        self._board.timeline.record(
            events.StopChanged(
                step=step,
                running=self._server.running if running is None else running,
            ),
            asyncio.get_running_loop().time(),
        )


def make(
    board: blackboard.Blackboard,
    membership: Leaver,
    owner: Drainer,
    records: Drainer,
    server: Stopper,
) -> Shutdown:
    """Makes the graceful shutdown of one daemon."""
    return Shutdown(board, membership, owner, records, server)
