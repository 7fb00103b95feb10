"""This VM's parts of what the operators bound for all VMs together."""

from __future__ import annotations

import asyncio

import logbook

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import coldness
from azureramp.policy import allowances, shares

PAUSE_S = 1.0
"""How late a timer must fire to show that the process stood still, in seconds.
A searcher that was away for less has hardly started anew."""

SHARES_S = 0.5
"""Time between two looks at this VM's part of the common bounds, in seconds; a
contact that is lost for long enough to matter lasts several times that."""

_logger = logbook.Logger("azureramp.searchers")


class SharedBounds:
    """Keeps to this VM's parts of extra calls and of calls to the cold."""

    __slots__ = ("_allowances", "_board", "_cold_share", "_extra_share")

    def __init__(self, board: board_module.Board) -> None:
        """Makes one that has spent nothing."""
        self._board = board
        self._allowances: dict[str, allowances.Allowance] = {}
        first = board.identity.first_start
        self._extra_share = shares.Share(
            board.bounds.extra.window_s, board.started_s, first
        )
        self._cold_share = shares.Share(
            coldness.WINDOW_S, board.started_s, first
        )

    async def run(self) -> None:
        """Takes this VM's part of the common bounds again, forever.

        A part counts by the least that it was in the last window, so a moment
        in which it was small must be seen also while no call asks for it. A
        look that comes late shows that the process stood still.
        """
        loop = asyncio.get_running_loop()
        looked_s = loop.time()
        while True:
            now_s = loop.time()
            if now_s - looked_s > SHARES_S + PAUSE_S:
                self._board.pause = board_module.Pause(looked_s, now_s)
                _logger.info("stood still for {:.1f} s", now_s - looked_s)
            looked_s = now_s
            self.update(now_s)
            await asyncio.sleep(SHARES_S)

    def get_allowance(self, service: str) -> allowances.Allowance:
        """Returns what this VM may spend on extra calls to a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = allowances.Allowance(self._board.bounds.extra)
            self._allowances[service] = allowance
        return allowance

    def get_part(self, now_s: float) -> float:
        """Returns this VM's part of the fixed number of extra calls."""
        self.update(now_s)
        return self._extra_share.part

    def is_warm_enough(self, target: board_module.Target, now_s: float) -> bool:
        """Tells whether a cold searcher bears one more call this second.

        More than it bears crashes it, and with it all that it runs. All VMs
        together stay within the operators' bound for any one second, so each
        keeps to its part of it.
        """
        if not coldness.is_cold(target, now_s, self._board.pause):
            return True
        service = self._board.get_service(target.searcher.service)
        if service is None or service.cold_per_s <= 0:
            return True
        bounds = self._board.bounds
        bound = service.cold_per_s * bounds.cold_overage + bounds.cold_slack
        self.update(now_s)
        recent = coldness.count_recent_calls(target, now_s)
        return recent + 1 <= bound * self._cold_share.part

    def update(self, now_s: float) -> None:
        """Takes this VM's part of what is bounded for all together."""
        board = self._board
        known = board.members.keys() | {board.identity.vm}
        stale_s = now_s - board.contact.confirmed_s
        part = shares.compute_part(
            len(board.advertised),
            len(known - board.advertised.keys()),
            board.identity.vm in board.advertised,
            stale_s > shares.STALE_S,
        )
        self._extra_share.update(part, now_s)
        self._cold_share.update(part, now_s)
