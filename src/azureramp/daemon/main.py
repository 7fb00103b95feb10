"""Entry point of the daemon `azurerampd`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import click

from azureramp import logs, settings
from azureramp.daemon import process

EXIT_SETTINGS = 2
"""Exit code for an invalid setting."""


def add_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds an option and its environment variable for each setting."""
    for option in reversed(settings.OPTIONS):
        help_text = option.help
        if option.default:
            help_text += f" Default: {option.default}."
        decorate = click.option(
            option.flag,
            option.field,
            envvar=option.variable,
            show_envvar=True,
            help=help_text,
        )
        command = decorate(command)
    return command


@click.command()
@add_options
def main(**values: str | None) -> None:
    """Runs one daemon of the query tier until SIGTERM or SIGINT.

    Exit codes: 0 after a graceful shutdown, 1 if requests were aborted or
    the daemon could not start, 2 for an invalid setting.
    """
    parsed = settings.parse(values)
    if parsed.is_error():
        click.echo(f"azurerampd: {parsed.error}", err=True)
        sys.exit(EXIT_SETTINGS)
    logs.set_up(parsed.ok.vm)
    sys.exit(asyncio.run(process.run(parsed.ok)))
