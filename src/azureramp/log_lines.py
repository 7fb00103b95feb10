"""Log lines of the daemons, read back."""

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
        at_s: When, in seconds since 1970.
        vm: The VM.
        channel: The channel.
        message: The message.
        fields: All fields.
    """

    at_s: float
    vm: str
    channel: str
    message: str
    fields: Mapping[str, Any]


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A call of a request, as its line tells it.

    Attributes:
        service: The service that was asked.
        searcher: The searcher; empty if none might get it.
        sent_ms: When it was sent, from the request's beginning.
        ended_ms: When it ended; None if it had not.
        end: Its outcome in words.
    """

    service: str
    searcher: str
    sent_ms: int = 0
    ended_ms: int | None = None
    end: str = ""


def read(paths: Iterable[pathlib.Path]) -> list[Line]:
    """Reads the log lines of several files, in the order of their times."""
    return parse(_read_text(paths))


def parse(text: Iterable[str]) -> list[Line]:
    """Reads log lines; what stands before a line's object is passed over.

    Args:
        text: The lines; those that are no log line are left out.
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
    """Reads the calls of a request's line."""
    calls: list[Call] = []
    for text in line.fields.get("calls", ()):
        if none := _NO_CALL.fullmatch(text):
            calls.append(Call(none[1], "", end=none[2]))
        elif found := _CALL.fullmatch(text):
            ended = int(found[4]) if found[4] else None
            end = found[5]
            # A status alone stands where a time would.
            if end == "not run" and ended is not None:
                end, ended = f"{ended} not run", None
            calls.append(Call(found[1], found[2], int(found[3]), ended, end))
    return calls


def _read_text(paths: Iterable[pathlib.Path]) -> Iterator[str]:
    """Reads the rows of several files."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as opened:
            yield from opened
