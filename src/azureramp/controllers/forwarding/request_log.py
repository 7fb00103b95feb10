"""One log line per request, with the facts that determined its outcome."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Sequence
from typing import Any

import logbook

from azureramp import catalog, errors, metrics
from azureramp.controllers.forwarding import authentication, part, requests
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import log_sampling

GOOD_LINES_PER_S = 5.0
"""Maximum rate of lines for requests that succeeded in time."""

GOOD_LINES_BURST = 20.0

BAD_LINES_PER_S = 20.0
"""Maximum rate of lines for the other requests. More requests fail only if they
all fail in the same way, and writing all of their lines would take CPU time
from requests that could still succeed."""

BAD_LINES_BURST = 200.0

MAX_LISTED_CALLS = 60
"""Maximum number of calls described in one line; a request to a hundred shards
that all fail would fill a page."""

_logger = logbook.Logger("azureramp.request")


class RequestLog:
    """Writes the log lines of requests, within rate limits."""

    __slots__ = ("_bad_sampler", "_board", "_refusal_sampler", "_sampler")

    def __init__(self, board: board_module.Board) -> None:
        """Creates the log of one process."""
        self._board = board
        self._sampler = log_sampling.LogLimiter(
            GOOD_LINES_PER_S, GOOD_LINES_BURST
        )
        self._bad_sampler = log_sampling.LogLimiter(
            BAD_LINES_PER_S, BAD_LINES_BURST
        )
        self._refusal_sampler = log_sampling.LogLimiter(
            BAD_LINES_PER_S, BAD_LINES_BURST
        )

    def _choose_sampler(
        self, outcome: str, good: bool
    ) -> log_sampling.LogLimiter:
        """Returns the rate limit of a request's line.

        Refusals that a caller brings about itself have one of their own, so
        that a caller that floods doesn't suppress the lines of others.
        """
        if good:
            return self._sampler
        if outcome in CALLER_REFUSALS:
            return self._refusal_sampler
        return self._bad_sampler

    def write(
        self,
        request: requests.IncomingRequest,
        route: catalog.Route | None,
        parts: Sequence[part.Part],
        answer: requests.Answer | None,
        caller_overhead_s: float = 0.0,
        authorization: authentication.Authorization | None = None,
    ) -> None:
        """Counts a request and writes its line within the rate limit.

        Args:
            request: The request.
            route: Its route; None if it has none.
            parts: The parts for which calls were started.
            answer: Its answer; None if the caller disconnected before it.
            caller_overhead_s: The time that the caller is estimated to spend
                outside of this VM, in seconds.
            authorization: Its permission; None if it was refused before.
        """
        now_s = asyncio.get_running_loop().time()
        outcome = describe_answer(answer)
        took_ms = (now_s - request.began_s) * 1000
        self._count(answer, took_ms)
        if self._board.get_accounts() is not None:
            account = authorization.get_account_name() if authorization else ""
            self._board.metrics.account_outcomes.count(
                account or metrics.NO_ACCOUNT,
                outcome,
                near_limit=outcome == errors.Kind.ACCOUNT_LIMIT.value,
            )
        total_ms = took_ms + caller_overhead_s * 1000
        late = route is not None and total_ms > route.target_latency_s * 1000
        good = outcome in GOOD_OUTCOMES and not late
        sampler = self._choose_sampler(outcome, good)
        if not sampler.allow(now_s):
            return
        line: dict[str, Any] = {
            "request": request.id,
            "route": route.name if route else "",
            "configuration": self._get_version(),
            "outcome": outcome,
            "took_ms": round(took_ms, 1),
            "round_trip_ms": round(request.round_trip_s * 1000, 1),
            "way_ms": round(caller_overhead_s * 1000, 1),
            "advertised": self._is_advertised(),
        }
        line |= describe_knowledge(parts)
        not_ready = list_not_ready(parts)
        if not_ready:
            line["not_ready"] = not_ready
        if authorization is not None:
            line["priority"] = authorization.priority
            if authorization.account is not None:
                line["account"] = authorization.account.name
        if route is not None:
            line["target_ms"] = round(route.target_latency_s * 1000)
        if request.deadline_s is not None:
            line["deadline_ms"] = round(request.deadline_s * 1000)
        match answer:
            case requests.Refusal(failure=failure):
                line["detail"] = failure.detail
                line["retry_after_ms"] = failure.get_retry_after_ms()
            case requests.MergedAnswer(missing=missing):
                line["missing"] = missing
                line["shards"] = len(parts)
        if not good:
            line["store_reachable"] = self._board.contact.reachable
            age_s = now_s - self._board.contact.last_answer_s
            if math.isfinite(age_s):
                line["contact_age_ms"] = round(age_s * 1000)
            line["calls"] = describe_calls(parts, request.began_s)
        else:
            line["extra_calls"] = sum(each.count_extra() for each in parts)
        skipped = sampler.pop_skipped_count()
        if skipped:
            line["lines_left_out"] = skipped
        _logger.info("request", extra=line)

    def _count(self, answer: requests.Answer | None, took_ms: float) -> None:
        """Counts a request's outcome in the metrics."""
        counters = self._board.metrics
        counters.count("forward.requests")
        counters.record_ms("forward.took_ms", took_ms)
        match answer:
            case None:
                counters.count("forward.gone")
            case requests.SearcherAnswer():
                counters.count("forward.answered")
            case requests.MergedAnswer(missing=0):
                counters.count("forward.answered")
            case requests.MergedAnswer(missing=missing):
                counters.count("forward.short")
                counters.count("forward.missing", missing)
            case requests.Refusal(failure=failure):
                ran = failure.get_answer().ran
                refused = ran is errors.Execution.NOT_RUN
                counters.count(
                    "forward.refused" if refused else "forward.failed"
                )

    def _is_advertised(self) -> bool:
        """Returns True if this VM is advertised to callers."""
        return self._board.identity.vm in self._board.advertised

    def _get_version(self) -> int:
        """Returns the configuration's version; 0 if there is none."""
        configuration = self._board.configuration
        return 0 if configuration is None else configuration.version


GOOD_OUTCOMES = frozenset(("answered", "complete", "not_found"))
"""Outcomes of requests that need no explanation."""

CALLER_REFUSALS = frozenset(
    (errors.Kind.UNAUTHENTICATED.value, errors.Kind.ACCOUNT_LIMIT.value)
)
"""Outcomes that a caller's own key or number of requests brings about."""


def describe_answer(answer: requests.Answer | None) -> str:
    """Returns an answer's outcome as one word."""
    match answer:
        case None:
            return "caller_gone"
        case requests.SearcherAnswer(reply=reply):
            return "answered" if reply.is_success() else "searcher_failed"
        case requests.MergedAnswer(missing=missing):
            return "short" if missing else "complete"
        case requests.Refusal(failure=failure):
            return failure.kind.value


def describe_calls(parts: Sequence[part.Part], began_s: float) -> list[str]:
    """Describes the calls of all parts that didn't succeed on the first call.

    Returns:
        One text per call, `service searcher start: end outcome`, with times in
        milliseconds since the request began.
    """
    descriptions: list[str] = []
    for each in parts:
        descriptions += each.describe(began_s)
    if len(descriptions) > MAX_LISTED_CALLS:
        rest = f"and {len(descriptions) - MAX_LISTED_CALLS} more"
        descriptions = [*descriptions[:MAX_LISTED_CALLS], rest]
    return descriptions


def describe_knowledge(parts: Sequence[part.Part]) -> dict[str, Any]:
    """Describes which searchers were called, and by which revision.

    Returns:
        The fields `searchers` (at most `MAX_LISTED_CALLS` ids), `revision` and
        `source` of the call that knew the oldest revision, and `update_age_ms`,
        the time from the last received update to that call; empty if no call
        was made.
    """
    attempts = [made for each in parts for made in each.get_attempts()]
    if not attempts:
        return {}
    oldest = min(attempts, key=lambda each: each.known.revision)
    called = dict.fromkeys(each.target.searcher.id for each in attempts)
    fields: dict[str, Any] = {
        "searchers": list(called)[:MAX_LISTED_CALLS],
        "revision": oldest.known.revision,
        "source": oldest.known.source,
    }
    age_s = oldest.sent_s - oldest.known.received_s
    if math.isfinite(age_s):
        fields["update_age_ms"] = round(age_s * 1000)
    return fields


def list_not_ready(parts: Sequence[part.Part]) -> list[str]:
    """Lists `searcher state` for called searchers that take no new work now."""
    states: set[str] = set()
    for each in parts:
        states.update(each.list_not_ready())
    return sorted(states)
