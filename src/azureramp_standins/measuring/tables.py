"""Prints the rows of a measurement as soon as they are available."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterable, Mapping

import click


def print_rows(
    rows: Iterable[Mapping[str, float | str]], json_path: pathlib.Path | None
) -> None:
    """Prints rows as tab-separated values, and optionally writes JSON.

    Args:
        rows: The rows; each is printed as soon as it is available.
        json_path: File for the rows as JSON; None writes no file.
    """
    printed: list[Mapping[str, float | str]] = []
    for row in rows:
        if not printed:
            click.echo("\t".join(row))
        printed.append(row)
        click.echo("\t".join(_format(value) for value in row.values()))
    if json_path is not None:
        json_path.write_text(json.dumps(printed, indent=1) + "\n")


def _format(value: float | str) -> str:
    """Formats a cell."""
    return f"{value:.2f}" if isinstance(value, float) else f"{value}"
