"""A running query: sends sub-requests and gathers results into one answer."""

from __future__ import annotations

import asyncio
import fractions
from collections.abc import Callable

from azureramp import blackboard, errors, messages, resources
from azureramp.controllers import attempt_monitor, attempts, part_dispatcher
from azureramp.policy import assembly, coverage, outcomes, snapshots

NOT_OWNER_WAIT_S = 0.025
"""Initial delay before a retry on the same searcher, in seconds, when its owner
refused and no other replica is left: the time in which this VM receives the
change of owner. It doubles with each attempt.
"""

MAX_CRASHES = 2
"""Number of crashes that end a query; a quarantine also requires two."""

Permits = Callable[[resources.Shard], bool]


class QueryRun:
    """A query from its first sub-request to its answer.

    Results and timers change its state directly instead of through tasks, so
    that the answer is sent in the same iteration of the event loop in which
    the last required result arrives.

    Attributes:
        tally: Statistics of its attempts.
    """

    __slots__ = (
        "_attempts",
        "_board",
        "_dispatcher",
        "_finished",
        "_held_back",
        "_minimum",
        "_monitor",
        "_on_pinned",
        "_permits",
        "_previous",
        "_snapshot",
        "tally",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
        header: part_dispatcher.RequestHeader,
        snapshot: snapshots.Snapshot,
        permits: Permits,
        minimum_coverage: float,
        on_pinned: Callable[[int], None],
    ) -> None:
        """Creates a query that has not sent anything yet.

        Args:
            board: The process's state.
            dispatcher: Sends sub-requests and receives results.
            header: The fields that all sub-requests share.
            snapshot: The pinned version.
            permits: Returns True if the service may query a shard.
            minimum_coverage: The minimum coverage that the caller accepts, 0
                to 1.
            on_pinned: Called with each version that is pinned later.
        """
        self._on_pinned = on_pinned
        self._board = board
        self._dispatcher = dispatcher
        self._snapshot = snapshot
        self._permits = permits
        self._minimum = fractions.Fraction(minimum_coverage)
        self._previous: assembly.Assembly | None = None
        self._held_back: list[assembly.Progress] = []
        self._attempts = attempts.Attempts(
            board,
            dispatcher,
            header,
            assembly.Assembly(snapshot.shard_map, permits),
        )
        self._monitor = attempt_monitor.AttemptMonitor(
            board, self._attempts, self._handle_lost_owner
        )
        self._finished = asyncio.get_running_loop().create_future()
        self.tally = self._attempts.tally

    async def run(self) -> coverage.ResultLedger | errors.Failure:
        """Sends the sub-requests and waits until the answer is final.

        Cancelling this coroutine cancels the attempts at the owners.

        Returns:
            The results of one version, or the failure.
        """
        header = self._attempts.header
        self._dispatcher.register(header.request_id, self)
        timer = asyncio.get_running_loop().call_at(
            header.answer_s, self._finish
        )
        try:
            self._begin()
            await self._finished
        finally:
            timer.cancel()
            self._monitor.stop()
            self._dispatcher.unregister(header.request_id)
            self._attempts.end(self._attempts.state.get_running_attempts())
        return self._determine_answer()

    def receive(self, result: messages.PartResult) -> None:
        """Handles the result of one sub-request."""
        if self._finished.done():
            return
        taken = self._attempts.apply_result(result)
        match taken:
            case assembly.Merged():
                self._start_held_back()
            case assembly.Failed():
                self._replace(taken)
        self._check_finished()

    def receive_late(self, part: int) -> None:
        """Handles the notice that a sub-request runs unusually long."""
        self._monitor.hedge_long_running(part)

    def _begin(self) -> None:
        """Sends the first attempts on the pinned version.

        A request to which a crash is attributed is first sent to one shard
        only; the other shards get it after that one has returned a result.
        """
        waiting = list(self._attempts.state.progress.values())
        if self._attempts.header.isolated:
            waiting, self._held_back = waiting[:1], waiting[1:]
            for progress in self._held_back:
                progress.waiting = True
        needed = len(self._attempts.state.progress)
        policy = self._dispatcher.get_topology().policy
        self._dispatcher.measurements.earn(needed, policy)
        self._board.metrics.count("part.needed", needed)
        self._start_first(waiting, self._snapshot.replicas)
        self._check_finished()
        if not self._finished.done():
            self._monitor.schedule()

    def _start_held_back(self) -> None:
        """Sends the sub-requests that waited for the first result."""
        held_back, self._held_back = self._held_back, []
        self._start_first(held_back, None)

    def _start_first(
        self,
        waiting: list[assembly.Progress],
        replicas: snapshots.UsableReplicas | None,
    ) -> None:
        """Sends first attempts; a shard without a replica is lost."""
        for progress in waiting:
            progress.waiting = False
        self._attempts.start(waiting, "first", replicas)
        for progress in waiting:
            if not progress.running:
                self._give_up(progress)

    def _handle_lost_owner(self, failed: assembly.Failed) -> None:
        """Replaces an attempt whose owner VM is lost.

        The retry doesn't use the retry budget: an attempt can lose its owner
        only once, and the loss of one of eight VMs affects an eighth of all
        sub-requests.
        """
        self._replace(failed, paid=True)
        self._check_finished()

    def _replace(self, failed: assembly.Failed, paid: bool = False) -> None:
        """Tries another replica after a failure, or marks the shard as lost.

        Args:
            failed: The failure.
            paid: True to retry without using the retry budget.
        """
        if self.tally.crashes >= MAX_CRASHES:
            self._stop()
            return
        progress = self._attempts.state.progress[failed.attempt.shard.name]
        if progress.running or progress.waiting:
            return
        not_owner = failed.kind is errors.Kind.NOT_OWNER
        if not_owner and self._dispatcher.has_moved(failed.attempt):
            progress.tried.discard(failed.attempt.searcher)
        if self._may_retry(failed, paid) and self._attempts.start(
            (progress,), "retry"
        ):
            self._board.metrics.count("part.retried")
        elif not_owner and progress.attempts < assembly.MAX_ATTEMPTS:
            progress.waiting = True
            asyncio.get_running_loop().call_later(
                NOT_OWNER_WAIT_S * 2 ** (progress.attempts - 1),
                self._retry_later,
                progress,
                failed.attempt.searcher,
            )
        elif failed.kind is not errors.Kind.VERSION_GONE or not self._restart():
            self._give_up(progress)

    def _may_retry(self, failed: assembly.Failed, paid: bool) -> bool:
        """Returns True if a failed attempt may be retried.

        An attempt that was never sent to a searcher caused no load, so its
        retry doesn't use the budget. A request that crashed a server must not
        be sent to another one.
        """
        if not failed.sent:
            return True
        if self._attempts.header.isolated or self.tally.crashes:
            return False
        return paid or self._dispatcher.measurements.retries.spend()

    def _retry_later(self, progress: assembly.Progress, searcher: str) -> None:
        """Tries a searcher again after the delay for a change of its owner."""
        state = self._attempts.state
        present = state.progress.get(progress.shard.name) is progress
        if self._finished.done() or not present or not progress.waiting:
            return
        progress.waiting = False
        progress.tried.discard(searcher)
        if not self._attempts.start((progress,), "retry"):
            self._give_up(progress)
        self._check_finished()

    def _give_up(self, progress: assembly.Progress) -> None:
        """Marks a shard as lost; sends the next held-back one if none runs."""
        state = self._attempts.state
        state.mark_lost(progress)
        while self._held_back and not state.get_running_attempts():
            following = self._held_back.pop(0)
            following.waiting = False
            if self.tally.crashes or not self._attempts.start(
                (following,), "first"
            ):
                state.mark_lost(following)

    def _stop(self) -> None:
        """Ends a query that crashes backend servers."""
        state = self._attempts.state
        self._attempts.cancel(state.get_running_attempts())
        self._held_back = []
        for progress in state.get_pending():
            progress.waiting = False
            state.mark_lost(progress)

    def _restart(self) -> bool:
        """Restarts the query on a newer version with replicas of all shards.

        The results of the old version are kept separately and never mixed
        with the new ones: they may be the better answer at the deadline.

        Returns:
            True if the query was restarted.
        """
        header = self._attempts.header
        if self._previous is not None or header.isolated:
            return False
        delays = self._dispatcher.measurements.delays
        needed_ms = delays.get_index_quantile_ms(header.index, header.priority)
        left_s = header.answer_s - asyncio.get_running_loop().time()
        if left_s * 1000 <= needed_ms:
            return False
        pinned = self._dispatcher.viewer.pin(header.index, after=header.version)
        if pinned.is_error() or not snapshots.is_complete(pinned.ok):
            return False
        self._snapshot = pinned.ok
        self._previous = self._attempts.state
        self._attempts.restart(
            assembly.Assembly(pinned.ok.shard_map, self._permits)
        )
        self._on_pinned(pinned.ok.shard_map.version)
        self._begin()
        return True

    def _check_finished(self) -> None:
        """Ends the query once no further result can change its answer."""
        state = self._attempts.state
        if state.is_finished() or (
            state.lost and state.get_reachable() < self._minimum
        ):
            self._finish()

    def _finish(self) -> None:
        """Wakes `run`."""
        if not self._finished.done():
            self._finished.set_result(None)

    def _determine_answer(self) -> coverage.ResultLedger | errors.Failure:
        """Determines the answer from the better version's results."""
        chosen = outcomes.choose_version(self._previous, self._attempts.state)
        if chosen is not self._attempts.state:
            self._on_pinned(chosen.ledger.shard_map.version)
            self._attempts.restore(chosen)
        permitted = bool(chosen.progress)
        ledger = chosen.ledger
        failure = outcomes.find_failure(
            ledger, self._minimum, self.tally, permitted
        )
        return ledger if failure is None else failure
