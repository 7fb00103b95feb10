r"""Runs abusive clients of one kind against one address for some seconds.

    python -m azureramp_standins.abuse.program KIND PATH ADDRESS COUNT SECONDS \
        BYTES

`BYTES` is the size of the bodies. It prints one JSON object at the end: the
answers by status, and the ids of the requests that were refused as not run.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import os
import sys

import h11
import msgspec

from azureramp.ports.web import connection as web_connection
from azureramp_standins.abuse import clients

RECONNECT_S = 0.2
"""Pause before a closed connection is opened again, in seconds."""

OPENING_S = 0.5
"""Time over which the first connections are opened, in seconds."""

READ_BYTES = 65_536
NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run."""


class Report(msgspec.Struct):
    """What the clients saw.

    Attributes:
        statuses: Number of answers by status.
        refused: Ids of the requests that were answered as not run.
        connections: Number of connections that were opened.
    """

    statuses: dict[int, int]
    refused: list[str]
    connections: int = 0


class Crowd:
    """Clients that behave alike.

    Attributes:
        refused: Ids of the requests that were answered as not run.
        statuses: The answers by status.
    """

    def __init__(self, behavior: clients.Behavior, address: str) -> None:
        """Makes clients that are not connected; see `run`."""
        self._behavior = behavior
        self._address = web_connection.split_address(address)
        self._ids = itertools.count(1)
        self.connections = 0
        self.statuses: collections.Counter[int] = collections.Counter()
        self.refused: list[str] = []

    async def run(self, count: int, seconds: float) -> None:
        """Keeps a number of clients connected for some seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
                for index in range(count):
                    delay_s = OPENING_S * index / count
                    group.create_task(self._keep_connected(delay_s))

    async def send_once(
        self, data: bytes, timeout_s: float
    ) -> tuple[int, float]:
        """Sends one request and reads its answer.

        Args:
            data: The request.
            timeout_s: Maximum duration, in seconds.

        Returns:
            The status, 0 if there was no answer in time, and the duration in
            seconds.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        reader, writer = await asyncio.open_connection(*self._address)
        try:
            async with asyncio.timeout(timeout_s):
                name, sent = self._mark(data)
                writer.write(sent)
                await self._read_answer(name, reader)
        except (OSError, TimeoutError, h11.ProtocolError, EOFError):
            return 0, loop.time() - began_s
        finally:
            writer.transport.abort()
        return next(iter(self.statuses)), loop.time() - began_s

    async def _keep_connected(self, delay_s: float) -> None:
        """Plays the behavior on one connection after another."""
        await asyncio.sleep(delay_s)
        while True:
            with contextlib.suppress(OSError, h11.ProtocolError, EOFError):
                await self._connect()
            await asyncio.sleep(RECONNECT_S)

    async def _connect(self) -> None:
        """Plays the behavior on a new connection until it is closed."""
        reader, writer = await asyncio.open_connection(*self._address)
        self.connections += 1
        try:
            await self._play(reader, writer)
        finally:
            writer.transport.abort()

    async def _play(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        match self._behavior:
            case clients.Repeat(data=data, write_bytes=write_bytes):
                while True:
                    name, sent = self._mark(data)
                    step = write_bytes or len(sent)
                    for begin in range(0, len(sent), step):
                        writer.write(sent[begin : begin + step])
                        if write_bytes:
                            await writer.drain()
                            await asyncio.sleep(0)
                    await self._read_answer(name, reader)
            case clients.Stop(data=data):
                writer.write(self._mark(data)[1])
                await self._read_to_end(reader)
            case clients.Trickle(data=data, rest=rest, gap_s=gap_s):
                writer.write(self._mark(data)[1])
                for value in rest:
                    await asyncio.sleep(gap_s)
                    writer.write(bytes([value]))
                    await writer.drain()
            case clients.SendAhead(data=data, again=again, reads=reads):
                if not reads:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                else:
                    reading = asyncio.ensure_future(self._read_to_end(reader))
                try:
                    writer.write(self._mark(data)[1])
                    while not reads or not reading.done():
                        writer.write(again)
                        await writer.drain()
                        await asyncio.sleep(0)
                finally:
                    if reads:
                        reading.cancel()
            case clients.SlowRead(data=data, bytes_per_s=bytes_per_s):
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                writer.write(self._mark(data)[1])
                while not writer.is_closing():
                    await asyncio.sleep(1.0)
                    if bytes_per_s:
                        writer.transport.resume_reading()  # type: ignore[attr-defined]
                        if not await reader.read(bytes_per_s):
                            return
                        writer.transport.pause_reading()  # type: ignore[attr-defined]
            case clients.Reconnect(data=data):
                writer.write(data)

    def _mark(self, data: bytes) -> tuple[str, bytes]:
        """Returns a new request id, and the data with it."""
        name = f"abuse-{os.getpid()}-{next(self._ids)}".ljust(
            len(clients.ID_MARK), "-"
        )
        return name, data.replace(clients.ID_MARK, name.encode(), 1)

    async def _read_answer(
        self, name: str, reader: asyncio.StreamReader
    ) -> None:
        """Reads one answer and counts it."""
        http = h11.Connection(h11.CLIENT)
        http.send(
            h11.Request(method="GET", target="/", headers=[("Host", "x")])
        )
        http.send(h11.EndOfMessage())
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_BYTES))
                case h11.Response(status_code=status):
                    self.statuses[status] += 1
                    if status in NOT_RUN:
                        self.refused.append(name)
                case h11.EndOfMessage():
                    return
                case h11.ConnectionClosed():
                    raise EOFError

    async def _read_to_end(self, reader: asyncio.StreamReader) -> None:
        """Reads until the connection is closed."""
        while await reader.read(READ_BYTES):
            pass


def main() -> None:
    """Runs the clients that the arguments name, and prints the report."""
    kind, path, address, count, seconds, body_bytes = sys.argv[1:7]
    behavior = clients.make_behavior(kind, path, int(body_bytes))
    crowd = Crowd(behavior, address)
    asyncio.run(crowd.run(int(count), float(seconds)))
    report = Report(dict(crowd.statuses), crowd.refused, crowd.connections)
    sys.stdout.write(msgspec.json.encode(report).decode() + "\n")


if __name__ == "__main__":
    main()
