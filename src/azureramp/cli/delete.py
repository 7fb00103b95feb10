"""The `delete` command."""

from __future__ import annotations

import asyncio

import click

from azureramp import errors, resources
from azureramp.cli import client as client_module
from azureramp.cli import (
    exit_codes,
    options,
    output,
    resource_calls,
    wait_options,
)


@click.command("delete")
@click.argument("kind", type=options.Choice(*resources.KINDS))
@click.argument("name")
@click.option(
    "--revision",
    type=options.IntegerRange(1, 2**63 - 1),
    help="Delete only if this is still the current revision.",
)
@wait_options.add_wait_options
@options.add_common_options
def command(
    common: options.CommonOptions,
    kind: str,
    name: str,
    revision: int | None,
    waits: bool,
    wait_ms: int,
) -> int:
    """Deletes the resource with the given KIND and NAME."""
    wait_s = wait_ms / 1000 if waits else None
    return asyncio.run(run(common, kind, name, revision, wait_s))


async def run(
    common: options.CommonOptions,
    kind: str,
    name: str,
    revision: int | None = None,
    wait_s: float | None = None,
) -> exit_codes.ExitCode:
    """Deletes a resource.

    Args:
        common: The options shared by all commands.
        kind: The resource's kind.
        name: The resource's name.
        revision: The revision that the resource must have; None accepts the
            current one.
        wait_s: Maximum time to wait until the change is in force, in seconds;
            None returns once the change is stored.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    subject = f"{kind}/{name}"
    if revision is None:
        found = await resource_calls.get(client, kind, name)
        if found.is_error():
            return output.print_error(found.error, common, subject)
        if found.ok is None:
            missing = client_module.make_error_answer(errors.Kind.NOT_FOUND)
            return output.print_error(missing, common, subject)
        revision = found.ok.revision
    result = await resource_calls.delete(client, kind, name, revision)
    if result.is_error():
        return output.print_error(result.error, common, subject)
    written = result.ok.revision
    output.print_state("stored", common, subject, f"revision={written}")
    if wait_s is not None:
        return await resource_calls.wait_in_force(client, written, wait_s)
    return exit_codes.ExitCode.OK
