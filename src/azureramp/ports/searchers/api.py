"""The interface to searchers, the processes of a backend server."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

import expression
import msgspec

from azureramp import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One call to a searcher.

    Attributes:
        address: The searcher's `IP:port`.
        call_id: The unique id of the attempt, which the reply must echo.
        index: The index.
        version: The index version.
        shard: The shard's name.
        low: The first key of the shard (inclusive).
        high: The first key after the shard (exclusive).
        deadline_ms: Remaining time, in milliseconds; sent to the searcher.
        body: The query as JSON.
        idempotent: False if the call has side effects and must not be repeated.
        suspect_after_ms: Time without a reply, in milliseconds, after which the
            connection is suspected to be half-open; 0 for never.
        abort_after_ms: Time without a reply, in milliseconds, after which a
            repeatable call on a suspected connection is aborted; 0 for never.
    """

    address: str
    call_id: str
    index: str
    version: int
    shard: str
    low: int
    high: int
    deadline_ms: float
    body: bytes
    idempotent: bool = True
    suspect_after_ms: float = 0.0
    abort_after_ms: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """A searcher's complete result.

    Attributes:
        call_id: The id of the call.
        version: The index version that the result was computed from.
        low: The first key of the covered range (inclusive).
        high: The first key after the covered range (exclusive).
        items: The items as a JSON array.
    """

    call_id: str
    version: int
    low: int
    high: int
    items: msgspec.Raw


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """A failed call.

    Attributes:
        failure: The reason.
        sent: True if any byte of the call may have reached the searcher.
    """

    failure: errors.Failure
    sent: bool


class Health(msgspec.Struct, frozen=True):
    """A searcher's own health report, which may be outdated or wrong.

    Attributes:
        incarnation: Its start number; a different one means a restart.
        cold: True during its cold start.
        in_flight: Number of requests that it is running or queueing.
        versions: The `index.version` names that it serves.
    """

    incarnation: int
    cold: bool
    in_flight: int
    versions: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionCounts:
    """Connection counts for one searcher.

    Attributes:
        open_count: Number of open connections.
        lost_count: Number of connections lost since the start: closed by the
            searcher or broken, not closed by this side.
    """

    open_count: int
    lost_count: int


class Searchers(Protocol):
    """Makes calls to searchers over pooled connections.

    Each address has at most the number of connections set by `set_limit`.
    Cancelling the task of a call also cancels the call at the searcher.
    """

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the maximum number of open connections to an address.

        Connections for health reads are included. 0 closes all idle ones.
        """
        ...

    def count_connections(self, address: str) -> ConnectionCounts:
        """Returns the current connection counts for an address."""
        ...

    async def call(
        self, call: Call, may_write: Callable[[], bool]
    ) -> expression.Result[Reply, CallFailure]:
        """Makes one call; the port never repeats it.

        Args:
            call: The call.
            may_write: Called immediately before the first byte is written,
                without yielding to the event loop in between. False fails
                the call with `NOT_OWNER`, unsent.

        Returns:
            The reply, or the failure: `SHED`, `VERSION_GONE`, `ZONE_OUT`,
            `NOT_OWNER`, `CONNECTION_LOST`, `CROSSED_REPLY`,
            `BACKEND_FAILED` or `DEADLINE_PASSED`.
        """
        ...

    async def read_health(
        self, address: str, fresh: bool = False
    ) -> expression.Result[Health, errors.Failure]:
        """Reads a searcher's health report over a separate connection.

        Args:
            address: The searcher's `IP:port`.
            fresh: True to use a new connection.

        Returns:
            The report; `CONNECTION_LOST` if the connection was refused or
            broken; `DEADLINE_PASSED` if there was no response in time.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
