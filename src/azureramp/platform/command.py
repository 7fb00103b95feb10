"""The daemon's command line.

The settings are read from the platform's file; logs go to stdout.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

from azureramp import logs
from azureramp.platform import program, settings

EXIT_SETTINGS = 2


def main() -> None:
    """Runs the daemon; exits with code 2 if a setting is invalid.

    With `--check FILE` it only checks that settings file.
    """
    if sys.argv[1:2] == ["--check"] and len(sys.argv) == 3:
        checked = settings.read(pathlib.Path(sys.argv[2]), os.environ)
        if checked.is_ok():
            sys.stdout.write(f"{sys.argv[2]}: allowed\n")
            return
        _exit_with_error(checked.error)
    result = settings.read(settings.get_path(), os.environ)
    if result.is_error():
        _exit_with_error(result.error)
    log_writer = logs.LineWriter(sys.stdout.fileno())
    logs.set_up(result.ok.identity.vm, log_writer)
    sys.exit(asyncio.run(_run(result.ok, log_writer)))


async def _run(
    process_settings: settings.Settings, log_writer: logs.LineWriter
) -> int:
    """Runs a process with these settings and returns its exit code."""
    return await program.Program(process_settings, log_writer).run()


def _exit_with_error(problem: str) -> None:
    """Prints what is wrong with the settings and exits with code 2."""
    sys.stderr.write(f"azurerampd: {problem}\n")
    sys.exit(EXIT_SETTINGS)
