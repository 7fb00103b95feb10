"""The `explain` command."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import click

from azureramp import explanations, log_lines, timelines
from azureramp.cli import exit_codes


@click.command("explain")
@click.argument("request")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def command(
    request: str, files: tuple[pathlib.Path, ...]
) -> exit_codes.ExitCode:
    """Explains why a request failed, from the logs of all VMs.

    REQUEST is the request id. FILES are the log files of the VMs, in any
    order.
    """
    lines = log_lines.read(files)
    explanation = explanations.explain(lines, request)
    if explanation is None:
        click.echo(
            f"no line of request {request} among {len(lines)} log lines: it"
            " succeeded and was not logged, it reached no VM of these logs,"
            " or its line was dropped (counted by azureramp_log_dropped)",
            err=True,
        )
        return exit_codes.ExitCode.NOT_FOUND
    for row in format_explanation(explanation):
        click.echo(row)
    return exit_codes.ExitCode.OK


def format_explanation(explanation: explanations.Explanation) -> Iterator[str]:
    """Yields the output lines for an explanation."""
    own = explanation.request
    fields = own.fields
    yield (
        f"request {fields['request']}: {fields.get('outcome')} at"
        f" {timelines.format_utc(own.at_s)} on {own.vm},"
        f" {fields.get('took_ms')} ms"
    )
    yield (
        f"  route {fields.get('route') or 'none'}, configuration"
        f" {fields.get('configuration')}, deadline"
        f" {fields.get('deadline_ms')} ms"
    )
    if "priority" in fields:
        account = fields.get("account")
        yield (
            f"  {f'account {account}' if account else 'no account'}, priority"
            f" {fields['priority']}"
        )
    if known := explanation.in_force:
        yield (
            f"  configuration {known.version} had been in force on the VM for"
            f" {own.at_s - known.since_s:.1f} s"
        )
    if "contact_age_ms" in fields:
        yield (
            "  changes of the store had last reached the VM"
            f" {fields['contact_age_ms']} ms before"
        )
    if "revision" in fields:
        yield (
            f"  the searchers were chosen by revision {fields['revision']} from"
            f" {fields.get('source')}, received"
            f" {fields.get('update_age_ms', '?')} ms before"
        )
    if fields.get("detail"):
        yield f"  {fields['detail']}"
    yield f"cause: {explanation.cause}"
    yield from _format_lines(
        "preceding log lines of the VM:", explanation.vm_state_lines, own
    )
    yield from _format_lines(
        "preceding log lines on the called searchers:",
        explanation.searcher_lines,
        own,
    )
    yield from _format_lines("crashes:", explanation.crash_lines, own)
    for left in explanation.departures:
        yield (
            f"left: {left.searcher} was {left.state} on {left.vm}"
            f" {left.before_s:.3f} s before, by revision {left.revision}"
        )
    if explanation.calls:
        yield "calls, ms after the request's first byte:"
    for call in explanation.calls:
        ended = "" if call.ended_ms is None else f"{call.ended_ms} "
        name = call.searcher or "nobody"
        yield (
            f"  {call.sent_ms:>6} {call.service} {name}: {ended}{call.outcome}"
        )
    for gap in explanation.missing_lines:
        yield f"missing: {gap}"


def _format_lines(
    title: str, lines: list[log_lines.Line], own: log_lines.Line
) -> Iterator[str]:
    """Yields log lines with their time relative to the request's own line."""
    if lines:
        yield title
    for line in lines:
        yield f"  {line.at_s - own.at_s:+9.3f} s {line.vm}: {line.message}"
