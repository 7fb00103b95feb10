"""Compares variants of the code with the users' benchmark program.

Each variant is a clone of the repository in which some constants have other
values. All variants run the same days with the same seeds.
"""

from __future__ import annotations

import dataclasses
import pathlib
import re
import shutil
import statistics
import subprocess
from collections.abc import Iterator, Sequence
from typing import Any

import click
import msgspec

from azureramp_standins.measuring import tables

SOURCE_DIRECTORY = pathlib.Path("src/azureramp")
JOURNAL_DIRECTORY = "journal"

GIT_AUTHOR_OPTIONS = (
    "-c",
    "user.name=ablate",
    "-c",
    "user.email=ablate@localhost",
)

_WORTH_PATTERN = re.compile(
    r"^worth (-?[\d.]+) = whole day (-?[\d.]+)", re.MULTILINE
)
_SHORT_ANSWERS_PATTERN = re.compile(
    r"(\d+) of (\d+) gathered answers left parts out"
)


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """New value of a constant.

    Attributes:
        module: Path of the module below `src/azureramp`, without its suffix.
        name: The constant's name.
        value: The value as a Python expression.
    """

    module: str
    name: str
    value: str


@dataclasses.dataclass(slots=True, frozen=True)
class Variant:
    """Constants that are set together; none for the unchanged code."""

    settings: tuple[Setting, ...]

    def get_title(self) -> str:
        """Returns the variant's title in the table."""
        names = (f"{each.name}={each.value}" for each in self.settings)
        return " ".join(names) or "as it is"


@dataclasses.dataclass(slots=True, frozen=True)
class Options:
    """Options that all variants share.

    Attributes:
        bench: Path of the benchmark program.
        site: Path of the site file.
        why: The hypothesis, which is written to the journal.
        counts_cpu: True if processor time affects the result.
    """

    bench: pathlib.Path
    site: pathlib.Path
    why: str
    counts_cpu: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """The benchmark's result of a day.

    Attributes:
        worth: The day's worth, after prices.
        whole_day: The callers' part of the worth, before prices.
        short: Number of gathered answers that omitted shards; None if the
            report doesn't state it.
        gathered: Number of gathered answers.
    """

    worth: float
    whole_day: float
    short: int | None
    gathered: int


class DayBody(msgspec.Struct):
    """A day in an entry of the benchmark's journal.

    Attributes:
        rules: Number of violations by broken rule.
    """

    rules: dict[str, Any] = {}


class EntryBody(msgspec.Struct):
    """An entry of the benchmark's journal."""

    days: list[DayBody] = []


class VariantType(click.ParamType[Variant]):
    """Parses a comma-separated list of `MODULE:NAME=VALUE`."""

    name = "module:name=value"

    def convert(
        self,
        value: str | Variant,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Variant:
        """Parses a variant."""
        if isinstance(value, Variant):
            return value
        settings: list[Setting] = []
        for text in value.split(","):
            match = re.fullmatch(r"([\w/]+):([A-Z_0-9]+)=(.+)", text)
            if not match:
                self.fail(f"{text!r} is not MODULE:NAME=VALUE", param, ctx)
            settings.append(Setting(*match.groups()))
        return Variant(tuple(settings))


@click.command()
@click.option(
    "--bench",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="The benchmark program.",
)
@click.option(
    "--site",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="The site file.",
)
@click.option("--day", "days", multiple=True, required=True)
@click.option(
    "--seeds", type=click.IntRange(min=1), default=4, show_default=True
)
@click.option(
    "--set",
    "variants",
    multiple=True,
    type=VariantType(),
    help="A variant; the unchanged code is always run too.",
)
@click.option(
    "--scratch",
    required=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Directory for the clones, outside of the system's temporary "
    "directory, which the benchmark can't read.",
)
@click.option(
    "--why",
    required=True,
    help="The hypothesis, which is written to the journal.",
)
@click.option(
    "--cpu/--no-cpu",
    "counts_cpu",
    default=False,
    show_default=True,
    help="Count processor time, which makes runs less repeatable.",
)
def main(
    bench: pathlib.Path,
    site: pathlib.Path,
    days: tuple[str, ...],
    seeds: int,
    variants: tuple[Variant, ...],
    scratch: pathlib.Path,
    why: str,
    counts_cpu: bool,
) -> None:
    """Runs the unchanged code and variants, and prints worth and spread."""
    repository = pathlib.Path.cwd()
    clones = scratch.resolve() / "ablate"
    options = Options(bench.resolve(), site.resolve(), why, counts_cpu)

    def run_variants() -> Iterator[dict[str, str]]:
        """Runs the variants one after another."""
        for number, variant in enumerate((Variant(()), *variants)):
            clone = make_clone(repository, clones / str(number), variant)
            for day in days:
                results = [
                    run_day(clone, variant, day, seed, options)
                    for seed in range(1, seeds + 1)
                ]
                title = {"variant": variant.get_title(), "day": day}
                yield title | summarize(results)
            collect_journal(clone, repository)

    tables.print_rows(run_variants(), None)


def make_clone(
    repository: pathlib.Path, clone: pathlib.Path, variant: Variant
) -> pathlib.Path:
    """Clones the last commit and commits a variant's constants to the clone.

    Raises:
        click.UsageError: A constant is not found.
    """
    shutil.rmtree(clone, ignore_errors=True)
    clone.parent.mkdir(parents=True, exist_ok=True)
    _run("git", "clone", "-q", str(repository), str(clone))
    for setting in variant.settings:
        set_constant(clone, setting)
    if variant.settings:
        message = f"trial: {variant.get_title()}"
        _run(
            "git", *GIT_AUTHOR_OPTIONS, "commit", "-qam", message, folder=clone
        )
    return clone


def set_constant(clone: pathlib.Path, setting: Setting) -> None:
    """Sets a constant in a clone.

    Raises:
        click.UsageError: It is not found, or is found more than once.
    """
    path = clone / SOURCE_DIRECTORY / f"{setting.module}.py"
    if not path.is_file():
        raise click.UsageError(f"--set: no module {setting.module}")
    pattern = re.compile(rf"^{setting.name} = .*$", re.MULTILINE)
    text, count = pattern.subn(
        f"{setting.name} = {setting.value}", path.read_text("utf-8")
    )
    if count != 1:
        raise click.UsageError(
            f"--set: {setting.name} is set {count} times in {setting.module}"
        )
    path.write_text(text, "utf-8")


def run_day(
    clone: pathlib.Path, variant: Variant, day: str, seed: int, options: Options
) -> Result | None:
    """Runs a day; returns None if it broke a rule or did not complete."""
    command = [str(options.bench), "run", str(options.site), day]
    command += ["--seed", str(seed)]
    title = variant.get_title()
    command += ["--why", f"trial: {options.why}; {title}, seed {seed}"]
    if not options.counts_cpu:
        command.append("--no-cpu")
    old_entries = set(list_entries(clone))
    output = _run(*command, folder=clone, checked=False)
    new_entries = set(list_entries(clone)) - old_entries
    if any(has_broken_rule(entry.read_bytes()) for entry in new_entries):
        return None
    return parse_report(output)


def has_broken_rule(entry: bytes) -> bool:
    """Returns True if a journal entry holds a day that broke a rule."""
    try:
        days = msgspec.json.decode(entry, type=EntryBody).days
    except msgspec.DecodeError:
        # The journal contains other files too.
        return False
    return any(day.rules for day in days)


def parse_report(output: str) -> Result | None:
    """Parses the benchmark's report of a day; None if it has no worth."""
    worth = _WORTH_PATTERN.search(output)
    if worth is None:
        return None
    short = _SHORT_ANSWERS_PATTERN.search(output)
    return Result(
        float(worth[1]),
        float(worth[2]),
        int(short[1]) if short else None,
        int(short[2]) if short else 0,
    )


def summarize(results: Sequence[Result | None]) -> dict[str, str]:
    """Summarizes the days of a variant, without those that don't count."""
    completed = [result for result in results if result is not None]
    counted = {"counted": f"{len(completed)}/{len(results)}"}
    if not completed:
        return counted
    worths = [result.worth for result in completed]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    whole_day = statistics.fmean(result.whole_day for result in completed)
    short = sum(result.short or 0 for result in completed)
    gathered = sum(result.gathered for result in completed)
    return {
        "worth": f"{statistics.fmean(worths):.3f}",
        "spread": f"{spread:.3f}",
        "whole day": f"{whole_day:.3f}",
        "short": f"{short}/{gathered}",
    } | counted


def collect_journal(clone: pathlib.Path, repository: pathlib.Path) -> None:
    """Copies new journal entries of a clone into the repository."""
    for entry in list_entries(clone):
        target = repository / entry.relative_to(clone)
        if not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(entry, target)


def list_entries(clone: pathlib.Path) -> list[pathlib.Path]:
    """Lists all files of a clone's journal."""
    paths = sorted((clone / JOURNAL_DIRECTORY).rglob("*"))
    return [path for path in paths if path.is_file()]


def _run(
    *command: str, folder: pathlib.Path | None = None, checked: bool = True
) -> str:
    """Runs a program.

    Returns:
        Its standard output, followed by its standard error.
    """
    completed = subprocess.run(
        command, cwd=folder, check=checked, capture_output=True, text=True
    )
    return completed.stdout + completed.stderr


if __name__ == "__main__":
    main()
