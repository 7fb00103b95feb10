"""A stand-in of a searcher, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import time
from collections.abc import Callable

import h11

READ_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a searcher ran.

    Attributes:
        at_s: When it arrived, on the loop's clock.
        request_id: Its id.
        service: The service of the searcher.
        searcher: The searcher's id.
        target: The path with its query.
        answered: True once the whole answer was written.
    """

    at_s: float
    request_id: str
    service: str
    searcher: str
    target: str
    answered: bool = False


Headers = list[tuple[bytes, bytes]]


class Searcher:
    """Runs requests and answers each after a short time.

    Attributes:
        id: The searcher's id.
        service: Its service.
        address: The `IP:port` that it listens on.
        zone: Its zone.
        runs: The requests that it ran, in order.
        rejected: The ids of the requests that it rejected because it was full.
        work_s: How long it works on a request, in seconds.
        slots: How many requests it runs at once.
        queue: How many more wait in it; further ones are rejected.
        make_headers: Returns additional headers of the answer to a request.
    """

    def __init__(
        self, name: str, service: str, address: str, zone: str
    ) -> None:
        """Makes a searcher; see `start`."""
        self.id = name
        self.service = service
        self.address = address
        self.zone = zone
        self.runs: list[Run] = []
        self.work_s = 0.005
        self.make_headers: Callable[[Run], Headers] = lambda run: []
        self.rejected: list[str] = []
        self.slots = 3
        self.queue = 12
        self._held = 0
        self._slot = asyncio.Semaphore(self.slots)
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._born_ms = int(time.time() * 1000)
        self._slot = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def make_entry(self, state: str = "ready") -> dict[str, object]:
        """Returns the searcher's entry for the store."""
        self._sequence += 1
        return {
            "Backend": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Sequence": self._sequence,
            "born": self._born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(http, reader, writer):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serves one request; returns False if the connection ends."""
        head: h11.Request | None = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif not isinstance(event, h11.Data):
                return False
        fields = {name: value.decode("latin-1") for name, value in head.headers}
        request_id = fields.get(b"azureramp-request-id", "")
        target = head.target.decode("ascii")
        echo = [(b"Azureramp-Request-Id", request_id.encode("latin-1"))]
        if target == "/health":
            echo = [(b"Azureramp-Instance-Id", self.id.encode())]
            return await self._write(http, writer, 200, echo, b"")
        if fields.get(b"azureramp-target-instance", self.id) != self.id:
            return await self._write(http, writer, 421, echo, b"")
        if self._held >= self.slots + self.queue:
            self.rejected.append(request_id)
            echo.append((b"Azureramp-Not-Executed", b"1"))
            return await self._write(http, writer, 503, echo, b"")
        self._held += 1
        try:
            async with self._slot:
                return await self._run(
                    http,
                    writer,
                    request_id,
                    target,
                    echo,
                    head.method == b"HEAD",
                )
        finally:
            self._held -= 1

    async def _run(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        request_id: str,
        target: str,
        echo: Headers,
        is_head: bool,
    ) -> bool:
        """Runs a request; returns False if the connection ends."""
        now_s = asyncio.get_running_loop().time()
        run = Run(now_s, request_id, self.service, self.id, target)
        self.runs.append(run)
        await asyncio.sleep(self.work_s)
        digest = hashlib.sha256(f"{self.id}/{request_id}".encode()).hexdigest()
        stamp = f"{self.id}.{len(self.runs)}.{digest[:8]}"
        echo.append((b"Azureramp-Server-Stamp", stamp.encode()))
        running = min(self._held, self.slots)
        load = f"{running},{self._held - running},{self.slots}"
        echo.append((b"Azureramp-Server-Load", load.encode()))
        echo += self.make_headers(run)
        body = f"{self.service} {target}\n".encode()
        kept = await self._write(http, writer, 200, echo, body, not is_head)
        run.answered = True
        return kept

    async def _write(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        fields: Headers,
        body: bytes,
        has_body: bool = True,
    ) -> bool:
        """Writes an answer; returns True if the connection is kept."""
        length = (b"Content-Length", str(len(body)).encode())
        response = h11.Response(status_code=status, headers=[length, *fields])
        writer.write(http.send(response) or b"")
        if has_body:
            writer.write(http.send(h11.Data(data=body)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        return http.our_state is h11.DONE
