"""The `rollouts` command."""

from __future__ import annotations

import pathlib
import time
from collections.abc import Iterator

import click

from azureramp import log_lines, rollout_steps, timelines
from azureramp.cli import exit_codes

POLL_INTERVAL_S = 1.0
"""Time between two reads of the logs with `--watch`, in seconds."""


@click.command("rollouts")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option("--service", help="Only roll-outs of this service.")
@click.option(
    "--watch/--once",
    "watch",
    default=False,
    show_default=True,
    help="Keep reading the logs and print new steps.",
)
def command(
    logs: tuple[pathlib.Path, ...], service: str | None, watch: bool
) -> exit_codes.ExitCode:
    """Shows the steps of roll-outs, from the logs of all VMs.

    LOGS are the log files of the VMs, in any order. Each step has a row with
    its phase, the new version's share of the calls, the VM that drives the
    roll-out, and the reason for the step. The next row has the counts of bad
    and of all answers of both versions by route.
    """
    printed = 0
    while True:
        rows = list(format_steps(logs, service))
        for row in rows[printed:]:
            click.echo(row)
        printed = len(rows)
        if not watch:
            break
        time.sleep(POLL_INTERVAL_S)
    if not printed:
        click.echo("no roll-out in these logs", err=True)
        return exit_codes.ExitCode.NOT_FOUND
    return exit_codes.ExitCode.OK


def format_steps(
    logs: tuple[pathlib.Path, ...], service: str | None
) -> Iterator[str]:
    """Yields the output lines for all steps, sorted by time."""
    steps_by_rollout = rollout_steps.collect(log_lines.read(logs))
    steps = [
        step
        for (name, _), steps in steps_by_rollout.items()
        for step in steps
        if service is None or name == service
    ]
    for step in sorted(steps, key=lambda each: each.at_s):
        yield (
            f"{timelines.format_utc(step.at_s)} {step.service} to"
            f" {step.target}, order {step.order}: {step.phase} after"
            f" {step.age_s:.1f} s, {_format_calls(step)}, by {step.vm}:"
            f" {step.reason}"
        )
        if step.answers:
            yield f"    bad/all answers: {step.answers}"


def _format_calls(step: rollout_steps.Step) -> str:
    """Formats the new version's share of the calls."""
    share = step.get_share()
    if share is None:
        return "no calls counted"
    return (
        f"{step.calls_to_new} of {step.calls} calls ({share:.1%}),"
        f" {step.calls_allowed} allowed"
    )
