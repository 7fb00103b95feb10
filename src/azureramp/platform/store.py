"""An implementation of the store port for the platform's store."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections.abc import Sequence
from typing import Any, TypeVar

import expression
import msgspec

from azureramp import errors
from azureramp.platform import bodies
from azureramp.ports.store import api
from azureramp.ports.web import api as web_api
from azureramp.ports.web import pool

CALL_TIMEOUT_S = 1.0
"""Timeout of a call, in seconds. The store usually answers within 4 ms, and
within a few tenths of a second when it is slow."""

WATCH_ANSWER_TIMEOUT_S = 0.5
"""Maximum time for the answer of a watch beyond its wait, in seconds. VMs that
receive changes through this one must learn soon that its watch has failed."""

STALL_TIMEOUT_S = 0.5
"""Maximum time between two parts of an answer, in seconds. A large answer takes
longer than a call's timeout on a slow link; repeated, it would take as long."""

REJECTION_STATUSES = (429, 503)
"""Statuses with which the store rejects a call, whatever it asks for."""

_T = TypeVar("_T")


class PlatformStore:
    """A client of the store; see `api.Store`."""

    __slots__ = ("_pool", "_watch_pool")

    def __init__(self, address: str) -> None:
        """Creates a client that connects on first use.

        Args:
            address: `IP:port` of the store.
        """
        self._pool = pool.Pool(address)
        self._watch_pool = pool.Pool(address)

    async def read(
        self, key: str
    ) -> expression.Result[api.Entry | None, errors.Failure]:
        """Reads one key; see `api.Store`."""
        result = await self._read("/kv-key", {"Key": key})
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == 404:
            return expression.Ok(None)
        return _decode(result.ok, bodies.ItemBody).map(_to_entry)

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads a prefix; see `api.Store`.

        The pages are not a consistent snapshot, so the listing gets the
        revision of the first page: a watch from that revision returns
        whatever changed while the later pages were read.
        """
        entries: list[api.Entry] = []
        revision: int | None = None
        after = ""
        pages = 0
        has_more = True
        while has_more:
            result = await self.read_page(prefix, after)
            if result.is_error():
                return expression.Error(result.error)
            page = result.ok
            pages += 1
            entries += page.entries
            if revision is None:
                revision = page.revision
            has_more = page.has_more
            if has_more:
                after = page.entries[-1].key
        return expression.Ok(api.Listing(tuple(entries), revision or 0, pages))

    async def read_page(
        self, prefix: str, after: str
    ) -> expression.Result[api.Page, errors.Failure]:
        """Reads a page; see `api.PagedStore`."""
        query = {"Prefix": prefix}
        if after:
            query["after"] = after
        result = await self._read("/kv-range", query)
        if result.is_error():
            return expression.Error(result.error)
        return _decode(result.ok, bodies.RangeBody).map(_to_page)

    async def write(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Writes one key by compare-and-swap; see `api.Store`."""
        if len(value) > api.MAX_VALUE_BYTES:
            return expression.Error(errors.Failure(errors.Kind.TOO_LARGE, key))
        write = _to_write_body(key, value, lease)
        return await self._change(key, expected_revision, [write], [])

    async def delete(
        self, key: str, expected_revision: int
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Deletes one key by compare-and-swap; see `api.Store`."""
        return await self._change(key, expected_revision, [], [key])

    async def write_batch(
        self, changes: Sequence[api.Change]
    ) -> expression.Result[api.BatchOutcome, errors.Failure]:
        """Changes several keys in one transaction; see `api.BatchStore`."""
        body = bodies.TransactionBody(
            [
                bodies.PreconditionBody(each.key, each.expected_revision)
                for each in changes
            ],
            [
                _to_write_body(each.key, each.value, each.lease)
                for each in changes
                if each.value is not None
            ],
            [each.key for each in changes if each.value is None],
        )
        result = await self._send("POST", "/kv-txn", {}, body)
        keys = [each.key for each in changes]
        return result.bind(lambda response: _to_batch_write(response, keys))

    async def watch(
        self,
        prefix: str,
        after: int,
        wait_s: float,
        transfer: web_api.Transfer | None = None,
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes; see `api.PagedStore`."""
        query = {
            "Prefix": prefix,
            "after": str(after),
            "WaitMs": str(int(wait_s * 1000)),
        }
        result = await self._read(
            "/kv-watch",
            query,
            wait_s + WATCH_ANSWER_TIMEOUT_S,
            self._watch_pool,
            transfer,
        )
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == 410:
            return expression.Error(
                errors.Failure(errors.Kind.STORE_HISTORY_GONE)
            )
        return _decode(result.ok, bodies.WatchBody).map(_to_changes)

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Requests a new lease; see `api.Store`."""
        body = bodies.LeaseRequestBody(int(ttl_s * 1000))
        result = await self._send("POST", "/kv-lease", {}, body)
        if result.is_error():
            return expression.Error(result.error)
        return _decode(result.ok, bodies.LeaseBody).map(
            lambda granted: str(granted.lease)
        )

    async def renew_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Renews a lease; see `api.Store`."""
        result = await self._send("POST", f"/kv-keep/{lease}", {})
        return result.bind(_to_renewed)

    async def close(self) -> None:
        """Closes the connection pools."""
        self._pool.close()
        self._watch_pool.close()

    async def _change(
        self,
        key: str,
        expected_revision: int,
        writes: list[bodies.WriteBody],
        deletes: list[str],
    ) -> expression.Result[api.WriteOutcome, errors.Failure]:
        """Changes one key if it has the expected revision."""
        condition = [bodies.PreconditionBody(key, expected_revision)]
        body = bodies.TransactionBody(condition, writes, deletes)
        result = await self._send("POST", "/kv-txn", {}, body)
        return result.bind(_to_write)

    async def _read(
        self,
        path: str,
        query: dict[str, str],
        timeout_s: float = CALL_TIMEOUT_S,
        connection_pool: pool.Pool | None = None,
        transfer: web_api.Transfer | None = None,
    ) -> expression.Result[web_api.Response, errors.Failure]:
        """Sends one request that changes nothing to the store.

        Returns:
            The response; `STORE_UNAVAILABLE` if there is none or the store
            rejected the request; `STORE_ANSWER_UNUSABLE` if the response is
            incomplete, too large or of an unexpected status.
        """
        transfer = transfer or web_api.Transfer(stall_s=STALL_TIMEOUT_S)
        result = await (connection_pool or self._pool).exchange(
            "GET", _make_target(path, query), b"", timeout_s, (), transfer
        )
        if result.is_error():
            answered = transfer.received_bytes > 0
            return expression.Error(
                errors.Failure(_to_read_kind(answered), result.error.detail)
            )
        status = result.ok.status
        if status in (200, 404, 410):
            return result
        answered = status not in REJECTION_STATUSES
        return expression.Error(
            errors.Failure(_to_read_kind(answered), f"status {status}")
        )

    async def _send(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: Any = None,
    ) -> expression.Result[web_api.Response, errors.Failure]:
        """Sends one request to the store; returns 429 and 5xx as failures.

        With 429 and 503 the store guarantees that the call had no effect;
        after any other 5xx the outcome is unknown.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (("Content-Type", "application/json"),) if data else ()
        result = await self._pool.exchange(
            method, _make_target(path, query), data, CALL_TIMEOUT_S, headers
        )
        if result.is_error():
            return result
        status = result.ok.status
        if status in REJECTION_STATUSES:
            kind = errors.Kind.STORE_UNAVAILABLE
        elif status >= 500:
            kind = errors.Kind.STORE_OUTCOME_UNKNOWN
        else:
            return result
        return expression.Error(errors.Failure(kind, f"status {status}"))


def _make_target(path: str, query: dict[str, str]) -> str:
    """Returns the encoded path and query of a request."""
    return f"{path}?{urllib.parse.urlencode(query)}" if query else path


def _to_read_kind(answered: bool) -> errors.Kind:
    """Returns the kind of a read's failure, whose outcome can't be unknown."""
    if answered:
        return errors.Kind.STORE_ANSWER_UNUSABLE
    return errors.Kind.STORE_UNAVAILABLE


def _decode(
    response: web_api.Response, body_type: type[_T]
) -> expression.Result[_T, errors.Failure]:
    """Decodes the body of an answer with status 200."""
    detail = f"status {response.status}"
    if response.status == 200:
        try:
            return expression.Ok(
                msgspec.json.decode(response.body, type=body_type)
            )
        except msgspec.DecodeError as error:
            detail = str(error)
    kind = errors.Kind.STORE_ANSWER_UNUSABLE
    return expression.Error(errors.Failure(kind, detail))


def _to_entry(item: bodies.ItemBody) -> api.Entry:
    """Converts an item of the platform's store to an entry.

    A value that is not base64 is kept as received: its reader rejects this
    entry alone, and the others hold.
    """
    if item.removed:
        return api.Entry(item.key, None, item.revision)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        value = item.value.encode()
    return api.Entry(item.key, value, item.revision)


def _to_page(body: bodies.RangeBody) -> api.Page:
    """Converts a page of items."""
    entries = tuple(map(_to_entry, body.items))
    return api.Page(entries, body.revision, body.more and bool(entries))


def _to_changes(body: bodies.WatchBody) -> api.Listing:
    """Converts the changes that a watch returned to a listing."""
    return api.Listing(tuple(map(_to_entry, body.events)), body.revision)


def _to_renewed(
    response: web_api.Response,
) -> expression.Result[bool, errors.Failure]:
    """Returns True if a lease was renewed, False if it no longer exists."""
    if response.status in (200, 404):
        return expression.Ok(response.status == 200)
    detail = f"status {response.status}"
    return expression.Error(
        errors.Failure(errors.Kind.STORE_UNAVAILABLE, detail)
    )


def _to_write_body(key: str, value: bytes, lease: str) -> bodies.WriteBody:
    """Encodes one key's new value."""
    encoded = base64.b64encode(value).decode("ascii")
    return bodies.WriteBody(key, encoded, int(lease or 0))


def _to_write(
    response: web_api.Response,
) -> expression.Result[api.WriteOutcome, errors.Failure]:
    """Converts the answer to a change of one key."""

    def convert(outcome: api.Written | bodies.ConflictBody) -> api.WriteOutcome:
        match outcome:
            case api.Written():
                return outcome
            case bodies.ConflictBody():
                return api.Conflict(_find_conflicting_entry(outcome))

    return _to_outcome(response).map(convert)


def _to_batch_write(
    response: web_api.Response, keys: Sequence[str]
) -> expression.Result[api.BatchOutcome, errors.Failure]:
    """Converts the answer to a batch that changes these keys."""

    def convert(outcome: api.Written | bodies.ConflictBody) -> api.BatchOutcome:
        match outcome:
            case api.Written():
                return outcome
            case bodies.ConflictBody(items=items):
                revisions = dict.fromkeys(keys, api.NO_REVISION)
                revisions |= {
                    item.key: item.revision
                    for item in items
                    if item.key in revisions and not item.removed
                }
                return api.BatchConflict(revisions)

    return _to_outcome(response).map(convert)


def _to_outcome(
    response: web_api.Response,
) -> expression.Result[api.Written | bodies.ConflictBody, errors.Failure]:
    """Decodes the answer to a change.

    A 200 or 412 whose body can't be decoded leaves the outcome unknown.
    """
    try:
        if response.status == 200:
            committed = msgspec.json.decode(
                response.body, type=bodies.CommittedBody
            )
            return expression.Ok(api.Written(committed.revision))
        if response.status == 412:
            return expression.Ok(
                msgspec.json.decode(response.body, type=bodies.ConflictBody)
            )
    except msgspec.DecodeError as error:
        kind = errors.Kind.STORE_OUTCOME_UNKNOWN
        return expression.Error(errors.Failure(kind, str(error)))
    kinds = {404: errors.Kind.NOT_FOUND, 413: errors.Kind.TOO_LARGE}
    kind = kinds.get(response.status, errors.Kind.BAD_REQUEST)
    return expression.Error(errors.Failure(kind, f"status {response.status}"))


def _find_conflicting_entry(conflict: bodies.ConflictBody) -> api.Entry | None:
    """Returns the entry that a change conflicted with, or None."""
    for item in conflict.items:
        if item.revision > 0 and not item.removed:
            return _to_entry(item)
    return None
