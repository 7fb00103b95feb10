"""Runs sub-requests: queueing, calling the searcher and replying."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from azureramp import blackboard, errors, messages
from azureramp.controllers import (
    directory,
    dispatch_rules,
    health_probes,
    late_notices,
    owned_searcher,
    part_outcomes,
    poison_detection,
    replies,
    trial_queue,
)
from azureramp.policy import queues
from azureramp.ports.searchers import api as searchers_api

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part
CallResult = part_outcomes.CallResult

_logger = logbook.Logger("azureramp.owner")


class PartRunner:
    """Queues sub-requests, starts them within the limits, and replies.

    Attributes:
        on_released: Called when the last call has ended on a searcher that
            this VM has released in the meantime.
    """

    __slots__ = (
        "_board",
        "_directory",
        "_holdings",
        "_late",
        "_outcomes",
        "_port",
        "_prober",
        "_replies",
        "_rules",
        "_suspect_queue",
        "on_released",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        port: searchers_api.Searchers,
        places: directory.SearcherDirectory,
        holdings: owned_searcher.Holdings,
        detector: poison_detection.PoisonDetector,
        prober: health_probes.Prober,
        answers: replies.Replies,
        late: late_notices.LateNotices,
    ) -> None:
        """Creates a runner without sub-requests."""
        self._late = late
        self._board = board
        self._port = port
        self._directory = places
        self._holdings = holdings
        self._prober = prober
        self._replies = answers
        self._rules = dispatch_rules.DispatchRules(
            board, holdings, detector, prober
        )
        self._outcomes = part_outcomes.PartOutcomes(board, detector, prober)
        self._suspect_queue = trial_queue.TrialQueue(detector)
        self.on_released: Callable[[OwnedSearcher], None] = _ignore

    def enqueue(self, part: Part) -> None:
        """Queues a sub-request or refuses it immediately."""
        owned = self._holdings.owned.get(part.request.searcher)
        if owned is None:
            self.fail(part, errors.Failure(errors.Kind.NOT_OWNER))
            return
        refusal = self._rules.check_queueing(owned, part)
        if refusal is not None:
            self.fail(part, refusal)
            return
        self._holdings.parts[part.key] = (owned, part)
        if self._suspect_queue.admit(part):
            self._push(owned, part)
            self.start_waiting(owned)

    def cancel(self, owned: OwnedSearcher, part: Part) -> None:
        """Cancels a sub-request whose result is no longer needed.

        A non-repeatable one continues once it was sent: its outcome is
        recorded, and aborting it would leave that outcome unknown.
        """
        if part.sent and not part.batch.repeatable:
            return
        part.cancelled = True
        part.requeue = False
        if part.task is not None:
            part.task.cancel()
            return
        self._suspect_queue.remove(part)
        owned.queue.remove(part)
        self.fail(part, errors.Failure(errors.Kind.CANCELLED))

    def requeue_suspect(self, fingerprint: int, server: str) -> None:
        """Requeues the sub-requests of a new suspect so that they run alone.

        A request's sub-requests run concurrently on many servers when the
        first of them crashes its server. Those on other servers are cancelled
        and requeued to run one at a time. So a harmless request that was
        merely in flight beside a poison request loses only some time.
        """
        for owned, part in tuple(self._holdings.parts.values()):
            if (
                part.batch.fingerprint == fingerprint
                and part.task is not None
                and part.batch.repeatable
                and not part.alone
                and owned.place.server.name != server
            ):
                part.requeue = True
                part.task.cancel()

    def start_waiting(self, owned: OwnedSearcher) -> None:
        """Starts as many queued sub-requests as there are free slots."""
        now_s = _now_s()
        for expired in owned.queue.expire(now_s):
            self.fail(expired.item, self._rules.make_overloaded(owned))
        if not len(owned.queue) or not self._rules.may_start(owned):
            return
        while (waiting := owned.queue.peek()) is not None:
            part = waiting.item
            if not owned.has_room(part, now_s):
                return
            owned.queue.pop()
            if self._rules.is_too_late(owned, part):
                late = errors.Failure(errors.Kind.DEADLINE_TOO_SHORT)
                self.fail(part, late)
                continue
            self._start(owned, part)

    def fail_waiting(
        self, owned: OwnedSearcher, failure: errors.Failure
    ) -> None:
        """Fails all sub-requests that wait for a searcher, without sending."""
        for waiting in owned.queue.clear():
            self.fail(waiting.item, failure)
        for part in self._suspect_queue.pop_all_of_searcher(owned.get_name()):
            self.fail(part, failure)

    def fail(self, part: Part, failure: errors.Failure) -> None:
        """Ends a sub-request without a result and replies with the failure."""
        if part.cancelled and part.batch.repeatable:
            self._remove(part)
            return
        self._reply(
            part, replies.make_failed(part.request.part, failure, part.sent)
        )

    def _push(self, owned: OwnedSearcher, part: Part) -> None:
        """Adds a sub-request to its searcher's queue."""
        policy = self._directory.get_policy()
        end_s = min(part.deadline_s, _now_s() + policy.queue_ms / 1000)
        waiting = queues.QueuedItem(
            part.batch.priority, part.deadline_s, end_s, part
        )
        dropped = owned.queue.push(waiting, policy.queue_limit)
        if dropped is not None:
            self.fail(dropped.item, self._rules.make_overloaded(owned))

    def _start(self, owned: OwnedSearcher, part: Part) -> None:
        """Starts a sub-request in its own task.

        The slot is freed by a done callback and not within the task: a task
        that is cancelled before its first step never runs its code and would
        occupy the slot forever.
        """
        part.requeue = False
        owned.running[part.key] = part
        part.task = asyncio.ensure_future(self._run(owned, part))
        part.task.add_done_callback(lambda task: self._finish(owned, part))

    async def _run(self, owned: OwnedSearcher, part: Part) -> None:
        """Calls the searcher for one sub-request and handles the result."""
        try:
            result = await self._port.call(
                owned.make_call(part, _now_s(), self._rules.get_lease_s()),
                lambda: self._may_write(owned, part),
            )
            if not part.requeue:
                await self._end(owned, part, result)
        except asyncio.CancelledError:
            self._handle_unanswered(owned, part)
        except Exception:
            # An unexpected error must not leave the sub-request unanswered.
            _logger.exception("sub-request failed with an unexpected error")
            self.fail(part, errors.Failure(errors.Kind.INTERNAL))

    def _finish(self, owned: OwnedSearcher, part: Part) -> None:
        """Frees a sub-request's slot and replies if no reply was sent yet."""
        owned.running.pop(part.key, None)
        part.task = None
        if part.late_notice is not None:
            self._late.end(part.late_notice)
            part.late_notice = None
        entry = self._holdings.parts.get(part.key)
        if part.requeue:
            self.enqueue(part)
        elif entry is not None and entry[1] is part:
            self.fail(part, errors.Failure(errors.Kind.CANCELLED))
        self._free(owned)

    def _may_write(self, owned: OwnedSearcher, part: Part) -> bool:
        """Decides immediately before the first byte; records the dispatch."""
        match self._rules.decide_write(owned, part):
            case dispatch_rules.Allowed():
                part.sent = True
                part.sent_s = _now_s()
                part.epoch = owned.ramp.epoch
                part.late_notice = self._late.begin(
                    owned.get_name(), part.coordinator, part.key
                )
                self._board.metrics.count("searcher.calls")
                self._board.timeline.record(
                    owned.make_dispatched(part, self._board.lease_until_s),
                    part.sent_s,
                )
                return True
            case dispatch_rules.Postponed():
                part.requeue = True
            case dispatch_rules.Refused(failure):
                part.refusal = failure
        return False

    async def _end(
        self, owned: OwnedSearcher, part: Part, result: CallResult
    ) -> None:
        """Processes a call's result and replies to the coordinator."""
        outcome = await self._outcomes.handle(owned, part, result)
        match outcome:
            case messages.PartDone():
                self._reply(part, outcome)
            case errors.Failure():
                if not owned.reachable:
                    self.fail_waiting(owned, result.error.failure)
                self.fail(part, outcome)

    def _handle_unanswered(self, owned: OwnedSearcher, part: Part) -> None:
        """Handles a call that was cancelled before its reply."""
        if part.sent:
            self._outcomes.handle_abandoned(owned, part)
        if owned.abandoned_until_s:
            abandoned_s = part_outcomes.ABANDONED_CALL_S
            asyncio.get_running_loop().call_later(
                abandoned_s, self._free, owned
            )

    def _free(self, owned: OwnedSearcher) -> None:
        """Reuses the slot that a sub-request has freed."""
        if self._holdings.owned.get(owned.get_name()) is owned:
            self._prober.record_state(owned)
            self.start_waiting(owned)
        elif not owned.running:
            self.on_released(owned)

    def _reply(self, part: Part, result: messages.PartResult) -> None:
        """Sends a result and removes the sub-request."""
        self._replies.send(part.coordinator, part.batch.request_id, result)
        self._remove(part)

    def _remove(self, part: Part) -> None:
        """Removes an ended sub-request and ends its suspect run, if any."""
        self._holdings.parts.pop(part.key, None)
        if self._suspect_queue.end(part):
            loop = asyncio.get_running_loop()
            loop.call_soon(self._resume_waiting, part.batch.fingerprint)

    def _resume_waiting(self, fingerprint: int) -> None:
        """Admits a suspect request's queued sub-requests after a run has ended.

        After a success all of them start; otherwise only the first of them
        runs and the others are queued again.
        """
        for part in self._suspect_queue.pop_all(fingerprint):
            self.enqueue(part)


def _ignore(owned: OwnedSearcher) -> None:
    """Does nothing."""


def _now_s() -> float:
    """Returns the event loop's time, in seconds."""
    return asyncio.get_running_loop().time()
