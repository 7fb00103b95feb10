"""An owner's notices of calls that run for unusually long.

A coordinator sees only the time from sending to result, most of which is the
queue's under load; a second attempt then waits in another queue. The owner
knows when the call began, and tells the coordinator of the one call in fifty
that is a straggler, while it runs.
"""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import messages
from azureramp.controllers import outbox as outbox_controller
from azureramp.policy import hedging


@dataclasses.dataclass(slots=True, frozen=True)
class Running:
    """A call that runs.

    Attributes:
        searcher: The searcher's name.
        began_s: When its first byte was written.
        timer: Sends the notice; None while the searcher's times are unknown.
    """

    searcher: str
    began_s: float
    timer: asyncio.TimerHandle | None


class LateNotices:
    """Watches the running calls of one owner."""

    __slots__ = ("_outbox", "_sketches")

    def __init__(self, outbox: outbox_controller.Outbox) -> None:
        """Makes it with nothing to watch.

        Args:
            outbox: Sends to the coordinators.
        """
        self._outbox = outbox
        self._sketches: dict[str, hedging.Sketch] = {}

    def begin(
        self, searcher: str, coordinator: str, key: tuple[str, int]
    ) -> Running:
        """Begins to watch a call whose first byte is about to be written.

        Args:
            searcher: The searcher's name.
            coordinator: The VM that asked.
            key: The request's id and the sub-request's number.
        """
        loop = asyncio.get_running_loop()
        sketch = self._sketches.get(searcher)
        long_ms = sketch.get() if sketch else None
        timer = None
        if long_ms is not None:
            request_id, part = key
            late = messages.PartsLate(request_id=request_id, parts=(part,))
            timer = loop.call_later(
                long_ms / 1000, self._outbox.send, coordinator, late
            )
        return Running(searcher, loop.time(), timer)

    def end(self, running: Running) -> None:
        """Ends the watch of a call, however it ended.

        One that was cancelled counts with the time until then: it was long
        already, and leaving it out would make ordinary calls look long.
        """
        if running.timer is not None:
            running.timer.cancel()
        sketch = self._sketches.get(running.searcher)
        if sketch is None:
            sketch = hedging.Sketch(hedging.LONG_QUANTILE)
            self._sketches[running.searcher] = sketch
        now_s = asyncio.get_running_loop().time()
        sketch.add((now_s - running.began_s) * 1000)

    def forget(self, searcher: str) -> None:
        """Forgets the times of a searcher that is not owned any more."""
        self._sketches.pop(searcher, None)
