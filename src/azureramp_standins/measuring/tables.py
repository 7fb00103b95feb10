"""Rows of a measurement, printed as they come."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterable, Mapping

import click


def print_rows(
    rows: Iterable[Mapping[str, float | str]], json_path: pathlib.Path | None
) -> None:
    """Prints rows with tabs between the cells, and may write them as JSON.

    Args:
        rows: The rows; each is printed as soon as it is there.
        json_path: Where the rows are written too; None for nowhere.
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
