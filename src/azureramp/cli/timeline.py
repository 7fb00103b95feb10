"""The command `timeline`."""

from __future__ import annotations

import asyncio
import dataclasses

import click
import msgspec

from azureramp import events
from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output
from azureramp.controllers import resource_api


@click.command("timeline")
@click.option(
    "--format",
    "form",
    type=options.Choice("text", "json"),
    default="text",
    show_default=True,
    help="One line of text or of JSON for each event.",
)
@options.add_common
def command(common: options.Common, form: str) -> int:
    """Prints the events of all VMs in one order that respects cause."""
    return asyncio.run(_run(common, form))


async def _run(common: options.Common, form: str) -> exits.Exit:
    client = client_module.Client(common)
    status = await client.call(resource_api.StatusAnswer, "GET", "/v1/status")
    if status.is_error():
        return output.print_error(status.error, common)
    timelines = []
    missing = []
    for member in status.ok.members:
        records = await _read(common, member.address)
        if records is None:
            missing.append(member.vm)
        else:
            timelines.append(records)
    for record in events.merge(timelines):
        click.echo(_format(record, form))
    if missing:
        click.echo("no answer from: " + ", ".join(missing), err=True)
    return exits.Exit.OK


async def _read(
    common: options.Common, address: str
) -> list[events.Record] | None:
    """Reads the whole timeline of one VM; None if it does not answer."""
    client = client_module.Client(
        dataclasses.replace(common, addresses=(address,))
    )
    records: list[events.Record] = []
    after = 0
    while True:
        result = await client.call(
            resource_api.TimelineAnswer, "GET", "/v1/timeline", {"after": after}
        )
        if result.is_error():
            return None
        records += result.ok.records
        if not result.ok.more:
            return records
        after = records[-1].clock


def _format(record: events.Record, form: str) -> str:
    if form == "json":
        return msgspec.json.encode(record).decode()
    fields = msgspec.to_builtins(record.event)
    name = fields.pop("event")
    words = " ".join(f"{key}={value}" for key, value in fields.items())
    return f"{events.format_utc(record.at_s)} {record.vm} {name} {words}"
