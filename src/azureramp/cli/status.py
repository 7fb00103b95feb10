"""The command `status`."""

from __future__ import annotations

import asyncio

import click

from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output
from azureramp.controllers import resource_api


@click.command("status")
@click.option(
    "--revision",
    type=options.Number(1, 2**63 - 1),
    help="Count the VMs that have at least this revision in force.",
)
@options.add_common
def command(common: options.Common, revision: int | None) -> int:
    """Prints the state of all VMs, as one of them sees it, as JSON."""
    return asyncio.run(_run(common, revision))


async def _run(common: options.Common, revision: int | None) -> exits.Exit:
    client = client_module.Client(common)
    query = {} if revision is None else {"revision": revision}
    result = await client.call(
        resource_api.StatusAnswer, "GET", "/v1/status", query
    )
    if result.is_error():
        return output.print_error(result.error, common)
    output.print_json(result.ok)
    return exits.Exit.OK
