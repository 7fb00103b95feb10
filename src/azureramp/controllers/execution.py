"""Runs non-repeatable requests at most once and reports their actual outcome.

The idempotency key is claimed before any byte is sent, and only the holder of
the claim dispatches. The request runs in its own task: neither a disconnect of
the caller nor its deadline may cancel the task that knows the outcome.
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
    admission_control,
    idempotency,
    part_dispatcher,
    request_log,
    single_run,
)
from azureramp.policy import fingerprints, identity, snapshots


@dataclasses.dataclass(slots=True, frozen=True)
class ExecuteRequest:
    """A non-repeatable request of an authenticated caller.

    Attributes:
        request_id: The request's id, unique in the deployment.
        caller: The caller.
        service: The service's name.
        index: The index's name.
        key: A key of the key space; its shard runs the request.
        idempotency_key: The caller's idempotency key.
        body: The operation, JSON.
        deadline_s: Loop time at which the caller stops waiting, in seconds.
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
    """The part of the idempotency records that execution uses."""

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> expression.Result[
        idempotency.Claimed | idempotency.Recorded, errors.Failure
    ]:
        """Claims a key; see `idempotency.IdempotencyRecords`."""
        ...


Answered = expression.Result[responses.ExecuteAnswer, errors.Failure]


class Executor:
    """Runs non-repeatable requests."""

    __slots__ = (
        "_admission",
        "_board",
        "_dispatcher",
        "_log",
        "_records",
        "_tasks",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
        admission: admission_control.AdmissionController,
        records: Records,
        log: request_log.RequestLog,
    ) -> None:
        """Creates an executor without running requests."""
        self._board = board
        self._dispatcher = dispatcher
        self._admission = admission
        self._records = records
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    async def execute(self, request: ExecuteRequest) -> Answered:
        """Runs a request at most once.

        Returns by the deadline even if the store or a searcher does not
        answer. Cancelling this coroutine ends the wait: an attempt that was
        sent continues so that its outcome is recorded, and one that was not
        sent never will be.

        Args:
            request: The request.

        Returns:
            The outcome of its first run, or the failure if the outcome is
            unknown or the request did not run.
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
        """Waits until the outcomes of all runs are recorded.

        Args:
            limit_s: Maximum wait, in seconds.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=limit_s)

    async def _execute(
        self, request: ExecuteRequest, started_s: float
    ) -> tuple[Answered, int]:
        """Checks the request and waits for its outcome.

        Returns:
            The answer, and the index version on which the request ran; 0 if
            it didn't run.
        """
        admission_request = admission_control.AdmissionRequest(
            request.request_id,
            request.caller,
            request.service,
            request.index,
            request.body,
            request.deadline_s,
            repeatable=False,
        )
        admitted = self._admission.admit(admission_request)
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
        self._log.record_admission(
            admission_request, header, header.version, request.idempotency_key
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
        self, request: ExecuteRequest, run: single_run.SingleRun
    ) -> None:
        """Claims the key and runs the request if the claim is granted."""
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


def compute_request_hash(request: ExecuteRequest) -> int:
    """Hashes the fields that must match when an idempotency key is reused."""
    where = f"{request.service}\0{request.index}\0{request.key}"
    fingerprint = fingerprints.compute_fingerprint(request.index, request.body)
    return xxhash.xxh64_intdigest(f"{where}\0{fingerprint}".encode())


def find_shard(
    snapshot: snapshots.Snapshot, key: int
) -> resources.Shard | None:
    """Finds the shard whose range contains a key; None if there is none."""
    for shard in snapshot.shard_map.shards:
        if shard.low <= key < shard.high:
            return shard
    return None


def _refuse(kind: errors.Kind, detail: str = "") -> Answered:
    """Creates a failed result."""
    return expression.Error(errors.Failure(kind, detail))
