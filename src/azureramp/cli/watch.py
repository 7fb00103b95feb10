"""The command `watch`."""

from __future__ import annotations

import asyncio

import click

from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output
from azureramp.controllers import resource_api

WAIT_MS = 20_000
"""How long a VM is asked to wait for a change, in milliseconds."""


@click.command("watch")
@click.option(
    "--after",
    type=options.Number(0, 2**63 - 1),
    default=0,
    show_default=True,
    help="Go on from this revision; 0 prints what there is first.",
)
@click.option(
    "--count",
    type=options.Number(0, 2**31),
    default=0,
    show_default=True,
    help="End after so many changes; 0 never ends.",
)
@options.add_common
def command(common: options.Common, after: int, count: int) -> int:
    """Prints each change as a line of JSON, as it comes into force."""
    return asyncio.run(_run(common, after, count))


async def _run(common: options.Common, after: int, count: int) -> exits.Exit:
    client = client_module.Client(common)
    printed = 0
    while True:
        result = await client.call(
            resource_api.ListAnswer,
            "GET",
            "/v1/watch",
            {"after": after, "wait_ms": WAIT_MS},
            wait_s=WAIT_MS / 1000,
        )
        if result.is_error():
            return output.print_error(result.error, common)
        for entry in result.ok.entries:
            click.echo(output.format_entry(entry))
            printed += 1
            if printed == count:
                return exits.Exit.OK
        after = max(after, result.ok.revision)
