"""The command `get`."""

from __future__ import annotations

import asyncio

import click

from azureramp import resources
from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output
from azureramp.controllers import resource_api


@click.command("get")
@click.argument("kind", type=options.Choice(*resources.KINDS))
@click.argument("name", default="")
@options.add_common
def command(common: options.Common, kind: str, name: str) -> int:
    """Prints the resources of a KIND, or the one with a NAME, as JSON."""
    return asyncio.run(_run(common, kind, name))


async def _run(common: options.Common, kind: str, name: str) -> exits.Exit:
    client = client_module.Client(common)
    path = f"/v1/resources/{kind}"
    if name:
        one = await client.call(resources.Versioned, "GET", f"{path}/{name}")
        if one.is_error():
            return output.print_error(one.error, common)
        output.print_json(one.ok)
        return exits.Exit.OK
    many = await client.call(resource_api.ListAnswer, "GET", path)
    if many.is_error():
        return output.print_error(many.error, common)
    output.print_json(many.ok)
    return exits.Exit.OK
