"""Whether this VM takes new work from callers."""

from __future__ import annotations

import asyncio
import math

from azureramp import blackboard, events, resources

HEAR_S = 3.0
"""Longest time for which a VM that starts waits for the owners' word."""


class Controller:
    """Keeps `board.serving`, from the rest of the board alone."""

    __slots__ = ("_board", "_knows", "_until_s")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a controller of one process's state."""
        self._board = board
        self._knows = False
        self._until_s = math.inf

    def update(self) -> None:
        """Decides again, after a change or some time."""
        board = self._board
        now_s = asyncio.get_running_loop().time()
        decided = decide(board, now_s)
        if decided is blackboard.Serving.READY and not self._has_heard(now_s):
            decided = blackboard.Serving.STARTING
        if decided is board.serving:
            return
        board.serving = decided
        board.timeline.record(
            events.ServingChanged(
                state=decided.value, revision=board.configuration.revision
            ),
            now_s,
        )

    def _has_heard(self, now_s: float) -> bool:
        """Tells whether this VM knows enough of the searchers to begin.

        One that has just started has its configuration before the owners
        have told it of their searchers. If it were advertised then, its
        first callers would be told that no index version is served. It waits
        for every owner's word, but not for long: one that is silent must not
        keep a VM out.
        """
        board = self._board
        if not self._knows:
            self._until_s = min(self._until_s, now_s + HEAR_S)
            states = board.get_searcher_states()
            declared = bool(board.configuration.get_backend_servers())
            told = all(name in states for name in board.owners)
            heard = told and (bool(board.owners) or not declared)
            self._knows = heard or now_s >= self._until_s
        return self._knows


def decide(board: blackboard.Blackboard, now_s: float) -> blackboard.Serving:
    """Decides whether a VM takes new work.

    A leaving VM stays leaving. One whose configuration may be outdated can't
    know whether its zone is still out, so that it is stale is told first.
    """
    if board.serving is blackboard.Serving.LEAVING:
        return blackboard.Serving.LEAVING
    if board.configuration.revision == 0:
        return blackboard.Serving.STARTING
    if now_s >= board.work_until_s:
        return blackboard.Serving.STALE
    zone = board.configuration.get_zones().get(board.settings.zone)
    if zone is not None and zone.state is resources.ZoneState.OUT:
        return blackboard.Serving.ZONE_OUT
    return blackboard.Serving.READY


def make(board: blackboard.Blackboard) -> Controller:
    """Makes the serving controller of one process."""
    return Controller(board)
