"""A request to all shards of a route: one call each, merged into one answer."""

from __future__ import annotations

import asyncio
import math

from azureramp import catalog, errors
from azureramp.controllers.forwarding import (
    pacing,
    part,
    requests,
    searchers,
)
from azureramp.policy import merging

CUT_SHARE = 0.85
"""Share of the route's target after which an answer goes out short, if enough
shards are in. The rest of the time is the way back to the caller."""


class Gather:
    """One request's way through all shards."""

    __slots__ = (
        "_cut",
        "_destination",
        "_done",
        "_least",
        "_pace",
        "_parts",
        "_request",
        "_searchers",
        "_timers",
        "_waiting",
        "_work",
    )

    def __init__(
        self,
        known: searchers.Searchers,
        pace: pacing.Pace,
        request: requests.Incoming,
        route: catalog.Route,
        destination: catalog.AllOf,
        until_s: float,
    ) -> None:
        """Makes one that has sent nothing; see `run`."""
        self._searchers = known
        self._pace = pace
        self._request = request
        self._destination = destination
        self._work = part.Work(request.message, route, until_s)
        self._parts: list[part.Part] = []
        self._timers: list[asyncio.TimerHandle] = []
        self._waiting = 0
        self._cut = False
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
            for each in self._parts:
                if not each.done:
                    each.abandon()
        return self._make_answer()

    def _start(self, loop: asyncio.AbstractEventLoop, now_s: float) -> None:
        """Makes the first call of each shard, and sets the timers."""
        for service in self._destination.services:
            each = part.Part(
                self._searchers, self._pace, self._work, service, self._take
            )
            self._parts.append(each)
            if each.start():
                self._waiting += 1
            else:
                each.done = True
        target_s = self._work.route.target_s
        hedge_s = now_s + self._pace.get_hedge_s(target_s)
        cut_s = self._request.began_s + CUT_SHARE * target_s
        self._timers = [
            loop.call_at(hedge_s, self._hedge),
            loop.call_at(cut_s, self._cut_off),
            loop.call_at(self._work.until_s, self._finish),
        ]

    def _hedge(self) -> None:
        """Makes second calls for the shards that are late."""
        for each in self._parts:
            if not each.done:
                each.hedge()

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
        return sum(_is_in(each) for each in self._parts)

    def _make_answer(self) -> requests.Answer:
        """Makes the answer of what is in."""
        replies = [
            each.reply
            for each in self._parts
            if each.reply is not None and each.reply.is_success()
        ]
        if len(replies) >= max(1, self._least):
            return requests.Merged(
                self._request.id,
                tuple(reply.signature for reply in replies),
                len(self._parts) - len(replies),
                merging.merge(
                    (reply.body for reply in replies),
                    self._destination.most_records,
                ),
            )
        detail = f"{len(replies)} of {len(self._parts)} shards answered"
        if self._has_run():
            return self._refuse(errors.Kind.SHARDS_MISSING, detail)
        return self._refuse(errors.Kind.SHED, detail)

    def _has_run(self) -> bool:
        """Tells whether any searcher ran it, or may have."""
        return any(each.runs or each.is_waiting() for each in self._parts)

    def _refuse(self, kind: errors.Kind, detail: str) -> requests.Refused:
        """Makes a refusal."""
        return requests.Refused(errors.Failure(kind, detail), self._request.id)


def count_least(destination: catalog.AllOf) -> int:
    """Returns how many shards an answer must hold to count."""
    shards = len(destination.services)
    # A share such as 0.85 has no exact binary form: without the margin, 17 of
    # 20 would be taken for too few.
    return max(1, math.ceil(destination.least_share * shards - 1e-9))


def _is_in(each: part.Part) -> bool:
    """Tells whether a part has an answer that is merged."""
    return each.reply is not None and each.reply.is_success()
