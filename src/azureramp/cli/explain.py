"""The command `explain`."""

from __future__ import annotations

import pathlib
from collections.abc import Iterator

import click

from azureramp import explanations, log_lines, timelines
from azureramp.cli import exits


@click.command("explain")
@click.argument("request")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
def command(request: str, files: tuple[pathlib.Path, ...]) -> exits.Exit:
    """Says why a request failed, from the logs of all VMs.

    REQUEST is its id; FILES are the VMs' logs, in any order.
    """
    lines = log_lines.read(files)
    explanation = explanations.explain(lines, request)
    if explanation is None:
        click.echo(
            f"no line of request {request} among {len(lines)}: it went well"
            " and was left out, reached no VM of these logs, or its line was"
            " dropped (azureramp_log_dropped counts those)",
            err=True,
        )
        return exits.Exit.NOT_FOUND
    for row in describe(explanation):
        click.echo(row)
    return exits.Exit.OK


def describe(explanation: explanations.Explanation) -> Iterator[str]:
    """Describes an explanation, row by row."""
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
    if fields.get("detail"):
        yield f"  {fields['detail']}"
    yield f"cause: {explanation.cause}"
    yield from _describe_lines("what the VM knew:", explanation.beliefs, own)
    yield from _describe_lines("searchers called:", explanation.states, own)
    yield from _describe_lines("crashes:", explanation.crashes, own)
    if explanation.calls:
        yield "calls, ms after the request's first byte:"
    for call in explanation.calls:
        ended = "" if call.ended_ms is None else f"{call.ended_ms} "
        name = call.searcher or "nobody"
        yield f"  {call.sent_ms:>6} {call.service} {name}: {ended}{call.end}"
    for gap in explanation.gaps:
        yield f"missing: {gap}"


def _describe_lines(
    title: str, lines: list[log_lines.Line], own: log_lines.Line
) -> Iterator[str]:
    """Describes other lines with their age."""
    if lines:
        yield title
    for line in lines:
        yield f"  {line.at_s - own.at_s:+9.3f} s {line.vm}: {line.message}"
