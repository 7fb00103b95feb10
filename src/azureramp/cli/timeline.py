"""The `timeline` command."""

from __future__ import annotations

import asyncio
import dataclasses
import datetime
from typing import Any

import click
import msgspec

from azureramp import timelines
from azureramp.cli import client as client_module
from azureramp.cli import event_filter, exit_codes, options, output
from azureramp.controllers import resource_answers

MAX_CONCURRENT_VMS = 16
"""Maximum number of VMs that are called concurrently."""


class UtcTime(click.ParamType[Any]):
    """Parameter type of a UTC time, in the format that the timeline prints."""

    name = "time"
    allowed = "a UTC time in ISO 8601, such as 2026-01-31T23:59:59.123Z"

    def convert(
        self,
        value: Any,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> float:
        """Parses a time to seconds since 1970."""
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
class CollectedTimelines:
    """The timelines of all VMs.

    Attributes:
        timelines: The records of each VM, empty or partial if it is missing.
        missing: The names of the VMs that did not answer every call.
        dropped: Number of earlier records that were dropped, by VM name; only
            VMs that dropped any.
    """

    timelines: list[list[timelines.Record]] = dataclasses.field(
        default_factory=list
    )
    missing: list[str] = dataclasses.field(default_factory=list)
    dropped: dict[str, int] = dataclasses.field(default_factory=dict)


@click.command("timeline")
@click.option(
    "--request", default="", help="Only events of the request with this id."
)
@click.option(
    "--key", default="", help="Only requests with this idempotency key."
)
@click.option("--zone", default="", help="Only events that concern this zone.")
@click.option(
    "--since", type=UtcTime(), help="Only events at or after this time."
)
@click.option("--until", type=UtcTime(), help="Only events before this time.")
@click.option(
    "--format",
    "output_format",
    type=options.Choice("text", "json"),
    default="text",
    show_default=True,
    help="Output format: one line of text or JSON per event.",
)
@options.add_common_options
def command(
    common: options.CommonOptions,
    request: str,
    key: str,
    zone: str,
    since: float | None,
    until: float | None,
    output_format: str,
) -> int:
    """Prints the events of all VMs in causal order.

    An event never precedes the event that caused it, even if the clocks of
    the VMs differ. VMs that did not answer are listed at the end.
    """
    criteria = event_filter.EventFilter(request, key, zone, since, until)
    return asyncio.run(run(common, criteria, output_format))


async def run(
    common: options.CommonOptions,
    criteria: event_filter.EventFilter | None = None,
    output_format: str = "text",
) -> exit_codes.ExitCode:
    """Prints the events that match the criteria.

    Args:
        common: The options shared by all commands.
        criteria: The criteria; None matches every event.
        output_format: The output format, `text` or `json`.

    Returns:
        The exit code.
    """
    client = client_module.Client(common)
    status = await client.call(
        resource_answers.StatusAnswer, "GET", "/v1/status"
    )
    if status.is_error():
        return output.print_error(status.error, common)
    collected = await collect(common, status.ok.members)
    merged = timelines.merge(collected.timelines)
    for record in event_filter.select(
        merged, criteria or event_filter.EventFilter()
    ):
        click.echo(format_record(record, output_format))
    _print_gaps(common, collected, output_format)
    return exit_codes.ExitCode.OK


async def collect(
    common: options.CommonOptions,
    members: tuple[resource_answers.MemberStatus, ...],
) -> CollectedTimelines:
    """Reads the timelines of all VMs, up to `MAX_CONCURRENT_VMS` at once."""
    collected = CollectedTimelines()
    limit = asyncio.Semaphore(MAX_CONCURRENT_VMS)

    async def read(member: resource_answers.MemberStatus) -> None:
        async with limit:
            one = dataclasses.replace(common, addresses=(member.address,))
            if not await _read(client_module.Client(one), collected):
                collected.missing.append(member.vm)

    await asyncio.gather(*map(read, members))
    collected.missing.sort()
    return collected


async def _read(
    client: client_module.Client, collected: CollectedTimelines
) -> bool:
    """Reads all pages of one VM's timeline; returns False if a call fails."""
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


def format_record(record: timelines.Record, output_format: str) -> str:
    """Formats an event as a line of text or of JSON."""
    fields: dict[str, Any] = msgspec.to_builtins(record.event)
    name = fields.pop("event")
    at = timelines.format_utc(record.at_s)
    if output_format == "json":
        line = {"at": at, "clock": record.clock, "vm": record.vm}
        line |= {"event": name} | fields
        return msgspec.json.encode(line).decode()
    words = " ".join(
        f"{key}={_format_value(value)}" for key, value in fields.items()
    )
    return f"{at} {record.vm} {name} {words}"


def _format_value(value: Any) -> str:
    """Formats the value of a field without spaces, or quoted."""
    if isinstance(value, float):
        return f"{value:.3f}"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(_format_value(part) for part in value) or "-"
    text = str(value)
    return text if text and " " not in text else repr(text)


def _print_gaps(
    common: options.CommonOptions,
    collected: CollectedTimelines,
    output_format: str,
) -> None:
    """Prints which VMs and events are missing from the timeline."""
    if output_format == "json":
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
