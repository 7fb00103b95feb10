"""Monitors a query's running attempts for hedging and for lost owner VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from azureramp import blackboard, resources
from azureramp.controllers import attempts as attempts_module
from azureramp.policy import assembly, hedging

MAX_TICK_S = 0.05
"""Maximum interval between checks of the running attempts, in seconds."""

MIN_TICK_S = 0.001
"""Minimum delay before a check of the running attempts, in seconds."""


class AttemptMonitor:
    """Checks periodically for attempts that are late or lost."""

    __slots__ = ("_attempts", "_board", "_on_lost", "_timer")

    def __init__(
        self,
        board: blackboard.Blackboard,
        attempts: attempts_module.Attempts,
        on_lost: Callable[[assembly.Failed], None],
    ) -> None:
        """Creates a monitor that is not scheduled yet.

        Args:
            board: The process's state.
            attempts: The query's attempts.
            on_lost: Called with each attempt that failed because its owner VM
                is lost.
        """
        self._board = board
        self._attempts = attempts
        self._on_lost = on_lost
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self) -> None:
        """Sets the timer for the next check."""
        self.stop()
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        next_s = now_s + MAX_TICK_S
        for attempt in self._attempts.state.get_running_attempts():
            delay_s = self._get_delay_ms(attempt) / 1000
            for due_s in (
                attempt.sent_s + delay_s,
                attempt.sent_s + delay_s * hedging.LOST_DELAY_FACTOR,
            ):
                if now_s < due_s < next_s:
                    next_s = due_s
        next_s = max(next_s, now_s + MIN_TICK_S)
        self._timer = loop.call_at(next_s, self._check)

    def stop(self) -> None:
        """Cancels the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        """Checks every running attempt once."""
        for attempt in self._attempts.state.get_running_attempts():
            if self._attempts.dispatcher.is_owner_lost(attempt):
                failed = self._attempts.fail_lost(attempt)
                if failed is not None:
                    self._on_lost(failed)
        for progress in self._attempts.state.get_pending():
            if progress.running:
                self._handle_late(progress)
        self.schedule()

    def hedge_long_running(self, part: int) -> None:
        """Hedges a sub-request that runs long according to its owner.

        This includes deferrable requests, and the hedge is queued ahead of
        other sub-requests. The straggler occupies a slot until the hedge's
        result cancels it, so the hedge frees more capacity than it uses, and
        the earlier it runs, the more it frees. Therefore, unlike other optional
        calls, it is also sent under overload.
        """
        attempt = self._attempts.state.get_attempt(part)
        if attempt is None:
            return
        progress = self._attempts.state.progress[attempt.shard.name]
        if len(progress.running) == 1 and not self._is_suspect():
            self._hedge(progress, ahead=True)

    def _handle_late(self, progress: assembly.Progress) -> None:
        """Sends a hedge for a late attempt or a retry for a lost one."""
        newest = list(progress.running.values())[-1]
        now_s = asyncio.get_running_loop().time()
        elapsed_ms = (now_s - newest.sent_s) * 1000
        step = hedging.decide(elapsed_ms, self._get_delay_ms(newest))
        if step is hedging.Action.WAIT or not self._may_send_extra(now_s):
            return
        if self._attempts.header.priority is resources.Priority.DEFERRABLE:
            return
        if len(progress.running) == 1 and self._hedge(progress):
            return
        retries = self._attempts.dispatcher.measurements.retries
        if step is not hedging.Action.RETRY or not retries.can_spend():
            return
        if self._attempts.start((progress,), "retry"):
            retries.spend()
            self._board.metrics.count("part.retried")

    def _hedge(self, progress: assembly.Progress, ahead: bool = False) -> bool:
        """Sends a hedge if the budget allows it; returns False if not."""
        hedges = self._attempts.dispatcher.measurements.hedges
        if not hedges.can_spend():
            return False
        if not self._attempts.start((progress,), "hedge", ahead=ahead):
            return False
        hedges.spend()
        self._board.metrics.count("part.hedged")
        return True

    def _may_send_extra(self, now_s: float) -> bool:
        """Returns True if extra calls are allowed.

        They are not under overload: an extra call for an attempt that only
        waits in a queue would take a slot from another request's first call.
        """
        if self._is_suspect():
            return False
        level = self._attempts.dispatcher.measurements.admission_level
        return not level.is_overloaded(now_s)

    def _is_suspect(self) -> bool:
        """Returns True if the request may have crashed a server."""
        return (
            self._attempts.header.isolated or self._attempts.tally.crashes > 0
        )

    def _get_delay_ms(self, attempt: assembly.Attempt) -> float:
        """Returns the hedge delay of an attempt's shard, in milliseconds."""
        header = self._attempts.header
        left_ms = (header.answer_s - attempt.sent_s) * 1000
        return self._attempts.dispatcher.measurements.delays.get_delay_ms(
            self._attempts.get_place(attempt), left_ms
        )
