"""The command `apply`."""

from __future__ import annotations

import asyncio

import click

from azureramp import errors
from azureramp.cli import changing, exits, files, options, output, waiting
from azureramp.cli import client as client_module


@click.command("apply")
@click.option(
    "--file",
    "-f",
    "paths",
    required=True,
    multiple=True,
    help="A YAML or JSON file with one or more resources.",
)
@waiting.add_waiting
@options.add_common
def command(
    common: options.Common,
    paths: tuple[str, ...],
    waits: bool,
    wait_ms: int,
) -> int:
    """Creates or changes the resources of files."""
    declared: list[files.Declared] = []
    for path in paths:
        result = files.read(path)
        if result.is_error():
            raise click.UsageError(f"--file: {result.error}")
        declared += result.ok
    return asyncio.run(_run(common, declared, waits, wait_ms))


async def _run(
    common: options.Common,
    declared: list[files.Declared],
    waits: bool,
    wait_ms: int,
) -> exits.Exit:
    client = client_module.Client(common)
    newest = 0
    for item in declared:
        resource = item.resource
        kind = str(type(resource).__struct_config__.tag)
        present = await changing.get(client, kind, resource.name)
        if present.is_error():
            if present.error.code != errors.Kind.NOT_FOUND.value:
                return output.print_error(present.error, common)
            expected = 0
        else:
            expected = present.ok.revision
            if present.ok.resource == resource and item.revision is None:
                click.echo(f"{kind}/{resource.name}: unchanged")
                continue
        if item.revision is not None:
            expected = item.revision
        written = await changing.put(client, resource, expected)
        if written.is_error():
            return output.print_error(written.error, common)
        newest = written.ok.revision
        click.echo(f"{kind}/{resource.name}: stored at revision {newest}")
    if newest and waits:
        return await changing.wait_in_force(client, newest, wait_ms / 1000)
    return exits.Exit.OK
