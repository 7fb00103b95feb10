"""Tests of the non-blocking log writer."""

from __future__ import annotations

import asyncio
import os

from azureramp import logs


def test_stalled_reader_loses_lines_and_does_not_block_the_process() -> None:
    """Guards against a stalled log reader that blocks the whole tier.

    A pipe without an active reader is full after 64 KiB, and the next blocking
    write would wait forever. Lines are buffered up to a limit, dropped and
    counted beyond it, and written once the reader resumes.
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
