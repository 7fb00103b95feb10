"""The dry run of the `apply` command."""

from __future__ import annotations

import click
import msgspec

from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, options, output, resource_files
from azureramp.controllers import resource_answers


async def run(
    common: options.CommonOptions,
    declared: list[resource_files.DeclaredResource],
    shows_diff: bool,
) -> exit_codes.ExitCode:
    """Lets a VM validate resources together, as if written in this order.

    Args:
        common: The options shared by all commands.
        declared: The resources, in dependency order.
        shows_diff: Whether to print a diff of each change.

    Returns:
        The exit code for the last error, or `OK`.
    """
    client = client_module.Client(common)
    request = resource_answers.CheckRequest(
        resources=tuple(
            resource_answers.CheckItem(
                resource=item.resource, expected=item.revision
            )
            for item in declared
        )
    )
    result = await client.call(
        resource_answers.CheckAnswer,
        "POST",
        "/v1/resources",
        body=msgspec.json.encode(request),
    )
    if result.is_error():
        return output.print_error(result.error, common)
    code = exit_codes.ExitCode.OK
    for checked in result.ok.results:
        entry = checked.entry
        subject = f"{entry.kind}/{entry.name}"
        if checked.error is not None:
            code = output.print_error(checked.error, common, subject)
            continue
        before = checked.before
        if before is not None and before.resource == entry.resource:
            output.print_state("unchanged", common, subject)
            continue
        if shows_diff:
            click.echo(output.format_diff(before, entry), nl=False)
        output.print_state("valid", common, subject)
    return code
