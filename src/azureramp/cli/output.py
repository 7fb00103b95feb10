"""What the tool prints: the code first, then names, then words."""

from __future__ import annotations

import difflib
from typing import Any

import click
import msgspec
import yaml

from azureramp import resources, responses, texts
from azureramp.cli import exits, options


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(encoded.decode())


def print_state(
    code: str, common: options.Common, *subjects: str, err: bool = False
) -> None:
    """Prints a state: its code, what it is about, and its text.

    Args:
        code: A key of `texts.TOOL`.
        common: The operator's language.
        *subjects: Words such as `revision=18`.
        err: Whether it goes to the error stream.
    """
    text = choose(texts.TOOL[code], common)
    click.echo(" ".join((code, *subjects, "-", text)), err=err)


def choose(text: texts.Text, common: options.Common) -> str:
    """Returns a text in the operator's language."""
    return text.hu if common.language == "hu" else text.en


def print_error(
    answer: responses.ErrorAnswer, common: options.Common, subject: str = ""
) -> exits.Exit:
    """Prints an error in the operator's language, its code first.

    Args:
        answer: The error's answer.
        common: The operator's language.
        subject: What it is about, as `kind/name`.

    Returns:
        The exit code that goes with it.
    """
    is_hungarian = common.language == "hu"
    text = answer.text_hu if is_hungarian else answer.text_en
    words = [answer.code, *([subject] if subject else []), answer.ran]
    if answer.retry_after_ms:
        words.append(f"retry_after_ms={answer.retry_after_ms}")
    detail = f" ({answer.detail})" if answer.detail else ""
    if answer.problems:
        detail = ""
    click.echo(f"{' '.join(words)} - {text}{detail}", err=True)
    for problem in answer.problems:
        rule = problem.text_hu if is_hungarian else problem.text_en
        line = f"  {problem.field}: {problem.rule} - {rule} {problem.value}"
        click.echo(line.rstrip(), err=True)
    if answer.present is not None:
        click.echo(format_entry(answer.present), err=True)
    return exits.get_exit(answer.code)


def format_entry(entry: resources.Versioned) -> str:
    """Formats a resource with its revision as one line of JSON."""
    return msgspec.json.encode(entry).decode()


def make_document(entry: resources.Versioned) -> dict[str, Any]:
    """Makes what a file holds for a resource, its revision included."""
    document: dict[str, Any] = msgspec.to_builtins(entry.resource)
    if entry.revision:
        document["revision"] = entry.revision
    return document


def format_yaml(documents: list[dict[str, Any]]) -> str:
    """Formats resources as the YAML documents of a file."""
    return yaml.safe_dump_all(
        documents, allow_unicode=True, sort_keys=False, explicit_start=True
    )


def format_diff(
    before: resources.Versioned | None, after: resources.Versioned
) -> str:
    """Formats what a change changes, as a unified diff of YAML."""
    name = f"{after.kind}/{after.name}"
    old = _format_one(before)
    new = _format_one(after)
    return "".join(difflib.unified_diff(old, new, f"a/{name}", f"b/{name}"))


def _format_one(entry: resources.Versioned | None) -> list[str]:
    if entry is None or entry.resource is None:
        return []
    text = format_yaml([msgspec.to_builtins(entry.resource)])
    return text.splitlines(keepends=True)[1:]
