"""Replaces connections to other VMs that no longer acknowledge heartbeats."""

from __future__ import annotations

import asyncio

from azureramp import blackboard
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import heartbeat_times
from azureramp.policy import membership as policy


class Links:
    """Tracks when the link to each VM was opened."""

    __slots__ = ("_board", "_opened_s", "_outbox")

    def __init__(
        self, board: blackboard.Blackboard, outbox: outbox_module.Outbox
    ) -> None:
        """Creates an instance without links."""
        self._board = board
        self._outbox = outbox
        self._opened_s: dict[str, float] = {}

    def renew(self, times: heartbeat_times.HeartbeatTimes) -> None:
        """Replaces the links on which acknowledgements are overdue.

        Args:
            times: The intervals and timeouts for the size of the cell.
        """
        now_s = asyncio.get_running_loop().time()
        limit_s = times.suspect_s + 2 * times.heartbeat_interval_s
        for name, member in self._board.members.items():
            if name == self._board.settings.vm:
                continue
            opened_s = self._opened_s.setdefault(name, now_s)
            if policy.needs_new_link(
                member.acknowledged_s, opened_s, now_s, limit_s
            ):
                self._opened_s[name] = now_s
                self._outbox.reconnect(name)
