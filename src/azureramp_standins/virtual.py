"""Running a coroutine in virtual time."""

from __future__ import annotations

import asyncio
import math
import warnings
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import async_solipsism

_T = TypeVar("_T")

TICK_S = 1e-6
"""Resolution of the virtual clock, in seconds."""


class EventLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """A loop whose timers never fire early.

    The clock has ticks. A timer less than half a tick away would fire
    without the clock moving, so code that sleeps until a time and looks at
    the clock again would spin for ever. Here each timer is put on the next
    whole tick.
    """

    def __init__(self) -> None:
        """Makes a loop at time 0."""
        super().__init__()
        self._clock_resolution = TICK_S / 1000

    def call_at(
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Any = None,
    ) -> asyncio.TimerHandle:
        """Calls a function at a time, or up to a tick later."""
        ticks = math.ceil(when / TICK_S - TICK_S)
        handle: asyncio.TimerHandle = super().call_at(
            ticks * TICK_S, callback, *args, context=context
        )
        return handle


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to its end on a loop whose time is virtual.

    Sleeps take no real time, so the same seed gives the same run.
    """
    with warnings.catch_warnings():
        # In-memory sockets have no options to set.
        warnings.simplefilter("ignore", async_solipsism.SolipsismWarning)
        with asyncio.Runner(loop_factory=EventLoop) as runner:
            return runner.run(coroutine)
