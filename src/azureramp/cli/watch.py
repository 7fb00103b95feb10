"""The `watch` command."""

from __future__ import annotations

import asyncio

import click

from azureramp.cli import client as client_module
from azureramp.cli import exit_codes, options, output
from azureramp.controllers import resource_answers

LONG_POLL_MS = 20_000
"""How long each long-poll request waits for a change, in milliseconds."""

RETRY_INTERVAL_S = 0.5
"""Time between attempts while no VM answers, in seconds."""


@click.command("watch")
@click.option(
    "--after",
    type=options.IntegerRange(0, 2**63 - 1),
    default=0,
    show_default=True,
    help="Resume after this revision; 0 prints all current resources first.",
)
@click.option(
    "--count",
    type=options.IntegerRange(0, 2**31),
    default=0,
    show_default=True,
    help="Exit after this number of changes; 0 runs without end.",
)
@options.add_common_options
def command(common: options.CommonOptions, after: int, count: int) -> int:
    """Prints each change as a line of JSON when it comes into force.

    Each line contains the revision to resume after. A line `{"reset":R}`
    means that some changes up to R are not available any more: all current
    resources follow, and any resource not among them was deleted.
    """
    return asyncio.run(run(common, after, count))


async def run(
    common: options.CommonOptions, after: int = 0, count: int = 0
) -> exit_codes.ExitCode:
    """Prints changes after a revision.

    Args:
        common: The options shared by all commands.
        after: The revision to resume after; 0 begins with all current
            resources.
        count: The number of changes to exit after; 0 runs without end.

    Returns:
        `OK` after `count` changes, or the exit code of the last error once no
        VM has answered for the timeout of a call.
    """
    client = client_module.Client(common)
    loop = asyncio.get_running_loop()
    last_answer_s = loop.time()
    printed = 0
    while True:
        result = await client.call(
            resource_answers.ListAnswer,
            "GET",
            "/v1/watch",
            {"after": after, "wait_ms": LONG_POLL_MS},
            wait_s=LONG_POLL_MS / 1000,
        )
        if result.is_error():
            if loop.time() - last_answer_s > common.timeout_s:
                return output.print_error(result.error, common)
            await asyncio.sleep(RETRY_INTERVAL_S)
            continue
        last_answer_s = loop.time()
        if result.ok.whole:
            click.echo(f'{{"reset":{result.ok.revision}}}')
        for entry in result.ok.entries:
            click.echo(output.format_entry(entry))
            printed += 1
            if printed == count:
                return exit_codes.ExitCode.OK
        after = max(after, result.ok.revision)
