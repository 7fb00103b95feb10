"""Parses the log lines of the daemons."""

from __future__ import annotations

import dataclasses
import datetime
import pathlib
import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec

_CALL = re.compile(r"(\S+) (\S+) (\d+): (?:(\d+) )?(.+)")
_NO_CALL = re.compile(r"(\S+) none: (.+)")


@dataclasses.dataclass(slots=True, frozen=True)
class Line:
    """A log line.

    Attributes:
        at_s: When it was written, in seconds since 1970.
        vm: The name of the VM that wrote it.
        channel: The log channel.
        message: The message.
        fields: All fields of the line, including those above.
    """

    at_s: float
    vm: str
    channel: str
    message: str
    fields: Mapping[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call to a searcher, parsed from its request's line.

    Attributes:
        service: The service that was called.
        searcher: The searcher; empty if none was usable.
        sent_ms: When it was sent, in milliseconds since the request began.
        ended_ms: When it ended, likewise; None if it had not ended or the line
            doesn't say.
        outcome: Its outcome, as text.
    """

    service: str
    searcher: str
    sent_ms: int = 0
    ended_ms: int | None = None
    outcome: str = ""


def read(paths: Iterable[pathlib.Path]) -> list[Line]:
    """Reads the log lines of several files, ordered by time."""
    return parse(_read_text(paths))


def parse(text: Iterable[str]) -> list[Line]:
    """Parses log lines; text before a line's JSON object is ignored.

    Args:
        text: The lines; those that aren't log lines are skipped.

    Returns:
        The log lines, ordered by time.
    """
    lines: list[Line] = []
    for row in text:
        begin = row.find('{"at"')
        if begin < 0:
            continue
        try:
            fields = msgspec.json.decode(row[begin:])
            at = datetime.datetime.fromisoformat(fields["at"])
            line = Line(
                at.timestamp(),
                fields["vm"],
                fields["channel"],
                fields["message"],
                fields,
            )
        except (msgspec.DecodeError, KeyError, ValueError, TypeError):
            continue
        lines.append(line)
    lines.sort(key=lambda each: each.at_s)
    return lines


def parse_calls(line: Line) -> list[Call]:
    """Parses the calls in a request's line."""
    calls: list[Call] = []
    for text in line.fields.get("calls", ()):
        if none := _NO_CALL.fullmatch(text):
            calls.append(Call(none[1], "", outcome=none[2]))
        elif found := _CALL.fullmatch(text):
            ended = int(found[4]) if found[4] else None
            end = found[5]
            # In "503 not run" the status matches the pattern of the end time.
            if end == "not run" and ended is not None:
                end, ended = f"{ended} not run", None
            calls.append(Call(found[1], found[2], int(found[3]), ended, end))
    return calls


def _read_text(paths: Iterable[pathlib.Path]) -> Iterator[str]:
    """Yields the rows of several files."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as opened:
            yield from opened
