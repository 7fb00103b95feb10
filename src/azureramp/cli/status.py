"""The `status` command."""

from __future__ import annotations

import asyncio

import click

from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, options, output
from azureramp.controllers import resource_answers


@click.command("status")
@click.option(
    "--revision",
    type=options.IntegerRange(1, 2**63 - 1),
    help="Show the progress of this revision.",
)
@click.option(
    "--format",
    "output_format",
    type=options.Choice("text", "json"),
    default="text",
    show_default=True,
    help="Output format: one line per VM, or JSON.",
)
@options.add_common_options
def command(
    common: options.CommonOptions, revision: int | None, output_format: str
) -> int:
    """Prints the state of all VMs, as known to the VM that answers."""
    return asyncio.run(run(common, revision, output_format))


async def run(
    common: options.CommonOptions,
    revision: int | None = None,
    output_format: str = "text",
) -> exit_codes.ExitCode:
    """Prints the state of all VMs.

    Args:
        common: The options shared by all commands.
        revision: The revision whose progress is shown; None shows that of
            the revision in force on the VM that answers.
        output_format: The output format, `text` or `json`.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    query = {} if revision is None else {"revision": revision}
    result = await client.call(
        resource_answers.StatusAnswer, "GET", "/v1/status", query
    )
    if result.is_error():
        return output.print_error(result.error, common)
    status = result.ok
    if output_format == "json":
        output.print_json(status)
        return exit_codes.ExitCode.OK
    output.print_state(
        status.state.value,
        common,
        f"revision={status.asked_revision}",
        f"in_force_on={status.in_force}/{status.listed}",
    )
    click.echo(
        f"{status.vm} serving={status.serving} revision={status.revision} "
        f"accepted={status.accepted_revision} "
        f"confirmed_age_ms={_format_age(status.confirmed_age_ms)} "
        f"running={status.running}"
    )
    for member in status.members:
        click.echo(
            f"  {member.vm} zone={member.zone} address={member.address} "
            f"{member.state} {'ready' if member.ready else 'not_ready'} "
            f"revision={member.revision} "
            f"heard_age_ms={_format_age(member.heard_age_ms)}"
        )
    return exit_codes.ExitCode.OK


def _format_age(age_ms: float | None) -> str:
    return "never" if age_ms is None else f"{age_ms:.0f}"
