"""Records callers' requests in the timeline and the metrics."""

from __future__ import annotations

import asyncio

import expression

from azureramp import (
    blackboard,
    errors,
    events,
    responses,
)
from azureramp.controllers import admission_control, part_dispatcher


class RequestLog:
    """Records the admission and the answer of each request."""

    __slots__ = ("_board",)

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Creates a log that writes to a process's timeline."""
        self._board = board

    def record_admission(
        self,
        request: admission_control.AdmissionRequest,
        header: part_dispatcher.RequestHeader,
        version: int,
        idempotency_key: str = "",
    ) -> None:
        """Records that a request starts, or restarts, on an index version."""
        event = events.RequestAdmitted(
            request_id=request.request_id,
            caller=request.caller.name,
            service=request.service,
            index=request.index,
            version=version,
            priority=int(request.caller.priority),
            fingerprint=header.fingerprint,
            idempotency_key=idempotency_key,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)

    def record_query_answered(
        self,
        request_id: str,
        result: expression.Result[responses.QueryAnswer, errors.Failure],
        started_s: float,
    ) -> None:
        """Records and counts the answer to a query."""
        match result:
            case expression.Result(tag="ok", ok=answer):
                if not answer.complete:
                    self._board.metrics.count("request.short")
                event = events.RequestAnswered(
                    request_id=request_id,
                    code="ok",
                    ran=errors.Execution.RAN.value,
                    version=answer.version,
                    coverage=answer.coverage,
                    missing=tuple((m.low, m.high) for m in answer.missing),
                    took_ms=self._count(started_s),
                )
                now_s = asyncio.get_running_loop().time()
                self._board.timeline.record(event, now_s)
            case expression.Result(error=failure):
                self._record_failed(request_id, failure, started_s, "")

    def record_execute_answered(
        self,
        request_id: str,
        idempotency_key: str,
        result: expression.Result[responses.ExecuteAnswer, errors.Failure],
        version: int,
        started_s: float,
    ) -> None:
        """Records and counts the answer to a non-idempotent request.

        Args:
            request_id: The id of the request.
            idempotency_key: The caller's key.
            result: The answer.
            version: The index version that it ran on; 0 if the answer is the
                result of another request.
            started_s: When the request arrived, on the loop's clock.
        """
        match result:
            case expression.Result(tag="ok"):
                event = events.RequestAnswered(
                    request_id=request_id,
                    code="ok",
                    ran=errors.Execution.RAN.value,
                    version=version,
                    took_ms=self._count(started_s),
                    idempotency_key=idempotency_key,
                )
                now_s = asyncio.get_running_loop().time()
                self._board.timeline.record(event, now_s)
            case expression.Result(error=failure):
                self._record_failed(
                    request_id, failure, started_s, idempotency_key
                )

    def _record_failed(
        self,
        request_id: str,
        failure: errors.Failure,
        started_s: float,
        idempotency_key: str,
    ) -> None:
        """Records and counts a request without a result."""
        ran = failure.get_answer().ran
        if ran is errors.Execution.NOT_RUN:
            self._board.metrics.count("request.refused")
        event = events.RequestAnswered(
            request_id=request_id,
            code=failure.kind.value,
            ran=ran.value,
            took_ms=self._count(started_s),
            idempotency_key=idempotency_key,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)

    def _count(self, started_s: float) -> float:
        """Counts an answer; returns the request's duration in milliseconds."""
        took_ms = (asyncio.get_running_loop().time() - started_s) * 1000
        self._board.metrics.count("request.count")
        self._board.metrics.record_ms("request.took_ms", took_ms)
        return took_ms
