"""A request's calls to one service: the first call, hedges and retries."""

from __future__ import annotations

import asyncio
import dataclasses
import math
from collections.abc import Callable

from azureramp import catalog
from azureramp.controllers.forwarding import (
    active_rollout,
    authentication,
    call_results,
    crashes,
    route_timings,
)
from azureramp.controllers.forwarding import attempt as attempt_module
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    searchers as searchers_module,
)
from azureramp.policy import searcher_selection, searcher_stats
from azureramp.ports.forwarding import api

ABANDONED_CALL_LINGER_S = 0.25
"""How long a call that is no longer needed may still receive its answer before
its connection is closed, in seconds. Most answers arrive within this time,
which saves opening a new connection; half a second after a caller disconnects,
all work for it must have ended."""

EXTRA_CALLS_AFTER_REJECTION = 2
"""Extra calls beyond the route's maximum number of runs, to replace calls that
searchers rejected without running them."""


@dataclasses.dataclass(slots=True, frozen=True)
class RequestContext:
    """The properties of a request that all its parts share.

    Attributes:
        message: The message to forward.
        route: The route.
        answer_by_s: When the answer must be sent, on the loop's clock.
        authorization: The permission to send it; checked before each call.
        saves_slots: True if other requests compete for the searchers, so that
            extra calls may not take their last slots.
    """

    message: api.Message
    route: catalog.Route
    answer_by_s: float
    authorization: authentication.Authorization
    saves_slots: bool = False


class Part:
    """Obtains an answer from one searcher of a service.

    Attributes:
        service: The service's name.
        reply: The answer that ended the part: a success, or a failure that is
            returned unchanged; None if there is none.
        failed_reply: The last error answer that didn't end the part, since the
            request may be repeated.
        done: True once the part has ended.
        runs: Number of calls that ran or may have run.
        rejections: Number of calls that searchers rejected without running
            them.
    """

    __slots__ = (
        "_attempts",
        "_context",
        "_crash_tracker",
        "_on_done",
        "_searchers",
        "_timings",
        "_tried",
        "done",
        "failed_reply",
        "rejections",
        "reply",
        "runs",
        "service",
    )

    def __init__(
        self,
        searchers: searchers_module.Searchers,
        crash_tracker: crashes.CrashTracker,
        timings: route_timings.RouteTimings,
        context: RequestContext,
        service: str,
        on_done: Callable[[Part], None],
    ) -> None:
        """Creates a part that has sent nothing.

        Args:
            searchers: The searchers to choose from.
            crash_tracker: Counts the crashes that each request caused.
            timings: Call durations of the route.
            context: The request that the part belongs to.
            service: The service to call.
            on_done: Called once when the part ends, never before `start`
                returns.
        """
        self._searchers = searchers
        self._crash_tracker = crash_tracker
        self._timings = timings
        self._context = context
        self._on_done = on_done
        self._attempts: list[attempt_module.Attempt] = []
        self._tried: set[str] = set()
        self.service = service
        self.reply: api.Reply | None = None
        self.failed_reply: api.Reply | None = None
        self.done = False
        self.runs = 0
        self.rejections = 0

    def start(self) -> bool:
        """Makes the first call; returns False if no searcher is available."""
        now_s = asyncio.get_running_loop().time()
        self._searchers.limits.get_allowance(self.service).add_request(now_s)
        return self._start_call(now_s)

    def hedge(self, within_s: float = math.inf) -> bool:
        """Makes an extra call because the current one is overdue.

        A call that still waits for a connection is moved to another searcher
        instead.

        Args:
            within_s: The time within which the extra call's answer is useful,
                in seconds.

        Returns:
            True if a hedged call was made.
        """
        now_s = asyncio.get_running_loop().time()
        self.mark_overdue()
        if self.done or self._move_unsent(now_s):
            return False
        if not self._context.route.repeatable:
            return False
        hedged = self._may_send() and self._start_call(now_s, within_s)
        if hedged:
            self._searchers.metrics.count("call.hedged")
        return hedged

    def _move_unsent(self, now_s: float) -> bool:
        """Moves a call that still waits for a connection to another searcher.

        A searcher that lost power sends no response at all, so opening a
        connection takes until its timeout, and the request would be late. No
        byte of the call was sent, so it may go to another searcher whatever its
        route's type.

        Returns:
            True if the call was moved.
        """
        waiting = [each for each in self._attempts if not each.ended]
        if self.runs or self.rejections or len(waiting) != 1:
            return False
        if not self._start_call(now_s, instead_of=waiting[0]):
            return False
        self._searchers.metrics.count("call.moved")
        return True

    def mark_overdue(self) -> None:
        """Counts the pending calls as overdue for their searchers."""
        for attempt in self._attempts:
            if not attempt.ended and not attempt.overdue:
                attempt.overdue = True
                attempt.target.stats.overdue += 1

    def abandon(self) -> None:
        """Ends the part; late answers only keep connections reusable."""
        self.done = True
        now_s = asyncio.get_running_loop().time()
        for attempt in self._attempts:
            if attempt.ended or attempt.pending_call is None:
                continue
            if not self._cancel_unsent(attempt, now_s):
                self._report_end(
                    attempt, active_rollout.CallResult.UNANSWERED, now_s
                )
                stats = attempt.target.stats
                queues = searcher_selection.has_queued_calls(stats, now_s)
                attempt.pending_call.abandon(
                    0.0 if queues else ABANDONED_CALL_LINGER_S
                )

    def has_calls(self) -> bool:
        """Returns True if any call was made."""
        return bool(self._attempts)

    def count_extra(self) -> int:
        """Returns the number of calls beyond the first."""
        return max(0, len(self._attempts) - 1)

    def get_waited_s(self, now_s: float) -> float:
        """Returns the time from the first call until the end, or until now."""
        if not self._attempts:
            return 0.0
        ended_s = now_s
        if self.reply is not None:
            ended_s = max(each.ended_s for each in self._attempts)
        return ended_s - self._attempts[0].sent_s

    def describe(self, began_s: float) -> list[str]:
        """Describes the calls, unless there was only one and it succeeded.

        Args:
            began_s: When the request began, on the loop's clock.
        """
        return attempt_module.describe(self.service, self._attempts, began_s)

    def list_not_ready(self) -> list[str]:
        """Lists `searcher state` for called searchers that take no new work.

        Includes searchers whose entries are missing in the store.
        """
        states: list[str] = []
        for attempt in self._attempts:
            searcher = attempt.target.searcher
            if attempt.target.removed:
                states.append(f"{searcher.id} gone")
            elif searcher.state is not catalog.SearcherState.READY:
                states.append(f"{searcher.id} {searcher.state.value}")
            elif math.isfinite(attempt.target.missing_since_s):
                states.append(f"{searcher.id} missing in the store")
        return states

    def close(self) -> None:
        """Drops the answers and the references that form cycles.

        The bodies of the request and its answers would otherwise stay in memory
        until the garbage collector finds them.
        """
        self.reply = self.failed_reply = None
        self._on_done = _ignore

    def get_attempts(self) -> tuple[attempt_module.Attempt, ...]:
        """Returns the calls in the order in which they were made."""
        return tuple(self._attempts)

    def is_waiting(self) -> bool:
        """Returns True if any call has no outcome yet."""
        return any(not attempt.ended for attempt in self._attempts)

    def _may_send(self) -> bool:
        """Returns True if the route's limits allow another call."""
        waiting = sum(not attempt.ended for attempt in self._attempts)
        attempts = self._context.route.max_attempts
        return (
            self.runs + waiting < attempts
            and len(self._attempts) < attempts + EXTRA_CALLS_AFTER_REJECTION
        )

    def _start_call(
        self,
        now_s: float,
        hedge_within_s: float | None = None,
        instead_of: attempt_module.Attempt | None = None,
    ) -> bool:
        """Makes one call; returns False if none may be made.

        A hedge is skipped if the chosen searcher has overdue calls itself or is
        unlikely to answer in time: where all searchers of a shard are slow or
        paused, hedging would only add to their load and use up extra calls that
        other requests could need.

        Args:
            now_s: The current time.
            hedge_within_s: The time within which a hedge's answer is useful, in
                seconds; None for other calls.
            instead_of: A call to cancel in favor of this one, if it was not
                sent.
        """
        left_s = self._context.answer_by_s - now_s
        if left_s <= 0 or not self._context.authorization.is_valid():
            return False
        # A request that may run only once isn't sent to a failing searcher:
        # refusing it is better than losing its answer.
        target = self._searchers.choose(
            self.service,
            self._tried,
            now_s,
            self._context.route.repeatable,
            not self._attempts,
            self._compute_tolerance(),
        )
        if target is None:
            return False
        if instead_of is None and self._takes_last_slot(target.stats, now_s):
            return False
        if hedge_within_s is not None and not self._is_worth_hedging(
            target.stats, now_s, hedge_within_s
        ):
            return False
        if instead_of is not None and not self._cancel_unsent(
            instead_of, now_s
        ):
            return False
        if self._count_arrivals() and not self._searchers.limits.get_allowance(
            self.service
        ).spend(now_s, self._searchers.limits.get_extra_call_share(now_s)):
            self._searchers.metrics.count("call.withheld")
            return False
        self._searchers.metrics.count("call.sent")
        known = self._searchers.get_received_updates()
        attempt = attempt_module.Attempt(target, now_s, known)
        self._attempts.append(attempt)
        self._tried.add(target.searcher.id)
        stats = target.stats
        stats.in_flight += 1
        stats.probing = stats.failures > 0
        self._searchers.record_call(target, now_s)
        call = api.Call(
            self._context.message,
            target.searcher.id,
            left_s,
            lambda: self._may_still_send(target),
        )
        attempt.pending_call = target.pool.submit(
            call, lambda outcome: self._handle_outcome(attempt, outcome)
        )
        return True

    def _may_still_send(self, target: board_module.Target) -> bool:
        """Returns True if a call that has waited may be sent."""
        return (
            self._context.authorization.is_valid()
            and self._searchers.takes_new_calls(target)
        )

    def _compute_tolerance(self) -> float:
        """Returns how much slower the own zone may be before it is left."""
        if self._attempts:
            return searcher_selection.SAME_ZONE_TOLERANCE
        return searcher_selection.compute_same_zone_tolerance(
            self._context.route.target_latency_s, self._timings.get_usual_s()
        )

    def _is_worth_hedging(
        self,
        stats: searcher_stats.SearcherStats,
        now_s: float,
        within_s: float,
    ) -> bool:
        """Returns True if a hedge is likely to be answered in time."""
        return not stats.overdue and searcher_selection.may_answer_within(
            stats, self._timings.get_usual_s(), within_s, now_s
        )

    def _takes_last_slot(
        self, stats: searcher_stats.SearcherStats, now_s: float
    ) -> bool:
        """Returns True if an extra call would take a slot that others need."""
        return (
            self._context.saves_slots
            and self.is_waiting()
            and not searcher_selection.has_free_slot(stats, now_s)
        )

    def _cancel_unsent(
        self, attempt: attempt_module.Attempt, now_s: float
    ) -> bool:
        """Cancels a call; returns False if it was already sent."""
        if attempt.pending_call is None or attempt.pending_call.is_sent():
            return False
        attempt.pending_call.abandon(0.0)
        self._mark_ended(attempt)
        attempt.ended_s = now_s
        attempt.outcome = "dropped, not sent"
        return True

    def _count_arrivals(self) -> int:
        """Returns the number of calls that reached a searcher or still may."""
        waiting = sum(not attempt.ended for attempt in self._attempts)
        return self.runs + self.rejections + waiting

    def _mark_ended(self, attempt: attempt_module.Attempt) -> None:
        """Marks a call as ended and updates its searcher's statistics."""
        attempt.ended = True
        attempt.pending_call = None
        stats = attempt.target.stats
        stats.in_flight -= 1
        stats.probing = False
        if attempt.overdue:
            stats.overdue -= 1

    def _handle_outcome(
        self, attempt: attempt_module.Attempt, outcome: api.Outcome
    ) -> None:
        """Handles a call's outcome."""
        if attempt.ended:
            return
        self._mark_ended(attempt)
        now_s = asyncio.get_running_loop().time()
        attempt.ended_s = now_s
        attempt.outcome = attempt_module.describe_outcome(outcome)
        took_s = now_s - attempt.sent_s
        match outcome:
            case api.Reply():
                if outcome.ran is not api.Execution.NO:
                    answered = outcome.is_success()
                    self._report_end(
                        attempt,
                        active_rollout.CallResult.ANSWERED
                        if answered
                        else active_rollout.CallResult.FAILED,
                        now_s,
                    )
                if outcome.is_success():
                    self._searchers.metrics.record_ms(
                        "call.took_ms", took_s * 1000
                    )
                call_results.record_reply(
                    attempt.target,
                    outcome,
                    self._timings,
                    self._searchers.load_reports,
                    took_s,
                    now_s,
                )
                if not self.done:
                    self._handle_reply(outcome, now_s)
            case api.LostCall():
                if outcome.sent and not self.done:
                    self._report_end(
                        attempt, active_rollout.CallResult.FAILED, now_s
                    )
                self._record_loss(attempt.target, outcome, took_s, now_s)
                if not self.done:
                    self._handle_loss(outcome, now_s)

    def _report_end(
        self,
        attempt: attempt_module.Attempt,
        end: active_rollout.CallResult,
        now_s: float,
    ) -> None:
        """Reports how a call ended to its version's roll-out, once."""
        if attempt.reported:
            return
        took_s = now_s - attempt.sent_s
        attempt.reported = self._searchers.rollouts.record_call_end(
            attempt.target.searcher,
            self._context.route.name,
            end,
            took_s,
            self._timings.get_usual_s(),
        )

    def _record_loss(
        self,
        target: board_module.Target,
        lost: api.LostCall,
        took_s: float,
        now_s: float,
    ) -> None:
        """Updates a searcher's statistics after a call without an answer."""
        self._searchers.metrics.count("call.lost")
        # The pool itself reports a connection that could not be opened.
        if not lost.sent or (self.done and took_s < call_results.MIN_SILENCE_S):
            return
        if not self.done:
            self._crash_tracker.check_for_crash(
                target, self._context.message, self._context.route.repeatable
            )
        call_results.record_loss(target, took_s, now_s)

    def _handle_reply(self, reply: api.Reply, now_s: float) -> None:
        """Continues after an answer: finishes, or makes another call."""
        if reply.ran is api.Execution.NO:
            self.rejections += 1
            self._searchers.metrics.count("call.rejected")
            self._retry_or_finish(now_s)
            return
        self.runs += 1
        if (
            reply.is_success()
            or reply.status < 500
            or not self._context.route.repeatable
        ):
            self._finish(reply)
        else:
            self.failed_reply = reply
            self._retry_or_finish(now_s)

    def _handle_loss(self, lost: api.LostCall, now_s: float) -> None:
        """Continues after a call without an answer."""
        if lost.sent:
            self.runs += 1
            if not self._context.route.repeatable:
                self._finish(None)
                return
        self._retry_or_finish(now_s)

    def _retry_or_finish(self, now_s: float) -> None:
        """Makes another call, or finishes if none is pending or allowed."""
        if self._may_send() and self._start_call(now_s):
            self._searchers.metrics.count("call.retried")
            return
        if not self.is_waiting():
            self._finish(None)

    def _finish(self, reply: api.Reply | None) -> None:
        """Ends the part with its final answer, if any."""
        self.reply = reply
        self.abandon()
        self._on_done(self)


def _ignore(_: Part) -> None:
    """Ignores the end of a part whose request has ended."""
