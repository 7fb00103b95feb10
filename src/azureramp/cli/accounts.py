"""The `accounts` command."""

from __future__ import annotations

import collections
import pathlib
from collections.abc import Iterator

import click

from azureramp import account_use, log_lines, timelines
from azureramp.cli import exit_codes

METRICS_PREFIX = "# HELP azureramp_"
"""How the first line of a metrics page begins."""


@click.command("accounts")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option("--account", help="Only the account of this name.")
@click.option(
    "--most",
    type=click.IntRange(min=1),
    default=20,
    show_default=True,
    help="Maximum number of accounts; those refused most often are kept.",
)
def command(
    files: tuple[pathlib.Path, ...], account: str | None, most: int
) -> exit_codes.ExitCode:
    """Shows the limits and the refused requests of client accounts.

    FILES are the log files of the VMs, in any order, and pages of their
    metrics, each saved under the VM's name. Not every request has a log line,
    so counts from logs alone are lower bounds; those of a metrics page are
    exact since the VM's start, but name only the largest accounts.
    """
    pages = [path for path in files if is_metrics_page(path)]
    lines = log_lines.read(path for path in files if path not in pages)
    accounts = account_use.collect(
        lines,
        [
            (path.stem, path.read_text("utf-8", "replace").splitlines())
            for path in pages
        ],
    )
    names = [name for name in accounts if account in (None, name)]
    if not names:
        click.echo("no request of such an account in these files", err=True)
        return exit_codes.ExitCode.NOT_FOUND
    for name in names[:most]:
        for row in format_account(name, accounts[name]):
            click.echo(row)
    if len(names) > most:
        click.echo(f"and {len(names) - most} more accounts")
    left_out = sum(int(line.fields.get("lines_left_out", 0)) for line in lines)
    if left_out:
        click.echo(f"{left_out} lines were left out of the logs")
    return exit_codes.ExitCode.OK


def is_metrics_page(path: pathlib.Path) -> bool:
    """Returns True if a file is a metrics page instead of a log."""
    with path.open(encoding="utf-8", errors="replace") as opened:
        return opened.read(len(METRICS_PREFIX)) == METRICS_PREFIX


def format_account(name: str, account: account_use.AccountUse) -> Iterator[str]:
    """Yields the output lines for an account."""
    limit = account.limit or "no limit in the logs"
    yield f"account {name}, {limit}: {_format_counts(account.sum_outcomes())}"
    for vm, use in sorted(account.vms.items()):
        row = f"    {vm}: {_format_counts(use.outcomes)}"
        if change := use.limit_change:
            state = "at its limit" if change.reached else "within its limit"
            at = timelines.format_utc(change.line.at_s)
            row += f"; {state} since {at}: {change.inputs}"
        yield row
    for line in account.last_refusals:
        fields = line.fields
        retry_after_ms = fields.get("retry_after_ms")
        back = f", back after {retry_after_ms} ms" if retry_after_ms else ""
        yield (
            f"    refused {timelines.format_utc(line.at_s)} on {line.vm}:"
            f" {fields.get('request')} {fields.get('outcome')}{back};"
            f" {fields.get('detail') or 'no detail'}"
        )


def _format_counts(outcomes: collections.Counter[str]) -> str:
    """Formats numbers of requests."""
    refused = ", ".join(
        f"{outcome} {count}"
        for outcome, count in outcomes.most_common()
        if outcome in account_use.REFUSED_OUTCOMES
    )
    total = account_use.count_refused(outcomes)
    return f"{outcomes.total()} requests, {total} refused" + (
        f" ({refused})" if refused else ""
    )
