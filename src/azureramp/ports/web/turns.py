"""Shares the event loop between costly work and everything else.

A client decides how much work its bytes cause: a request of legal size may have
thousands of fields or chunks. Such work is done in turns, one in an iteration
of the event loop for the whole process, and other work gets as much time as all
turns together. The oldest request goes first, so that some are finished in time
instead of none. A request whose turn can't be reached in time is refused at
once.
"""

from __future__ import annotations

import asyncio
import heapq
from types import TracebackType
from typing import Self

REST_FACTOR = 1.0
"""Time left to other work, as a multiple of the duration of the turns."""

MIN_REST_S = 0.002
"""Shortest pause between two turns, in seconds; a shorter one is postponed. The
event loop's timers have a resolution of a millisecond."""

MAX_TURN_S = 0.1
"""Longest duration that is counted for a turn, in seconds: a longer one means
that the process was paused."""

MAX_WAIT_S = 1.0
"""Wait for a turn, expected or past, from which on a request is refused, in
seconds."""

AVERAGE_WEIGHT = 0.1
"""Weight of the last turn in the average duration."""


class TooBusyError(Exception):
    """A turn can't be reached in time.

    Attributes:
        wait_s: The expected wait, in seconds.
    """

    def __init__(self, wait_s: float) -> None:
        """Makes an error with the expected wait, in seconds."""
        super().__init__(f"costly requests wait {wait_s:.1f} s")
        self.wait_s = wait_s


class Turns:
    """Grants turns one after another.

    Attributes:
        refused: Number of requests that were refused.
    """

    __slots__ = (
        "_average_s",
        "_due_rest_s",
        "_next_s",
        "_number",
        "_running",
        "_timer",
        "_waiting",
        "_waiting_count",
        "refused",
    )

    def __init__(self) -> None:
        """Makes an empty queue."""
        self.refused = 0
        self._average_s = 0.0
        self._due_rest_s = 0.0
        self._next_s = 0.0
        self._number = 0
        self._running = False
        self._timer: asyncio.TimerHandle | None = None
        self._waiting: list[tuple[float, int, asyncio.Future[None]]] = []
        self._waiting_count = 0

    def take(self, began_s: float, factor: float = 1.0) -> Turn:
        """Returns a turn, a context manager; its body must not suspend.

        Args:
            began_s: When the request began, on the loop's clock.
            factor: The work that the turn causes later, as a multiple of its
                own, its own included.

        Raises:
            TooBusyError: The turn can't be reached in time.
        """
        return Turn(self, began_s, factor)

    def check_wait(self) -> None:
        """Raises `TooBusyError` if another request would wait too long."""
        wait_s = self._waiting_count * self._average_s * (1 + REST_FACTOR)
        if wait_s > MAX_WAIT_S:
            self.refused += 1
            raise TooBusyError(wait_s)

    async def acquire(self, began_s: float) -> None:
        """Waits for a turn; see `take`."""
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._number += 1
        heapq.heappush(self._waiting, (began_s, self._number, future))
        self._waiting_count += 1
        self._schedule()
        timer = loop.call_later(MAX_WAIT_S, self._refuse, future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(0.0)
            raise
        finally:
            self._waiting_count -= 1
            timer.cancel()

    def _refuse(self, future: asyncio.Future[None]) -> None:
        """Refuses a request that has waited too long."""
        if not future.done():
            self.refused += 1
            future.set_exception(TooBusyError(MAX_WAIT_S))

    def release(self, seconds: float) -> None:
        """Ends a turn.

        Args:
            seconds: How long it took, and the work that it causes later.
        """
        seconds = min(seconds, MAX_TURN_S)
        self._running = False
        self._average_s += AVERAGE_WEIGHT * (seconds - self._average_s)
        self._due_rest_s += seconds * REST_FACTOR
        if self._due_rest_s >= MIN_REST_S:
            now_s = asyncio.get_running_loop().time()
            self._next_s = now_s + self._due_rest_s
            self._due_rest_s = 0.0
        self._schedule()

    def _schedule(self) -> None:
        """Sets the timer of the next turn, if one is waited for."""
        if self._running or self._timer is not None or not self._waiting:
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._next_s, self._grant)

    def _grant(self) -> None:
        """Grants a turn to the oldest request."""
        self._timer = None
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                self._running = True
                future.set_result(None)
                return


class Turn:
    """One turn; see `Turns.take`."""

    __slots__ = ("_began_s", "_factor", "_started_s", "_turns")

    def __init__(self, turns: Turns, began_s: float, factor: float) -> None:
        """Makes a turn that is not taken yet."""
        self._turns = turns
        self._began_s = began_s
        self._factor = factor
        self._started_s = 0.0

    async def __aenter__(self) -> Self:
        """Waits for the turn."""
        await self._turns.acquire(self._began_s)
        self._started_s = asyncio.get_running_loop().time()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Ends the turn."""
        now_s = asyncio.get_running_loop().time()
        self._turns.release((now_s - self._started_s) * self._factor)
