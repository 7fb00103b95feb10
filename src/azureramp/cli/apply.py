"""The command `apply`."""

from __future__ import annotations

import asyncio

import click

from azureramp import resources
from azureramp.cli import (
    changing,
    checking,
    exits,
    files,
    options,
    output,
    waiting,
)
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
@click.option(
    "--dry-run",
    is_flag=True,
    help="Only check the resources, and change nothing.",
)
@click.option("--diff", "shows_diff", is_flag=True, help="Print what changes.")
@waiting.add_waiting
@options.add_common
def command(
    common: options.Common,
    paths: tuple[str, ...],
    dry_run: bool,
    shows_diff: bool,
    waits: bool,
    wait_ms: int,
) -> int:
    """Creates or changes the resources of files.

    A resource that states its `revision` is changed only if that is still
    its revision. Resources are written in the order in which they refer to
    each other; the first that is refused ends the command, and what was
    written before stays.
    """
    declared: list[files.Declared] = []
    for path in paths:
        result = files.read(path)
        if result.is_error():
            raise click.UsageError(f"--file: {result.error}")
        declared += result.ok
    declared.sort(key=lambda item: files.get_order(item.resource))
    if dry_run:
        return asyncio.run(checking.run(common, declared, shows_diff))
    wait_s = wait_ms / 1000 if waits else None
    return asyncio.run(run(common, declared, shows_diff, wait_s))


async def run(
    common: options.Common,
    declared: list[files.Declared],
    shows_diff: bool = False,
    wait_s: float | None = None,
) -> exits.Exit:
    """Writes resources in order.

    Args:
        common: What every command needs.
        declared: The resources.
        shows_diff: Whether to print what changes.
        wait_s: Longest wait until all is in force, in seconds; None ends
            once it is stored.
    """
    client = client_module.Client(common)
    newest = 0
    for item in declared:
        resource = item.resource
        kind = resources.get_kind(resource)
        subject = f"{kind}/{resource.name}"
        found = await changing.get(client, kind, resource.name)
        if found.is_error():
            return output.print_error(found.error, common, subject)
        present = found.ok
        expected = present.revision if present else 0
        if item.revision is not None:
            expected = item.revision
        elif present is not None and present.resource == resource:
            output.print_state("unchanged", common, subject)
            continue
        written = await changing.put(client, resource, expected)
        if written.is_error():
            return output.print_error(written.error, common, subject)
        newest = written.ok.revision
        if shows_diff:
            text = output.format_diff(present, written.ok)
            click.echo(text, nl=False)
        output.print_state("stored", common, subject, f"revision={newest}")
    if newest and wait_s is not None:
        return await changing.wait_in_force(client, newest, wait_s)
    return exits.Exit.OK
