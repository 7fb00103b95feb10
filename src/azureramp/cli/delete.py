"""The command `delete`."""

from __future__ import annotations

import asyncio

import click

from azureramp import resources
from azureramp.cli import changing, exits, options, output, waiting
from azureramp.cli import client as client_module
from azureramp.controllers import resource_api


@click.command("delete")
@click.argument("kind", type=options.Choice(*resources.KINDS))
@click.argument("name")
@click.option(
    "--revision",
    type=options.Number(1, 2**63 - 1),
    help="Delete only if this is still its revision.",
)
@waiting.add_waiting
@options.add_common
def command(
    common: options.Common,
    kind: str,
    name: str,
    revision: int | None,
    waits: bool,
    wait_ms: int,
) -> int:
    """Deletes the resource of a KIND with a NAME."""
    return asyncio.run(_run(common, kind, name, revision, waits, wait_ms))


async def _run(
    common: options.Common,
    kind: str,
    name: str,
    revision: int | None,
    waits: bool,
    wait_ms: int,
) -> exits.Exit:
    client = client_module.Client(common)
    if revision is None:
        present = await changing.get(client, kind, name)
        if present.is_error():
            return output.print_error(present.error, common)
        revision = present.ok.revision
    result = await client.call(
        resource_api.ChangeAnswer,
        "DELETE",
        f"/v1/resources/{kind}/{name}",
        {"expected": revision},
    )
    if result.is_error():
        return output.print_error(result.error, common)
    written = result.ok.entry.revision
    click.echo(f"{kind}/{name}: deletion stored at revision {written}")
    if waits:
        return await changing.wait_in_force(client, written, wait_ms / 1000)
    return exits.Exit.OK
