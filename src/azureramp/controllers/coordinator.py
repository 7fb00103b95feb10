"""The coordinator: takes callers' requests, and answers each whole."""

from __future__ import annotations

import asyncio
import dataclasses
import random

import expression
import msgspec

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import dispatching, execution, gathering
from azureramp.controllers import outbox as outbox_controller
from azureramp.policy import (
    deadlines,
    fingerprints,
    identity,
    snapshots,
    topology,
)


@dataclasses.dataclass(slots=True, frozen=True)
class Query:
    """A query of a caller, its identity checked.

    Attributes:
        request_id: Unique in the deployment.
        caller: The caller.
        service: The service's name.
        index: The index.
        body: The query, JSON.
        deadline_s: When the caller gives up, on the loop's clock.
        minimum_coverage: The least coverage that it takes, 0 to 1.
    """

    request_id: str
    caller: resources.Caller
    service: str
    index: str
    body: bytes
    deadline_s: float
    minimum_coverage: float = 0.0


Execute = execution.Execute


class Coordinator:
    """Runs queries and requests that may not be repeated."""

    __slots__ = ("_board", "_dispatcher", "_executor", "_random")

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: dispatching.Dispatcher,
        executor: execution.Executor,
        rng: random.Random,
    ) -> None:
        """Makes a coordinator; see `make`."""
        self._board = board
        self._dispatcher = dispatcher
        self._executor = executor
        self._random = rng

    def get_topology(self) -> topology.Topology:
        """Returns the configuration in force, indexed."""
        return self._dispatcher.get_topology()

    def receive_results(
        self, sender: str, results: messages.PartResults
    ) -> None:
        """Takes results of sub-requests from an owner."""
        self._dispatcher.receive_results(sender, results)

    async def execute(
        self, request: execution.Execute
    ) -> expression.Result[messages.ExecuteAnswer, errors.Failure]:
        """Runs a request that may not be repeated; see `execution`."""
        return await self._executor.execute(request)

    async def drain(self, limit_s: float) -> None:
        """Waits until the records of all that ran are written."""
        await self._executor.drain(limit_s)

    async def query(
        self, query: Query
    ) -> expression.Result[messages.QueryAnswer, errors.Failure]:
        """Answers a query from one snapshot.

        Args:
            query: The query.

        Returns:
            The answer, complete or marked short; or why there is none.
        """
        started_s = asyncio.get_running_loop().time()
        result = await self._query(query, started_s)
        self._record_answered(query, result, started_s)
        return result

    async def _query(
        self, query: Query, started_s: float
    ) -> expression.Result[messages.QueryAnswer, errors.Failure]:
        """Admits, pins, gathers."""
        if query.deadline_s <= started_s:
            return expression.Error(
                errors.Failure(errors.Kind.DEADLINE_TOO_SHORT)
            )
        table = self._dispatcher.get_topology()
        service = identity.check_service(
            table, query.caller, query.service, query.index
        )
        if service.is_error():
            return expression.Error(service.error)
        pinned = self._dispatcher.pin(query.index)
        if pinned.is_error():
            return expression.Error(pinned.error)
        snapshot = pinned.ok
        header = self._make_header(query, snapshot, started_s)
        self._record_admitted(query, header)
        permitted = [
            shard
            for shard in snapshot.shard_map.shards
            if identity.may_query(service.ok, shard)
        ]
        running = gathering.Gathering(
            self._board,
            self._dispatcher,
            header,
            snapshot,
            permitted,
            query.minimum_coverage,
            self._random,
        )
        failure = await running.run()
        if failure is not None:
            return expression.Error(failure)
        ledger = running.get_ledger()
        took_s = asyncio.get_running_loop().time() - started_s
        return expression.Ok(
            messages.QueryAnswer(
                request_id=query.request_id,
                index=query.index,
                version=ledger.shard_map.version,
                complete=ledger.is_complete(),
                coverage=ledger.get_coverage(),
                missing=ledger.get_missing(),
                items=msgspec.Raw(ledger.merge()),
                took_ms=took_s * 1000,
            )
        )

    def _make_header(
        self, query: Query, snapshot: snapshots.Snapshot, started_s: float
    ) -> dispatching.Header:
        """Makes what the query's sub-requests share."""
        return dispatching.Header(
            request_id=query.request_id,
            index=query.index,
            version=snapshot.shard_map.version,
            priority=query.caller.priority,
            fingerprint=fingerprints.compute(query.index, query.body),
            repeatable=True,
            isolated=False,
            body=query.body,
            answer_s=deadlines.get_answer_s(started_s, query.deadline_s),
        )

    def _record_admitted(
        self, query: Query, header: dispatching.Header
    ) -> None:
        """Records that a query begins."""
        event = events.RequestAdmitted(
            request_id=query.request_id,
            caller=query.caller.name,
            service=query.service,
            index=query.index,
            version=header.version,
            priority=int(query.caller.priority),
            fingerprint=header.fingerprint,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)

    def _record_answered(
        self,
        query: Query,
        result: expression.Result[messages.QueryAnswer, errors.Failure],
        started_s: float,
    ) -> None:
        """Records and counts an answer."""
        now_s = asyncio.get_running_loop().time()
        took_ms = (now_s - started_s) * 1000
        counters = self._board.metrics
        counters.count("request.count")
        counters.record_ms("request.took_ms", took_ms)
        match result:
            case expression.Result(tag="ok", ok=answer):
                if not answer.complete:
                    counters.count("request.short")
                event = events.RequestAnswered(
                    request_id=query.request_id,
                    code="ok",
                    ran=errors.Ran.RAN.value,
                    version=answer.version,
                    coverage=answer.coverage,
                    missing=tuple((m.low, m.high) for m in answer.missing),
                    took_ms=took_ms,
                )
            case expression.Result(error=failure):
                ran = failure.get_answer().ran
                if ran is errors.Ran.NOT_RUN:
                    counters.count("request.refused")
                event = events.RequestAnswered(
                    request_id=query.request_id,
                    code=failure.kind.value,
                    ran=ran.value,
                    took_ms=took_ms,
                )
        self._board.timeline.record(event, now_s)


def make(
    board: blackboard.Blackboard,
    outbox: outbox_controller.Outbox,
    records: execution.Records,
    rng: random.Random,
) -> Coordinator:
    """Makes the coordinator of one process.

    Args:
        board: The process's state.
        outbox: Sends to the owners.
        records: The idempotency records.
        rng: Draws among equal choices.
    """
    dispatcher = dispatching.Dispatcher(board, outbox)
    executor = execution.Executor(board, dispatcher, records, rng)
    return Coordinator(board, dispatcher, executor, rng)
