"""The `get` command."""

from __future__ import annotations

import asyncio

import click

from azureramp import errors, resources
from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, options, output, resource_calls
from azureramp.controllers import resource_answers


@click.command("get")
@click.argument("kind", type=options.Choice(*resources.KINDS))
@click.argument("name", default="")
@click.option(
    "--format",
    "output_format",
    type=options.Choice("yaml", "json"),
    default="yaml",
    show_default=True,
    help="Output format; `apply` accepts both.",
)
@options.add_common_options
def command(
    common: options.CommonOptions, kind: str, name: str, output_format: str
) -> int:
    """Prints all resources of a KIND, or the one with the given NAME.

    The output can be passed to `apply` and includes the current revisions.
    """
    return asyncio.run(run(common, kind, name, output_format))


async def run(
    common: options.CommonOptions,
    kind: str,
    name: str = "",
    output_format: str = "yaml",
) -> exit_codes.ExitCode:
    """Prints resources.

    Args:
        common: The options shared by all commands.
        kind: The kind of the resources.
        name: The name of the resource; empty prints all of the kind.
        output_format: The output format, `yaml` or `json`.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    if name:
        found = await resource_calls.get(client, kind, name)
        if found.is_error():
            return output.print_error(found.error, common)
        if found.ok is None:
            missing = client_module.make_error_answer(errors.Kind.NOT_FOUND)
            return output.print_error(missing, common, f"{kind}/{name}")
        entries = [found.ok]
    else:
        listed = await client.call(
            resource_answers.ListAnswer, "GET", f"/v1/resources/{kind}"
        )
        if listed.is_error():
            return output.print_error(listed.error, common)
        entries = list(listed.ok.entries)
    documents = [output.make_document(entry) for entry in entries]
    if output_format == "json":
        output.print_json(documents)
    elif documents:
        click.echo(output.format_yaml(documents), nl=False)
    return exit_codes.ExitCode.OK
