"""Looks after the running attempts of one query: hedges, and lost owners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from azureramp import blackboard, resources
from azureramp.controllers import attempts as attempts_module
from azureramp.policy import assembly, hedging

LONGEST_TICK_S = 0.05
"""Longest time between two looks at the running attempts."""

SHORTEST_TICK_S = 0.001


class Watch:
    """A timer that looks for attempts that are late or lost."""

    __slots__ = ("_attempts", "_board", "_on_lost", "_timer")

    def __init__(
        self,
        board: blackboard.Blackboard,
        attempts: attempts_module.Attempts,
        on_lost: Callable[[assembly.Failed], None],
    ) -> None:
        """Makes a watch that does not run yet.

        Args:
            board: The process's state.
            attempts: The query's attempts.
            on_lost: Called with an attempt whose owner VM has gone.
        """
        self._board = board
        self._attempts = attempts
        self._on_lost = on_lost
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Sets the timer for the next look."""
        self.stop()
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        next_s = now_s + LONGEST_TICK_S
        for attempt in self._attempts.state.get_running():
            delay_s = self._get_delay_ms(attempt) / 1000
            for due_s in (
                attempt.sent_s + delay_s,
                attempt.sent_s + delay_s * hedging.LOST_FACTOR,
            ):
                if now_s < due_s < next_s:
                    next_s = due_s
        next_s = max(next_s, now_s + SHORTEST_TICK_S)
        self._timer = loop.call_at(next_s, self._look)

    def stop(self) -> None:
        """Ends the watch."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _look(self) -> None:
        """Looks at every running attempt once."""
        for attempt in self._attempts.state.get_running():
            if self._attempts.dispatcher.is_owner_lost(attempt):
                failed = self._attempts.drop(attempt)
                if failed is not None:
                    self._on_lost(failed)
        for progress in self._attempts.state.get_open():
            if progress.running:
                self._help_late(progress)
        self.schedule()

    def help_running_long(self, part: int) -> None:
        """Hedges a sub-request that its owner says runs long.

        A deferrable one too, and ahead of the queue: the straggler holds a
        slot until the hedge's result cancels it, so the hedge gives back more
        than it costs, and the sooner the more. That is why it goes on under
        overload, unlike any other call that nobody strictly needs.
        """
        attempt = self._attempts.state.get_attempt(part)
        if attempt is None:
            return
        progress = self._attempts.state.progress[attempt.shard.name]
        if len(progress.running) == 1 and not self._is_suspect():
            self._hedge(progress, ahead=True)

    def _help_late(self, progress: assembly.Progress) -> None:
        """Hedges a late attempt, or adds a retry to a lost one."""
        newest = list(progress.running.values())[-1]
        now_s = asyncio.get_running_loop().time()
        elapsed_ms = (now_s - newest.sent_s) * 1000
        step = hedging.decide(elapsed_ms, self._get_delay_ms(newest))
        if step is hedging.Step.WAIT or not self._may_add(now_s):
            return
        if self._attempts.header.priority is resources.Priority.DEFERRABLE:
            return
        if len(progress.running) == 1 and self._hedge(progress):
            return
        retries = self._attempts.dispatcher.measured.retries
        if step is not hedging.Step.REPLACE or not retries.can_spend():
            return
        if self._attempts.start((progress,), "retry"):
            retries.spend()
            self._board.metrics.count("part.retried")

    def _hedge(self, progress: assembly.Progress, ahead: bool = False) -> bool:
        """Sends a hedge, if the budget has one; False if not."""
        hedges = self._attempts.dispatcher.measured.hedges
        if not hedges.can_spend():
            return False
        if not self._attempts.start((progress,), "hedge", ahead=ahead):
            return False
        hedges.spend()
        self._board.metrics.count("part.hedged")
        return True

    def _may_add(self, now_s: float) -> bool:
        """Tells whether calls may be made that nobody strictly needs.

        Not under overload, when a second call for what only waits takes the
        slot of somebody's first.
        """
        if self._is_suspect():
            return False
        level = self._attempts.dispatcher.measured.level
        return not level.is_overloaded(now_s)

    def _is_suspect(self) -> bool:
        """Tells whether the request may have crashed a server."""
        return (
            self._attempts.header.isolated or self._attempts.tally.crashes > 0
        )

    def _get_delay_ms(self, attempt: assembly.Attempt) -> float:
        """Returns the hedge delay of an attempt's shard."""
        header = self._attempts.header
        left_ms = (header.answer_s - attempt.sent_s) * 1000
        return self._attempts.dispatcher.measured.delays.get_ms(
            self._attempts.get_place(attempt), left_ms
        )
