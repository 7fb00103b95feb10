"""A test double of the platform's metadata store."""

from __future__ import annotations

import asyncio
import base64
import collections
from collections.abc import Sequence
from typing import Any

import msgspec

from azureramp.ports.store import api
from azureramp.ports.store import state as store_state
from azureramp.ports.web import api as web_api
from azureramp.ports.web import server as web_server

PAGE_ITEMS = 50
"""Maximum number of items in a page."""

PAGE_BYTES = 1_000_000
"""Size of the values in a page from which on it takes no further item."""

MAX_TRANSACTION_ROWS = 32
"""Maximum number of conditions, writes and deletions in a transaction."""

MAX_WAIT_S = 30.0
"""Maximum wait of a watch, in seconds."""


class Faults(msgspec.Struct, kw_only=True):
    """The injected faults.

    Attributes:
        busy: True to answer every call with 503.
        silent: True to answer no call.
        slow_s: Delay of each call, in seconds.
        lost: How many of the next writes take effect without an answer.
        refused: How many of the next calls are answered with 503.
        raw_values: True to send the values of searchers whose id begins with
            `raw-` without encoding.
        silent_watches: True to answer no watch.
        watch_status: Status of the answers to watches, whose body is then no
            JSON; 0 for sound answers.
    """

    busy: bool = False
    silent: bool = False
    slow_s: float = 0.0
    lost: int = 0
    refused: int = 0
    raw_values: bool = False
    silent_watches: bool = False
    watch_status: int = 0


class Store:
    """The store's state and HTTP interface.

    Attributes:
        faults: The injected faults.
        compacted_revision: Watches from before this revision get 410.
        call_counts: The number of calls by path.
        server: The HTTP server.
        state: The keys, revisions and leases.
    """

    __slots__ = (
        "call_counts",
        "compacted_revision",
        "faults",
        "server",
        "state",
    )

    def __init__(self, address: str) -> None:
        """Makes an empty store; see `start`."""
        self.faults = Faults()
        self.compacted_revision = 0
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.state = store_state.State()
        self.server = web_server.Server(address, self._handle)

    async def start(self) -> None:
        """Starts listening."""
        await self.server.start()

    def put(self, key: str, body: Any) -> int:
        """Writes an entry unconditionally and returns its revision.

        Args:
            key: The key.
            body: The value; encoded as JSON unless it is bytes.
        """
        value = body if isinstance(body, bytes) else msgspec.json.encode(body)
        current = self.state.read(key)
        expected = current.revision if current else api.NO_REVISION
        written = self.state.write(key, value, expected)
        assert isinstance(written, api.Written)
        return written.revision

    def remove(self, key: str) -> None:
        """Deletes an entry, if it exists."""
        current = self.state.read(key)
        if current is not None:
            self.state.write(key, None, current.revision)

    def compact(self) -> None:
        """Discards the history of changes."""
        self.compacted_revision = self.state.revision

    async def _handle(self, request: web_api.Request) -> web_api.Response:
        """Answers one call, subject to the injected faults."""
        path = request.path.rpartition("/")[0] or request.path
        self.call_counts[path] += 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        if self.faults.refused > 0:
            self.faults.refused -= 1
            return _make_response(503, {})
        if self.faults.busy:
            return _make_response(503, {})
        self.state.expire_leases(asyncio.get_running_loop().time())
        match request.method, path:
            case "GET", "/kv-key":
                return self._read_key(request)
            case "GET", "/kv-range":
                return self._list_page(request)
            case "GET", "/kv-watch":
                return await self._watch(request)
            case "POST", "/kv-txn":
                return await self._handle_transaction(request)
            case "POST", ("/kv-lease" | "/kv-keep"):
                return self._handle_lease(request)
        return _make_response(404, {})

    def _encode_entries(
        self, entries: Sequence[api.Entry]
    ) -> list[dict[str, Any]]:
        """Encodes entries, or their deletions."""
        encoded = [_encode_entry(entry) for entry in entries]
        if self.faults.raw_values:
            for entry, item in zip(entries, encoded, strict=True):
                if entry.key.startswith("servers/raw-"):
                    item["Value"] = "{"
        return encoded

    def _read_key(self, request: web_api.Request) -> web_api.Response:
        """Reads one key."""
        entry = self.state.read(request.query["Key"])
        if entry is None:
            return _make_response(404, {"AsOf": self.state.revision})
        return _make_response(
            200, _encode_entry(entry) | {"AsOf": self.state.revision}
        )

    def _list_page(self, request: web_api.Request) -> web_api.Response:
        """Reads one page of a listing."""
        listing = self.state.list(request.query["Prefix"])
        after = request.query.get("after", "")
        remaining = [entry for entry in listing.entries if entry.key > after]
        page: list[api.Entry] = []
        size = 0
        for entry in remaining[:PAGE_ITEMS]:
            page.append(entry)
            size += len(entry.value or b"")
            if size >= PAGE_BYTES:
                break
        body = {
            "items": self._encode_entries(page),
            "HasMore": len(remaining) > len(page),
            "AsOf": listing.revision,
        }
        return _make_response(200, body)

    async def _watch(self, request: web_api.Request) -> web_api.Response:
        """Waits for changes."""
        loop = asyncio.get_running_loop()
        after = int(request.query["after"])
        wait_s = min(int(request.query["WaitMs"]) / 1000, MAX_WAIT_S)
        deadline_s = loop.time() + wait_s
        if self.faults.silent_watches:
            await asyncio.sleep(3600)
        if self.faults.watch_status:
            return web_api.Response(self.faults.watch_status, b"[")
        while True:
            if after < self.compacted_revision:
                return _make_response(410, {})
            changes = self.state.list_events(request.query["Prefix"], after)
            remaining_s = deadline_s - loop.time()
            if changes.entries or remaining_s <= 0:
                body = {
                    "events": self._encode_entries(changes.entries),
                    "AsOf": changes.revision,
                }
                return _make_response(200, body)
            expiry_s = self.state.get_next_lease_expiry_s()
            if expiry_s is not None:
                remaining_s = min(
                    remaining_s, max(0.0, expiry_s - loop.time()) + 0.001
                )
            await self.state.wait_for_change(remaining_s)
            self.state.expire_leases(loop.time())

    async def _handle_transaction(
        self, request: web_api.Request
    ) -> web_api.Response:
        """Applies a conditional transaction."""
        body = msgspec.json.decode(request.body)
        expected = {row["Key"]: row["Revision"] for row in body["Precondition"]}
        written = {write["Key"]: write for write in body["Writes"]}
        if (
            len(expected) + len(written) + len(body["DeleteKeys"])
            > MAX_TRANSACTION_ROWS
        ):
            return _make_response(413, {})
        outcome = self.state.write_batch(
            [
                _make_change(key, written.get(key), revision)
                for key, revision in expected.items()
            ]
        )
        if self.faults.lost > 0:
            self.faults.lost -= 1
            await asyncio.sleep(3600)
        match outcome:
            case api.Written(revision=revision):
                return _make_response(200, {"Revision": revision})
            case api.BatchConflict(revisions=revisions):
                items = [
                    _encode_entry(entry)
                    for entry in map(self.state.read, revisions)
                    if entry is not None
                ]
                return _make_response(412, {"items": items})
        return _make_response(404, {})

    def _handle_lease(self, request: web_api.Request) -> web_api.Response:
        """Grants or renews a lease."""
        now_s = asyncio.get_running_loop().time()
        if request.path == "/kv-lease":
            ttl_ms = msgspec.json.decode(request.body)["TtlMs"]
            lease = self.state.grant_lease(ttl_ms / 1000, now_s)
            number = int(lease.removeprefix("lease-"))
            return _make_response(200, {"Lease": number, "TtlMs": ttl_ms})
        number = int(request.path.rpartition("/")[2])
        if self.state.renew_lease(f"lease-{number}", now_s):
            return _make_response(200, {"TtlMs": 0})
        return _make_response(404, {})


def _encode_entry(entry: api.Entry) -> dict[str, Any]:
    """Encodes an entry or its deletion in the protocol's format."""
    if entry.value is None:
        return {
            "Key": entry.key,
            "Revision": entry.revision,
            "Removed": True,
        }
    return {
        "Key": entry.key,
        "Value": base64.b64encode(entry.value).decode("ascii"),
        "Revision": entry.revision,
        "Created": entry.revision,
        "Lease": 0,
    }


def _make_change(
    key: str, write: dict[str, Any] | None, expected_revision: int
) -> api.Change:
    """Makes the change of a key: a deletion if `write` is None."""
    if write is None:
        return api.Change(key, None, expected_revision)
    lease = f"lease-{write['Lease']}" if write.get("Lease") else ""
    return api.Change(
        key, base64.b64decode(write["Value"]), expected_revision, lease
    )


def _make_response(status: int, body: Any) -> web_api.Response:
    """Makes a response with a JSON body."""
    return web_api.Response(
        status, msgspec.json.encode(body), "application/json"
    )
