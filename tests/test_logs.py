"""Logs that never hold the process up."""

from __future__ import annotations

import asyncio
import os

from azureramp import logs


def test_a_reader_that_stands_still_loses_lines_and_nothing_waits() -> None:
    """The log's reader hangs, and the whole tier stands still with it.

    A pipe that nobody reads is full after 64 KiB, and the next write would
    wait forever. Lines are held up to a bound, dropped and counted beyond it,
    and written on once the reader is back.
    """

    async def scenario() -> None:
        reader, writer = os.pipe()
        lines = logs.LineWriter(writer)
        line = "x" * 999 + "\n"
        for _ in range(1000):
            lines.write(line)
        assert lines.dropped > 500
        os.set_blocking(reader, False)
        read = 0
        for _ in range(200):
            try:
                read += len(os.read(reader, 65536))
            except BlockingIOError:
                await asyncio.sleep(0.001)
        assert read == (1000 - lines.dropped) * len(line)
        os.close(reader)
        lines.write(line)
        os.close(writer)

    asyncio.run(scenario())
