"""One sub-request on its way through an owner."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import errors, messages
from azureramp.controllers import late_notices
from azureramp.policy import connections
from azureramp.ports.searchers import api as searchers_api


@dataclasses.dataclass(slots=True, eq=False)
class Part:
    """One sub-request on its way through an owner.

    Attributes:
        coordinator: The VM that asked.
        batch: The batch that it came in.
        request: The sub-request.
        key: What names it in the deployment.
        deadline_s: The request's deadline, on this VM's clock.
        alone: True if nothing else may run beside it on its searcher.
        sent: True once its first byte may have been written.
        sent_s: When that was.
        epoch: The ramp's epoch then.
        refusal: Why the write was refused at the last moment, if it was.
        again: True if it must be queued again.
        unwanted: True if its coordinator has cancelled it.
        task: The task that runs it; None while it waits.
        watch: Tells the coordinator if it runs long; None while unsent.
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
    again: bool = False
    unwanted: bool = False
    task: asyncio.Task[None] | None = None
    watch: late_notices.Running | None = None

    def make_call(
        self, address: str, left_s: float, expected_ms: float, cold: bool
    ) -> searchers_api.Call:
        """Makes the port's call.

        Args:
            address: The searcher's `IP:port`.
            left_s: The time that it may take, in seconds.
            expected_ms: What a call takes there now, in milliseconds; 0 if
                unknown.
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
            repeatable=batch.repeatable,
            overdue_ms=connections.get_overdue_ms(expected_ms),
            give_up_ms=connections.get_give_up_ms(expected_ms, cold),
        )
