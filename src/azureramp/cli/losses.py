"""The `losses` command."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Iterator

import click

from azureramp import log_lines, timelines
from azureramp import losses as losses_module
from azureramp.cli import exit_codes

MAX_NAMES = 4
"""Maximum number of shards, searchers or VMs named in a row."""


@click.command("losses")
@click.argument(
    "logs",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--span",
    "span_s",
    type=click.FloatRange(min=0.1),
    default=1.0,
    show_default=True,
    help="Length of the time span of a row, in seconds.",
)
@click.option(
    "--by",
    "group",
    type=click.Choice([each.value for each in losses_module.Group]),
    default=losses_module.Group.ROUTE.value,
    show_default=True,
    help="What the rows of a time span are divided by.",
)
@click.option(
    "--worst",
    type=click.IntRange(min=1),
    help="Maximum number of rows; those with the largest losses are kept.",
)
def command(
    logs: tuple[pathlib.Path, ...],
    span_s: float,
    group: str,
    worst: int | None,
) -> exit_codes.ExitCode:
    """Shows when requests were late, short, refused or failed, and why.

    LOGS are the log files of all VMs, in any order. Each row covers a time
    span and a route, account or priority. It shows the callers' loss, in units
    of one good answer; how many requests were late, short (answered in part),
    refused, failed and beyond their account's limit; how many were refused
    though later ones that were not more urgent were served; how the calls that
    delayed them ended; and the shards, searchers and VMs that most of them
    have in common.
    """
    losses_by_span = losses_module.collect(
        log_lines.read(logs), span_s, losses_module.Group(group)
    )
    spans = list(losses_by_span)
    if worst is not None:
        spans.sort(key=lambda span: -losses_by_span[span].weight)
        spans = sorted(spans[:worst], key=lambda each: each.begins_s)
    click.echo(
        f"span, {group}: lost, late short refused failed limited; causes"
    )
    for span in spans:
        for row in format_losses(span, losses_by_span[span]):
            click.echo(row)
    return exit_codes.ExitCode.OK


def format_losses(
    span: losses_module.Span, lost: losses_module.SpanLosses
) -> Iterator[str]:
    """Yields the output lines for the losses of a span."""
    counts = " ".join(f"{lost.counts[loss]:>4}" for loss in losses_module.Loss)
    at = timelines.format_utc(span.begins_s)
    yield f"{at} {span.name or '(none)'}: {lost.weight:>6.1f} {counts}"
    if lost.room:
        yield f"    refused though room was there: {lost.room}"
    if lost.causes:
        causes = ", ".join(
            f"{cause.value} {count}"
            for cause, count in lost.causes.most_common()
        )
        yield f"    calls: {causes}; asked once: {lost.called_once} shards"
    for title, names in (
        ("shards", lost.shards),
        ("searchers", lost.searchers),
        ("VMs", lost.vms),
    ):
        if names:
            yield f"    {title}: {_format_names(names)}"


def _format_names(names: collections.Counter[str]) -> str:
    """Formats the most frequent names with their counts."""
    most = names.most_common(MAX_NAMES)
    text = ", ".join(f"{name} {count}" for name, count in most)
    omitted = len(names) - len(most)
    return f"{text}, and {omitted} more" if omitted > 0 else text
