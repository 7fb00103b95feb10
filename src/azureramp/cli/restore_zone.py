"""The `restore-zone` command."""

from __future__ import annotations

import asyncio

import click

from azureramp import resources
from azureramp.cli import options, wait_options, zones


@click.command("restore-zone")
@click.argument("zone")
@wait_options.add_wait_options
@options.add_common_options
def command(
    common: options.CommonOptions, zone: str, waits: bool, wait_ms: int
) -> int:
    """Puts an availability zone back into service."""
    state = resources.ZoneState.IN_SERVICE
    wait_s = wait_ms / 1000 if waits else None
    return asyncio.run(zones.change_state(common, zone, state, wait_s))
