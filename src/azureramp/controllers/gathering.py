"""One running query: its sub-requests out, their results in, one answer."""

from __future__ import annotations

import asyncio
import fractions
from collections.abc import Callable

from azureramp import blackboard, errors, messages, resources
from azureramp.controllers import attempts, dispatching, lateness
from azureramp.policy import assembly, coverage, outcomes, snapshots

NOT_OWNER_WAIT_S = 0.025
"""First wait for a handoff to be known, when no other replica is left; it
doubles with each attempt.
"""

MOST_CRASHES = 2
"""Crashes under one query that end it: two are the quarantine's proof."""

Permits = Callable[[resources.Shard], bool]


class Gathering:
    """A query that runs; it lives until its answer.

    Results and timers change its state at once, with no task of their own,
    so that the answer leaves in the same turn of the loop in which the last
    needed result came.

    Attributes:
        tally: How its parts went.
    """

    __slots__ = (
        "_attempts",
        "_board",
        "_dispatcher",
        "_finished",
        "_former",
        "_held_back",
        "_minimum",
        "_on_pinned",
        "_permits",
        "_snapshot",
        "_watch",
        "tally",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: dispatching.Dispatcher,
        header: dispatching.Header,
        snapshot: snapshots.Snapshot,
        permits: Permits,
        minimum_coverage: float,
        on_pinned: Callable[[int], None],
    ) -> None:
        """Makes a query that has not sent anything yet.

        Args:
            board: The process's state.
            dispatcher: Sends and receives.
            header: What all sub-requests share.
            snapshot: The pinned version.
            permits: Tells which shards the service may query.
            minimum_coverage: The least that the caller takes.
            on_pinned: Called with each version that is pinned later.
        """
        self._on_pinned = on_pinned
        self._board = board
        self._dispatcher = dispatcher
        self._snapshot = snapshot
        self._permits = permits
        self._minimum = fractions.Fraction(minimum_coverage)
        self._former: assembly.Assembly | None = None
        self._held_back: list[assembly.Progress] = []
        self._attempts = attempts.Attempts(
            board,
            dispatcher,
            header,
            assembly.Assembly(snapshot.shard_map, permits),
        )
        self._watch = lateness.Watch(board, self._attempts, self._take_lost)
        self._finished = asyncio.get_running_loop().create_future()
        self.tally = self._attempts.tally

    async def run(self) -> coverage.Ledger | errors.Failure:
        """Sends, gathers, and returns once there is a final answer.

        Cancelling this cancels what runs at the owners.

        Returns:
            What is held of one version; or why there is no answer.
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
            self._watch.stop()
            self._dispatcher.unregister(header.request_id)
            self._attempts.end(self._attempts.state.get_running())
        return self._conclude()

    def receive(self, result: messages.PartResult) -> None:
        """Takes one sub-request's result."""
        if self._finished.done():
            return
        taken = self._attempts.take(result)
        match taken:
            case assembly.Merged():
                self._start_held_back()
            case assembly.Failed():
                self._replace(taken)
        self._check_finished()

    def receive_late(self, part: int) -> None:
        """Learns that a sub-request runs for unusually long."""
        self._watch.help_running_long(part)

    def _begin(self) -> None:
        """Sends the first attempts over the pinned version.

        One that is blamed for a crash goes to one shard alone first; the
        others get it only once that one has survived it.
        """
        waiting = list(self._attempts.state.progress.values())
        if self._attempts.header.isolated:
            waiting, self._held_back = waiting[:1], waiting[1:]
            for progress in self._held_back:
                progress.waiting = True
        needed = len(self._attempts.state.progress)
        policy = self._dispatcher.get_topology().policy
        self._dispatcher.measured.earn(needed, policy)
        self._board.metrics.count("part.needed", needed)
        self._start_first(waiting, self._snapshot.replicas)
        self._check_finished()
        if not self._finished.done():
            self._watch.schedule()

    def _start_held_back(self) -> None:
        """Sends what waited for the first part's survival."""
        held_back, self._held_back = self._held_back, []
        self._start_first(held_back, None)

    def _start_first(
        self,
        waiting: list[assembly.Progress],
        replicas: snapshots.Replicas | None,
    ) -> None:
        """Sends first attempts; a shard without a replica is lost."""
        for progress in waiting:
            progress.waiting = False
        self._attempts.start(waiting, "first", replicas)
        for progress in waiting:
            if not progress.running:
                self._lose(progress)

    def _take_lost(self, failed: assembly.Failed) -> None:
        """Replaces an attempt whose owner VM has gone.

        It needs no budget: an attempt can lose its owner but once, and an
        eighth of all parts go with one of eight VMs.
        """
        self._replace(failed, paid=True)
        self._check_finished()

    def _replace(self, failed: assembly.Failed, paid: bool = False) -> None:
        """Tries another replica after a failure, or gives the shard up.

        Args:
            failed: The failure.
            paid: True if the retry needs no budget.
        """
        if self.tally.crashes >= MOST_CRASHES:
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
            self._lose(progress)

    def _may_retry(self, failed: assembly.Failed, paid: bool) -> bool:
        """Tells whether a failed attempt may be followed by another.

        What a searcher never got costs it nothing and needs no budget. What
        crashed a server must not meet the next one.
        """
        if not failed.sent:
            return True
        if self._attempts.header.isolated or self.tally.crashes:
            return False
        return paid or self._dispatcher.measured.retries.spend()

    def _retry_later(self, progress: assembly.Progress, searcher: str) -> None:
        """Tries a searcher again once its new owner should be known."""
        state = self._attempts.state
        present = state.progress.get(progress.shard.name) is progress
        if self._finished.done() or not present or not progress.waiting:
            return
        progress.waiting = False
        progress.tried.discard(searcher)
        if not self._attempts.start((progress,), "retry"):
            self._lose(progress)
        self._check_finished()

    def _lose(self, progress: assembly.Progress) -> None:
        """Gives a shard up; if all others wait for it, the next one leads."""
        state = self._attempts.state
        state.give_up(progress)
        while self._held_back and not state.get_running():
            following = self._held_back.pop(0)
            following.waiting = False
            if self.tally.crashes or not self._attempts.start(
                (following,), "first"
            ):
                state.give_up(following)

    def _stop(self) -> None:
        """Ends a query that crashes the backend servers that run it."""
        state = self._attempts.state
        self._attempts.cancel(state.get_running())
        self._held_back = []
        for progress in state.get_open():
            progress.waiting = False
            state.give_up(progress)

    def _restart(self) -> bool:
        """Starts once more, on a newer version that is served whole.

        What is held of the old version is kept aside, never mixed: it may
        still be the better answer if the time runs out.
        """
        header = self._attempts.header
        if self._former is not None or header.isolated:
            return False
        delays = self._dispatcher.measured.delays
        needed_ms = delays.get_index_ms(header.index, header.priority)
        left_s = header.answer_s - asyncio.get_running_loop().time()
        if left_s * 1000 <= needed_ms:
            return False
        pinned = self._dispatcher.viewer.pin(header.index, after=header.version)
        if pinned.is_error() or not snapshots.is_whole(pinned.ok):
            return False
        self._snapshot = pinned.ok
        self._former = self._attempts.state
        self._attempts.restart(
            assembly.Assembly(pinned.ok.shard_map, self._permits)
        )
        self._on_pinned(pinned.ok.shard_map.version)
        self._begin()
        return True

    def _check_finished(self) -> None:
        """Ends the query as soon as nothing more can change its answer."""
        state = self._attempts.state
        if state.is_final() or (
            state.lost and state.get_reachable() < self._minimum
        ):
            self._finish()

    def _finish(self) -> None:
        """Wakes `run`."""
        if not self._finished.done():
            self._finished.set_result(None)

    def _conclude(self) -> coverage.Ledger | errors.Failure:
        """Makes the final answer of what is held of one version."""
        chosen = outcomes.choose(self._former, self._attempts.state)
        if chosen is not self._attempts.state:
            self._on_pinned(chosen.ledger.shard_map.version)
            self._attempts.readopt(chosen)
        permitted = bool(chosen.progress)
        ledger = chosen.ledger
        failure = outcomes.judge(ledger, self._minimum, self.tally, permitted)
        return ledger if failure is None else failure
