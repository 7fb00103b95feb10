"""Decides whether this VM accepts new work from callers."""

from __future__ import annotations

import asyncio
import math

import logbook

from azureramp import blackboard, events, resources

MAX_STATES_WAIT_S = 3.0
"""Maximum time for which a starting VM waits for the owners' announcements of
searcher states, in seconds."""

_logger = logbook.Logger("azureramp.serving")


class ServingController:
    """Derives `board.serving` from the rest of the blackboard."""

    __slots__ = ("_board", "_has_states", "_wait_until_s")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Creates the controller for one process's blackboard."""
        self._board = board
        self._has_states = False
        self._wait_until_s = math.inf

    def update(self) -> None:
        """Updates the state; call it after each change and periodically."""
        board = self._board
        now_s = asyncio.get_running_loop().time()
        decided = decide(board, now_s)
        if (
            decided is blackboard.Serving.READY
            and not self._has_searcher_states(now_s)
        ):
            decided = blackboard.Serving.STARTING
        if decided is board.serving:
            return
        board.serving = decided
        self._log(now_s)
        board.timeline.record(
            events.ServingChanged(
                state=decided.value, revision=board.configuration.revision
            ),
            now_s,
        )

    def _log(self, now_s: float) -> None:
        """Logs the new state with what it was decided from."""
        board = self._board
        states = board.get_searcher_states()
        _logger.info(
            "now {}: configuration {}, may work for {:.2f} s more,"
            " states of {} of {} owned searchers known",
            board.serving.value,
            board.configuration.revision,
            board.may_work_until_s - now_s,
            sum(name in states for name in board.owners),
            len(board.owners),
        )

    def _has_searcher_states(self, now_s: float) -> bool:
        """Returns True if this VM knows enough of the searchers to start.

        A VM that has just started has its configuration before the owners
        have announced their searchers' states. If it were advertised by then,
        its first callers would get the error that no index version is served.
        It waits until all owners have announced theirs, but for a limited
        time: an owner that doesn't respond must not keep a VM out of service.
        """
        board = self._board
        if not self._has_states:
            self._wait_until_s = min(
                self._wait_until_s, now_s + MAX_STATES_WAIT_S
            )
            states = board.get_searcher_states()
            declared = bool(board.configuration.get_backend_servers())
            announced = all(name in states for name in board.owners)
            complete = announced and (bool(board.owners) or not declared)
            self._has_states = complete or now_s >= self._wait_until_s
        return self._has_states


def decide(board: blackboard.Blackboard, now_s: float) -> blackboard.Serving:
    """Decides whether a VM accepts new work.

    A leaving VM stays in that state. `STALE` takes precedence over `ZONE_OUT`,
    since a VM whose configuration may be outdated doesn't know whether its
    zone is still out.
    """
    if board.serving is blackboard.Serving.LEAVING:
        return blackboard.Serving.LEAVING
    if board.configuration.revision == 0:
        return blackboard.Serving.STARTING
    if now_s >= board.may_work_until_s:
        return blackboard.Serving.STALE
    zone = board.configuration.get_zones().get(board.settings.zone)
    if zone is not None and zone.state is resources.ZoneState.OUT:
        return blackboard.Serving.ZONE_OUT
    return blackboard.Serving.READY


def make(board: blackboard.Blackboard) -> ServingController:
    """Creates the serving controller of one process."""
    return ServingController(board)
