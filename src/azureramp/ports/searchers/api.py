"""The interface to a searcher, one process of a backend server."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Protocol

import expression
import msgspec

from azureramp import errors


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """One call of a searcher.

    Attributes:
        address: The searcher's `IP:port`.
        call_id: Unique for the attempt; the reply must carry it.
        index: The index.
        version: The index version.
        shard: The shard's name.
        low: The first key of the shard.
        high: The first key after the shard.
        deadline_ms: Time left, in milliseconds, told to the searcher.
        body: The query, JSON.
        repeatable: False if the call has effects and may be made only once.
        overdue_ms: After this time without a reply, in milliseconds, the
            connection is suspect; 0 for never.
        give_up_ms: After this time without a reply, in milliseconds, a
            repeatable call on a suspect connection is given up; 0 for never.
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
    repeatable: bool = True
    overdue_ms: float = 0.0
    give_up_ms: float = 0.0


class Reply(msgspec.Struct, frozen=True):
    """A searcher's whole result.

    Attributes:
        call_id: The call's id, echoed.
        version: The index version that the result was computed from.
        low: The first key of the range that it covers.
        high: The first key after that range.
        items: The items, a JSON array.
    """

    call_id: str
    version: int
    low: int
    high: int
    items: msgspec.Raw


@dataclasses.dataclass(slots=True, frozen=True)
class CallFailure:
    """A call without a result.

    Attributes:
        failure: Why.
        sent: True if any byte of the call may have reached the searcher.
    """

    failure: errors.Failure
    sent: bool


class Health(msgspec.Struct, frozen=True):
    """What a searcher reports of itself; it lags or misleads.

    Attributes:
        incarnation: Its start number; another one means a restart.
        cold: True while it is in cold start.
        in_flight: Requests that run or wait in it.
        versions: The `index.version` names that it serves.
    """

    incarnation: int
    cold: bool
    in_flight: int
    versions: tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Links:
    """The connections to one searcher.

    Attributes:
        open: How many are open.
        lost: How many were lost since the start: closed by the searcher, or
            broken, and not by this side.
    """

    open: int
    lost: int


class Searchers(Protocol):
    """Calls to searchers, over pooled connections.

    Each address has at most the number of connections set by `set_limit`.
    Cancelling a call's task cancels the call at the searcher too.
    """

    def set_limit(self, address: str, limit: int) -> None:
        """Sets the most connections to hold open to an address.

        Those for health reads count too; 0 closes all that are idle.
        """
        ...

    def get_links(self, address: str) -> Links:
        """Returns what is known now of the connections to an address."""
        ...

    async def call(
        self, call: Call, may_write: Callable[[], bool]
    ) -> expression.Result[Reply, CallFailure]:
        """Makes one call, once; it is never repeated by the port.

        Args:
            call: The call.
            may_write: Asked right before the first byte is written, with no
                wait between; False ends the call as `NOT_OWNER`, unsent.

        Returns:
            The reply, or the failure: `SHED`, `VERSION_GONE`, `ZONE_OUT`,
            `NOT_OWNER`, `CONNECTION_LOST`, `CROSSED_REPLY`,
            `BACKEND_FAILED` or `DEADLINE_PASSED`.
        """
        ...

    async def read_health(
        self, address: str, fresh: bool = False
    ) -> expression.Result[Health, errors.Failure]:
        """Reads a searcher's own report, on its own connection.

        Args:
            address: The searcher's `IP:port`.
            fresh: True if the connection must be a new one.

        Returns:
            The report; `CONNECTION_LOST` if the connection was refused or
            broke; `DEADLINE_PASSED` if nothing came in time.
        """
        ...

    async def close(self) -> None:
        """Closes every connection."""
        ...
