"""Requests that may not be repeated: at most one run, and its true outcome.

The idempotency record is claimed before any byte goes out, and the claim's
holder alone dispatches. The run belongs to a task of its own: neither the
caller's leaving nor its deadline may cut the task that knows what happened.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Protocol

import expression
import msgspec
import xxhash

from azureramp import (
    blackboard,
    errors,
    resources,
    responses,
)
from azureramp.controllers import (
    admitting,
    dispatching,
    idempotency,
    request_log,
    single_run,
)
from azureramp.policy import fingerprints, identity, snapshots


@dataclasses.dataclass(slots=True, frozen=True)
class Execute:
    """A request that may not be repeated, its caller's identity checked.

    Attributes:
        request_id: Unique in the deployment.
        caller: The caller.
        service: The service's name.
        index: The index.
        key: A key of the key space; its shard runs the request.
        idempotency_key: The caller's key.
        body: The operation, JSON.
        deadline_s: When the caller gives up, on the loop's clock.
    """

    request_id: str
    caller: resources.Caller
    service: str
    index: str
    key: int
    idempotency_key: str
    body: bytes
    deadline_s: float


class Records(single_run.Recorder, Protocol):
    """What is used of the idempotency records."""

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> expression.Result[
        idempotency.Claimed | idempotency.Recorded, errors.Failure
    ]:
        """Claims a key; see `idempotency.Records`."""
        ...


Answered = expression.Result[responses.ExecuteAnswer, errors.Failure]


class Executor:
    """Runs requests that may not be repeated."""

    __slots__ = ("_board", "_dispatcher", "_gate", "_log", "_records", "_tasks")

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: dispatching.Dispatcher,
        gate: admitting.Gate,
        records: Records,
        log: request_log.RequestLog,
    ) -> None:
        """Makes an executor that runs nothing yet."""
        self._board = board
        self._dispatcher = dispatcher
        self._gate = gate
        self._records = records
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def execute(self, request: Execute) -> Answered:
        """Runs a request at most once.

        The answer is there by the deadline, whatever the store or a searcher
        does. Cancelling this call ends the wait; what was sent goes on to
        its end, so that the record says what happened, and what was not sent
        never is.

        Args:
            request: The request.

        Returns:
            The outcome of its first run, or why it is not known or not run.
        """
        started_s = asyncio.get_running_loop().time()
        result, version = await self._execute(request, started_s)
        self._log.record_execute_answered(
            request.request_id,
            request.idempotency_key,
            result,
            version,
            started_s,
        )
        return result

    async def drain(self, limit_s: float) -> None:
        """Waits until all runs have their outcome recorded.

        Args:
            limit_s: Longest wait, in seconds.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=limit_s)

    async def _execute(
        self, request: Execute, started_s: float
    ) -> tuple[Answered, int]:
        """Checks the request, and waits for its run.

        Returns:
            The answer, and the index version that it ran on; 0 if none.
        """
        asked = admitting.Asked(
            request.request_id,
            request.caller,
            request.service,
            request.index,
            request.body,
            request.deadline_s,
            repeatable=False,
        )
        admitted = self._gate.admit(asked)
        if admitted.is_error():
            return expression.Error(admitted.error), 0
        shard = find_shard(admitted.ok.snapshot, request.key)
        if shard is None:
            detail = "key: outside the index"
            return _refuse(errors.Kind.BAD_REQUEST, detail), 0
        if not identity.may_query(admitted.ok.service, shard):
            return _refuse(errors.Kind.FORBIDDEN), 0
        if not admitted.ok.snapshot.replicas[shard.name]:
            return _refuse(errors.Kind.NO_SNAPSHOT), 0
        header = admitted.ok.header
        self._log.record_admitted(
            asked, header, header.version, request.idempotency_key
        )
        run = single_run.SingleRun(
            self._board,
            self._dispatcher,
            self._records,
            header,
            admitted.ok.snapshot,
            shard,
        )
        task = asyncio.ensure_future(self._claim_and_run(request, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        outcome = await run.wait()
        if isinstance(outcome, errors.Failure):
            return expression.Error(outcome), 0
        took_s = asyncio.get_running_loop().time() - started_s
        replayed = outcome.request_id != request.request_id
        answer = responses.ExecuteAnswer(
            request_id=outcome.request_id,
            idempotency_key=request.idempotency_key,
            replayed=replayed,
            result=msgspec.Raw(outcome.result),
            took_ms=took_s * 1000,
        )
        return expression.Ok(answer), 0 if replayed else header.version

    async def _claim_and_run(
        self, request: Execute, run: single_run.SingleRun
    ) -> None:
        """Claims the key, and runs the request if the claim is granted."""
        claim = await self._records.claim(
            request.caller.name,
            request.idempotency_key,
            compute_request_hash(request),
            request.request_id,
        )
        match claim:
            case expression.Result(
                tag="ok", ok=idempotency.Claimed() as claimed
            ):
                await run.run(claimed)
            case expression.Result(
                tag="ok", ok=idempotency.Recorded() as recorded
            ):
                run.answer(recorded)
            case expression.Result(error=failure):
                run.answer(failure)


def compute_request_hash(request: Execute) -> int:
    """Hashes what must be the same when an idempotency key comes again."""
    where = f"{request.service}\0{request.index}\0{request.key}"
    fingerprint = fingerprints.compute(request.index, request.body)
    return xxhash.xxh64_intdigest(f"{where}\0{fingerprint}".encode())


def find_shard(
    snapshot: snapshots.Snapshot, key: int
) -> resources.Shard | None:
    """Finds the shard that holds a key."""
    for shard in snapshot.shard_map.shards:
        if shard.low <= key < shard.high:
            return shard
    return None


def _refuse(kind: errors.Kind, detail: str = "") -> Answered:
    """Makes a refusal."""
    return expression.Error(errors.Failure(kind, detail))
