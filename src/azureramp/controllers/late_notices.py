"""Notifies coordinators of an owner's calls that run unusually long.

A coordinator measures only the time from sending to result. Under load this is
mostly the time in the queue, and a hedge would wait in another queue. The
owner knows when the call began and notifies the coordinator about the one call
in fifty that is a straggler while that call is running.
"""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import messages
from azureramp.controllers import outbox as outbox_controller
from azureramp.policy import hedging


@dataclasses.dataclass(slots=True, frozen=True)
class RunningCall:
    """A running call.

    Attributes:
        searcher: The searcher's name.
        began_s: Loop time at which its first byte was written, in seconds.
        timer: Sends the notice; None while the usual durations of the
            searcher's calls are unknown.
    """

    searcher: str
    began_s: float
    timer: asyncio.TimerHandle | None


class LateNotices:
    """Monitors the running calls of one owner."""

    __slots__ = ("_outbox", "_sketches")

    def __init__(self, outbox: outbox_controller.Outbox) -> None:
        """Creates an instance without running calls.

        Args:
            outbox: Sends messages to the coordinators.
        """
        self._outbox = outbox
        self._sketches: dict[str, hedging.QuantileSketch] = {}

    def begin(
        self, searcher: str, coordinator: str, key: tuple[str, int]
    ) -> RunningCall:
        """Starts monitoring a call whose first byte is about to be written.

        Args:
            searcher: The searcher's name.
            coordinator: The VM that sent the sub-request.
            key: The request's id and the sub-request's number.

        Returns:
            The running call, to be passed to `end`.
        """
        loop = asyncio.get_running_loop()
        sketch = self._sketches.get(searcher)
        long_ms = sketch.get_quantile_ms() if sketch else None
        timer = None
        if long_ms is not None:
            request_id, part = key
            late = messages.PartsLate(request_id=request_id, parts=(part,))
            timer = loop.call_later(
                long_ms / 1000, self._outbox.send, coordinator, late
            )
        return RunningCall(searcher, loop.time(), timer)

    def end(self, running: RunningCall) -> None:
        """Stops monitoring a call that has ended in any way.

        A cancelled call counts with its duration until then: it was already
        long, and omitting it would make ordinary calls appear long.
        """
        if running.timer is not None:
            running.timer.cancel()
        sketch = self._sketches.get(running.searcher)
        if sketch is None:
            sketch = hedging.QuantileSketch(hedging.LONG_CALL_QUANTILE)
            self._sketches[running.searcher] = sketch
        now_s = asyncio.get_running_loop().time()
        sketch.add((now_s - running.began_s) * 1000)

    def forget(self, searcher: str) -> None:
        """Removes the durations of a searcher that is no longer owned."""
        self._sketches.pop(searcher, None)
