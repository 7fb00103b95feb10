"""Runs a case: its record, its exit code and the end of its processes."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from typing import TextIO

HELD = 0
BROKEN = 1
FAILED_TO_RUN = 2

MAX_S = 110.0
"""Maximum length of a case, in seconds."""


class Record:
    """The record of a case, one line for each thing that was seen."""

    def __init__(self, stream: TextIO) -> None:
        """Makes a record that is written to a stream."""
        self._stream = stream
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Writes a line with the time since the beginning, in seconds."""
        at_s = time.monotonic() - self._began_s
        self._stream.write(f"{at_s:8.3f} {text}\n")
        self._stream.flush()


Play = Callable[[bool, Record], Awaitable[bool]]
"""Plays a case, with its trouble or without; returns True if the rule held."""


def main(folder: pathlib.Path, play: Play) -> None:
    """Plays a case and exits as `run.sh` has to.

    Args:
        folder: The case's folder, for `record.txt`.
        play: Plays the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with (folder / "record.txt").open("w", encoding="utf-8") as stream:
        record = Record(stream)
        record.write(f"trouble: {'yes' if trouble else 'no'}")
        try:
            held = asyncio.run(_limit(play(trouble, record)))
            code = HELD if held else BROKEN
        except Exception:
            record.write(traceback.format_exc())
            code = FAILED_TO_RUN
        words = {HELD: "held", BROKEN: "broken", FAILED_TO_RUN: "did not run"}
        record.write(f"the rule: {words[code]}")
    sys.stdout.write(
        f"case {folder.name}, trouble {trouble}: the rule {words[code]}\n"
    )
    sys.exit(code)


async def _limit(played: Awaitable[bool]) -> bool:
    """Ends a case that takes too long."""
    return await asyncio.wait_for(played, MAX_S)
