"""The command `rollouts`."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Iterator

import click

from azureramp import log_lines, rollout_steps, timelines
from azureramp.cli import exits

WATCH_S = 1.0
"""Time between two readings of the logs, in seconds."""


@click.command("rollouts")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option("--service", help="Only this service's.")
@click.option(
    "--watch/--once",
    "watches",
    default=False,
    show_default=True,
    help="Read the logs again and again, and show what is new.",
)
def command(
    logs: tuple[pathlib.Path, ...], service: str | None, watches: bool
) -> exits.Exit:
    """Shows roll-outs, from the logs of all VMs.

    LOGS are the VMs' logs, in any order. A row stands for a step: the phase,
    the new version's share of the calls, the VM that drives it, and why; the
    next row has the bad and all answers of both versions by route.
    """
    shown = 0
    while True:
        rows = list(describe(logs, service))
        for row in rows[shown:]:
            click.echo(row)
        shown = len(rows)
        if not watches:
            break
        time.sleep(WATCH_S)
    if not shown:
        click.echo("no roll-out in these logs", err=True)
        return exits.Exit.NOT_FOUND
    return exits.Exit.OK


def describe(
    logs: tuple[pathlib.Path, ...], service: str | None
) -> Iterator[str]:
    """Describes all steps, in the order of their times."""
    found = rollout_steps.collect(log_lines.read(logs))
    steps = [
        step
        for (name, _), steps in found.items()
        for step in steps
        if service is None or name == service
    ]
    for step in sorted(steps, key=lambda each: each.at_s):
        yield (
            f"{timelines.format_utc(step.at_s)} {step.service} to"
            f" {step.target}, order {step.order}: {step.phase} after"
            f" {step.age_s:.1f} s, {_describe_calls(step)}, by {step.vm}:"
            f" {step.reason}"
        )
        if step.answers:
            yield f"    bad/all answers: {step.answers}"


def _describe_calls(step: rollout_steps.Step) -> str:
    """Describes the new version's part of the calls."""
    share = step.get_share()
    if share is None:
        return "no calls counted"
    return (
        f"{step.calls_to_new} of {step.calls} calls ({share:.1%}),"
        f" {step.calls_allowed} allowed"
    )
