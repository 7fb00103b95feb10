"""The attempts of one running request: choice, sending, results, cancelling."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Collection, Iterable

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import part_dispatcher, searcher_view
from azureramp.policy import assembly, hedging, outcomes, snapshots


class Attempts:
    """Sends a request's sub-requests and processes their results.

    Attributes:
        dispatcher: Sends sub-requests and receives results.
        header: The fields that all sub-requests share.
        state: The running attempts, the results, and the lost shards.
        tally: Statistics of the attempts.
    """

    __slots__ = (
        "_board",
        "_next_part",
        "dispatcher",
        "header",
        "state",
        "tally",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
        header: part_dispatcher.RequestHeader,
        state: assembly.Assembly,
    ) -> None:
        """Creates an instance without attempts."""
        self._board = board
        self._next_part = 0
        self.dispatcher = dispatcher
        self.header = header
        self.state = state
        self.tally = outcomes.PartStatistics()

    def restart(self, state: assembly.Assembly) -> None:
        """Switches to another version; its sub-requests get new numbers."""
        self.cancel(self.state.get_running_attempts())
        self.state = state
        version = state.ledger.shard_map.version
        self.header = dataclasses.replace(self.header, version=version)

    def start(
        self,
        pending: Iterable[assembly.Progress],
        reason: str,
        replicas: snapshots.UsableReplicas | None = None,
        ahead: bool = False,
    ) -> bool:
        """Sends one more attempt for each given shard where possible.

        Args:
            pending: The shards.
            reason: `first`, `hedge` or `retry`.
            replicas: The usable searchers; None to determine them now.
            ahead: True to send with urgent priority.

        Returns:
            True if any attempt was sent.
        """
        view = self.dispatcher.viewer.get()
        attempts = []
        for progress in pending:
            shard = progress.shard
            candidates = (
                replicas[shard.name]
                if replicas is not None
                else self.find_replicas(view, shard)
            )
            searcher = self._choose(view, progress, candidates, reason)
            if searcher is None:
                continue
            self._next_part += 1
            attempt = self.dispatcher.make_attempt(
                view, self._next_part, shard, searcher, reason
            )
            self.state.add(attempt)
            attempts.append(attempt)
        header = self.header
        if ahead:
            urgent = resources.Priority.URGENT
            header = dataclasses.replace(header, priority=urgent)
        unsent = self.dispatcher.send(header, attempts)
        for attempt in unsent:
            self.state.remove(attempt)
        return len(unsent) < len(attempts)

    def find_replicas(
        self, view: searcher_view.View, shard: resources.Shard
    ) -> tuple[str, ...]:
        """Finds the searchers that may get work of a shard now.

        Evaluated again for each later attempt: a zone that was taken out of
        service, or a server that began to leave during the query, must not get
        hedges or retries.
        """
        version = self.state.ledger.shard_map.version
        return view.find_replicas(self.header.index, version, shard)

    def _choose(
        self,
        view: searcher_view.View,
        progress: assembly.Progress,
        candidates: Collection[str],
        reason: str,
    ) -> str | None:
        """Chooses a searcher for one more attempt.

        A hedge goes only to another backend server, because the whole server
        may be the cause of the first attempt's delay.
        """
        if progress.attempts >= assembly.MAX_ATTEMPTS:
            return None
        used = {attempt.server for attempt in progress.running.values()}
        sites = view.table.sites
        eligible = [
            name
            for name in candidates
            if name not in progress.tried
            and name in sites
            and (reason != "hedge" or sites[name].server not in used)
        ]
        return self.dispatcher.choose(view, eligible, used)

    def apply_result(
        self, result: messages.PartResult
    ) -> assembly.HandledResult:
        """Applies a result and updates the searcher's measurements."""
        now_s = asyncio.get_running_loop().time()
        taken = self.state.handle_result(result)
        match taken:
            case assembly.UnmatchedResult():
                self._board.metrics.count("part.refused")
            case assembly.Merged(attempt=attempt):
                took_ms = (now_s - attempt.sent_s) * 1000
                self.tally.add_merged(taken, took_ms)
                self.dispatcher.measurements.finish(
                    self.get_place(attempt), attempt, now_s
                )
                self._record_ended(attempt, "ok", True)
                self.cancel(taken.redundant)
            case assembly.Failed():
                self._record_failed(taken)
        return taken

    def fail_lost(self, attempt: assembly.Attempt) -> assembly.Failed | None:
        """Fails a running attempt whose owner VM is lost."""
        if not self.state.remove(attempt):
            return None
        kind = errors.Kind.CONNECTION_LOST
        failed = assembly.Failed(attempt, kind, sent=True, ran=True)
        self._record_failed(failed)
        return failed

    def cancel(self, attempts: Iterable[assembly.Attempt]) -> None:
        """Cancels running attempts, here and at their owners."""
        now_s = asyncio.get_running_loop().time()
        cancelled = [one for one in attempts if self.state.remove(one)]
        for attempt in cancelled:
            self.tally.ran = True
            self.dispatcher.measurements.abandon(
                self.get_place(attempt), attempt, now_s
            )
            self._record_ended(attempt, errors.Kind.CANCELLED.value, False)
        if cancelled:
            self.dispatcher.cancel(self.header.request_id, cancelled)

    def end(self, attempts: Iterable[assembly.Attempt]) -> None:
        """Cancels the attempts without a result when the request ends."""
        now_s = asyncio.get_running_loop().time()
        ended = tuple(attempts)
        for attempt in ended:
            self.tally.add_unanswered((now_s - attempt.sent_s) * 1000)
        self.cancel(ended)

    def restore(self, state: assembly.Assembly) -> None:
        """Restores the results that were kept from another version."""
        self.state = state
        version = state.ledger.shard_map.version
        self.header = dataclasses.replace(self.header, version=version)
        for attempt in state.merged:
            self._record_ended(attempt, "ok", True)

    def get_place(self, attempt: assembly.Attempt) -> hedging.DelayKey:
        """Returns the key under which an attempt's duration is recorded."""
        header = self.header
        return hedging.DelayKey(
            header.index, attempt.shard.name, header.priority
        )

    def _record_failed(self, failed: assembly.Failed) -> None:
        """Records a failed attempt."""
        now_s = asyncio.get_running_loop().time()
        self.tally.add_failed(failed)
        self.dispatcher.measurements.fail(failed.attempt, now_s)
        self._record_ended(failed.attempt, failed.kind.value, False)

    def _record_ended(
        self, attempt: assembly.Attempt, code: str, merged: bool
    ) -> None:
        """Records the end of an attempt in the timeline."""
        event = events.PartEnded(
            request_id=self.header.request_id,
            part=attempt.part,
            searcher=attempt.searcher,
            version=self.header.version,
            low=attempt.shard.low,
            high=attempt.shard.high,
            code=code,
            merged=merged,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)
