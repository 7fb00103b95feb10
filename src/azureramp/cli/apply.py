"""The `apply` command."""

from __future__ import annotations

import asyncio

import click

from azureramp import resources
from azureramp.cli import client as client_module
from azureramp.cli import (
    dry_run as dry_run_module,
)
from azureramp.cli import (
    exit_codes,
    options,
    output,
    resource_calls,
    resource_files,
    wait_options,
)


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
    help="Validate the resources without changing anything.",
)
@click.option(
    "--diff", "shows_diff", is_flag=True, help="Print a diff of each change."
)
@wait_options.add_wait_options
@options.add_common_options
def command(
    common: options.CommonOptions,
    paths: tuple[str, ...],
    dry_run: bool,
    shows_diff: bool,
    waits: bool,
    wait_ms: int,
) -> int:
    """Creates or updates the resources declared in files.

    A resource that states a `revision` is updated only if that is still its
    current revision. Resources are written in dependency order. The command
    stops at the first resource that is refused; resources written before it
    are kept.
    """
    declared: list[resource_files.DeclaredResource] = []
    for path in paths:
        result = resource_files.read(path)
        if result.is_error():
            raise click.UsageError(f"--file: {result.error}")
        declared += result.ok
    declared.sort(
        key=lambda item: resource_files.get_dependency_rank(item.resource)
    )
    if dry_run:
        return asyncio.run(dry_run_module.run(common, declared, shows_diff))
    wait_s = wait_ms / 1000 if waits else None
    return asyncio.run(run(common, declared, shows_diff, wait_s))


async def run(
    common: options.CommonOptions,
    declared: list[resource_files.DeclaredResource],
    shows_diff: bool = False,
    wait_s: float | None = None,
) -> exit_codes.ExitCode:
    """Writes resources in the given order; stops at the first refusal.

    Args:
        common: The options shared by all commands.
        declared: The resources, in dependency order.
        shows_diff: Whether to print a diff of each change.
        wait_s: Maximum time to wait until all changes are in force, in
            seconds; None returns once they are stored.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    last_revision = 0
    for item in declared:
        resource = item.resource
        kind = resources.get_kind(resource)
        subject = f"{kind}/{resource.name}"
        found = await resource_calls.get(client, kind, resource.name)
        if found.is_error():
            return output.print_error(found.error, common, subject)
        current = found.ok
        expected = current.revision if current else 0
        if item.revision is not None:
            expected = item.revision
        elif current is not None and current.resource == resource:
            output.print_state("unchanged", common, subject)
            continue
        written = await resource_calls.put(client, resource, expected)
        if written.is_error():
            return output.print_error(written.error, common, subject)
        last_revision = written.ok.revision
        if shows_diff:
            text = output.format_diff(current, written.ok)
            click.echo(text, nl=False)
        output.print_state(
            "stored", common, subject, f"revision={last_revision}"
        )
    if last_revision and wait_s is not None:
        return await resource_calls.wait_in_force(client, last_revision, wait_s)
    return exit_codes.ExitCode.OK
