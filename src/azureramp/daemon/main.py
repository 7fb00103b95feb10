"""The program `azurerampd`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import click

from azureramp import logs, settings
from azureramp.daemon import process

EXIT_SETTINGS = 2
"""Exit code for a setting that is not allowed."""


def add_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds a click option, with its variable, for each setting."""
    for option in reversed(settings.OPTIONS):
        words = option.help
        if option.default:
            words += f" Default: {option.default}."
        decorate = click.option(
            option.flag,
            option.field,
            envvar=option.variable,
            show_envvar=True,
            help=words,
        )
        command = decorate(command)
    return command


@click.command()
@add_options
def main(**values: str | None) -> None:
    """Runs one daemon of the query tier, until SIGTERM.

    Exit codes: 0 after a graceful shutdown, 1 if requests were cut or the
    daemon could not start, 2 for a setting that is not allowed.
    """
    parsed = settings.parse(values)
    if parsed.is_error():
        click.echo(f"azurerampd: {parsed.error}", err=True)
        sys.exit(EXIT_SETTINGS)
    logs.set_up(parsed.ok.vm)
    sys.exit(asyncio.run(process.run(parsed.ok)))
