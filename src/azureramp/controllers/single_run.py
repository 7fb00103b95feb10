"""One run of a request that may not be repeated, under its claim."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Protocol

from azureramp import blackboard, errors, messages, resources
from azureramp.controllers import attempts, dispatching, idempotency
from azureramp.policy import assembly, outcomes, snapshots

LATE_S = 2.0
"""How long after the deadline a result may still settle the record."""

OWNER_WAIT_S = 0.025
"""First wait for a handoff to be known, when no other replica is left; it
doubles with each attempt.
"""


class Recorder(Protocol):
    """Writes the end of a claim; see `idempotency.Records`."""

    async def finish(self, claimed: idempotency.Claimed, result: bytes) -> None:
        """Records the result."""
        ...

    async def mark_unknown(self, claimed: idempotency.Claimed) -> None:
        """Records that the request may have run."""
        ...

    def release(self, claimed: idempotency.Claimed) -> None:
        """Gives the claim back; only when nothing ran."""
        ...


Outcome = idempotency.Recorded | errors.Failure


class SingleRun:
    """Dispatches once, to one replica after another until one may have run.

    The next replica gets the request only after an owner has said for sure
    that no byte of it went out, or the searcher that it did not begin.
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
        dispatcher: dispatching.Dispatcher,
        records: Recorder,
        header: dispatching.Header,
        snapshot: snapshots.Snapshot,
        shard: resources.Shard,
    ) -> None:
        """Makes a run that has sent nothing.

        Args:
            board: The process's state.
            dispatcher: Sends and receives.
            records: Where the end is recorded.
            header: The request.
            snapshot: The pinned version.
            shard: The shard that runs it.
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
        """Settles what the caller gets; the first answer counts."""
        if not self._answered.done():
            self._answered.set_result(outcome)

    async def wait(self) -> Outcome:
        """Waits for the outcome, until the answer is due.

        Cancelling this abandons the request: what is not sent yet never will
        be, and what only waits in an owner's queue is taken out of it.
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
        """Answers at the deadline with what is known by then.

        Before the dispatch nothing has run, and from here on nothing will.
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
        """Sends nothing more, and takes back what is only queued."""
        self._abandoned = True
        running = self._attempts.state.get_running()
        if running:
            # The attempt stays in the state: the owner answers whether it
            # was taken out of its queue, and only that answer settles it.
            self._dispatcher.cancel(self._attempts.header.request_id, running)

    async def run(self, claimed: idempotency.Claimed) -> None:
        """Runs the request under its claim, and records its end.

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
        """Tries replicas until one may have run it, or none is left."""
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
                case assembly.Failed() | assembly.Unknown():
                    await self._mark_unknown(claimed)
                    return
        self._records.release(claimed)
        self.answer(outcomes.make_not_run(failure))

    async def _attempt(self) -> assembly.Taken | None:
        """Makes one attempt.

        Returns:
            Its end, `Unknown` if none came; None if no attempt can be made.
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
    ) -> assembly.Taken:
        """Waits for an attempt's result, past the deadline for a while.

        The caller has its answer by then, but a result that comes late still
        makes the record say what happened instead of `unknown`.
        """
        assert self._arrived is not None
        until_s = self._attempts.header.answer_s + LATE_S
        try:
            async with asyncio.timeout_at(until_s):
                result = await self._arrived
        except TimeoutError:
            self._attempts.end(self._attempts.state.get_running())
            return assembly.Unknown()
        taken = self._attempts.take(result)
        if isinstance(taken, assembly.Failed):
            self._dispatched = taken.ran
            if taken.kind is errors.Kind.NOT_OWNER and not taken.sent:
                await self._follow_owner(progress, taken.attempt)
        return taken

    async def _follow_owner(
        self, progress: assembly.Progress, attempt: assembly.Attempt
    ) -> None:
        """Lets a searcher be tried again by its new owner.

        Another replica is tried first; without one, the wait gives this VM's
        view the time to learn of the new owner.
        """
        view = self._dispatcher.viewer.get()
        replicas = self._attempts.find_replicas(view, self._shard)
        if not self._dispatcher.has_moved(attempt):
            if any(name not in progress.tried for name in replicas):
                return
            await asyncio.sleep(OWNER_WAIT_S * 2 ** (progress.attempts - 1))
        progress.tried.discard(attempt.searcher)

    def receive(self, result: messages.PartResult) -> None:
        """Takes a result; a copy, or one of an ended attempt, is dropped."""
        running = [one.part for one in self._attempts.state.get_running()]
        if result.part not in running or self._arrived is None:
            return
        if not self._arrived.done():
            self._arrived.set_result(result)

    def receive_late(self, part: int) -> None:
        """Does nothing: what may not be repeated is never hedged."""

    async def _finish(
        self, claimed: idempotency.Claimed, attempt: assembly.Attempt
    ) -> None:
        """Records a result, then answers.

        The record comes first: if this VM went between the two, a retry
        would find the outcome, not a claim without an end. The records wait
        only for a short time, and `wait` only until the deadline.
        """
        ledger = self._attempts.state.ledger
        result = ledger.get_items(attempt.shard)
        await self._records.finish(claimed, result)
        self.answer(
            idempotency.Recorded(self._attempts.header.request_id, result)
        )

    async def _mark_unknown(self, claimed: idempotency.Claimed) -> None:
        """Answers that the outcome is unknown, and records it."""
        self.answer(errors.Failure(errors.Kind.OUTCOME_UNKNOWN))
        await self._records.mark_unknown(claimed)
