"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import json
import urllib.parse
from collections.abc import Sequence
from typing import Any

import h11

READ_BYTES = 65536

PAGE_ITEMS = 500

PAGE_BYTES = 1_000_000


@dataclasses.dataclass(slots=True)
class Item:
    """An item of the store, or one of its changes.

    Attributes:
        key: The key.
        value: The value; None if the item was removed.
        revision: The revision of its last change.
        created: The revision of its creation.
        lease: Its lease; 0 if it has none.
        at_s: When it was changed, on the loop's clock.
        encoded: The item as it is sent; None until it is first sent.
    """

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int
    at_s: float
    encoded: bytes | None = None

    def encode(self) -> bytes:
        """Returns the item, or its removal, as it is sent."""
        if self.encoded is None:
            fields: dict[str, Any] = {
                "Key": self.key,
                "Revision": self.revision,
            }
            if self.value is None:
                fields["Removed"] = True
            else:
                fields["Created"] = self.created
                fields["Lease"] = self.lease
                fields["Value"] = base64.b64encode(self.value).decode("ascii")
            self.encoded = json.dumps(fields).encode()
        return self.encoded


class Store:
    """Holds items, leases and a history of changes; serves them over HTTP.

    Attributes:
        addresses: The `IP:port`s that it listens on, to tell machines apart.
        counts: The number of calls by path.
    """

    def __init__(
        self, addresses: Sequence[str], history_s: float = 20.0
    ) -> None:
        """Makes an empty store; see `start`.

        Args:
            addresses: The `IP:port`s to listen on.
            history_s: How long changes stay in the history, in seconds.
        """
        self.addresses = tuple(addresses)
        self.counts: dict[str, int] = {}
        self._history_s = history_s
        # Set once the cut of an address is over.
        self._cuts: dict[str, asyncio.Event] = {}
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._floor = 0
        self._revision = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening, and ends leases in the background."""
        for address in self.addresses:
            host, _, port = address.rpartition(":")
            server = await asyncio.start_server(self._serve, host, int(port))
            self._servers.append(server)
        self._tasks.add(asyncio.create_task(self._run_expiry()))

    async def stop(self) -> None:
        """Stops listening."""
        for task in list(self._tasks):
            task.cancel()
        for server in self._servers:
            server.close()

    def cut(self, addresses: Sequence[str]) -> None:
        """Stops answering the calls that arrive at some addresses."""
        for address in addresses:
            self._cuts.setdefault(address, asyncio.Event())

    def heal(self, addresses: Sequence[str]) -> None:
        """Answers calls again; those of the cut get no answer any more."""
        for address in addresses:
            healed = self._cuts.pop(address, None)
            if healed is not None:
                healed.set()

    def put(self, key: str, body: object, lease: int = 0) -> int:
        """Writes an item as the operator or a searcher; returns its revision.

        Args:
            key: The key.
            body: The value; encoded as JSON unless it is bytes.
            lease: The lease; 0 for none.
        """
        value = body if isinstance(body, bytes) else json.dumps(body).encode()
        self._revision += 1
        self._change(key, value, lease)
        self._wake()
        return self._revision

    def remove(self, key: str) -> None:
        """Removes an item."""
        if key in self._items:
            self._revision += 1
            self._change(key, None, 0)
            self._wake()

    def list_keys(self, prefix: str) -> list[str]:
        """Returns the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _change(self, key: str, value: bytes | None, lease: int) -> None:
        """Records one change at the current revision."""
        now_s = asyncio.get_running_loop().time()
        before = self._items.get(key)
        created = before.created if before else self._revision
        item = Item(key, value, self._revision, created, lease, now_s)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)

    def _wake(self) -> None:
        """Wakes the watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _trim(self) -> None:
        """Discards the changes that are older than the history's length."""
        oldest_s = asyncio.get_running_loop().time() - self._history_s
        while self._history and self._history[0].at_s < oldest_s:
            self._floor = self._history.pop(0).revision

    async def _run_expiry(self) -> None:
        """Removes the items of ended leases. Never returns."""
        while True:
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            ended = [n for n, (_, end) in self._leases.items() if end <= now_s]
            for lease in ended:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        """Ends a lease and removes its items."""
        self._leases.pop(lease, None)
        keys = [k for k, item in self._items.items() if item.lease == lease]
        if keys:
            self._revision += 1
            for key in keys:
                self._change(key, None, 0)
            self._wake()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        http = h11.Connection(h11.SERVER)
        host, port = writer.get_extra_info("sockname")
        address = f"{host}:{port}"
        try:
            while await self._serve_one(http, reader, writer, address):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        address: str,
    ) -> bool:
        """Serves one call; returns False if the connection ends."""
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            else:
                return False
        url = urllib.parse.urlsplit(head.target.decode("ascii"))
        query = dict(urllib.parse.parse_qsl(url.query, True))
        if await self._is_cut_off(address):
            return False
        status, answer = await self._answer(
            head.method.decode("ascii"), url.path, query, bytes(body)
        )
        if await self._is_cut_off(address):
            return False
        head_out = h11.Response(
            status_code=status,
            headers=[
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(answer))),
            ],
        )
        writer.write(http.send(head_out) or b"")
        writer.write(http.send(h11.Data(data=answer)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        return http.our_state is h11.DONE

    async def _is_cut_off(self, address: str) -> bool:
        """Returns True if a call may not be answered, once the cut is over."""
        healed = self._cuts.get(address)
        if healed is None:
            return False
        await healed.wait()
        return True

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        """Returns the status and body of the answer to a call."""
        name = "/" + path.split("/")[1]
        self.counts[name] = self.counts.get(name, 0) + 1
        if name == "/kv-key":
            item = self._items.get(query["Key"])
            if item is None:
                return 404, self._encode({})
            return 200, self._merge(item.encode())
        if name == "/kv-range":
            return 200, self._list_page(query["Prefix"], query.get("after", ""))
        if name == "/kv-watch":
            return await self._watch(query)
        if name == "/kv-txn":
            return self._commit(json.loads(body))
        now_s = asyncio.get_running_loop().time()
        if name == "/kv-lease":
            ttl_ms = json.loads(body)["TtlMs"]
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_ms / 1000, now_s + ttl_ms / 1000)
            return 200, self._encode({"Lease": lease, "TtlMs": ttl_ms})
        lease = int(path.rsplit("/", 1)[1]) if path.count("/") > 1 else 0
        if lease not in self._leases:
            return 404, self._encode({})
        if name == "/kv-keep":
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, now_s + ttl_s)
            return 200, self._encode(
                {"Lease": lease, "TtlMs": int(ttl_s * 1000)}
            )
        if method == "DELETE":
            self._end_lease(lease)
        return 200, self._encode({})

    def _encode(
        self,
        fields: dict[str, Any],
        name: str = "",
        items: Sequence[bytes] = (),
    ) -> bytes:
        """Encodes an answer with the store's revision.

        Args:
            fields: Further fields.
            name: The name of a list of encoded items; empty for none.
            items: The encoded items.
        """
        data = json.dumps(fields | {"AsOf": self._revision}).encode()
        if not name:
            return data
        listed = b'"' + name.encode() + b'": [' + b", ".join(items) + b"]"
        return data[:-1] + b", " + listed + b"}"

    def _merge(self, item: bytes) -> bytes:
        """Returns an encoded item with the store's revision."""
        return item[:-1] + b", " + self._encode({})[1:]

    def _list_page(self, prefix: str, after: str) -> bytes:
        """Returns one page of a listing."""
        keys = [key for key in self.list_keys(prefix) if key > after]
        items: list[bytes] = []
        size = 0
        for key in keys:
            item = self._items[key]
            size += len(item.value or b"")
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(item.encode())
        more = len(items) < len(keys)
        return self._encode({"HasMore": more}, "items", items)

    async def _watch(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Waits for changes after a revision."""
        loop = asyncio.get_running_loop()
        after, prefix = int(query["after"]), query["Prefix"]
        until_s = loop.time() + min(30.0, int(query["WaitMs"]) / 1000)
        while True:
            self._trim()
            if after < self._floor:
                return 410, self._encode({})
            events = [
                item.encode()
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, self._encode({}, "events", events)
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _commit(self, body: dict[str, Any]) -> tuple[int, bytes]:
        """Applies a transaction."""
        rows = body["Precondition"]
        for row in rows:
            item = self._items.get(row["Key"])
            if (item.revision if item else 0) != row["Revision"]:
                items = [
                    self._items[each["Key"]].encode()
                    for each in rows
                    if each["Key"] in self._items
                ]
                return 412, self._encode({}, "items", items)
        for write in body["Writes"]:
            if write.get("Lease") and write["Lease"] not in self._leases:
                return 404, self._encode({})
        keys = [write["Key"] for write in body["Writes"]] + body["DeleteKeys"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, self._encode({})
        self._revision += 1
        for write in body["Writes"]:
            value = base64.b64decode(write["Value"])
            self._change(write["Key"], value, write.get("Lease") or 0)
        for key in body["DeleteKeys"]:
            if key in self._items:
                self._change(key, None, 0)
        self._wake()
        return 200, self._encode({"Revision": self._revision})
