"""The searchers port over HTTP."""

from __future__ import annotations

from collections.abc import Callable

import expression
import msgspec

from azureramp import errors
from azureramp.ports.searchers import api, calls
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection

SEARCH_PATH = "/v1/search"
HEALTH_PATH = "/v1/health"
CALL_ID_HEADER = "Azureramp-Call-Id"
DEADLINE_HEADER = "Azureramp-Deadline-Ms"

STATUS_KINDS = {
    409: errors.Kind.VERSION_GONE,
    410: errors.Kind.VERSION_GONE,
    503: errors.Kind.SHED,
    504: errors.Kind.DEADLINE_PASSED,
}
"""Error kinds by response status; any other status is `BACKEND_FAILED`."""

MAX_RETRY_AFTER_S = 60
"""Upper bound for a searcher's Retry-After, in seconds."""


class SearchBody(msgspec.Struct, frozen=True):
    """The request body of a call.

    Attributes:
        call_id: The id of the call, which the reply must echo.
        index: The index.
        version: The index version.
        shard: The shard's name.
        low: The first key of the range (inclusive).
        high: The first key after the range (exclusive).
        repeatable: False if the call has side effects.
        query: The caller's query.
    """

    call_id: str
    index: str
    version: int
    shard: str
    low: int
    high: int
    repeatable: bool
    query: msgspec.Raw


_encoder = msgspec.json.Encoder()
_reply_decoder = msgspec.json.Decoder(api.Reply)
_health_decoder = msgspec.json.Decoder(api.Health)


class HttpLink:
    """An HTTP connection to a searcher; see `calls.Link`."""

    __slots__ = ("_connection",)

    def __init__(self, connection: web_connection.Connection) -> None:
        """Wraps an open connection."""
        self._connection = connection

    @property
    def last_active_s(self) -> float:
        """Event loop time of its opening or last response, in seconds."""
        return self._connection.used_s

    def is_reusable(self) -> bool:
        """Returns True if another exchange may start on this connection."""
        return self._connection.is_reusable()

    def abort(self) -> None:
        """Closes the connection immediately."""
        self._connection.abort()

    async def call(
        self, call: api.Call, remaining_ms: float, may_write: Callable[[], bool]
    ) -> calls.CallResult:
        """Makes a call; see `calls.Link`."""
        body = SearchBody(
            call.call_id,
            call.index,
            call.version,
            call.shard,
            call.low,
            call.high,
            call.idempotent,
            msgspec.Raw(call.body),
        )
        headers = (
            (CALL_ID_HEADER, call.call_id),
            (DEADLINE_HEADER, str(int(remaining_ms))),
        )
        response = await self._connection.exchange(
            "POST", SEARCH_PATH, headers, _encoder.encode(body), may_write
        )
        if response.status != 200:
            return expression.Error(make_refusal(response))
        try:
            return expression.Ok(_reply_decoder.decode(response.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            # The reply is truncated or corrupt, so this connection can't be
            # trusted any more.
            self.abort()
            return expression.Error(
                errors.Failure(errors.Kind.CROSSED_REPLY, str(error))
            )

    async def read_health(
        self,
    ) -> expression.Result[api.Health, errors.Failure]:
        """Reads the searcher's health; see `calls.Link`."""
        response = await self._connection.exchange("GET", HEALTH_PATH, ())
        if response.status != 200:
            return expression.Error(make_refusal(response))
        try:
            return expression.Ok(_health_decoder.decode(response.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return expression.Error(
                errors.Failure(errors.Kind.BACKEND_FAILED, str(error))
            )


def make_refusal(response: web_api.Response) -> errors.Failure:
    """Converts an error response to a failure."""
    kind = STATUS_KINDS.get(response.status, errors.Kind.BACKEND_FAILED)
    fields = {name.lower(): value for name, value in response.headers}
    retry_after = fields.get("retry-after", "")
    retry_after_ms = None
    if retry_after.isascii() and retry_after.isdecimal():
        retry_after_ms = min(int(retry_after[:6]), MAX_RETRY_AFTER_S) * 1000
    return errors.Failure(
        kind, f"the searcher said {response.status}", retry_after_ms
    )


async def connect(
    address: str, timeout_s: float
) -> expression.Result[HttpLink, errors.Failure]:
    """Opens a connection; see `pool.Connect`."""
    opened = await web_connection.connect(address, timeout_s)
    return opened.map(HttpLink)


def make() -> calls.PooledSearchers[HttpLink]:
    """Makes the searchers port over HTTP."""
    return calls.PooledSearchers(connect)
