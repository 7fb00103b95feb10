"""Effects of a call's outcome on its searcher and its request."""

from __future__ import annotations

import asyncio

import expression

from azureramp import blackboard, errors, messages
from azureramp.controllers import (
    health_probes,
    owned_searcher,
    poison_detection,
)
from azureramp.ports.searchers import api as searchers_api

ABANDONED_CALL_S = 0.05
"""How long a cold searcher may still run an abandoned call, in seconds: the
time until it notices that the call was abandoned."""

OwnedSearcher = owned_searcher.OwnedSearcher
Part = owned_searcher.Part
CallResult = expression.Result[searchers_api.Reply, searchers_api.CallFailure]
Outcome = messages.PartDone | errors.Failure


class PartOutcomes:
    """Applies outcomes of calls to ramps and to crash attribution."""

    __slots__ = ("_board", "_detector", "_prober")

    def __init__(
        self,
        board: blackboard.Blackboard,
        detector: poison_detection.PoisonDetector,
        prober: health_probes.Prober,
    ) -> None:
        """Creates the handler of one process."""
        self._board = board
        self._detector = detector
        self._prober = prober

    async def handle(
        self, owned: OwnedSearcher, part: Part, result: CallResult
    ) -> Outcome:
        """Handles the outcome of a call.

        Args:
            owned: The searcher.
            part: The sub-request.
            result: The outcome of its call.

        Returns:
            The result to report to the coordinator.
        """
        match result:
            case expression.Result(tag="ok", ok=reply):
                return self._handle_reply(owned, part, reply)
            case expression.Result(error=failed) if not failed.sent:
                if failed.failure.kind is errors.Kind.CONNECTION_LOST:
                    self._prober.mark_unreachable(owned, "refused")
                return part.refusal or failed.failure
            case expression.Result(error=failed):
                return await self._handle_failure(owned, part, failed.failure)

    def handle_abandoned(self, owned: OwnedSearcher, part: Part) -> None:
        """Handles a call that was abandoned before its reply."""
        now_s = asyncio.get_running_loop().time()
        owned.ramp.record_cancelled((now_s - part.sent_s) * 1000, part.epoch)
        self._detector.record_abandoned(owned, part)
        if owned.is_cold():
            owned.abandoned_until_s.append(now_s + ABANDONED_CALL_S)

    def _handle_reply(
        self, owned: OwnedSearcher, part: Part, reply: searchers_api.Reply
    ) -> messages.PartDone:
        """Handles a complete reply."""
        owned.succeeded_s = asyncio.get_running_loop().time()
        took_ms = (owned.succeeded_s - part.sent_s) * 1000
        owned.ramp.record_success(took_ms, part.epoch)
        self._detector.record_success(part)
        self._board.metrics.record_ms("searcher.took_ms", took_ms)
        return messages.PartDone(
            part.request.part,
            reply.version,
            reply.low,
            reply.high,
            bytes(reply.items),
            took_ms,
        )

    async def _handle_failure(
        self, owned: OwnedSearcher, part: Part, failure: errors.Failure
    ) -> errors.Failure:
        """Handles the failure of a call that the searcher may have received."""
        match failure.kind:
            case errors.Kind.CONNECTION_LOST:
                owned.ramp.record_failure(part.epoch)
                if await self._detector.check_server(owned, part):
                    self._prober.mark_unreachable(owned, "crashed")
                    return errors.Failure(errors.Kind.BACKEND_CRASHED)
            case errors.Kind.DEADLINE_PASSED:
                self.handle_abandoned(owned, part)
            case errors.Kind.VERSION_GONE:
                self._prober.probe(owned)
            case _:
                owned.ramp.record_failure(part.epoch)
        return failure
