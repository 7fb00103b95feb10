"""The `searchers` command."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import click

from azureramp import log_lines, timelines
from azureramp.cli import exit_codes

SLOW_SEARCHERS = "slow searchers"
"""The message of the log lines that list them."""


@click.command("searchers")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--searcher", help="Shows only the searcher with this id.", default=""
)
def command(
    logs: tuple[pathlib.Path, ...], searcher: str
) -> exit_codes.ExitCode:
    """Shows which searchers the VMs took for slow, and from whom they knew.

    LOGS are the log files of the VMs, in any order. Each row shows a VM, the
    searcher and its service, how long work takes on its backend server as a
    multiple of the usual time, how old this was in milliseconds, and the VM
    that told it, or `own`.
    """
    click.echo("time, VM: searcher service figure age_ms source")
    for row in format_rows(log_lines.read(logs), searcher):
        click.echo(row)
    return exit_codes.ExitCode.OK


def format_rows(
    lines: list[log_lines.Line], searcher: str = ""
) -> Iterator[str]:
    """Yields the output lines.

    Args:
        lines: The log lines.
        searcher: The id of the only searcher to show; empty for all.
    """
    for line in lines:
        if line.message != SLOW_SEARCHERS:
            continue
        where = f"{timelines.format_utc(line.at_s)} {line.vm}"
        for text in line.fields.get("slow", ()):
            if not searcher or text.split(" ", 1)[0] == searcher:
                yield f"{where}: {text}"
        if line.fields.get("left_out") and not searcher:
            yield f"{where}: and {line.fields['left_out']} more"
