"""Checks before a request is dispatched; a refused request has not run."""

from __future__ import annotations

import asyncio
import dataclasses
import fractions

import expression

from azureramp import blackboard, errors, resources
from azureramp.controllers import part_dispatcher
from azureramp.policy import (
    admission,
    deadlines,
    fingerprints,
    identity,
    outcomes,
    snapshots,
    waits,
)


@dataclasses.dataclass(slots=True, frozen=True)
class AdmissionRequest:
    """The properties of a request that the checks need.

    Attributes:
        request_id: The request's id, unique in the deployment.
        caller: The caller.
        service: The service's name.
        index: The index's name.
        body: The query or the operation, JSON.
        deadline_s: Loop time at which the caller stops waiting, in seconds.
        repeatable: False if it may run at most once.
        minimum_coverage: The minimum coverage that the caller accepts, 0 to
            1.
    """

    request_id: str
    caller: resources.Caller
    service: str
    index: str
    body: bytes
    deadline_s: float
    repeatable: bool
    minimum_coverage: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Admitted:
    """A request that may be dispatched.

    Attributes:
        service: The service.
        snapshot: The pinned version.
        header: The fields that its sub-requests share.
        allowed_ms: The time left at admission, in milliseconds.
    """

    service: resources.Service
    snapshot: snapshots.Snapshot
    header: part_dispatcher.RequestHeader
    allowed_ms: float


class AdmissionController:
    """Admits or refuses requests."""

    __slots__ = ("_board", "_dispatcher")

    def __init__(
        self,
        board: blackboard.Blackboard,
        dispatcher: part_dispatcher.Dispatcher,
    ) -> None:
        """Creates the admission control of a process."""
        self._board = board
        self._dispatcher = dispatcher

    def admit(
        self, request: AdmissionRequest
    ) -> expression.Result[Admitted, errors.Failure]:
        """Checks a request and pins its snapshot.

        Args:
            request: The request.

        Returns:
            The admitted request, or the failure if it is refused.
        """
        now_s = asyncio.get_running_loop().time()
        checked = identity.check_service(
            self._dispatcher.get_topology(),
            request.caller,
            request.service,
            request.index,
        )
        if checked.is_error():
            return expression.Error(checked.error)
        fingerprint = fingerprints.compute_fingerprint(
            request.index, request.body
        )
        counts = self._board.crash_counts
        quarantined_ms = counts.get_quarantine_ms(fingerprint, now_s)
        if quarantined_ms > 0:
            kind = errors.Kind.QUARANTINED
            failure = errors.Failure(kind, retry_after_ms=quarantined_ms)
            return expression.Error(failure)
        pinned = self._dispatcher.viewer.pin(request.index)
        if pinned.is_error():
            return expression.Error(pinned.error)
        short = check_reachable_coverage(request, checked.ok, pinned.ok)
        if short is not None:
            return expression.Error(errors.Failure(short))
        answer_s = deadlines.get_answer_s(now_s, request.deadline_s)
        refused = self._check_load(request, pinned.ok, answer_s - now_s)
        if refused is not None:
            return expression.Error(refused)
        header = part_dispatcher.RequestHeader(
            request_id=request.request_id,
            index=request.index,
            version=pinned.ok.shard_map.version,
            priority=request.caller.priority,
            fingerprint=fingerprint,
            repeatable=request.repeatable,
            isolated=counts.count_crashes(fingerprint, now_s) > 0,
            body=request.body,
            answer_s=answer_s,
        )
        allowed_ms = (answer_s - now_s) * 1000
        return expression.Ok(
            Admitted(checked.ok, pinned.ok, header, allowed_ms)
        )

    def _check_load(
        self,
        request: AdmissionRequest,
        snapshot: snapshots.Snapshot,
        left_s: float,
    ) -> errors.Failure | None:
        """Refuses a request that would miss its deadline or must be shed."""
        now_s = asyncio.get_running_loop().time()
        measured = self._dispatcher.measurements
        priority = request.caller.priority
        demand = admission.Request(
            priority=priority,
            left_ms=left_s * 1000,
            needed_ms=measured.service_times.estimate_ms(
                request.index, priority, now_s
            ),
            running=measured.running,
            share=measured.admission_level.get_share(priority, now_s),
        )
        kind = admission.decide(demand, measured.rng.random())
        if kind is None:
            return None
        drain_ms = admission.estimate_drain_ms(
            snapshot.shard_map.shards, self._dispatcher.viewer.get().states
        )
        retry_ms = waits.compute_retry_ms(drain_ms, measured.rng.random())
        return errors.Failure(kind, retry_after_ms=retry_ms)

    def observe(
        self, admitted: Admitted, tally: outcomes.PartStatistics
    ) -> None:
        """Updates the load measurements from an admitted request's tally."""
        header = admitted.header
        now_s = asyncio.get_running_loop().time()
        measured = self._dispatcher.measurements
        wait_ms = tally.get_mean_wait_ms()
        if tally.results:
            measured.service_times.observe(
                header.index,
                header.priority,
                tally.get_mean_service_ms(),
                wait_ms,
                now_s,
            )
        queue_ms = self._dispatcher.get_topology().policy.queue_ms
        ratio = admission.compute_wait_ratio(
            wait_ms, admitted.allowed_ms, queue_ms
        )
        parts = len(admitted.snapshot.shard_map.shards)
        ratio += admission.compute_refusal_ratio(tally.refused, parts)
        measured.admission_level.observe(header.priority, ratio, now_s)


def check_reachable_coverage(
    request: AdmissionRequest,
    service: resources.Service,
    snapshot: snapshots.Snapshot,
) -> errors.Kind | None:
    """Checks whether the minimum coverage can be reached.

    Args:
        request: The request.
        service: Its service.
        snapshot: The pinned version.

    Returns:
        `FORBIDDEN` if the service may query too few shards, `NO_SNAPSHOT` if
        too few of them have a usable replica; None if the minimum can be
        reached.
    """
    permitted = served = total = 0
    for shard in snapshot.shard_map.shards:
        total += shard.size
        if identity.may_query(service, shard):
            permitted += shard.size
            if snapshot.replicas[shard.name]:
                served += shard.size
    minimum = fractions.Fraction(request.minimum_coverage) * total
    if permitted < minimum:
        return errors.Kind.FORBIDDEN
    if served < minimum:
        return errors.Kind.NO_SNAPSHOT
    return None
