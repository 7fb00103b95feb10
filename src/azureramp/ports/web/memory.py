"""A limit on the bytes that all connections of a process hold together.

Limits on a single request don't bound a process: thousands of connections may
each hold what one of them is permitted to. Each connection therefore accounts
for its input, the request in progress and its answer in a holding of one
budget. When the budget is exhausted, the transfers that have waited for their
clients longest are ended first; if none has waited long, the newest bytes are
refused. Small requests have a reserve that large ones can't use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

SMALL_BYTES = 16_384
"""Size up to which a holding may use the reserve, in bytes."""

RESERVE_SHARE = 0.25
"""Share of the budget that only small holdings may use."""

STALLED_S = 1.0
"""Time for which a transfer must have waited for its client before it is ended
in favor of others, in seconds."""

MAX_SCANNED = 256
"""Maximum number of holdings that are searched for one to end."""

DEFAULT_LIMIT_BYTES = 120_000_000


class ExhaustedError(Exception):
    """There is no room for further bytes."""

    def __init__(self) -> None:
        """Makes an error for the log."""
        super().__init__("the memory for requests is used up")


class Budget:
    """The bytes that the connections of a process hold.

    Attributes:
        limit_bytes: The maximum, in bytes.
        used_bytes: The current sum, in bytes.
        ended: Number of transfers that were ended in favor of others.
        refused: Number of times that bytes were refused.
    """

    __slots__ = ("_holdings", "ended", "limit_bytes", "refused", "used_bytes")

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        """Makes a budget of which nothing is used."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.ended = 0
        self.refused = 0
        self._holdings: dict[Holding, None] = {}

    def open(self, end: Callable[[], None]) -> Holding:
        """Makes a holding of nothing.

        Args:
            end: Called when the holding's transfer must end; closes it soon.
        """
        return Holding(self, end)

    def reserve(self, holding: Holding, size: int) -> bool:
        """Accounts for further bytes of a holding, if there is room.

        Args:
            holding: The holding.
            size: Their number.
        """
        if self._has_room(holding, size):
            return True
        self._end_stalled(holding, size)
        if self._has_room(holding, size):
            return True
        self.refused += 1
        return False

    def record(self, holding: Holding, size: int) -> None:
        """Updates the sum and the order of the holdings."""
        self.used_bytes += size
        if holding.size == 0:
            self._holdings.pop(holding, None)
        elif holding not in self._holdings:
            self._holdings[holding] = None

    def _has_room(self, holding: Holding, size: int) -> bool:
        """Returns True if further bytes fit below the holding's limit."""
        limit = float(self.limit_bytes)
        if holding.size + size > SMALL_BYTES:
            limit *= 1 - RESERVE_SHARE
        return self.used_bytes + size <= limit

    def _end_stalled(self, holding: Holding, size: int) -> None:
        """Ends the oldest transfers that wait for their clients."""
        now_s = asyncio.get_running_loop().time()
        stalled: list[Holding] = []
        for scanned, each in enumerate(self._holdings):
            if scanned >= MAX_SCANNED:
                break
            if each is not holding and now_s - each.waits_since_s > STALLED_S:
                stalled.append(each)
        for each in stalled:
            if self._has_room(holding, size):
                return
            self.ended += 1
            each.end()


class Holding:
    """The bytes that one connection holds.

    Attributes:
        size: Their number.
        waits_since_s: Since when the connection waits for its client to send
            the rest of a request or to read an answer, on the loop's clock;
            infinite while it doesn't.
        ended: True once the connection must close.
    """

    __slots__ = ("_budget", "_end", "ended", "size", "waits_since_s")

    def __init__(self, budget: Budget, end: Callable[[], None]) -> None:
        """Makes a holding of nothing; see `Budget.open`."""
        self._budget = budget
        self._end = end
        self.size = 0
        self.waits_since_s = float("inf")
        self.ended = False

    def add(self, size: int) -> bool:
        """Accounts for further bytes.

        Args:
            size: Their number.

        Returns:
            False if there is no room for them; they must not be kept then.
        """
        if self.ended or not self._budget.reserve(self, size):
            return False
        self.size += size
        self._budget.record(self, size)
        return True

    def remove(self, size: int) -> None:
        """Accounts for bytes that are no longer held."""
        size = min(size, self.size)
        self.size -= size
        self._budget.record(self, -size)

    def wait(self, since_s: float) -> None:
        """Records that the connection waits for its client.

        Args:
            since_s: When the transfer began, on the loop's clock.
        """
        self.waits_since_s = since_s

    def stop_waiting(self) -> None:
        """Records that the connection doesn't wait for its client."""
        self.waits_since_s = float("inf")

    def end(self) -> None:
        """Releases all bytes and closes the connection soon."""
        end = self._end
        self.close()
        end()

    def close(self) -> None:
        """Releases all bytes; no more are accepted."""
        self.ended = True
        self.remove(self.size)
        # Without this the connection would wait for the garbage collector.
        self._end = _ignore


def _ignore() -> None:
    """Ignores the end of a transfer that is over."""
