"""A request to all shards of a route: one call each, merged into one answer."""

from __future__ import annotations

import asyncio
import math

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    crashes,
    pacing,
    part,
    requests,
    searchers,
)
from azureramp.policy import merging

CUT_SHARE = 0.85
"""Share of the route's target after which an answer goes out short, if enough
shards are in, where nothing is known of the way to the caller."""

MERGE_SHARE = 0.06
"""Share of the route's target kept for merging and sending an answer, where
the way to the caller is known."""

LEAST_CUT_SHARE = 0.25
"""Least share of the route's target that the shards get, however long the
caller has waited."""

OPENING_TRIPS = 2.0
"""Round trips that a caller on a new connection has spent at least: one to open
it, and one to ask where to connect or for this side to accept."""

MOST_SPENT_SHARE = 0.6
"""Share of the route's target up to which a caller is believed to have waited
before its request came; one that waited longer is late in any case."""


class Gather:
    """One request's way through all shards.

    Attributes:
        parts: One part a shard, once begun.
        way_s: The time that the caller is taken to spend outside of this VM,
            in seconds; 0 if it is not known.
    """

    __slots__ = (
        "_crashes",
        "_cut",
        "_cut_s",
        "_destination",
        "_done",
        "_least",
        "_pace",
        "_request",
        "_searchers",
        "_timers",
        "_waiting",
        "_work",
        "parts",
        "way_s",
    )

    def __init__(
        self,
        known: searchers.Searchers,
        blames: crashes.Crashes,
        pace: pacing.Pace,
        request: requests.Incoming,
        route: catalog.Route,
        destination: catalog.AllOf,
        until_s: float,
    ) -> None:
        """Makes one that has sent nothing; see `run`."""
        self._searchers = known
        self._crashes = blames
        self._pace = pace
        self._request = request
        self._destination = destination
        self._work = part.Work(request.message, route, until_s)
        self.parts: list[part.Part] = []
        self.way_s = 0.0
        self._timers: list[asyncio.TimerHandle] = []
        self._waiting = 0
        self._cut = False
        self._cut_s = 0.0
        self._least = count_least(destination)
        self._done: asyncio.Future[None] | None = None

    async def run(self) -> requests.Answer:
        """Gets the answer."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        usable = sum(
            self._searchers.count_usable(service, now_s) > 0
            for service in self._destination.services
        )
        if usable < self._least:
            detail = f"{usable} shards can be asked, {self._least} are needed"
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
        """Makes the first call of each shard, and sets the timers."""
        target_s = self._work.route.target_s
        self.way_s = self._estimate_way_s(target_s)
        self._cut_s = self._request.began_s + compute_cut_s(
            target_s, self.way_s
        )
        hedge_s = now_s + self._pace.get_hedge_s(target_s, self._cut_s - now_s)
        for service in self._destination.services:
            each = part.Part(
                self._searchers,
                self._crashes,
                self._pace,
                self._work,
                service,
                self._take,
            )
            self.parts.append(each)
            if each.start():
                self._waiting += 1
            else:
                each.done = True
        self._timers = [
            loop.call_at(hedge_s, self._hedge),
            loop.call_at(self._cut_s, self._cut_off),
            loop.call_at(self._work.until_s, self._finish),
        ]

    def _estimate_way_s(self, target_s: float) -> float:
        """Estimates the time that the caller spends outside of this VM.

        Returns:
            What it spent before it sent the request, and the round trip, in
            seconds; 0 if nothing is known.
        """
        request = self._request
        spent_s = OPENING_TRIPS * request.connection_setup_s
        if request.deadline_s is not None:
            estimated_s = self._pace.caller_delay.estimate_s(
                request.deadline_s, MOST_SPENT_SHARE * target_s
            )
            spent_s = max(spent_s, estimated_s)
        return spent_s + request.round_trip_s

    def _hedge(self) -> None:
        """Makes second calls for the shards that are late."""
        now_s = asyncio.get_running_loop().time()
        for each in self.parts:
            if not each.done:
                each.hedge(self._cut_s - now_s)

    def _cut_off(self) -> None:
        """Lets the answer go out short from now on."""
        self._cut = True
        self._check()

    def _take(self, each: part.Part) -> None:
        """Takes a part that has ended."""
        self._waiting -= 1
        self._check()

    def _check(self) -> None:
        """Ends the wait once nothing more is worth waiting for."""
        if self._waiting == 0 or (
            self._cut and self._count_in() >= self._least
        ):
            self._finish()

    def _finish(self) -> None:
        """Ends the wait."""
        if self._done is not None and not self._done.done():
            self._done.set_result(None)

    def _count_in(self) -> int:
        """Returns how many parts have an answer."""
        return sum(_is_in(each) for each in self.parts)

    def _make_answer(self) -> requests.Answer:
        """Makes the answer of what is in."""
        replies = [
            each.reply
            for each in self.parts
            if each.reply is not None and each.reply.is_success()
        ]
        if len(replies) >= max(1, self._least):
            return requests.Merged(
                self._request.id,
                tuple(reply.signature for reply in replies),
                len(self.parts) - len(replies),
                merging.merge(
                    (reply.body for reply in replies),
                    self._destination.most_records,
                ),
            )
        detail = f"{len(replies)} of {len(self.parts)} shards answered"
        if self._has_run():
            return self._refuse(errors.Kind.SHARDS_MISSING, detail)
        return self._refuse(errors.Kind.SHED, detail)

    def _has_run(self) -> bool:
        """Tells whether any searcher ran it, or may have."""
        return any(each.runs or each.is_waiting() for each in self.parts)

    def _refuse(self, kind: errors.Kind, detail: str) -> requests.Refused:
        """Makes a refusal."""
        return requests.Refused(errors.Failure(kind, detail), self._request.id)


def compute_cut_s(target_s: float, way_s: float) -> float:
    """Returns after how long an answer goes out short, in seconds.

    The target counts from the moment in which the caller began, so the way
    here and back is taken off: over a slow link a fixed share of the target
    would be too late, over a fast one it would give up parts for nothing.

    Args:
        target_s: The route's target.
        way_s: The time on the way, both directions; 0 if not known.
    """
    if way_s <= 0:
        return CUT_SHARE * target_s
    left_s = target_s * (1.0 - MERGE_SHARE) - way_s
    return max(LEAST_CUT_SHARE * target_s, left_s)


def count_least(destination: catalog.AllOf) -> int:
    """Returns how many shards an answer must hold to count."""
    shards = len(destination.services)
    # A share such as 0.85 has no exact binary form: without the margin, 17 of
    # 20 would be taken for too few.
    return max(1, math.ceil(destination.least_share * shards - 1e-9))


def _is_in(each: part.Part) -> bool:
    """Tells whether a part has an answer that is merged."""
    return each.reply is not None and each.reply.is_success()
