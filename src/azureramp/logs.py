"""Logs as JSON lines, by logbook."""

from __future__ import annotations

import sys
from typing import Any, TextIO

import logbook
import msgspec

from azureramp import timelines


class JsonLinesHandler(logbook.StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON object on one line."""

    def __init__(self, vm: str, stream: TextIO) -> None:
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


def set_up(vm: str, stream: TextIO = sys.stderr) -> None:
    """Sends the process's logs to a stream.

    Args:
        vm: The VM's name.
        stream: Where the lines go.
    """
    logbook.set_datetime_format("utc")
    JsonLinesHandler(vm, stream).push_application()
