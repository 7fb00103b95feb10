"""Requests that may not be repeated: at most one run, and its true outcome.

The idempotency record is claimed before any byte goes out. From then on the
work belongs to a task of its own: a caller that goes away must not take the
record's truth with it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import Any, Protocol, runtime_checkable

import expression
import msgspec
import xxhash

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import dispatching, gathering
from azureramp.policy import deadlines, fingerprints, identity, snapshots

MAX_ATTEMPTS = 3
"""Most replicas tried under one claim, each after a sure `not sent`."""


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


class Claimed(Protocol):
    """The right to run a request once; made by the records."""


@runtime_checkable
class Recorded(Protocol):
    """The outcome of an earlier run.

    Attributes:
        request_id: The request that ran.
        result: Its result, JSON.
    """

    @property
    def request_id(self) -> str:
        """The request that ran."""
        ...

    @property
    def result(self) -> bytes:
        """Its result, JSON."""
        ...


class Records(Protocol):
    """What is used of the idempotency records."""

    async def claim(
        self, caller: str, key: str, request_hash: int, request_id: str
    ) -> expression.Result[object, errors.Failure]:
        """Claims a key: `Claimed`, the `Recorded` outcome, or a failure."""
        ...

    async def finish(self, claimed: Any, result: bytes) -> None:
        """Records the result."""
        ...

    async def mark_unknown(self, claimed: Any) -> None:
        """Records that the request may have run."""
        ...

    def release(self, claimed: Any) -> None:
        """Gives the claim back; only when nothing ran."""
        ...


Answered = expression.Result[messages.ExecuteAnswer, errors.Failure]


class Executor:
    """Runs requests that may not be repeated."""

    __slots__ = ("_board", "_dispatcher", "_random", "_records", "_tasks")

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: dispatching.Dispatcher,
        records: Records,
        rng: random.Random,
    ) -> None:
        """Makes an executor that runs nothing yet."""
        self._board = board
        self._dispatcher = dispatcher
        self._records = records
        self._random = rng
        self._tasks: set[asyncio.Task[Answered]] = set()

    async def execute(self, request: Execute) -> Answered:
        """Runs a request at most once.

        Cancelling this call ends the wait only: the run goes on to its end,
        so that the record says what happened.

        Args:
            request: The request.

        Returns:
            The outcome of its first run, or why it is not known or not run.
        """
        task = asyncio.ensure_future(self._execute(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def drain(self, limit_s: float) -> None:
        """Waits until all runs have their outcome recorded.

        Args:
            limit_s: Longest wait, in seconds.
        """
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=limit_s)

    async def _execute(self, request: Execute) -> Answered:
        """Checks, claims, runs, records."""
        started_s = asyncio.get_running_loop().time()
        prepared = self._prepare(request, started_s)
        if prepared.is_error():
            return expression.Error(prepared.error)
        header, shard, replicas = prepared.ok
        claim = await self._records.claim(
            request.caller.name,
            request.idempotency_key,
            compute_request_hash(request),
            request.request_id,
        )
        match claim:
            case expression.Result(tag="ok", ok=Recorded() as recorded):
                return self._make_answer(
                    request, recorded.request_id, recorded.result, started_s
                )
            case expression.Result(tag="ok", ok=claimed):
                return await self._run(
                    request, header, shard, replicas, claimed, started_s
                )
            case expression.Result(error=failure):
                return expression.Error(failure)

    def _prepare(
        self, request: Execute, started_s: float
    ) -> expression.Result[
        tuple[dispatching.Header, resources.Shard, tuple[str, ...]],
        errors.Failure,
    ]:
        """Checks the request, and finds its shard; nothing is claimed yet."""
        table = self._dispatcher.get_topology()
        service = identity.check_service(
            table, request.caller, request.service, request.index
        )
        if service.is_error():
            return expression.Error(service.error)
        if request.deadline_s <= started_s:
            return _refuse(errors.Kind.DEADLINE_TOO_SHORT)
        pinned = self._dispatcher.pin(request.index)
        if pinned.is_error():
            return expression.Error(pinned.error)
        shard = find_shard(pinned.ok, request.key)
        if shard is None:
            return _refuse(errors.Kind.BAD_REQUEST, "key: outside the index")
        if not identity.may_query(service.ok, shard):
            return _refuse(errors.Kind.FORBIDDEN)
        replicas = pinned.ok.replicas[shard.name]
        if not replicas:
            return _refuse(errors.Kind.NO_SNAPSHOT)
        header = dispatching.Header(
            request_id=request.request_id,
            index=request.index,
            version=pinned.ok.shard_map.version,
            priority=request.caller.priority,
            fingerprint=fingerprints.compute(request.index, request.body),
            repeatable=False,
            isolated=False,
            body=request.body,
            answer_s=deadlines.get_answer_s(started_s, request.deadline_s),
        )
        return expression.Ok((header, shard, replicas))

    async def _run(
        self,
        request: Execute,
        header: dispatching.Header,
        shard: resources.Shard,
        replicas: tuple[str, ...],
        claimed: object,
        started_s: float,
    ) -> Answered:
        """Runs under a claim: one replica after another until one took it."""
        self._record_admitted(request, header)
        failure = errors.Failure(errors.Kind.NO_SNAPSHOT)
        untried = list(replicas)
        self._random.shuffle(untried)
        for part, searcher in enumerate(untried[:MAX_ATTEMPTS], start=1):
            if not self._dispatcher.is_owned(searcher):
                continue
            result = await self._attempt(header, shard, searcher, part)
            match result:
                case messages.PartDone() if is_whole(header, shard, result):
                    await self._records.finish(claimed, result.items)
                    return self._make_answer(
                        request, request.request_id, result.items, started_s
                    )
                case messages.PartFailed(sent=False):
                    failure = read_failure(result)
                case _:
                    await self._records.mark_unknown(claimed)
                    return _refuse(errors.Kind.OUTCOME_UNKNOWN)
        self._records.release(claimed)
        return expression.Error(make_not_run(failure))

    async def _attempt(
        self,
        header: dispatching.Header,
        shard: resources.Shard,
        searcher: str,
        part: int,
    ) -> messages.PartResult | None:
        """Makes one attempt; None if no result came in time."""
        loop = asyncio.get_running_loop()
        if loop.time() >= header.answer_s:
            return messages.PartFailed(
                part, errors.Kind.DEADLINE_TOO_SHORT.value, False
            )
        arrived: asyncio.Future[messages.PartResult] = loop.create_future()

        def receive(result: messages.PartResult) -> None:
            if result.part == part and not arrived.done():
                arrived.set_result(result)

        attempt = self._dispatcher.make_attempt(part, shard, searcher, "first")
        self._dispatcher.register(header.request_id, receive)
        try:
            if self._dispatcher.send(header, (attempt,)):
                return messages.PartFailed(
                    part, errors.Kind.NOT_OWNER.value, False
                )
            async with asyncio.timeout_at(header.answer_s):
                return await arrived
        except TimeoutError:
            self._dispatcher.cancel(header.request_id, (attempt,))
            return None
        finally:
            self._dispatcher.unregister(header.request_id)

    def _make_answer(
        self, request: Execute, ran_id: str, result: bytes, started_s: float
    ) -> Answered:
        """Makes the answer of a run, this one or an earlier one."""
        now_s = asyncio.get_running_loop().time()
        return expression.Ok(
            messages.ExecuteAnswer(
                request_id=ran_id,
                idempotency_key=request.idempotency_key,
                replayed=ran_id != request.request_id,
                result=msgspec.Raw(result),
                took_ms=(now_s - started_s) * 1000,
            )
        )

    def _record_admitted(
        self, request: Execute, header: dispatching.Header
    ) -> None:
        """Records that a request begins."""
        event = events.RequestAdmitted(
            request_id=request.request_id,
            caller=request.caller.name,
            service=request.service,
            index=request.index,
            version=header.version,
            priority=int(request.caller.priority),
            fingerprint=header.fingerprint,
            idempotency_key=request.idempotency_key,
        )
        now_s = asyncio.get_running_loop().time()
        self._board.timeline.record(event, now_s)


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


def is_whole(
    header: dispatching.Header,
    shard: resources.Shard,
    done: messages.PartDone,
) -> bool:
    """Tells whether a result is of this request's version and range."""
    same = (done.version, done.low, done.high) == (
        header.version,
        shard.low,
        shard.high,
    )
    return same and gathering.read_items(done.items) is not None


def read_failure(failed: messages.PartFailed) -> errors.Failure:
    """Reads a failure that came from an owner."""
    try:
        kind = errors.Kind(failed.kind)
    except ValueError:
        kind = errors.Kind.INTERNAL
    return errors.Failure(kind, failed.detail, failed.retry_after_ms or None)


def make_not_run(failure: errors.Failure) -> errors.Failure:
    """Makes a failure whose answer truly says `not_run`.

    Some kinds say that the work may have run, which is wrong for one that
    was never sent.
    """
    if failure.get_answer().ran is errors.Ran.NOT_RUN:
        return failure
    detail = f"nothing was sent: {failure.kind.value}"
    return errors.Failure(
        errors.Kind.OVERLOADED, detail, failure.retry_after_ms
    )


def _refuse(
    kind: errors.Kind, detail: str = ""
) -> expression.Result[Any, errors.Failure]:
    """Makes a refusal."""
    return expression.Error(errors.Failure(kind, detail))
