"""Time limits on I/O that hold while the process is paused for a moment.

The load: a process that does not run for a while, or whose event loop is busy,
beside connections that work. When it runs again, all limits that have passed
are due, though what they wait for may have arrived in the meantime. An asyncio
timeout then cancels a task that the same turn of the event loop would have
woken. A limit that is due late therefore ends only after what has arrived could
be handled.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
from collections.abc import AsyncIterator, Callable

LATE_S = 0.005
"""Delay of a timer that shows a pause, in seconds."""

GRACE_S = 0.025
"""Time to handle what arrived during a pause, in seconds."""


class Timer:
    """Calls a function after a delay; see the module on pauses."""

    __slots__ = ("_callback", "_handle")

    def __init__(self, when_s: float, callback: Callable[[], None]) -> None:
        """Starts the timer.

        Args:
            when_s: When to call the function, on the loop's clock.
            callback: The function.
        """
        self._callback = callback
        self._handle = asyncio.get_running_loop().call_at(when_s, self._end)

    def cancel(self) -> None:
        """Stops the timer."""
        self._handle.cancel()

    def _end(self) -> None:
        """Calls the function, after the grace time if this call is late."""
        loop = asyncio.get_running_loop()
        if loop.time() - self._handle.when() > LATE_S:
            self._handle = loop.call_later(GRACE_S, self._callback)
        else:
            self._callback()


@contextlib.asynccontextmanager
async def end_at(when_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Cancels the body at a time.

    Args:
        when_s: The time, on the loop's clock.

    Yields:
        The timeout, which has no time of its own.

    Raises:
        TimeoutError: The time has come.
    """
    has_passed = when_s <= asyncio.get_running_loop().time()
    async with asyncio.timeout_at(when_s if has_passed else None) as timeout:
        timer = Timer(when_s, functools.partial(_expire, timeout))
        try:
            yield timeout
        finally:
            timer.cancel()


def _expire(timeout: asyncio.Timeout) -> None:
    """Ends a timeout, unless another limit just did."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


@contextlib.asynccontextmanager
async def end_unless_extended(
    when_s: float, get_extended_s: Callable[[], float]
) -> AsyncIterator[None]:
    """Cancels the body at a time that may move while it runs.

    Args:
        when_s: The earliest time, on the loop's clock.
        get_extended_s: Called at the time; returns the time to which it has
            moved meanwhile.

    Raises:
        TimeoutError: The time has come.
    """
    loop = asyncio.get_running_loop()
    timers: list[Timer] = []

    def check() -> None:
        extended_s = get_extended_s()
        if extended_s > loop.time():
            timers[:] = [Timer(extended_s, check)]
        else:
            _expire(timeout)

    has_passed = when_s <= loop.time()
    async with asyncio.timeout_at(when_s if has_passed else None) as timeout:
        timers.append(Timer(when_s, check))
        try:
            yield
        finally:
            timers[0].cancel()


def end_after(
    seconds: float,
) -> contextlib.AbstractAsyncContextManager[asyncio.Timeout]:
    """Cancels the body after a time, in seconds; see `end_at`."""
    return end_at(asyncio.get_running_loop().time() + seconds)
