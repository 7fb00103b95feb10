"""The command `watch`."""

from __future__ import annotations

import asyncio

import click

from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output
from azureramp.controllers import resource_answers

WAIT_MS = 20_000
"""How long a VM is asked to wait for a change, in milliseconds."""

RETRY_S = 0.5
"""Time between tries while no VM answers, in seconds."""


@click.command("watch")
@click.option(
    "--after",
    type=options.Number(0, 2**63 - 1),
    default=0,
    show_default=True,
    help="Go on after this revision; 0 prints what there is first.",
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
    """Prints each change as a line of JSON, as it comes into force.

    Each line holds the revision to go on after. A line `{"reset":R}` means
    that not all changes up to R are known: everything there is follows, and
    what does not follow was deleted.
    """
    return asyncio.run(run(common, after, count))


async def run(
    common: options.Common, after: int = 0, count: int = 0
) -> exits.Exit:
    """Prints changes after a revision, until there were `count` of them."""
    client = client_module.Client(common)
    loop = asyncio.get_running_loop()
    answered_s = loop.time()
    printed = 0
    while True:
        result = await client.call(
            resource_answers.ListAnswer,
            "GET",
            "/v1/watch",
            {"after": after, "wait_ms": WAIT_MS},
            wait_s=WAIT_MS / 1000,
        )
        if result.is_error():
            if loop.time() - answered_s > common.timeout_s:
                return output.print_error(result.error, common)
            await asyncio.sleep(RETRY_S)
            continue
        answered_s = loop.time()
        if result.ok.whole:
            click.echo(f'{{"reset":{result.ok.revision}}}')
        for entry in result.ok.entries:
            click.echo(output.format_entry(entry))
            printed += 1
            if printed == count:
                return exits.Exit.OK
        after = max(after, result.ok.revision)
