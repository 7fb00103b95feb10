"""Logs as JSON lines, by logbook."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from typing import Any, TextIO

import logbook
import msgspec

from azureramp import timelines

MAX_HELD_BYTES = 262_144
"""Most bytes of lines that wait for their reader; 64 KiB fill a pipe."""


class LineWriter:
    """Writes lines to a descriptor and never waits for its reader.

    A reader that stands still would otherwise stop the whole process at the
    first write to a full pipe. What it does not take is held up to a bound,
    and dropped and counted beyond it.

    Attributes:
        dropped: Lines that were dropped.
    """

    __slots__ = ("_descriptor", "_held", "_waiting", "dropped")

    def __init__(self, descriptor: int) -> None:
        """Makes a writer; the descriptor will not block any more."""
        self._descriptor = descriptor
        self._held = bytearray()
        self._waiting = False
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Writes text that ends with a line's end, as far as it can."""
        data = text.encode("utf-8", "backslashreplace")
        if len(self._held) + len(data) > MAX_HELD_BYTES:
            self.dropped += 1
            return
        self._held += data
        if not self._waiting:
            self.flush()

    def flush(self) -> None:
        """Writes what is held, as far as the reader takes it."""
        try:
            while self._held:
                written = os.write(self._descriptor, self._held)
                del self._held[:written]
        except BlockingIOError:
            self._wait()
        except OSError:
            # Nobody reads any more, and nobody could be told of it.
            self.dropped += self._held.count(b"\n")
            self._held.clear()

    def _wait(self) -> None:
        """Goes on once the reader takes more."""
        with contextlib.suppress(RuntimeError, OSError):
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._go_on)
            self._waiting = True

    def _go_on(self) -> None:
        """Writes on."""
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._waiting = False
        self.flush()


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON object on one line."""

    def __init__(self, vm: str, stream: TextIO | LineWriter) -> None:
        """Makes a handler.

        Args:
            vm: The VM's name, part of each line.
            stream: Where the lines go.
        """
        super().__init__(stream, level=logbook.INFO)
        self._vm = vm
        self.formatter = self._format

    def _format(self, record: Any, handler: Any) -> str:
        """Makes the line."""
        line: dict[str, Any] = {
            "at": timelines.format_utc(record.time.timestamp()),
            "level": record.level_name.lower(),
            "vm": self._vm,
            "channel": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return msgspec.json.encode(line).decode()


def set_up(vm: str, stream: TextIO | LineWriter = sys.stderr) -> None:
    """Sends the process's logs to a stream.

    Args:
        vm: The VM's name.
        stream: Where the lines go.
    """
    logbook.set_datetime_format("utc")
    JsonLinesHandler(vm, stream).push_application()
