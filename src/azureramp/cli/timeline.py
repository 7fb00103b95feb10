"""The command `timeline`."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from typing import Any

import click
import msgspec

from azureramp import timelines
from azureramp.cli import client as client_module
from azureramp.cli import exits, options, output, selecting
from azureramp.controllers import resource_answers

MAX_AT_ONCE = 16
"""Most VMs that are asked at once."""


class Moment(click.ParamType[Any]):
    """A UTC time, as the timeline itself prints it."""

    name = "time"
    allowed = "a UTC time in ISO 8601, as 2026-01-31T23:59:59.123Z"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> float:
        """Reads a time, in seconds since 1970."""
        if isinstance(value, float):
            return value
        try:
            moment = datetime.datetime.fromisoformat(str(value))
        except ValueError:
            moment = None
        if moment is None or moment.utcoffset() != datetime.timedelta(0):
            self.fail(f"{value!r} is not {self.allowed}", param, ctx)
        return moment.timestamp()


@dataclasses.dataclass(slots=True)
class Collected:
    """The timelines of all VMs.

    Attributes:
        timelines: The records of each VM that answered.
        missing: The VMs that did not answer.
        dropped: How many earlier records each VM has dropped, if any.
    """

    timelines: list[list[timelines.Record]] = dataclasses.field(
        default_factory=list
    )
    missing: list[str] = dataclasses.field(default_factory=list)
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)


@click.command("timeline")
@click.option("--request", default="", help="Only events of this request id.")
@click.option(
    "--key", default="", help="Only requests with this idempotency key."
)
@click.option("--zone", default="", help="Only events that concern this zone.")
@click.option("--since", type=Moment(), help="Only events at or after it.")
@click.option("--until", type=Moment(), help="Only events before it.")
@click.option(
    "--format",
    "form",
    type=options.Choice("text", "json"),
    default="text",
    show_default=True,
    help="One line of text or of JSON for each event.",
)
@options.add_common
def command(
    common: options.Common,
    request: str,
    key: str,
    zone: str,
    since: float | None,
    until: float | None,
    form: str,
) -> int:
    """Prints the events of all VMs in one order that respects cause.

    An event that another one caused never comes before it, whatever the VMs'
    clocks say. VMs that do not answer are named at the end.
    """
    wanted = selecting.Wanted(request, key, zone, since, until)
    return asyncio.run(run(common, wanted, form))


async def run(
    common: options.Common,
    wanted: selecting.Wanted | None = None,
    form: str = "text",
) -> exits.Exit:
    """Prints the wanted events in a form, `text` or `json`."""
    client = client_module.Client(common)
    status = await client.call(
        resource_answers.StatusAnswer, "GET", "/v1/status"
    )
    if status.is_error():
        return output.print_error(status.error, common)
    collected = await collect(common, status.ok.members)
    merged = timelines.merge(collected.timelines)
    for record in selecting.select(merged, wanted or selecting.Wanted()):
        click.echo(format_record(record, form))
    _print_gaps(common, collected, form)
    return exits.Exit.OK


async def collect(
    common: options.Common,
    members: tuple[resource_answers.MemberStatus, ...],
) -> Collected:
    """Reads the timelines of all VMs, some at once."""
    collected = Collected()
    limit = asyncio.Semaphore(MAX_AT_ONCE)

    async def read(member: resource_answers.MemberStatus) -> None:
        async with limit:
            one = dataclasses.replace(common, addresses=(member.address,))
            if not await _read(client_module.Client(one), collected):
                collected.missing.append(member.vm)

    await asyncio.gather(*map(read, members))
    collected.missing.sort()
    return collected


async def _read(client: client_module.Client, collected: Collected) -> bool:
    """Reads the whole timeline of one VM; False if it does not answer."""
    records: list[timelines.Record] = []
    collected.timelines.append(records)
    after = 0
    while True:
        result = await client.call(
            resource_answers.TimelineAnswer,
            "GET",
            "/v1/timeline",
            {"after": after},
        )
        if result.is_error():
            return False
        records += result.ok.records
        if result.ok.dropped:
            collected.dropped[result.ok.vm] = result.ok.dropped
        if not result.ok.more:
            return True
        after = records[-1].clock


def format_record(record: timelines.Record, form: str) -> str:
    """Formats an event as a line of text or of JSON."""
    fields: dict[str, Any] = msgspec.to_builtins(record.event)
    name = fields.pop("event")
    at = timelines.format_utc(record.at_s)
    if form == "json":
        line = {"at": at, "clock": record.clock, "vm": record.vm}
        line |= {"event": name} | fields
        return msgspec.json.encode(line).decode()
    words = " ".join(f"{key}={_show(value)}" for key, value in fields.items())
    return f"{at} {record.vm} {name} {words}"


def _show(value: Any) -> str:
    """Formats a field's value so that it is one word."""
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(_show(part) for part in value) or "-"
    text = str(value)
    return text if text and " " not in text else repr(text)


def _print_gaps(
    common: options.Common, collected: Collected, form: str
) -> None:
    """Says what the timeline lacks."""
    if form == "json":
        gaps = {"missing": collected.missing, "dropped": collected.dropped}
        click.echo(msgspec.json.encode(gaps).decode())
        return
    for vm, count in sorted(collected.dropped.items()):
        output.print_state(
            "dropped", common, f"vm={vm}", f"events={count}", err=True
        )
    if collected.missing:
        names = ",".join(collected.missing)
        output.print_state("no_answer", common, f"vms={names}", err=True)
