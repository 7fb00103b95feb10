"""A sub-request that is processed by an owner."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import errors, messages
from azureramp.controllers import late_notices
from azureramp.policy import connections
from azureramp.ports.searchers import api as searchers_api


@dataclasses.dataclass(slots=True, eq=False)
class Part:
    """A sub-request that is processed by an owner.

    Attributes:
        coordinator: The VM that sent it.
        batch: The message that contained it.
        request: The sub-request as received.
        key: Its unique key in the deployment: the request's id and its number.
        deadline_s: The request's deadline as this VM's loop time, in seconds.
        alone: True if no other call may run on its searcher meanwhile.
        sent: True once its first byte may have been written.
        sent_s: Loop time at which it was sent, in seconds.
        epoch: The ramp's epoch at that time.
        refusal: The reason if the check before the first byte refused it.
        requeue: True if it must be queued again.
        cancelled: True if its coordinator has cancelled it.
        task: The task that runs it; None while it waits.
        late_notice: Notifies the coordinator of a long run; None while unsent.
    """

    coordinator: str
    batch: messages.QueryBatch
    request: messages.PartRequest
    key: tuple[str, int]
    deadline_s: float
    alone: bool = False
    sent: bool = False
    sent_s: float = 0.0
    epoch: int = 0
    refusal: errors.Failure | None = None
    requeue: bool = False
    cancelled: bool = False
    task: asyncio.Task[None] | None = None
    late_notice: late_notices.RunningCall | None = None

    def make_call(
        self, address: str, left_s: float, expected_ms: float, cold: bool
    ) -> searchers_api.Call:
        """Creates the port's call.

        Args:
            address: The searcher's `IP:port`.
            left_s: The maximum duration of the call, in seconds.
            expected_ms: The expected duration of a call to the searcher, in
                milliseconds; 0 if unknown.
            cold: True while the searcher is in cold start.
        """
        batch, request = self.batch, self.request
        return searchers_api.Call(
            address=address,
            call_id=f"{batch.request_id}/{request.part}",
            index=batch.index,
            version=batch.version,
            shard=request.shard,
            low=request.low,
            high=request.high,
            deadline_ms=max(0.0, left_s * 1000),
            body=batch.body,
            idempotent=batch.repeatable,
            suspect_after_ms=connections.get_overdue_ms(expected_ms),
            abort_after_ms=connections.get_abandon_ms(expected_ms, cold),
        )
