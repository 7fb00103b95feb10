"""The key-value service over HTTP; see docs/reference/platform.md."""

from __future__ import annotations

import urllib.parse
from typing import TypeVar

import expression
import msgspec

from azureramp import errors
from azureramp.ports.store import api, protocol
from azureramp.ports.web import api as web_api
from azureramp.ports.web import pool

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, in seconds; a watch waits in addition."""

_T = TypeVar("_T")


class HttpStore:
    """An HTTP client of the service; see `api.Store`."""

    __slots__ = ("_pool",)

    def __init__(self, address: str) -> None:
        """Makes a client that connects at its first use.

        Args:
            address: `IP:port` of the service.
        """
        self._pool = pool.Pool(address)

    async def read(
        self, key: str
    ) -> expression.Result[api.Entry | None, errors.Failure]:
        """Reads one key; see `api.Store`."""
        result = await self._call("GET", protocol.KEYS, key=key)
        if result.is_error():
            return expression.Error(_convert_read_failure(result.error))
        if result.ok.status == 404:
            return expression.Ok(None)
        return _decode(result.ok, protocol.EntryBody).map(_to_entry)

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads a prefix; see `api.Store`."""
        result = await self._call("GET", protocol.KEYS, prefix=prefix)
        if result.is_error():
            return expression.Error(_convert_read_failure(result.error))
        return _decode(result.ok, protocol.ListingBody).map(_to_listing)

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Writes by compare-and-swap; see `api.Store`."""
        if len(value) > api.MAX_VALUE_BYTES:
            return expression.Error(errors.Failure(errors.Kind.TOO_LARGE, key))
        result = await self._call(
            "PUT",
            protocol.KEYS,
            value,
            key=key,
            expected=str(expected_revision),
            lease=lease,
        )
        return result.bind(_to_write)

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Deletes by compare-and-swap; see `api.Store`."""
        result = await self._call(
            "DELETE", protocol.KEYS, key=key, expected=str(expected_revision)
        )
        return result.bind(_to_write)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.Store`."""
        result = await self._call(
            "GET",
            protocol.WATCH,
            timeout_s=wait_s + CALL_TIMEOUT_S,
            prefix=prefix,
            after=str(after),
            wait_ms=str(int(wait_s * 1000)),
        )
        if result.is_error():
            return expression.Error(_convert_read_failure(result.error))
        return _decode(result.ok, protocol.ListingBody).map(_to_listing)

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Creates a lease; see `api.Store`."""
        result = await self._call(
            "POST", protocol.LEASES, ttl_ms=str(int(ttl_s * 1000))
        )
        if result.is_error():
            return expression.Error(result.error)
        return _decode(result.ok, protocol.LeaseBody).map(
            lambda body: body.lease
        )

    async def renew_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Renews a lease; see `api.Store`."""
        result = await self._call("PUT", protocol.LEASES, lease=lease)
        return result.map(lambda response: response.status == 200)

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
        **query: str,
    ) -> expression.Result[web_api.Response, errors.Failure]:
        """Makes one call; returns a failure for a 5xx response.

        With status 503 the service guarantees that the call had no effect.
        After any other 5xx status the outcome is unknown.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        result = await self._pool.exchange(method, target, body, timeout_s)
        if result.is_error():
            return result
        status = result.ok.status
        if status == 503:
            kind = errors.Kind.STORE_UNAVAILABLE
        elif status >= 500:
            kind = errors.Kind.STORE_OUTCOME_UNKNOWN
        else:
            return result
        return expression.Error(errors.Failure(kind, f"status {status}"))


def _convert_read_failure(failure: errors.Failure) -> errors.Failure:
    """Converts the failure of a read, which never has an effect."""
    if failure.kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
        return errors.Failure(errors.Kind.STORE_UNAVAILABLE, failure.detail)
    return failure


def _decode(
    response: web_api.Response, body_type: type[_T]
) -> expression.Result[_T, errors.Failure]:
    """Decodes the body of a successful response."""
    detail = f"status {response.status}"
    if response.status == 200:
        try:
            return expression.Ok(
                msgspec.json.decode(response.body, type=body_type)
            )
        except msgspec.DecodeError as error:
            detail = str(error)
    kind = errors.Kind.STORE_UNAVAILABLE
    return expression.Error(errors.Failure(kind, detail))


def _to_entry(body: protocol.EntryBody) -> api.Entry:
    return api.Entry(body.key, body.value, body.revision)


def _to_listing(body: protocol.ListingBody) -> api.Listing:
    return api.Listing(
        tuple(_to_entry(entry) for entry in body.entries), body.revision
    )


def _to_write(
    response: web_api.Response,
) -> expression.Result[api.WriteOutcome, errors.Failure]:
    """Converts the response to a write.

    If the response can't be decoded, the outcome of the write is unknown.
    """
    try:
        if response.status == 200:
            written = msgspec.json.decode(
                response.body, type=protocol.WrittenBody
            )
            return expression.Ok(api.Written(written.revision))
        if response.status == 409:
            conflict = msgspec.json.decode(
                response.body, type=protocol.ConflictBody
            )
            present = conflict.present
            return expression.Ok(
                api.Conflict(None if present is None else _to_entry(present))
            )
    except msgspec.DecodeError as error:
        kind = errors.Kind.STORE_OUTCOME_UNKNOWN
        return expression.Error(errors.Failure(kind, str(error)))
    kinds = {404: errors.Kind.NOT_FOUND, 413: errors.Kind.TOO_LARGE}
    kind = kinds.get(response.status, errors.Kind.BAD_REQUEST)
    return expression.Error(errors.Failure(kind, f"status {response.status}"))
