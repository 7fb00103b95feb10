"""The program `azureramp`."""

from __future__ import annotations

import click


@click.command()
def main() -> None:
    """Talks to the query tier."""
