"""Searchers that follow the users' pages and record what reaches them."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import time
from collections.abc import Awaitable, Callable
from typing import Any

from azureramp_standins.fleet import store as store_module


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a searcher has begun to run.

    Attributes:
        id: The request's id.
        target: The method and the target as received.
        body: The body.
        began_s: When the searcher began to run it.
        ended_s: When it ended; 0 while it runs.
        end: How it ended.
        searcher: The searcher's id.
        headers: The headers, names in lower case.
    """

    id: str
    target: str
    body: bytes
    began_s: float
    searcher: str
    headers: dict[str, str]
    ended_s: float = 0.0
    end: str = "running"


class Searcher:
    """A searcher of one service.

    It has a number of slots; further requests wait in a queue, and beyond that
    are rejected as not executed. It drops a request when its connection closes,
    unless `drops` is False.

    Attributes:
        id: Its id, new at each start.
        runs: What it has run, over all its starts.
        work: Called for each request that it runs; returns status and body.
    """

    _numbers = itertools.count(1)

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        store: store_module.Store,
        *,
        slots: int = 3,
        queue: int = 12,
        drops: bool = True,
        idle_s: float | None = None,
    ) -> None:
        """Makes a searcher that is not started yet.

        Args:
            service: Its service.
            address: The `IP:port` that it listens on.
            zone: Its availability zone.
            store: Where it announces itself.
            slots: How many requests it runs at once.
            queue: How many wait besides.
            drops: True to drop a request when its connection closes.
            idle_s: Time after which an idle connection is closed, in seconds;
                None for none.
        """
        self._idle_s = idle_s
        self.id = ""
        self.service = service
        self.address = address
        self.zone = zone
        self.runs: list[Run] = []
        self.crashes_s: list[float] = []
        self.work: Callable[[Run], Awaitable[tuple[int, bytes]]] = answer
        self._store = store
        self._slots = slots
        self._queue = queue
        self._drops = drops
        self._semaphore = asyncio.Semaphore(slots)
        self._waiting = 0
        self._running = 0
        self._state = "ready"
        self._sequence = 0
        self._born = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts a new incarnation and announces it."""
        self.id = f"i-{next(self._numbers):08x}"
        self._semaphore = asyncio.Semaphore(self._slots)
        self._waiting = self._running = 0
        self._state = "ready"
        self._born = round(time.time() * 1000)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1_000_000
        )
        self.announce()

    def announce(self, **changes: Any) -> None:
        """Writes the searcher's entry to the store."""
        self._sequence += 1
        self._state = str(changes.get("State", self._state))
        self._store.put(
            f"servers/{self.id}",
            {
                "Backend": self.service,
                "Address": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Slots": self._slots,
                "State": self._state,
                "ColdRemainingMs": 0,
                "Sequence": self._sequence,
                "born": self._born,
            }
            | changes,
        )

    def is_up(self) -> bool:
        """Returns True if the searcher runs."""
        return self._server is not None

    def crash(self) -> None:
        """Ends like a process that is killed: all connections are reset."""
        if self._server is None:
            return
        self.crashes_s.append(time.monotonic())
        self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    def expire(self) -> None:
        """Removes the entry, as the store does after three heartbeats."""
        self._store.remove(f"servers/{self.id}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns False at the connection's end."""
        try:
            async with asyncio.timeout(self._idle_s):
                head = await reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            writer.close()
            return False
        first, *fields = head.decode("latin-1").split("\r\n")[:-2]
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (field.partition(":") for field in fields)
        }
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        request_id = headers.get("azureramp-request-id", "")
        common = {"Azureramp-Request-Id": request_id}
        not_run = common | {"Azureramp-Not-Executed": "1"}
        if headers.get("azureramp-target-instance", self.id) != self.id:
            return await self._answer(writer, 421, not_run, b"")
        if self._waiting >= self._queue:
            return await self._answer(writer, 503, not_run, b"")
        run = Run(
            request_id, first.rpartition(" ")[0], body, 0.0, self.id, headers
        )
        self._waiting += 1
        try:
            await self._semaphore.acquire()
        finally:
            self._waiting -= 1
        try:
            self._running += 1
            run.began_s = time.monotonic()
            self.runs.append(run)
            answered = await self._run(run, reader)
        finally:
            self._running -= 1
            self._semaphore.release()
            run.ended_s = time.monotonic()
        if answered is None:
            writer.transport.abort()
            return False
        status, data = answered
        stamp = {"Azureramp-Server-Stamp": f"{self.id}.{request_id}.{status}"}
        return await self._answer(writer, status, common | stamp, data)

    async def _run(
        self, run: Run, reader: asyncio.StreamReader
    ) -> tuple[int, bytes] | None:
        """Runs a request until its end, its deadline or its caller's leave."""
        left_s = float(run.headers.get("azureramp-deadline-ms", 60_000)) / 1000
        work = asyncio.ensure_future(self.work(run))
        gone = asyncio.ensure_future(reader.read(1))
        pending = {work, gone} if self._drops else {work}
        try:
            await asyncio.wait(
                pending,
                timeout=left_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if work.done():
                run.end = "answered"
                return work.result()
            if gone.done() and self._drops:
                run.end = "dropped"
                return None
            run.end = "deadline"
            return 504, b""
        except asyncio.CancelledError:
            run.end = "crashed"
            raise
        finally:
            work.cancel()
            gone.cancel()
            await asyncio.wait({work, gone})

    async def _answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> bool:
        """Writes an answer."""
        load = f"{self._running},{self._waiting},{self._slots}"
        fields = headers | {
            "Azureramp-Server-Load": load,
            "Content-Length": str(len(body)),
        }
        if self._idle_s is not None:
            fields["Keep-Alive"] = f"timeout={self._idle_s:.0f}"
        head = f"HTTP/1.1 {status} X\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        writer.write(head.encode("latin-1") + b"\r\n" + body)
        await writer.drain()
        return True


async def answer(run: Run) -> tuple[int, bytes]:
    """Answers a request after a short time of work."""
    await asyncio.sleep(0.02)
    return 200, f"{run.id} {run.target}".encode()
