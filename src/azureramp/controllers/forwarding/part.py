"""One service's part of a request: its first call, hedges and retries."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable

from azureramp import catalog
from azureramp.controllers.forwarding import attempt as attempt_module
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    crashes,
    learning,
    pacing,
    rollout_view,
    searchers,
)
from azureramp.policy import selection
from azureramp.ports.forwarding import api

LINGER_S = 0.25
"""How long an answer that nobody waits for may still come before its
connection is cut, in seconds. Most come, which saves a new connection; half a
second after a caller has gone its work must have ended."""

MORE_SENDS = 2
"""Calls beyond the allowed runs, for those that searchers reject unrun."""


@dataclasses.dataclass(slots=True, frozen=True)
class Work:
    """What all parts of a request have in common.

    Attributes:
        message: What is forwarded.
        route: The route.
        until_s: When the answer must be out.
    """

    message: api.Message
    route: catalog.Route
    until_s: float


class Part:
    """Gets one searcher of a service to answer.

    Attributes:
        service: The service's name.
        reply: The answer that ended it: a success, or a failure that is
            returned as it is; None if there is none.
        failed: The last searcher's own failure that was not final.
        done: True once it has ended.
        runs: Calls that ran or may have run.
        rejections: Calls that searchers rejected without running them.
    """

    __slots__ = (
        "_attempts",
        "_crashes",
        "_on_done",
        "_pace",
        "_searchers",
        "_tried",
        "_work",
        "done",
        "failed",
        "rejections",
        "reply",
        "runs",
        "service",
    )

    def __init__(
        self,
        known: searchers.Searchers,
        blames: crashes.Crashes,
        pace: pacing.Pace,
        work: Work,
        service: str,
        on_done: Callable[[Part], None],
    ) -> None:
        """Makes a part that has sent nothing.

        Args:
            known: The searchers.
            blames: Finds out which requests crash searchers.
            pace: How long calls of the route usually last.
            work: The request.
            service: The service to ask.
            on_done: Called once at its end, never before `start` returns.
        """
        self._searchers = known
        self._crashes = blames
        self._pace = pace
        self._work = work
        self._on_done = on_done
        self._attempts: list[attempt_module.Attempt] = []
        self._tried: set[str] = set()
        self.service = service
        self.reply: api.Reply | None = None
        self.failed: api.Reply | None = None
        self.done = False
        self.runs = 0
        self.rejections = 0

    def start(self) -> bool:
        """Makes the first call; False if no searcher may get it."""
        now_s = asyncio.get_running_loop().time()
        self._searchers.bounds.get_allowance(self.service).add_request(now_s)
        return self._send(now_s)

    def hedge(self, within_s: float = math.inf) -> bool:
        """Makes a second call beside one that is overdue.

        Args:
            within_s: The time within which its answer is of use, in seconds.

        Returns:
            True if one was made.
        """
        now_s = asyncio.get_running_loop().time()
        self.mark_overdue()
        if self.done or self._move(now_s):
            return False
        if not self._work.route.repeatable:
            return False
        hedged = self._may_send() and self._send(now_s, within_s)
        if hedged:
            self._searchers.metrics.count("call.hedged")
        return hedged

    def _move(self, now_s: float) -> bool:
        """Sends a call elsewhere that still waits for a connection.

        A searcher that lost power answers nothing, so opening a connection
        lasts until it is given up, and the request would be late. Nothing of
        the call was sent: it may go elsewhere whatever its route.

        Returns:
            True if it was sent elsewhere.
        """
        waiting = [each for each in self._attempts if not each.ended]
        if self.runs or self.rejections or len(waiting) != 1:
            return False
        if not self._send(now_s, instead_of=waiting[0]):
            return False
        self._searchers.metrics.count("call.moved")
        return True

    def mark_overdue(self) -> None:
        """Counts the calls that wait now as overdue at their searchers."""
        for attempt in self._attempts:
            if not attempt.ended and not attempt.overdue:
                attempt.overdue = True
                attempt.target.record.overdue += 1

    def abandon(self) -> None:
        """Ends it; answers that still come only save connections."""
        self.done = True
        now_s = asyncio.get_running_loop().time()
        for attempt in self._attempts:
            if attempt.ended or attempt.ticket is None:
                continue
            if not self._drop_unsent(attempt, now_s):
                self._judge(attempt, rollout_view.End.UNANSWERED, now_s)
                record = attempt.target.record
                queues = selection.has_queue(record, now_s)
                attempt.ticket.abandon(0.0 if queues else LINGER_S)

    def count_extra(self) -> int:
        """Returns how many calls it made beyond the first."""
        return max(0, len(self._attempts) - 1)

    def describe(self, began_s: float) -> list[str]:
        """Describes its calls, unless the first one ended it well.

        Args:
            began_s: When the request began.
        """
        return attempt_module.describe(self.service, self._attempts, began_s)

    def list_not_ready(self) -> list[str]:
        """Lists `searcher state` of those called that take no new work."""
        told: list[str] = []
        for attempt in self._attempts:
            searcher = attempt.target.searcher
            if attempt.target.gone:
                told.append(f"{searcher.id} gone")
            elif searcher.state is not catalog.SearcherState.READY:
                told.append(f"{searcher.id} {searcher.state.value}")
        return told

    def is_waiting(self) -> bool:
        """Tells whether a call is without an answer."""
        return any(not attempt.ended for attempt in self._attempts)

    def _may_send(self) -> bool:
        """Tells whether one more call stays within the route's bounds."""
        waiting = sum(not attempt.ended for attempt in self._attempts)
        attempts = self._work.route.attempts
        return (
            self.runs + waiting < attempts
            and len(self._attempts) < attempts + MORE_SENDS
        )

    def _send(
        self,
        now_s: float,
        hedged_s: float | None = None,
        instead_of: attempt_module.Attempt | None = None,
    ) -> bool:
        """Makes one call; False if none may be made.

        A hedge to a searcher that holds overdue calls itself, or that hardly
        answers in time, is left out: where all searchers of a shard are slow
        or stand still, it would only add to their load and spend what other
        requests could use.

        Args:
            now_s: The time.
            hedged_s: The time within which a hedge's answer is of use, in
                seconds; None for other calls.
            instead_of: A call to drop for it, if it was not sent.
        """
        left_s = self._work.until_s - now_s
        if left_s <= 0:
            return False
        # What may run once only is better refused than lost.
        target = self._searchers.choose(
            self.service,
            self._tried,
            now_s,
            self._work.route.repeatable,
            is_first=not self._attempts,
        )
        if target is None:
            return False
        if hedged_s is not None and not self._is_worth_hedging(
            target.record, now_s, hedged_s
        ):
            return False
        if instead_of is not None and not self._drop_unsent(instead_of, now_s):
            return False
        if self._count_arrivals() and not self._searchers.bounds.get_allowance(
            self.service
        ).spend(now_s, self._searchers.bounds.get_part(now_s)):
            self._searchers.metrics.count("call.withheld")
            return False
        self._searchers.metrics.count("call.sent")
        attempt = attempt_module.Attempt(target, now_s)
        self._attempts.append(attempt)
        self._tried.add(target.searcher.id)
        record = target.record
        record.in_flight += 1
        record.trial = record.failures > 0
        self._searchers.note_call(target, now_s)
        call = api.Call(self._work.message, target.searcher.id, left_s)
        attempt.ticket = target.pool.submit(
            call, lambda outcome: self._receive(attempt, outcome)
        )
        return True

    def _is_worth_hedging(
        self, record: selection.Record, now_s: float, within_s: float
    ) -> bool:
        """Tells whether a hedge to a searcher most likely helps."""
        expected_s = self._pace.get_usual_s() * selection.estimate(
            record, now_s
        )
        return not record.overdue and expected_s <= within_s

    def _drop_unsent(
        self, attempt: attempt_module.Attempt, now_s: float
    ) -> bool:
        """Drops a call; False if it was sent already."""
        if attempt.ticket is None or attempt.ticket.is_sent():
            return False
        attempt.ticket.abandon(0.0)
        self._end(attempt)
        attempt.ended_s = now_s
        attempt.outcome = "dropped, not sent"
        return True

    def _count_arrivals(self) -> int:
        """Returns how many calls reached a searcher, or still may."""
        waiting = sum(not attempt.ended for attempt in self._attempts)
        return self.runs + self.rejections + waiting

    def _end(self, attempt: attempt_module.Attempt) -> None:
        """Takes a call out of its searcher's record."""
        attempt.ended = True
        record = attempt.target.record
        record.in_flight -= 1
        record.trial = False
        if attempt.overdue:
            record.overdue -= 1

    def _receive(
        self, attempt: attempt_module.Attempt, outcome: api.Outcome
    ) -> None:
        """Takes a call's outcome."""
        if attempt.ended:
            return
        self._end(attempt)
        now_s = asyncio.get_running_loop().time()
        attempt.ended_s = now_s
        attempt.outcome = attempt_module.describe_outcome(outcome)
        took_s = now_s - attempt.sent_s
        match outcome:
            case api.Reply():
                if outcome.ran is not api.Ran.NO:
                    answered = outcome.is_success()
                    self._judge(
                        attempt,
                        rollout_view.End.ANSWERED
                        if answered
                        else rollout_view.End.FAILED,
                        now_s,
                    )
                if outcome.is_success():
                    self._searchers.metrics.record_ms(
                        "call.took_ms", took_s * 1000
                    )
                learning.learn_from_reply(
                    attempt.target, outcome, self._pace, took_s, now_s
                )
                if not self.done:
                    self._take_reply(outcome, now_s)
            case api.Lost():
                if outcome.sent and not self.done:
                    self._judge(attempt, rollout_view.End.FAILED, now_s)
                self._note_loss(attempt.target, outcome, took_s, now_s)
                if not self.done:
                    self._take_loss(outcome, now_s)

    def _judge(
        self,
        attempt: attempt_module.Attempt,
        end: rollout_view.End,
        now_s: float,
    ) -> None:
        """Takes how a call ended for the judgement of a new version, once."""
        if attempt.judged:
            return
        took_s = now_s - attempt.sent_s
        attempt.judged = self._searchers.rollouts.note_end(
            attempt.target.searcher,
            self._work.route.name,
            end,
            took_s,
            self._pace.get_usual_s(),
        )

    def _note_loss(
        self,
        target: board_module.Target,
        lost: api.Lost,
        took_s: float,
        now_s: float,
    ) -> None:
        """Learns of a searcher from a call without an answer."""
        self._searchers.metrics.count("call.lost")
        # The pool tells by itself of a connection that could not be opened.
        if not lost.sent or (self.done and took_s < learning.SILENT_S):
            return
        if not self.done:
            self._crashes.watch(
                target, self._work.message, self._work.route.repeatable
            )
        learning.learn_from_loss(target, took_s, now_s)

    def _take_reply(self, reply: api.Reply, now_s: float) -> None:
        """Goes on after an answer."""
        if reply.ran is api.Ran.NO:
            self.rejections += 1
            self._searchers.metrics.count("call.rejected")
            self._go_on(now_s)
            return
        self.runs += 1
        if (
            reply.is_success()
            or reply.status < 500
            or not self._work.route.repeatable
        ):
            self._finish(reply)
        else:
            self.failed = reply
            self._go_on(now_s)

    def _take_loss(self, lost: api.Lost, now_s: float) -> None:
        """Goes on after a call without an answer."""
        if lost.sent:
            self.runs += 1
            if not self._work.route.repeatable:
                self._finish(None)
                return
        self._go_on(now_s)

    def _go_on(self, now_s: float) -> None:
        """Makes another call, or ends if none waits and none may be made."""
        if self._may_send() and self._send(now_s):
            self._searchers.metrics.count("call.retried")
            return
        if not self.is_waiting():
            self._finish(None)

    def _finish(self, reply: api.Reply | None) -> None:
        """Ends it."""
        self.reply = reply
        self.abandon()
        self._on_done(self)
