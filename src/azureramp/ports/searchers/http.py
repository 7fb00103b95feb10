"""Calls to searchers over HTTP."""

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
"""The error kinds of a searcher's refusals; all others are failures."""

MAX_RETRY_AFTER_S = 60
"""A searcher's Retry-After past this is cut to it, in seconds."""


class SearchBody(msgspec.Struct, frozen=True):
    """The body of a call.

    Attributes:
        call_id: The call's id, to echo.
        index: The index.
        version: The index version.
        shard: The shard's name.
        low: The first key of the range.
        high: The first key after it.
        repeatable: False if the call has effects.
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
    """One HTTP connection to a searcher; see `calls.Link`."""

    __slots__ = ("_connection",)

    def __init__(self, connection: web_connection.Connection) -> None:
        """Takes over an open connection."""
        self._connection = connection

    @property
    def proven_s(self) -> float:
        """When it last gave proof of life, on the loop's clock."""
        return self._connection.used_s

    def is_reusable(self) -> bool:
        """Tells whether another exchange may begin on it."""
        return self._connection.is_reusable()

    def abort(self) -> None:
        """Closes at once."""
        self._connection.abort()

    async def call(
        self, call: api.Call, left_ms: float, may_write: Callable[[], bool]
    ) -> calls.Outcome:
        """Makes a call; see `calls.Link`."""
        body = SearchBody(
            call.call_id,
            call.index,
            call.version,
            call.shard,
            call.low,
            call.high,
            call.repeatable,
            msgspec.Raw(call.body),
        )
        headers = (
            (CALL_ID_HEADER, call.call_id),
            (DEADLINE_HEADER, str(int(left_ms))),
        )
        response = await self._connection.exchange(
            "POST", SEARCH_PATH, headers, _encoder.encode(body), may_write
        )
        if response.status != 200:
            return expression.Error(make_refusal(response))
        try:
            return expression.Ok(_reply_decoder.decode(response.body))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            # A truncated or garbled reply: nothing on this connection can be
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
    """Makes the failure of a response that is no reply."""
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
    """Opens a link; see `pool.Connect`."""
    opened = await web_connection.connect(address, timeout_s)
    return opened.map(HttpLink)


def make() -> calls.PooledSearchers[HttpLink]:
    """Makes the searchers port over HTTP."""
    return calls.PooledSearchers(connect)
