"""A stand-in of a client, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import secrets

import h11

READ_BYTES = 65536

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a client saw of one request.

    Attributes:
        request_id: The request's id.
        target: The path with its query.
        sent_s: When it was sent, on the loop's clock.
        status: The status of the answer; 0 if the connection ended without a
            complete answer, -1 if the client gave up.
        took_s: Time until the answer or the connection's end, in seconds.
        headers: The answer's headers.
        body: The answer's body.
        was_kept: True if the connection had carried a request before.
    """

    request_id: str
    target: str
    sent_s: float
    status: int
    took_s: float
    headers: Headers
    body: bytes
    was_kept: bool


@dataclasses.dataclass(slots=True)
class Request:
    """A request to send.

    Attributes:
        method: The method.
        host: The host.
        target: The path with its query.
        body: The body.
        deadline_ms: How long the client waits, in milliseconds.
        headers: Additional headers.
    """

    method: str
    host: str
    target: str
    body: bytes = b""
    deadline_ms: int = 1500
    headers: Headers = dataclasses.field(default_factory=list)


class Client:
    """A client with one kept connection to a frontend.

    Attributes:
        address: The frontend's `IP:port`.
    """

    def __init__(self, address: str) -> None:
        """Makes a client without a connection."""
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._http = h11.Connection(h11.CLIENT)
        self._sent = 0

    async def send(self, request: Request, pieces: int = 1) -> Outcome:
        """Sends a request and reads its answer.

        Args:
            request: The request.
            pieces: In how many writes, 10 ms apart, its bytes are sent.
        """
        loop = asyncio.get_running_loop()
        if self._reader is None or self._reader.at_eof():
            self.close()
            host, _, port = self.address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        assert self._writer is not None
        was_kept = self._sent > 0
        self._sent += 1
        request_id = secrets.token_hex(8)
        data = self._encode(request, request_id)
        sent_s = loop.time()
        status, fields, body = 0, [], b""
        try:
            async with asyncio.timeout(request.deadline_ms / 1000):
                size = -(-len(data) // pieces)
                for at in range(0, len(data), size):
                    self._writer.write(data[at : at + size])
                    await self._writer.drain()
                    if pieces > 1:
                        await asyncio.sleep(0.01)
                status, fields, body = await self._read()
        except TimeoutError:
            status = -1
        except (OSError, h11.ProtocolError, EOFError):
            status = 0
        took_s = loop.time() - sent_s
        if status <= 0 or self._http.our_state is not h11.DONE:
            self.close()
        else:
            self._http.start_next_cycle()
        return Outcome(
            request_id,
            request.target,
            sent_s,
            status,
            took_s,
            fields,
            body,
            was_kept,
        )

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._http = h11.Connection(h11.CLIENT)
        self._sent = 0

    def _encode(self, request: Request, request_id: str) -> bytes:
        """Encodes a request."""
        headers = [
            (b"Host", request.host.encode()),
            (b"Azureramp-Request-Id", request_id.encode()),
            (b"Azureramp-Deadline-Ms", str(request.deadline_ms).encode()),
            *request.headers,
        ]
        if request.body:
            headers.append((b"Content-Length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._http.send(head) or b""
        if request.body:
            data += self._http.send(h11.Data(data=request.body)) or b""
        return data + (self._http.send(h11.EndOfMessage()) or b"")

    async def _read(self) -> tuple[int, Headers, bytes]:
        """Reads one complete answer.

        Raises:
            EOFError: The connection ended before it was complete.
        """
        assert self._reader is not None
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                if not data and head is None:
                    raise EOFError
                self._http.receive_data(data)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return head.status_code, list(head.headers), bytes(body)
            elif not isinstance(event, h11.InformationalResponse):
                raise EOFError


async def get_json(address: str, target: str) -> tuple[int, object]:
    """Makes one GET request on a new connection.

    Returns:
        The status and the decoded body; 0 and None if there is no answer.
    """
    client = Client(address)
    outcome = await client.send(Request("GET", address, target))
    client.close()
    if outcome.status <= 0:
        return 0, None
    return outcome.status, json.loads(outcome.body) if outcome.body else None
