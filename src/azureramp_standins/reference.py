"""Generates the pages of docs/reference/ that list definitions of the code."""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Iterable, Sequence

import click

from azureramp import errors, metrics, settings, texts
from azureramp.cli import exit_codes, main

DIRECTORY = pathlib.Path(__file__).parents[2] / "docs" / "reference"

NOTE = "Generated from the code by `scripts/reference`; do not edit by hand.\n"


def make_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Makes a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    cells = [[cell.replace("|", "\\|") for cell in line] for line in lines]
    return "".join(f"| {' | '.join(line)} |\n" for line in cells)


def make_cli() -> str:
    """Makes the page of the command-line tool."""
    parts = [
        "# Command-line tool `azureramp`\n",
        NOTE,
        "Every flag can be given as an environment variable; the flag takes "
        "precedence. An invalid value is reported in one line that names the "
        "flag, the variable, the value and the allowed values; the exit code "
        "is 2.\n",
        "## Exit codes\n",
        make_table(
            ["code", "name", "meaning"],
            (
                [
                    str(code.value),
                    code.name.lower(),
                    exit_codes.DESCRIPTIONS[code],
                ]
                for code in exit_codes.ExitCode
            ),
        ),
    ]
    for name, command in sorted(main.group.commands.items()):
        parts += _make_command(name, command)
    parts += [
        "## Messages of the commands\n",
        make_table(
            ["code", "English", "magyar"],
            (
                [f"`{code}`", t.en, t.hu]
                for code, t in texts.TOOL_MESSAGES.items()
            ),
        ),
    ]
    return "\n".join(parts)


def _make_command(name: str, command: click.Command) -> list[str]:
    """Makes the section of one command."""
    context = click.Context(command, info_name=name)
    arguments = [
        parameter.make_metavar(context)
        for parameter in command.params
        if isinstance(parameter, click.Argument)
    ]
    rows = [
        _make_option(parameter)
        for parameter in command.params
        if isinstance(parameter, click.Option)
    ]
    return [
        f"## azureramp {name}\n",
        f"`azureramp {' '.join([name, *arguments])} [FLAGS]`\n",
        _join_lines(command.help or "") + "\n",
        make_table(["flag", "variable", "allowed", "default", "meaning"], rows),
    ]


def _make_option(option: click.Option) -> list[str]:
    """Makes the row of one flag."""
    flags = "/".join([*option.opts, *option.secondary_opts])
    allowed = getattr(option.type, "allowed", "any text")
    if option.is_flag:
        allowed = "1 or 0"
    default = "" if option.default is None else str(option.default)
    if option.required:
        default = "required"
    elif not isinstance(option.default, str | int | float):
        default = ""
    return [
        f"`{flags}`",
        f"`{option.envvar}`",
        allowed,
        default,
        option.help or "",
    ]


def _join_lines(text: str) -> str:
    """Joins the lines of each paragraph."""
    paragraphs = text.strip().split("\n\n")
    return "\n\n".join(" ".join(part.split()) for part in paragraphs)


def make_settings() -> str:
    """Makes the page of the daemon's settings."""
    rows = [
        [
            f"`{option.flag}`",
            f"`{option.variable}`",
            describe_form(option.value_type),
            "required" if option.default is None else option.default,
            option.help,
        ]
        for option in settings.OPTIONS
    ]
    head = ["flag", "variable", "allowed", "default", "meaning"]
    introduction = (
        "Every setting is a flag and an environment variable; the flag takes "
        "precedence. `azurerampd` exits with code 2 if a setting is invalid.\n"
    )
    return "\n".join(
        [
            "# Settings of `azurerampd`\n",
            NOTE,
            introduction,
            make_table(head, rows),
        ]
    )


def describe_form(form: settings.ValueType) -> str:
    """Describes the allowed values of a setting."""
    match form:
        case settings.String(may_be_empty):
            return "any text" if may_be_empty else "a word"
        case settings.Address(may_be_empty):
            return "IP:port or empty" if may_be_empty else "IP:port"
        case settings.Sha256():
            return "64 lower-case hexadecimal digits"
        case settings.Integer(low, high):
            return f"a whole number of {low} to {high}"


def make_errors() -> str:
    """Makes the page of the error kinds and of the resources' rules."""
    kinds = []
    for kind in errors.Kind:
        answer, text = errors.ANSWERS[kind], texts.ERROR_TEXTS[kind]
        kinds.append(
            [
                f"`{kind.value}`",
                str(answer.status),
                answer.ran.value,
                answer.retry.value,
                str(answer.retry_after_ms or ""),
                text.en,
                text.hu,
            ]
        )
    head = ["code", "HTTP", "ran", "retry", "after ms", "English", "magyar"]
    rules = (
        [f"`{rule.value}`", text.en, text.hu]
        for rule, text in texts.RULES.items()
    )
    return "\n".join(
        [
            "# Errors\n",
            NOTE,
            "`ran` states whether the request was run. `retry` states how to "
            "retry: `never`; the `same` request again; at an "
            "`other_address`; or `read_state` first.\n",
            make_table(head, kinds),
            "## Rules of resources\n",
            "An answer `invalid_resource` names one of these rules for each "
            "invalid field.\n",
            make_table(["rule", "English", "magyar"], rules),
        ]
    )


def make_metrics() -> str:
    """Makes the page of the metrics."""
    rows = (
        [f"`{metrics.PREFIX}.{metric.name}`", metric.type.value, metric.help]
        for metric in metrics.TABLE.values()
    )
    return "\n".join(
        [
            "# Metrics\n",
            NOTE,
            make_table(["name", "type", "meaning"], rows),
        ]
    )


PAGES: dict[str, Callable[[], str]] = {
    "cli.md": make_cli,
    "errors.md": make_errors,
    "metrics.md": make_metrics,
    "settings.md": make_settings,
}
"""Functions that make the pages, by file name."""


def write() -> None:
    """Writes all pages."""
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    for name, make in PAGES.items():
        (DIRECTORY / name).write_text(make(), encoding="utf-8")


if __name__ == "__main__":
    write()
