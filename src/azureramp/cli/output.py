"""Output of the tool: the code first, then identifiers, then text."""

from __future__ import annotations

import difflib
from typing import Any

import click
import msgspec
import yaml

from azureramp import resources, responses, texts
from azureramp.cli import exit_codes, options


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    click.echo(encoded.decode())


def print_state(
    code: str, common: options.CommonOptions, *subjects: str, err: bool = False
) -> None:
    """Prints one line with the code, the subjects and the text of a state.

    Args:
        code: A key of `texts.TOOL_MESSAGES`.
        common: The shared options, which state the language.
        *subjects: Words such as `revision=18`.
        err: Whether to print to stderr.
    """
    text = select_language(texts.TOOL_MESSAGES[code], common)
    click.echo(" ".join((code, *subjects, "-", text)), err=err)


def select_language(text: texts.Text, common: options.CommonOptions) -> str:
    """Returns a text in the language that the options state."""
    return text.hu if common.language == "hu" else text.en


def print_error(
    answer: responses.ErrorAnswer,
    common: options.CommonOptions,
    subject: str = "",
) -> exit_codes.ExitCode:
    """Prints an error answer to stderr, its code first.

    Args:
        answer: The error answer.
        common: The shared options, which state the language.
        subject: The resource that the error concerns, as `kind/name`.

    Returns:
        The exit code for the error.
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
    return exit_codes.get_exit_code(answer.code)


def format_entry(entry: resources.Versioned) -> str:
    """Formats a resource with its revision as one line of JSON."""
    return msgspec.json.encode(entry).decode()


def make_document(entry: resources.Versioned) -> dict[str, Any]:
    """Builds the document of a resource file, including the revision."""
    document: dict[str, Any] = msgspec.to_builtins(entry.resource)
    if entry.revision:
        document["revision"] = entry.revision
    return document


def format_yaml(documents: list[dict[str, Any]]) -> str:
    """Formats documents as the YAML text of a resource file."""
    return yaml.safe_dump_all(
        documents, allow_unicode=True, sort_keys=False, explicit_start=True
    )


def format_diff(
    before: resources.Versioned | None, after: resources.Versioned
) -> str:
    """Formats a change as a unified diff of YAML."""
    name = f"{after.kind}/{after.name}"
    old = _format_lines(before)
    new = _format_lines(after)
    return "".join(difflib.unified_diff(old, new, f"a/{name}", f"b/{name}"))


def _format_lines(entry: resources.Versioned | None) -> list[str]:
    if entry is None or entry.resource is None:
        return []
    text = format_yaml([msgspec.to_builtins(entry.resource)])
    return text.splitlines(keepends=True)[1:]
