"""Runs a coroutine in virtual time."""

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


class VirtualEventLoop(async_solipsism.EventLoop):  # type: ignore[misc]
    """An event loop whose timers never fire early.

    The clock advances in ticks. A timer less than half a tick away would fire
    without advancing the clock, so that code which sleeps until a time and
    checks the clock again would loop forever. Here each timer is rounded up to
    the next whole tick.
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
        """Schedules a call at a time, rounded up to the next tick.

        Args:
            when: The time on the loop's clock, in seconds.
            callback: The function to call.
            *args: Its arguments.
            context: The context to call it in.
        """
        ticks = math.ceil(when / TICK_S - TICK_S)
        handle: asyncio.TimerHandle = super().call_at(
            ticks * TICK_S, callback, *args, context=context
        )
        return handle


def run(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Runs a coroutine to completion on an event loop with virtual time.

    Sleeps take no real time, so equal seeds give equal runs.
    """
    with warnings.catch_warnings():
        # async_solipsism warns that in-memory sockets have no options.
        warnings.simplefilter("ignore", async_solipsism.SolipsismWarning)
        with asyncio.Runner(loop_factory=VirtualEventLoop) as runner:
            return runner.run(coroutine)
