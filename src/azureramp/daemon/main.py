"""The program `azurerampd`."""

from __future__ import annotations

import click


@click.command()
def main() -> None:
    """Runs one daemon of the query tier."""
