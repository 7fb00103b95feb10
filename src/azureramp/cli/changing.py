"""Changes that commands share: write, and wait until in force."""

from __future__ import annotations

import asyncio

import click
import expression
import msgspec

from azureramp import messages, resources
from azureramp.cli import client as client_module
from azureramp.cli import exits
from azureramp.controllers import resource_api

POLL_S = 0.1
"""Time between two looks at who has a change in force, in seconds."""


async def put(
    client: client_module.Client,
    resource: resources.AnyResource,
    expected: int,
) -> expression.Result[resources.Versioned, messages.ErrorAnswer]:
    """Writes a resource."""
    kind = str(type(resource).__struct_config__.tag)
    result = await client.call(
        resource_api.ChangeAnswer,
        "PUT",
        f"/v1/resources/{kind}/{resource.name}",
        {"expected": expected},
        msgspec.json.encode(resource),
    )
    return result.map(lambda answer: answer.entry)


async def get(
    client: client_module.Client, kind: str, name: str
) -> expression.Result[resources.Versioned, messages.ErrorAnswer]:
    """Reads a resource."""
    return await client.call(
        resources.Versioned, "GET", f"/v1/resources/{kind}/{name}"
    )


async def wait_in_force(
    client: client_module.Client, revision: int, wait_s: float
) -> exits.Exit:
    """Waits until every VM has a revision in force, and prints the steps."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + wait_s
    shown = ""
    while True:
        result = await client.call(
            resource_api.StatusAnswer,
            "GET",
            "/v1/status",
            {"revision": revision},
        )
        if result.is_ok():
            status = result.ok
            line = (
                f"revision {revision}: in force on "
                f"{status.in_force} of {status.listed}"
            )
            if line != shown:
                click.echo(line)
                shown = line
            if status.in_force >= status.listed:
                click.echo(f"revision {revision}: in force")
                return exits.Exit.OK
        if loop.time() >= until_s:
            click.echo(
                f"revision {revision}: stored, not in force everywhere after "
                f"{wait_s:g} s",
                err=True,
            )
            return exits.Exit.NOT_IN_FORCE
        await asyncio.sleep(POLL_S)
