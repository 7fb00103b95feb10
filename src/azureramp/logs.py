"""Writes logs as JSON lines."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from typing import Any, TextIO

import logbook
import msgspec

from azureramp import timelines

MAX_BUFFERED_BYTES = 262_144
"""Maximum size of the lines buffered for a slow reader; a full pipe holds a
further 64 KiB."""


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    With blocking writes, a reader that stops reading would block the whole
    process as soon as the pipe is full. Lines that can't be written yet are
    buffered up to a limit; beyond it they are dropped and counted.

    Attributes:
        dropped: The number of dropped lines.
    """

    __slots__ = ("_buffer", "_descriptor", "_is_waiting", "dropped")

    def __init__(self, descriptor: int) -> None:
        """Creates a writer and makes the descriptor non-blocking."""
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._is_waiting = False
        self.dropped = 0
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Writes or buffers one line, which must end with a line break."""
        data = text.encode("utf-8", "backslashreplace")
        if len(self._buffer) + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += data
        if not self._is_waiting:
            self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as possible without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                del self._buffer[:written]
        except BlockingIOError:
            self._wait_writable()
        except OSError:
            # The reader has closed the pipe: the error can't be logged.
            self.dropped += self._buffer.count(b"\n")
            self._buffer.clear()

    def _wait_writable(self) -> None:
        """Resumes writing as soon as the descriptor is writable."""
        with contextlib.suppress(RuntimeError, OSError):
            loop = asyncio.get_running_loop()
            loop.add_writer(self._descriptor, self._resume)
            self._is_waiting = True

    def _resume(self) -> None:
        """Writes the rest of the buffer."""
        asyncio.get_running_loop().remove_writer(self._descriptor)
        self._is_waiting = False
        self.flush()


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON object on one line."""

    def __init__(self, vm: str, stream: TextIO | LineWriter) -> None:
        """Creates a handler.

        Args:
            vm: The VM's name, written in each line.
            stream: The stream to write to.
        """
        super().__init__(stream, level=logbook.INFO)
        self._vm = vm
        self.formatter = self._format

    def _format(self, record: Any, handler: Any) -> str:
        """Formats a record as a JSON object."""
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
    """Writes the process's logs to a stream.

    Args:
        vm: The VM's name, written in each line.
        stream: The stream to write to.
    """
    logbook.set_datetime_format("utc")
    JsonLinesHandler(vm, stream).push_application()
