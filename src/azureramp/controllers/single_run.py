"""A run of a non-repeatable request under its idempotency claim."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Protocol

from azureramp import blackboard, errors, messages, resources
from azureramp.controllers import attempts, idempotency, part_dispatcher
from azureramp.policy import assembly, outcomes, snapshots

LATE_RESULT_S = 2.0
"""How long after the deadline a result is still recorded, in seconds."""

NOT_OWNER_WAIT_S = 0.025
"""Initial delay before a retry on the same searcher, in seconds, when its owner
refused and no other replica is left: the time in which this VM receives the
change of owner. It doubles with each attempt.
"""


class Recorder(Protocol):
    """Records the outcome of a claim; see `idempotency.IdempotencyRecords`."""

    async def finish(self, claimed: idempotency.Claimed, result: bytes) -> None:
        """Records the result."""
        ...

    async def mark_unknown(self, claimed: idempotency.Claimed) -> None:
        """Records that the request may have run."""
        ...

    def release(self, claimed: idempotency.Claimed) -> None:
        """Releases the claim; only valid if the request has not run."""
        ...


Outcome = idempotency.Recorded | errors.Failure


class SingleRun:
    """Dispatches a request to one replica at a time until it may have run.

    The next replica gets the request only after the owner has confirmed that
    no byte of it was sent, or the searcher that it did not start running it.
    """

    __slots__ = (
        "_abandoned",
        "_answered",
        "_arrived",
        "_attempts",
        "_dispatched",
        "_dispatcher",
        "_records",
        "_shard",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
        records: Recorder,
        header: part_dispatcher.RequestHeader,
        snapshot: snapshots.Snapshot,
        shard: resources.Shard,
    ) -> None:
        """Creates a run that has sent nothing yet.

        Args:
            board: The process's state.
            dispatcher: Sends sub-requests and receives results.
            records: Records the outcome.
            header: The request.
            snapshot: The pinned version.
            shard: The shard that runs the request.
        """
        loop = asyncio.get_running_loop()
        self._dispatcher = dispatcher
        self._records = records
        self._shard = shard
        self._attempts = attempts.Attempts(
            board,
            dispatcher,
            header,
            assembly.Assembly(snapshot.shard_map, lambda one: one is shard),
        )
        self._answered: asyncio.Future[Outcome] = loop.create_future()
        self._arrived: asyncio.Future[messages.PartResult] | None = None
        self._abandoned = False
        self._dispatched = False

    def answer(self, outcome: Outcome) -> None:
        """Sets the caller's answer unless it is already set."""
        if not self._answered.done():
            self._answered.set_result(outcome)

    async def wait(self) -> Outcome:
        """Waits for the outcome until the answer is due.

        Cancelling this coroutine abandons the request: it will not be sent if
        it wasn't sent yet, and it is removed from an owner's queue if it only
        waits there.
        """
        loop = asyncio.get_running_loop()
        timer = loop.call_at(self._attempts.header.answer_s, self._expire)
        try:
            return await self._answered
        except asyncio.CancelledError:
            self._abandon()
            raise
        finally:
            timer.cancel()

    def _expire(self) -> None:
        """Answers at the deadline according to the state at that time.

        If the request was not dispatched, it has not run, and it will not run
        after this.
        """
        if self._answered.done():
            return
        if self._dispatched:
            self.answer(errors.Failure(errors.Kind.OUTCOME_UNKNOWN))
        else:
            detail = "the claim was not settled in time; nothing was sent"
            kind = errors.Kind.STORE_UNAVAILABLE
            self.answer(errors.Failure(kind, detail))
        self._abandon()

    def _abandon(self) -> None:
        """Stops sending and cancels attempts that are only queued."""
        self._abandoned = True
        running = self._attempts.state.get_running_attempts()
        if running:
            # The attempt stays in the state: the owner replies whether it was
            # removed from the queue, and only that reply determines its
            # outcome.
            self._dispatcher.cancel(self._attempts.header.request_id, running)

    async def run(self, claimed: idempotency.Claimed) -> None:
        """Runs the request under its claim and records its outcome.

        Args:
            claimed: The claim.
        """
        header = self._attempts.header
        limited_s = min(header.answer_s, claimed.may_dispatch_until_s)
        self._attempts.header = dataclasses.replace(header, answer_s=limited_s)
        self._dispatcher.register(header.request_id, self)
        try:
            await self._try_replicas(claimed)
        finally:
            self._dispatcher.unregister(header.request_id)

    async def _try_replicas(self, claimed: idempotency.Claimed) -> None:
        """Tries replicas until one may have run the request or none is left."""
        failure = errors.Failure(errors.Kind.NO_SNAPSHOT)
        while True:
            taken = await self._attempt()
            match taken:
                case None:
                    break
                case assembly.Merged(attempt=attempt):
                    await self._finish(claimed, attempt)
                    return
                case assembly.Failed(ran=False):
                    wait_ms = taken.retry_after_ms or None
                    failure = errors.Failure(taken.kind, "", wait_ms)
                case assembly.Failed() | assembly.UnmatchedResult():
                    await self._mark_unknown(claimed)
                    return
        self._records.release(claimed)
        self.answer(outcomes.make_not_run(failure))

    async def _attempt(self) -> assembly.HandledResult | None:
        """Makes one attempt.

        Returns:
            Its outcome, `UnmatchedResult` if there is no result in time; None
            if no attempt can be made.
        """
        loop = asyncio.get_running_loop()
        progress = self._attempts.state.progress[self._shard.name]
        reason = "retry" if progress.attempts else "first"
        if self._abandoned or loop.time() >= self._attempts.header.answer_s:
            return None
        self._arrived = loop.create_future()
        if not self._attempts.start((progress,), reason):
            return None
        self._dispatched = True
        return await self._wait_for_end(progress)

    async def _wait_for_end(
        self, progress: assembly.Progress
    ) -> assembly.HandledResult:
        """Waits for an attempt's result until some time after the deadline.

        The caller has its answer by then, but a late result is still recorded
        instead of `unknown`.
        """
        assert self._arrived is not None
        until_s = self._attempts.header.answer_s + LATE_RESULT_S
        try:
            async with asyncio.timeout_at(until_s):
                result = await self._arrived
        except TimeoutError:
            self._attempts.end(self._attempts.state.get_running_attempts())
            return assembly.UnmatchedResult()
        taken = self._attempts.apply_result(result)
        if isinstance(taken, assembly.Failed):
            self._dispatched = taken.ran
            if taken.kind is errors.Kind.NOT_OWNER and not taken.sent:
                await self._follow_owner(progress, taken.attempt)
        return taken

    async def _follow_owner(
        self, progress: assembly.Progress, attempt: assembly.Attempt
    ) -> None:
        """Allows another attempt on a searcher through its new owner.

        Another replica is tried first. Without one, the attempt is delayed
        until this VM has had time to receive the change of owner.
        """
        view = self._dispatcher.viewer.get()
        replicas = self._attempts.find_replicas(view, self._shard)
        if not self._dispatcher.has_moved(attempt):
            if any(name not in progress.tried for name in replicas):
                return
            await asyncio.sleep(NOT_OWNER_WAIT_S * 2 ** (progress.attempts - 1))
        progress.tried.discard(attempt.searcher)

    def receive(self, result: messages.PartResult) -> None:
        """Handles a result; drops duplicates and those of ended attempts."""
        running = [
            one.part for one in self._attempts.state.get_running_attempts()
        ]
        if result.part not in running or self._arrived is None:
            return
        if not self._arrived.done():
            self._arrived.set_result(result)

    def receive_late(self, part: int) -> None:
        """Does nothing: a non-repeatable request is never hedged."""

    async def _finish(
        self, claimed: idempotency.Claimed, attempt: assembly.Attempt
    ) -> None:
        """Records a result, then answers.

        The result is recorded first: if this VM failed between the two steps,
        a retry would find the outcome instead of a claim without one. The
        wait for the record is bounded by a short timeout, and `wait` by the
        deadline.
        """
        ledger = self._attempts.state.ledger
        result = ledger.get_items(attempt.shard)
        await self._records.finish(claimed, result)
        self.answer(
            idempotency.Recorded(self._attempts.header.request_id, result)
        )

    async def _mark_unknown(self, claimed: idempotency.Claimed) -> None:
        """Answers that the outcome is unknown and records that."""
        self.answer(errors.Failure(errors.Kind.OUTCOME_UNKNOWN))
        await self._records.mark_unknown(claimed)
