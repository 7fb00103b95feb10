"""Clients that follow the users' pages."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os
import time


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client attempt ended with.

    Attributes:
        id: The attempt's id.
        target: The method and the target.
        sent_s: When it was sent.
        ended_s: When it ended.
        status: The status; 0 if the connection ended without an answer.
        headers: The headers, names in lower case.
        body: The body.
        address: The VM's address.
        error: What ended the attempt without an answer.
    """

    id: str
    target: str
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    address: str
    error: str = ""


_numbers = itertools.count(1)


def make_id() -> str:
    """Returns a new id of a client attempt."""
    return f"{os.getpid():x}-{next(_numbers):08x}"


class Connection:
    """A client's connection to one VM."""

    def __init__(self, address: str) -> None:
        """Makes a connection that is opened at the first request."""
        self.address = address
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def send(
        self,
        target: str,
        *,
        host: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1500,
        leave_ms: int = 0,
        headers: dict[str, str] | None = None,
        request_id: str = "",
    ) -> Answer:
        """Sends a request and waits for its answer until the deadline.

        With `leave_ms` the client leaves earlier, and closes its connection.
        """
        request_id = request_id or make_id()
        sent_s = time.monotonic()
        failed = Answer(
            request_id,
            f"{method} {target}",
            sent_s,
            0.0,
            0,
            {},
            b"",
            self.address,
        )
        try:
            async with asyncio.timeout((leave_ms or deadline_ms) / 1000):
                reader, writer = await self._open()
                writer.write(
                    encode(
                        target, host, method, body, deadline_ms, headers,
                        request_id,
                    )
                )  # fmt: skip
                status, fields, data = await read_answer(reader)
        except TimeoutError:
            failed.error = "deadline"
            self.close()
        except (OSError, EOFError, ValueError) as error:
            failed.error = type(error).__name__
            self.close()
        else:
            if fields.get("connection", "").lower() == "close":
                self.close()
            return Answer(
                request_id,
                failed.target,
                sent_s, time.monotonic(), status, fields, data,
                self.address,
            )  # fmt: skip
        failed.ended_s = time.monotonic()
        return failed

    async def _open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None:
            host, _, port = self.address.rpartition(":")
            self._streams = await asyncio.open_connection(host, int(port))
        return self._streams

    def close(self) -> None:
        """Closes the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def encode(
    target: str,
    host: str,
    method: str,
    body: bytes,
    deadline_ms: int,
    headers: dict[str, str] | None,
    request_id: str,
) -> bytes:
    """Encodes a request."""
    fields = {
        "Host": host,
        "Azureramp-Request-Id": request_id,
        "Azureramp-Deadline-Ms": str(deadline_ms),
    } | (headers or {})
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    head = f"{method} {target} HTTP/1.1\r\n" + "".join(
        f"{name}: {value}\r\n" for name, value in fields.items()
    )
    return head.encode() + b"\r\n" + body


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Reads an answer; returns its status, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")[:-2]
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return int(first.split()[1]), fields, body


async def send_once(address: str, target: str, **options: object) -> Answer:
    """Sends one request on a connection of its own."""
    connection = Connection(address)
    try:
        return await connection.send(target, **options)  # type: ignore[arg-type]
    finally:
        connection.close()
