"""What `drain-zone` and `restore-zone` share."""

from __future__ import annotations

import click

from azureramp import errors, resources
from azureramp.cli import changing, exits, options, output
from azureramp.cli import client as client_module

KIND = "availability_zone"


async def change(
    common: options.Common,
    name: str,
    state: resources.ZoneState,
    waits: bool,
    wait_ms: int,
) -> exits.Exit:
    """Writes a zone's state, and waits until it is in force."""
    client = client_module.Client(common)
    present = await changing.get(client, KIND, name)
    if present.is_error() and (
        present.error.code != errors.Kind.NOT_FOUND.value
        or state is resources.ZoneState.IN_SERVICE
    ):
        return output.print_error(present.error, common)
    expected = 0 if present.is_error() else present.ok.revision
    wanted = resources.Zone(name=name, state=state)
    if present.is_ok() and present.ok.resource == wanted:
        revision = expected
        click.echo(f"{KIND}/{name}: already {state.value}")
    else:
        written = await changing.put(client, wanted, expected)
        if written.is_error():
            return output.print_error(written.error, common)
        revision = written.ok.revision
        click.echo(f"{KIND}/{name}: {state.value}, stored at {revision}")
    if waits:
        return await changing.wait_in_force(client, revision, wait_ms / 1000)
    return exits.Exit.OK
