"""A test double of a searcher for the users' platform's protocol."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
from collections.abc import Callable

import h11

from azureramp.ports.web import connection as web_connection

READ_BYTES = 65536


@dataclasses.dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request that reached the searcher.

    Attributes:
        at_s: When it arrived, on the loop's clock.
        id: The request's id.
        method: The method.
        target: The path with its query.
        headers: The headers, names in lower case.
        body: The body.
    """

    at_s: float
    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Reaction:
    """A searcher's response to a request.

    Attributes:
        delay_s: Delay before the answer, in seconds.
        status: The answer's status.
        body: The answer's body.
        signed: True if the answer has the server's stamp.
        not_run: True if the answer states that the request was not run.
        request_id: The request id in the answer; None for the request's own.
        raw: Bytes to send instead of an answer.
        extra: Bytes to send after the answer.
        extra_delay_s: Delay before the extra bytes, in seconds.
        load: The load report in the answer; empty for none.
        framed: False for an answer without a length, ended by closing the
            connection.
        connection_action: What happens to the connection afterwards: `keep`,
            `close`, `reset` or `hang`. `hang` sends no answer, and `reset`
            sends only `raw`, if given.
    """

    delay_s: float = 0.005
    status: int = 200
    body: bytes = b""
    signed: bool = True
    not_run: bool = False
    request_id: str | None = None
    raw: bytes | None = None
    extra: bytes = b""
    extra_delay_s: float = 0.0
    load: str = ""
    framed: bool = True
    connection_action: str = "keep"

    def always(self, _: ReceivedRequest) -> Reaction:
        """Returns this response for every request; usable as a `Script`."""
        return self


Script = Callable[[ReceivedRequest], Reaction]
"""Chooses the response to a request."""


class Searcher:
    """A searcher that follows a script.

    Attributes:
        id: The searcher's id.
        service: The name of its service.
        address: The `IP:port` that it listens on.
        zone: Its availability zone.
        version: The version of its software.
        script: Chooses the response to each request.
        requests: The requests that reached it.
        accepted_connections: The number of connections that clients opened.
        open_connections: The number of open connections.
        running_requests: The number of requests in progress.
        max_connections: The limit of open connections; further ones are reset.
        cancelled_requests: The number of requests whose client disconnected
            before the answer, by request id.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        version: str = "v1",
    ) -> None:
        """Makes a searcher that answers every request; see `start`."""
        self.version = version
        self.id = name
        self.service = service
        self.address = address
        self.zone = zone
        self.script: Script = lambda request: Reaction()
        self.requests: list[ReceivedRequest] = []
        self.accepted_connections = 0
        self.open_connections = 0
        self.running_requests = 0
        self.max_connections = 1_000_000
        self.cancelled_requests: collections.Counter[str] = (
            collections.Counter()
        )
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        host, port = web_connection.split_address(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def crash(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def is_listening(self) -> bool:
        """Returns True if the searcher accepts connections."""
        return self._server is not None

    def make_entry(self, **changes: object) -> dict[str, object]:
        """Returns the searcher's entry for the store.

        Args:
            **changes: Fields that replace or extend the defaults.
        """
        return {
            "Backend": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": self.version,
            "Slots": 2,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": 1_000,
        } | changes

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.accepted_connections += 1
        if self.open_connections >= self.max_connections:
            writer.transport.abort()
            return
        self.open_connections += 1
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while await self._serve_one(http, reader, writer):
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, EOFError):
            writer.transport.abort()
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Serves one request; returns False if the connection ends."""
        request = await self._read_request(http, reader)
        if request is None:
            return False
        self.requests.append(request)
        signature = f"{self.id}.{request.id}.{len(self.requests)}"
        target_id = request.headers.get("azureramp-target-instance", self.id)
        reaction = self.script(request)
        if target_id != self.id:
            reaction = Reaction(status=421, signed=False)
        work = asyncio.ensure_future(asyncio.sleep(reaction.delay_s))
        disconnected = asyncio.ensure_future(reader.read(1))
        self.running_requests += 1
        await asyncio.wait(
            {work, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        self.running_requests -= 1
        if not work.done():
            work.cancel()
            self.cancelled_requests[request.id] += 1
            return False
        if reaction.connection_action == "hang":
            await disconnected
            return False
        disconnected.cancel()
        await asyncio.wait({disconnected})
        if reaction.connection_action == "reset" and reaction.raw is None:
            writer.transport.abort()
            return False
        writer.write(self._encode_response(http, request, reaction, signature))
        if reaction.extra_delay_s:
            asyncio.get_running_loop().call_later(
                reaction.extra_delay_s, writer.write, reaction.extra
            )
        await writer.drain()
        if reaction.connection_action == "reset":
            writer.transport.abort()
        return (
            reaction.connection_action == "keep"
            and reaction.framed
            and reaction.raw is None
        )

    async def _read_request(
        self, http: h11.Connection, reader: asyncio.StreamReader
    ) -> ReceivedRequest | None:
        """Reads one request; returns None at the end of the stream."""
        request_head: h11.Request | None = None
        body = bytearray()
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_BYTES))
                case h11.Request() as event:
                    request_head = event
                case h11.Data() as event:
                    body += event.data
                case h11.EndOfMessage() if request_head is not None:
                    break
                case _:
                    return None
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request_head.headers
        }
        return ReceivedRequest(
            asyncio.get_running_loop().time(),
            headers.get("azureramp-request-id", ""),
            request_head.method.decode("ascii"),
            request_head.target.decode("ascii"),
            headers,
            bytes(body),
        )

    def _encode_response(
        self,
        http: h11.Connection,
        request: ReceivedRequest,
        reaction: Reaction,
        signature: str,
    ) -> bytes:
        """Encodes the response to a request."""
        if reaction.raw is not None:
            return reaction.raw
        name = (
            request.id if reaction.request_id is None else reaction.request_id
        )
        headers = [("Azureramp-Request-Id", name)]
        if reaction.signed:
            headers.append(("Azureramp-Server-Stamp", signature))
        if reaction.load:
            headers.append(("Azureramp-Server-Load", reaction.load))
        if reaction.not_run:
            headers.append(("Azureramp-Not-Executed", "1"))
        if reaction.framed:
            headers.append(("Content-Length", str(len(reaction.body))))
        else:
            headers.append(("Connection", "close"))
        response_head = h11.Response(
            status_code=reaction.status, headers=headers
        )
        if not reaction.framed:
            lines = [f"HTTP/1.1 {reaction.status} OK"]
            lines += [f"{field}: {value}" for field, value in headers]
            return "\r\n".join([*lines, "", ""]).encode() + reaction.body
        events = (
            response_head,
            h11.Data(data=reaction.body),
            h11.EndOfMessage(),
        )
        extra = b"" if reaction.extra_delay_s else reaction.extra
        return b"".join(http.send(event) or b"" for event in events) + extra
