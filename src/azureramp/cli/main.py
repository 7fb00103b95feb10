"""Entry point of the command-line tool `azureramp`."""

from __future__ import annotations

import sys
from collections.abc import Sequence

import click

from azureramp.cli import (
    accounts,
    apply,
    delete,
    drain_zone,
    exit_codes,
    explain,
    get,
    losses,
    options,
    restore_zone,
    rollouts,
    searchers,
    status,
    timeline,
    watch,
)


@click.group()
def group() -> None:
    """Manages the resources of the query tier and shows its state.

    Every flag can also be set through an environment variable.
    """


for _module in (
    apply,
    get,
    delete,
    watch,
    drain_zone,
    restore_zone,
    status,
    timeline,
    explain,
    losses,
    searchers,
    accounts,
    rollouts,
):
    options.set_variable_names(_module.command)
    group.add_command(_module.command)


def run(arguments: Sequence[str] | None = None) -> int:
    """Runs the tool.

    Args:
        arguments: The command-line arguments; None uses `sys.argv`.

    Returns:
        The exit code.
    """
    try:
        code = group.main(
            args=arguments, prog_name="azureramp", standalone_mode=False
        )
    except click.exceptions.NoArgsIsHelpError as error:
        error.show()
        return exit_codes.ExitCode.USAGE
    except click.ClickException as error:
        click.echo(f"azureramp: {format_usage_error(error)}", err=True)
        return exit_codes.ExitCode.USAGE
    except click.Abort:
        return 130
    return code if isinstance(code, int) else exit_codes.ExitCode.OK


def format_usage_error(error: click.ClickException) -> str:
    """Formats a usage error as one line with the flag, variable and reason."""
    text = " ".join(error.message.split())
    if not isinstance(error, click.BadParameter) or error.param is None:
        return " ".join(error.format_message().split())
    param = error.param
    if isinstance(error, click.MissingParameter):
        text = "is missing"
    if not isinstance(param, click.Option):
        return (
            f"{param.make_metavar(error.ctx or click.Context(group))}: {text}"
        )
    flag = max(param.opts, key=len)
    return f"{flag} ({param.envvar}): {text}"


def main() -> None:
    """Runs the tool and exits with its exit code."""
    sys.exit(run())
