"""What the tool prints."""

from __future__ import annotations

from typing import Any

import click
import msgspec

from azureramp import messages, resources
from azureramp.cli import exits, options


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(encoded.decode())


def print_error(
    answer: messages.ErrorAnswer, common: options.Common
) -> exits.Exit:
    """Prints an error in the operator's language, its code first.

    Returns:
        The exit code that goes with it.
    """
    text = answer.text_hu if common.language == "hu" else answer.text_en
    detail = f" ({answer.detail})" if answer.detail else ""
    click.echo(f"{answer.code}: {text}{detail} [{answer.ran}]", err=True)
    if answer.present is not None:
        click.echo(format_entry(answer.present), err=True)
    return exits.get_exit(answer.code)


def format_entry(entry: resources.Versioned) -> str:
    """Formats a resource with its revision as one line of JSON."""
    return msgspec.json.encode(entry).decode()
