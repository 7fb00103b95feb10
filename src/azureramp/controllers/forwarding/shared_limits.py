"""This VM's shares of the operators' limits on all VMs together."""

from __future__ import annotations

import asyncio

import logbook

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import cold_searchers
from azureramp.policy import allowances, limit_shares

MIN_PAUSE_S = 1.0
"""Minimum delay of a timer that shows that the process was paused, in seconds.
A searcher that was down for less is unlikely to have restarted."""

UPDATE_INTERVAL_S = 0.5
"""Interval between two updates of this VM's shares, in seconds; any loss of
contact with the store that is long enough to matter takes several times as
long."""

_logger = logbook.Logger("azureramp.searchers")


class SharedLimits:
    """This VM's shares of extra calls and of calls to cold searchers."""

    __slots__ = ("_allowances", "_board", "_cold_share", "_extra_share")

    def __init__(self, board: board_module.Board) -> None:
        """Creates limits of which nothing has been spent."""
        self._board = board
        self._allowances: dict[str, allowances.Allowance] = {}
        first = board.identity.first_start
        self._extra_share = limit_shares.LimitShare(
            board.bounds.extra.window_s, board.started_s, first
        )
        self._cold_share = limit_shares.LimitShare(
            cold_searchers.WINDOW_S, board.started_s, first
        )

    async def run(self) -> None:
        """Updates this VM's shares periodically until cancelled.

        A share counts as the lowest value that it had during the last window,
        so a moment when it was small must be recorded even if no call needs it
        at that time. An update that runs late shows that the process was
        paused.
        """
        loop = asyncio.get_running_loop()
        updated_s = loop.time()
        while True:
            now_s = loop.time()
            if now_s - updated_s > UPDATE_INTERVAL_S + MIN_PAUSE_S:
                self._board.pause = board_module.Pause(updated_s, now_s)
                _logger.info(
                    "process was paused for {:.1f} s", now_s - updated_s
                )
            updated_s = now_s
            self.update(now_s)
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def get_allowance(self, service: str) -> allowances.Allowance:
        """Returns this VM's allowance of extra calls to a service."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = allowances.Allowance(self._board.bounds.extra)
            self._allowances[service] = allowance
        return allowance

    def get_extra_call_share(self, now_s: float) -> float:
        """Returns this VM's share of the fixed extra calls, 0 to 1."""
        self.update(now_s)
        return self._extra_share.value

    def is_warm_enough(self, target: board_module.Target, now_s: float) -> bool:
        """Returns True if a searcher can take one more call this second.

        A cold searcher that gets more calls than it can take crashes, along
        with everything that it is running. All VMs together must stay within
        the operators' limit for any one second, so each VM keeps to its own
        share.
        """
        if not cold_searchers.is_cold(target, now_s, self._board.pause):
            return True
        service = self._board.get_service(target.searcher.service)
        if service is None or service.cold_requests_per_s <= 0:
            return True
        bounds = self._board.bounds
        bound = (
            service.cold_requests_per_s * bounds.cold_overage
            + bounds.cold_slack
        )
        self.update(now_s)
        recent = cold_searchers.count_recent_calls(target, now_s)
        return recent + 1 <= bound * self._cold_share.value

    def update(self, now_s: float) -> None:
        """Updates this VM's shares of the limits on all VMs together."""
        board = self._board
        members = board.members.keys() | {board.identity.vm}
        stale_s = now_s - board.contact.last_answer_s
        part = limit_shares.compute_share(
            len(board.advertised),
            len(members - board.advertised.keys()),
            board.identity.vm in board.advertised,
            stale_s > limit_shares.STALE_CONTACT_S,
        )
        self._extra_share.update(part, now_s)
        self._cold_share.update(part, now_s)
