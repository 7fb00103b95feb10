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
        work_s: How long it works on a request, in seconds.
        make_headers: Returns additional headers of the answer to a request.
        crashes: Returns True for a request that crashes the searcher.
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
        self.crashes: Callable[[Run], bool] = lambda run: False
        self.on_crash: Callable[[Searcher], None] = lambda searcher: None
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, _, port = self.address.rpartition(":")
        self._born_ms = int(time.time() * 1000)
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
            "Slots": 3,
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
        now_s = asyncio.get_running_loop().time()
        run = Run(now_s, request_id, self.service, self.id, target)
        self.runs.append(run)
        if self.crashes(run):
            self.crash()
            self.on_crash(self)
            return False
        await asyncio.sleep(self.work_s)
        digest = hashlib.sha256(f"{self.id}/{request_id}".encode()).hexdigest()
        stamp = f"{self.id}.{len(self.runs)}.{digest[:8]}"
        echo.append((b"Azureramp-Server-Stamp", stamp.encode()))
        echo.append((b"Azureramp-Server-Load", b"0,0,3"))
        echo += self.make_headers(run)
        body = f"{self.service} {target}\n".encode()
        kept = await self._write(http, writer, 200, echo, body)
        run.answered = True
        return kept

    async def _write(
        self,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        fields: Headers,
        body: bytes,
    ) -> bool:
        """Writes an answer; returns True if the connection is kept."""
        length = (b"Content-Length", str(len(body)).encode())
        response = h11.Response(status_code=status, headers=[length, *fields])
        writer.write(http.send(response) or b"")
        writer.write(http.send(h11.Data(data=body)) or b"")
        writer.write(http.send(h11.EndOfMessage()) or b"")
        await writer.drain()
        return http.our_state is h11.DONE
