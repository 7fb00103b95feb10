"""Whether this VM takes new work from callers."""

from __future__ import annotations

import asyncio

from azureramp import blackboard, events, resources


class Controller:
    """Keeps `board.serving`, from the rest of the board alone."""

    __slots__ = ("_board",)

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a controller of one process's state."""
        self._board = board

    def update(self) -> None:
        """Decides again, after a change or some time."""
        board = self._board
        now_s = asyncio.get_running_loop().time()
        decided = decide(board, now_s)
        if decided is board.serving:
            return
        board.serving = decided
        board.timeline.record(
            events.ServingChanged(
                state=decided.value, revision=board.configuration.revision
            ),
            now_s,
        )


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
