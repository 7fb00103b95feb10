"""One running query: its sub-requests out, their results in, one answer."""

from __future__ import annotations

import asyncio
import dataclasses
import fractions
import random
from collections.abc import Iterable

import msgspec

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import dispatching
from azureramp.policy import coverage, snapshots

MAX_ATTEMPTS = 3
"""Most attempts for one shard of one query, hedges included."""

_items_decoder = msgspec.json.Decoder(list[msgspec.Raw])


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far one shard is.

    Attributes:
        shard: The shard.
        tried: The searchers that have had an attempt.
        running: The attempts without a result yet, by part number.
    """

    shard: resources.Shard
    tried: list[str] = dataclasses.field(default_factory=list)
    running: dict[int, dispatching.Attempt] = dataclasses.field(
        default_factory=dict
    )


class Gathering:
    """A query that runs; it lives until its answer.

    Results and timers change its state at once, with no task of their own,
    so that the answer leaves in the same turn of the loop in which the last
    needed result came.
    """

    __slots__ = (
        "_attempts",
        "_board",
        "_dispatcher",
        "_finished",
        "_header",
        "_ledger",
        "_lost",
        "_minimum",
        "_next_part",
        "_permitted",
        "_progress",
        "_random",
        "_snapshot",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: dispatching.Dispatcher,
        header: dispatching.Header,
        snapshot: snapshots.Snapshot,
        permitted: Iterable[resources.Shard],
        minimum_coverage: float,
        rng: random.Random,
    ) -> None:
        """Makes a query that has not sent anything yet.

        Args:
            board: The process's state.
            dispatcher: Sends and receives.
            header: What all sub-requests share.
            snapshot: The pinned version.
            permitted: The shards that the service may query.
            minimum_coverage: The least coverage that the caller takes.
            rng: Draws among equal replicas.
        """
        self._board = board
        self._dispatcher = dispatcher
        self._header = header
        self._snapshot = snapshot
        self._random = rng
        self._minimum = fractions.Fraction(minimum_coverage)
        self._ledger = coverage.Ledger(snapshot.shard_map)
        self._progress = {s.name: _Progress(s) for s in permitted}
        self._lost = {
            shard.name
            for shard in snapshot.shard_map.shards
            if shard.name not in self._progress
        }
        self._attempts: dict[int, dispatching.Attempt] = {}
        self._next_part = 0
        self._finished: asyncio.Future[errors.Failure | None] | None = None

    async def run(self) -> errors.Failure | None:
        """Sends, gathers, and returns once there is a final answer.

        Returns:
            Why there is no answer, or None: then `get_ledger` has it.
        """
        loop = asyncio.get_running_loop()
        self._finished = loop.create_future()
        request_id = self._header.request_id
        self._dispatcher.register(request_id, self.receive)
        timer = loop.call_at(self._header.answer_s, self._end_at_deadline)
        try:
            self._start_all()
            return await self._finished
        finally:
            timer.cancel()
            self._dispatcher.unregister(request_id)
            self._cancel(self._attempts.values())

    def get_ledger(self) -> coverage.Ledger:
        """Returns what is held."""
        return self._ledger

    def receive(self, result: messages.PartResult) -> None:
        """Takes one sub-request's result.

        A result for a part that does not run is a copy, or came late: the
        first one counts.
        """
        attempt = self._attempts.pop(result.part, None)
        if attempt is None:
            self._board.metrics.count("part.refused")
            return
        progress = self._progress[attempt.shard.name]
        progress.running.pop(attempt.part, None)
        match result:
            case messages.PartDone():
                self._take_done(progress, attempt, result)
            case messages.PartFailed():
                self._record_ended(attempt, result.kind, False)
                self._replace(progress, result)
        self._check_finished()

    def _take_done(
        self,
        progress: _Progress,
        attempt: dispatching.Attempt,
        done: messages.PartDone,
    ) -> None:
        """Merges a result, or treats it as lost."""
        items = read_items(done.items)
        merged = items is not None and self._ledger.hold(
            attempt.shard, done, items
        )
        code = "ok" if merged else errors.Kind.CROSSED_REPLY.value
        self._record_ended(attempt, code, merged)
        if merged:
            self._cancel(tuple(progress.running.values()))
            return
        self._board.metrics.count("part.refused")
        self._replace(progress, messages.PartFailed(done.part, code, True))

    def _replace(
        self, progress: _Progress, failed: messages.PartFailed
    ) -> None:
        """Tries another replica after a failure, or gives the shard up."""
        if progress.running or self._ledger.is_held(progress.shard):
            return
        if not self._start((progress,), "retry"):
            self._lost.add(progress.shard.name)

    def _start_all(self) -> None:
        """Sends the first attempt for every shard."""
        waiting = list(self._progress.values())
        self._start(waiting, "first")
        self._lost.update(p.shard.name for p in waiting if not p.running)
        self._board.metrics.count("part.needed", len(self._attempts))
        self._check_finished()

    def _start(self, wanted: Iterable[_Progress], reason: str) -> bool:
        """Sends one more attempt for each of some shards, where it can.

        Returns:
            True if any was sent.
        """
        attempts = []
        for progress in wanted:
            searcher = self._choose(progress)
            if searcher is None:
                continue
            self._next_part += 1
            attempt = self._dispatcher.make_attempt(
                self._next_part, progress.shard, searcher, reason
            )
            progress.tried.append(searcher)
            progress.running[attempt.part] = attempt
            self._attempts[attempt.part] = attempt
            attempts.append(attempt)
        unsent = self._dispatcher.send(self._header, attempts)
        for attempt in unsent:
            del self._attempts[attempt.part]
            del self._progress[attempt.shard.name].running[attempt.part]
        return len(unsent) < len(attempts)

    def _choose(self, progress: _Progress) -> str | None:
        """Chooses a searcher that has not been tried."""
        if len(progress.tried) >= MAX_ATTEMPTS:
            return None
        candidates = [
            name
            for name in self._snapshot.replicas[progress.shard.name]
            if name not in progress.tried and self._dispatcher.is_owned(name)
        ]
        return self._random.choice(candidates) if candidates else None

    def _check_finished(self) -> None:
        """Ends the query as soon as nothing more can change its answer."""
        if self._ledger.get_reachable(self._lost) < self._minimum:
            self._finish(errors.Failure(errors.Kind.COVERAGE_TOO_LOW))
        elif not self._attempts:
            self._finish(None)

    def _end_at_deadline(self) -> None:
        """Ends the query with what is held."""
        held = self._ledger.get_coverage()
        if fractions.Fraction(held) < self._minimum:
            self._finish(errors.Failure(errors.Kind.COVERAGE_TOO_LOW))
        else:
            self._finish(None)

    def _finish(self, failure: errors.Failure | None) -> None:
        """Wakes `run`."""
        if self._finished is not None and not self._finished.done():
            self._finished.set_result(failure)

    def _cancel(self, attempts: Iterable[dispatching.Attempt]) -> None:
        """Forgets running attempts, and tells their owners."""
        cancelled = list(attempts)
        for attempt in cancelled:
            self._attempts.pop(attempt.part, None)
            self._progress[attempt.shard.name].running.pop(attempt.part, None)
            code = errors.Kind.CANCELLED.value
            self._record_ended(attempt, code, False)
        self._dispatcher.cancel(self._header.request_id, cancelled)

    def _record_ended(
        self, attempt: dispatching.Attempt, code: str, merged: bool
    ) -> None:
        """Records the end of an attempt."""
        event = events.PartEnded(
            request_id=self._header.request_id,
            part=attempt.part,
            searcher=attempt.searcher,
            version=self._header.version,
            low=attempt.shard.low,
            high=attempt.shard.high,
            code=code,
            merged=merged,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)


def read_items(data: bytes) -> bytes | None:
    """Checks that a result's items are one whole JSON array.

    A reply that was cut short on its way is not valid JSON any more.

    Args:
        data: The items.

    Returns:
        What is between the brackets, or None.
    """
    try:
        pieces = _items_decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError):
        return None
    return b",".join(bytes(piece) for piece in pieces)
