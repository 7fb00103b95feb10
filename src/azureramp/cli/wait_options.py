"""Flags of the commands that wait until a change is in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import click

from azureramp.cli import options

_WAIT_OPTIONS = (
    click.option(
        "--wait/--no-wait",
        "waits",
        default=True,
        show_default=True,
        help="Wait until the change is in force, or exit once it is stored.",
    ),
    click.option(
        "--wait-ms",
        type=options.IntegerRange(1, 600_000),
        default=10_000,
        show_default=True,
        help="Maximum time to wait until it is in force, in milliseconds.",
    ),
)


def add_wait_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds `--wait/--no-wait` and `--wait-ms` to a command."""
    for option in reversed(_WAIT_OPTIONS):
        command = option(command)
    return command
