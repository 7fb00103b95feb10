"""Whether this VM takes new work from callers."""

from __future__ import annotations

from azureramp import blackboard, resources


class Controller:
    """Keeps `board.serving`."""

    __slots__ = ("_board",)

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a controller of one process's state."""
        self._board = board

    def update(self) -> None:
        """Decides again, after a change; a leaving VM stays leaving."""
        board = self._board
        if board.serving is blackboard.Serving.LEAVING:
            return
        if board.configuration.revision == 0:
            board.serving = blackboard.Serving.STARTING
            return
        zone = board.configuration.get_zones().get(board.settings.zone)
        out = zone is not None and zone.state is resources.ZoneState.OUT
        board.serving = (
            blackboard.Serving.ZONE_OUT if out else blackboard.Serving.READY
        )


def make(board: blackboard.Blackboard) -> Controller:
    """Makes the serving controller of one process."""
    return Controller(board)
