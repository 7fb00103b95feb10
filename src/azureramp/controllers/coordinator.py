"""The coordinator: runs callers' requests and assembles their answers."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import expression
import msgspec

from azureramp import (
    blackboard,
    errors,
    messages,
    resources,
    responses,
)
from azureramp.controllers import (
    admission_control,
    execution,
    measurements,
    part_dispatcher,
    query_run,
    request_log,
)
from azureramp.controllers import outbox as outbox_controller
from azureramp.policy import identity, topology


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """A query of an authenticated caller.

    Attributes:
        request_id: The request's id, unique in the deployment.
        caller: The caller.
        service: The service's name.
        index: The index's name.
        body: The query, JSON.
        deadline_s: Loop time at which the caller stops waiting, in seconds.
        minimum_coverage: The minimum coverage that the caller accepts, 0 to 1.
    """

    request_id: str
    caller: resources.Caller
    service: str
    index: str
    body: bytes
    deadline_s: float
    minimum_coverage: float = 0.0


ExecuteRequest = execution.ExecuteRequest

Answered = expression.Result[responses.QueryAnswer, errors.Failure]


class Coordinator:
    """Runs queries and non-repeatable requests."""

    __slots__ = ("_admission", "_board", "_dispatcher", "_executor", "_log")

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
        admission: admission_control.AdmissionController,
        executor: execution.Executor,
        log: request_log.RequestLog,
    ) -> None:
        """Creates a coordinator; see `make`."""
        self._board = board
        self._dispatcher = dispatcher
        self._admission = admission
        self._executor = executor
        self._log = log

    def get_topology(self) -> topology.Topology:
        """Returns the configuration in force, indexed."""
        return self._dispatcher.get_topology()

    def receive_results(
        self, sender: str, results: messages.PartResults
    ) -> None:
        """Handles results of sub-requests from an owner."""
        self._dispatcher.receive_results(sender, results)

    def receive_late(self, sender: str, late: messages.PartsLate) -> None:
        """Handles an owner's notice of long-running sub-requests."""
        self._dispatcher.receive_late(sender, late)

    async def execute(
        self, request: execution.ExecuteRequest
    ) -> expression.Result[responses.ExecuteAnswer, errors.Failure]:
        """Runs a non-repeatable request; see `execution`."""
        return await self._executor.execute(request)

    async def drain(self, limit_s: float) -> None:
        """Waits until the outcomes of all executed requests are recorded.

        Args:
            limit_s: Maximum wait, in seconds.
        """
        await self._executor.drain(limit_s)

    async def query(self, query: Query) -> Answered:
        """Answers a query from one snapshot.

        Cancelling this coroutine cancels the query and its sub-requests.

        Args:
            query: The query.

        Returns:
            The answer, complete or marked as incomplete, or the failure.
        """
        started_s = asyncio.get_running_loop().time()
        request = admission_control.AdmissionRequest(
            query.request_id,
            query.caller,
            query.service,
            query.index,
            query.body,
            query.deadline_s,
            repeatable=True,
            minimum_coverage=query.minimum_coverage,
        )
        admitted = self._admission.admit(request)
        result: Answered
        if admitted.is_error():
            result = expression.Error(admitted.error)
        else:
            result = await self._run(request, admitted.ok, started_s)
        self._log.record_query_answered(query.request_id, result, started_s)
        return result

    async def _run(
        self,
        request: admission_control.AdmissionRequest,
        admitted: admission_control.Admitted,
        started_s: float,
    ) -> Answered:
        """Gathers the results of an admitted query's sub-requests."""
        service = admitted.service

        def record_pinned(version: int) -> None:
            self._log.record_admission(request, admitted.header, version)

        record_pinned(admitted.header.version)
        running = query_run.QueryRun(
            self._board,
            self._dispatcher,
            admitted.header,
            admitted.snapshot,
            lambda shard: identity.may_query(service, shard),
            request.minimum_coverage,
            record_pinned,
        )
        self._dispatcher.measurements.running += 1
        try:
            outcome = await running.run()
        finally:
            self._dispatcher.measurements.running -= 1
        self._admission.observe(admitted, running.tally)
        if isinstance(outcome, errors.Failure):
            return expression.Error(outcome)
        took_s = asyncio.get_running_loop().time() - started_s
        return expression.Ok(
            responses.QueryAnswer(
                request_id=request.request_id,
                index=request.index,
                version=outcome.shard_map.version,
                complete=outcome.is_complete(),
                coverage=outcome.get_coverage(),
                missing=outcome.get_missing(),
                items=msgspec.Raw(outcome.merge()),
                took_ms=took_s * 1000,
            )
        )


def make(
    board: blackboard.Blackboard,
    outbox: outbox_controller.Outbox,
    records: execution.Records,
    rng: random.Random,
) -> Coordinator:
    """Creates the coordinator of a process.

    Args:
        board: The process's state.
        outbox: Sends messages to the owners.
        records: The idempotency records.
        rng: Source of randomness for load shedding and for breaking ties.
    """
    measured = measurements.Measurements(rng)
    dispatcher = part_dispatcher.Dispatcher(board, outbox, measured)
    admission = admission_control.AdmissionController(board, dispatcher)
    log = request_log.RequestLog(board)
    executor = execution.Executor(board, dispatcher, admission, records, log)
    return Coordinator(board, dispatcher, admission, executor, log)
