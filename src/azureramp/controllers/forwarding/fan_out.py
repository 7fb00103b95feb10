"""A request to all shards of a route, whose answers are merged into one."""

from __future__ import annotations

import asyncio
import math

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    authentication,
    crashes,
    part,
    requests,
    route_timings,
)
from azureramp.controllers.forwarding import (
    searchers as searchers_module,
)
from azureramp.policy import merging

PARTIAL_ANSWER_SHARE = 0.85
"""Share of the route's target after which a partial answer is returned if
enough shards have answered. Used if the caller's time outside of this VM is
unknown."""

MERGE_RESERVE_SHARE = 0.06
"""Share of the route's target reserved for merging and sending an answer. Used
if the caller's time outside of this VM is known."""

MIN_PARTIAL_ANSWER_SHARE = 0.25
"""Minimum share of the route's target that the shards get, however long the
caller has already waited."""

CONNECTION_ROUND_TRIPS = 2.0
"""Minimum number of round trips that a caller on a new connection has spent:
one to open it, and one to look up the address or for this VM to accept it."""

MAX_SPENT_SHARE = 0.6
"""Upper limit of the caller's estimated wait before its request arrived, as a
share of the route's target; a caller that waited longer gets a late answer in
any case."""


class FanOutRequest:
    """Forwards a request to all shards and merges their answers.

    Attributes:
        parts: One part per shard; empty until the calls are made.
        caller_overhead_s: The time that the caller is estimated to spend
            outside of this VM, in seconds; 0 if unknown.
    """

    __slots__ = (
        "_allows_partial",
        "_context",
        "_crash_tracker",
        "_destination",
        "_done",
        "_min_shards",
        "_partial_after_s",
        "_request",
        "_searchers",
        "_timers",
        "_timings",
        "_waiting",
        "caller_overhead_s",
        "parts",
    )

    def __init__(
        self,
        searchers: searchers_module.Searchers,
        crash_tracker: crashes.CrashTracker,
        timings: route_timings.RouteTimings,
        request: requests.IncomingRequest,
        route: catalog.Route,
        destination: catalog.FanoutDestination,
        answer_by_s: float,
        authorization: authentication.Authorization,
        saves_slots: bool,
    ) -> None:
        """Creates a request that has sent nothing; see `run`."""
        self._searchers = searchers
        self._crash_tracker = crash_tracker
        self._timings = timings
        self._request = request
        self._destination = destination
        self._context = part.RequestContext(
            request.message, route, answer_by_s, authorization, saves_slots
        )
        self.parts: list[part.Part] = []
        self.caller_overhead_s = 0.0
        self._timers: list[asyncio.TimerHandle] = []
        self._waiting = 0
        self._allows_partial = False
        self._partial_after_s = 0.0
        self._min_shards = compute_min_shards(destination)
        self._done: asyncio.Future[None] | None = None

    async def run(self) -> requests.Answer:
        """Makes the calls and returns the merged answer."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        usable = sum(
            self._searchers.count_usable(service, now_s) > 0
            for service in self._destination.services
        )
        if usable < self._min_shards:
            detail = f"{usable} shards available, {self._min_shards} required"
            return self._refuse(errors.Kind.SHARDS_UNREACHABLE, detail)
        self._done = loop.create_future()
        self._start(loop, now_s)
        try:
            if self._waiting:
                await self._done
        finally:
            for timer in self._timers:
                timer.cancel()
            for each in self.parts:
                if not each.done:
                    each.abandon()
        return self._make_answer()

    def _start(self, loop: asyncio.AbstractEventLoop, now_s: float) -> None:
        """Makes each shard's first call and sets the timers."""
        target_s = self._context.route.target_latency_s
        self.caller_overhead_s = self._estimate_caller_overhead_s(target_s)
        self._partial_after_s = (
            self._request.began_s
            + compute_partial_answer_delay_s(target_s, self.caller_overhead_s)
        )
        hedge_s = now_s + self._timings.get_hedge_s(
            target_s, self._partial_after_s - now_s
        )
        for service in self._destination.services:
            each = part.Part(
                self._searchers,
                self._crash_tracker,
                self._timings,
                self._context,
                service,
                self._handle_part_done,
            )
            self.parts.append(each)
            if each.start():
                self._waiting += 1
            else:
                each.done = True
        self._timers = [
            loop.call_at(hedge_s, self._hedge),
            loop.call_at(self._partial_after_s, self._allow_partial),
            loop.call_at(self._context.answer_by_s, self._finish),
        ]
        self._finish_if_ready()

    def _estimate_caller_overhead_s(self, target_s: float) -> float:
        """Estimates the time that the caller spends outside of this VM.

        Returns:
            The time spent before the request was sent plus the round trip, in
            seconds; 0 if unknown.
        """
        request = self._request
        spent_s = CONNECTION_ROUND_TRIPS * request.connection_setup_s
        if request.deadline_s is not None:
            estimated_s = self._timings.caller_delay.estimate_wait_s(
                request.deadline_s, MAX_SPENT_SHARE * target_s
            )
            spent_s = max(spent_s, estimated_s)
        return spent_s + request.round_trip_s

    def _hedge(self) -> None:
        """Makes hedged calls for the shards that have not answered yet."""
        now_s = asyncio.get_running_loop().time()
        for each in self.parts:
            if not each.done:
                each.hedge(self._partial_after_s - now_s)

    def _allow_partial(self) -> None:
        """Allows a partial answer from now on."""
        self._allows_partial = True
        self._finish_if_ready()

    def _handle_part_done(self, each: part.Part) -> None:
        """Handles the end of a part."""
        self._waiting -= 1
        self._finish_if_ready()

    def _finish_if_ready(self) -> None:
        """Stops waiting if more answers are not needed, or can't suffice."""
        answered = self._count_answered()
        if (
            self._waiting == 0
            or answered + self._waiting < self._min_shards
            or (self._allows_partial and answered >= self._min_shards)
        ):
            self._finish()

    def _finish(self) -> None:
        """Stops waiting for the shards."""
        if self._done is not None and not self._done.done():
            self._done.set_result(None)

    def _count_answered(self) -> int:
        """Returns the number of shards that have answered successfully."""
        return sum(_is_answered(each) for each in self.parts)

    def _make_answer(self) -> requests.Answer:
        """Merges the answers that have arrived, or refuses the request."""
        replies = [
            each.reply
            for each in self.parts
            if each.reply is not None and each.reply.is_success()
        ]
        if len(replies) >= max(1, self._min_shards):
            return requests.MergedAnswer(
                self._request.id,
                tuple(reply.signature for reply in replies),
                len(self.parts) - len(replies),
                merging.merge(
                    (reply.body for reply in replies),
                    self._destination.max_records,
                ),
            )
        detail = f"{len(replies)} of {len(self.parts)} shards answered"
        if self._has_run():
            return self._refuse(errors.Kind.SHARDS_MISSING, detail)
        return self._refuse(errors.Kind.SHED, detail)

    def _has_run(self) -> bool:
        """Returns True if any searcher ran the request, or may have."""
        return any(each.runs or each.is_waiting() for each in self.parts)

    def _refuse(self, kind: errors.Kind, detail: str) -> requests.Refusal:
        """Builds a refusal."""
        return requests.Refusal(errors.Failure(kind, detail), self._request.id)


def compute_partial_answer_delay_s(
    target_s: float, caller_overhead_s: float
) -> float:
    """Returns the delay after which a partial answer is returned, in seconds.

    The target counts from the moment when the caller started, so the time that
    it spends outside of this VM is subtracted: a fixed share of the target
    would be too late over a slow link, and would drop shards without need over
    a fast one.

    Args:
        target_s: The route's target, in seconds.
        caller_overhead_s: The caller's time outside of this VM, both
            directions, in seconds; 0 if unknown.
    """
    if caller_overhead_s <= 0:
        return PARTIAL_ANSWER_SHARE * target_s
    left_s = target_s * (1.0 - MERGE_RESERVE_SHARE) - caller_overhead_s
    return max(MIN_PARTIAL_ANSWER_SHARE * target_s, left_s)


def compute_min_shards(destination: catalog.FanoutDestination) -> int:
    """Returns the minimum number of shards that an answer must include."""
    shards = len(destination.services)
    # A share such as 0.85 has no exact binary form: without the margin, 17 of
    # 20 would be too few.
    return max(1, math.ceil(destination.min_shard_share * shards - 1e-9))


def _is_answered(each: part.Part) -> bool:
    """Returns True if a part has a successful answer to merge."""
    return each.reply is not None and each.reply.is_success()
