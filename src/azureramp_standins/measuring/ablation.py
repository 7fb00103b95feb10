"""Plays variants of the code side by side by the users' bench.

Each variant is a clone of the repository with some constants set anew. All play
the same days with the same seeds.
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

SOURCES = pathlib.Path("src/azureramp")
JOURNAL = "journal"

AUTHOR = ("-c", "user.name=ablate", "-c", "user.email=ablate@localhost")

_WORTH = re.compile(r"^worth (-?[\d.]+) = whole day (-?[\d.]+)", re.MULTILINE)
_SHORT = re.compile(r"(\d+) of (\d+) gathered answers left parts out")


@dataclasses.dataclass(slots=True, frozen=True)
class Setting:
    """A constant's new value.

    Attributes:
        module: The module's path below `src/azureramp`, without its suffix.
        name: The constant's name.
        value: The value as Python writes it.
    """

    module: str
    name: str
    value: str


@dataclasses.dataclass(slots=True, frozen=True)
class Variant:
    """Constants that are set together; none for the code as it is."""

    settings: tuple[Setting, ...]

    def get_title(self) -> str:
        """Returns its title in the table."""
        names = (f"{each.name}={each.value}" for each in self.settings)
        return " ".join(names) or "as it is"


@dataclasses.dataclass(slots=True, frozen=True)
class Terms:
    """What all variants have in common.

    Attributes:
        bench: The bench's program.
        site: The site file.
        why: The hypothesis.
        counts_cpu: True if processor time counts.
    """

    bench: pathlib.Path
    site: pathlib.Path
    why: str
    counts_cpu: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Result:
    """What a day came to.

    Attributes:
        worth: What it is worth.
        whole_day: The callers' part of that, before prices.
        short: Gathered answers that left shards out; None if not told.
        gathered: All gathered answers.
    """

    worth: float
    whole_day: float
    short: int | None
    gathered: int


class DayBody(msgspec.Struct):
    """A day in an entry of the bench's journal.

    Attributes:
        rules: The rules that were broken, with how often.
    """

    rules: dict[str, Any] = {}


class EntryBody(msgspec.Struct):
    """An entry of the bench's journal."""

    days: list[DayBody] = []


class SettingType(click.ParamType[Variant]):
    """Reads `MODULE:NAME=VALUE`, several with commas between."""

    name = "module:name=value"

    def convert(
        self,
        value: str | Variant,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> Variant:
        """Reads a variant."""
        if isinstance(value, Variant):
            return value
        settings: list[Setting] = []
        for text in value.split(","):
            found = re.fullmatch(r"([\w/]+):([A-Z_0-9]+)=(.+)", text)
            if not found:
                self.fail(f"{text!r} is not MODULE:NAME=VALUE", param, ctx)
            settings.append(Setting(*found.groups()))
        return Variant(tuple(settings))


@click.command()
@click.option(
    "--bench",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="The bench's program.",
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
    type=SettingType(),
    help="A variant; the code as it is is played too.",
)
@click.option(
    "--scratch",
    required=True,
    type=click.Path(file_okay=False, path_type=pathlib.Path),
    help="Where the clones go; the bench can't see the temporary folder.",
)
@click.option("--why", required=True, help="The hypothesis, for the journal.")
@click.option(
    "--cpu/--no-cpu",
    "counts_cpu",
    default=False,
    show_default=True,
    help="Count processor time; runs then repeat less well.",
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
    """Plays the code as it is and variants, and shows worth and spread."""
    repository = pathlib.Path.cwd()
    clones = scratch.resolve() / "ablate"
    terms = Terms(bench.resolve(), site.resolve(), why, counts_cpu)

    def play_all() -> Iterator[dict[str, str]]:
        """Plays the variants one after the other."""
        for number, variant in enumerate((Variant(()), *variants)):
            clone = make_clone(repository, clones / str(number), variant)
            for day in days:
                results = [
                    play(clone, variant, day, seed, terms)
                    for seed in range(1, seeds + 1)
                ]
                title = {"variant": variant.get_title(), "day": day}
                yield title | summarize(results)
            collect_journal(clone, repository)

    tables.print_rows(play_all(), None)


def make_clone(
    repository: pathlib.Path, clone: pathlib.Path, variant: Variant
) -> pathlib.Path:
    """Makes a clone of what is committed, with a variant's constants.

    Raises:
        UsageError: A constant is not found.
    """
    shutil.rmtree(clone, ignore_errors=True)
    clone.parent.mkdir(parents=True, exist_ok=True)
    _run("git", "clone", "-q", str(repository), str(clone))
    for setting in variant.settings:
        change(clone, setting)
    if variant.settings:
        message = f"trial: {variant.get_title()}"
        _run("git", *AUTHOR, "commit", "-qam", message, folder=clone)
    return clone


def change(clone: pathlib.Path, setting: Setting) -> None:
    """Sets a constant in a clone.

    Raises:
        UsageError: It is not found, or found more than once.
    """
    path = clone / SOURCES / f"{setting.module}.py"
    if not path.is_file():
        raise click.UsageError(f"--set: no module {setting.module}")
    pattern = re.compile(rf"^{setting.name} = .*$", re.MULTILINE)
    text, count = pattern.subn(
        f"{setting.name} = {setting.value}", path.read_text("utf-8")
    )
    if count != 1:
        raise click.UsageError(
            f"--set: {setting.name} stands {count} times in {setting.module}"
        )
    path.write_text(text, "utf-8")


def play(
    clone: pathlib.Path, variant: Variant, day: str, seed: int, terms: Terms
) -> Result | None:
    """Plays a day; None if it broke a rule or was not played to its end."""
    words = [str(terms.bench), "run", str(terms.site), day]
    words += ["--seed", str(seed)]
    title = variant.get_title()
    words += ["--why", f"trial: {terms.why}; {title}, seed {seed}"]
    if not terms.counts_cpu:
        words.append("--no-cpu")
    before = set(list_entries(clone))
    output = _run(*words, folder=clone, checked=False)
    entries = set(list_entries(clone)) - before
    if any(has_broken_rule(entry.read_bytes()) for entry in entries):
        return None
    return read(output)


def has_broken_rule(entry: bytes) -> bool:
    """Tells whether an entry of the journal is of a day that broke a rule."""
    try:
        days = msgspec.json.decode(entry, type=EntryBody).days
    except msgspec.DecodeError:
        # Other files of the journal are no entries.
        return False
    return any(day.rules for day in days)


def read(output: str) -> Result | None:
    """Reads the bench's report of a day; None if it was given up."""
    worth = _WORTH.search(output)
    if worth is None:
        return None
    short = _SHORT.search(output)
    return Result(
        float(worth[1]),
        float(worth[2]),
        int(short[1]) if short else None,
        int(short[2]) if short else 0,
    )


def summarize(results: Sequence[Result | None]) -> dict[str, str]:
    """Summarizes the days of a variant; those that don't count are left out."""
    played = [result for result in results if result is not None]
    counted = {"counted": f"{len(played)}/{len(results)}"}
    if not played:
        return counted
    worths = [result.worth for result in played]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    whole = statistics.fmean(result.whole_day for result in played)
    short = sum(result.short or 0 for result in played)
    gathered = sum(result.gathered for result in played)
    return {
        "worth": f"{statistics.fmean(worths):.3f}",
        "spread": f"{spread:.3f}",
        "whole day": f"{whole:.3f}",
        "short": f"{short}/{gathered}",
    } | counted


def collect_journal(clone: pathlib.Path, repository: pathlib.Path) -> None:
    """Copies the bench's entries of a clone into the repository."""
    for entry in list_entries(clone):
        wanted = repository / entry.relative_to(clone)
        if not wanted.exists():
            wanted.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(entry, wanted)


def list_entries(clone: pathlib.Path) -> list[pathlib.Path]:
    """Lists the files of a clone's journal."""
    found = sorted((clone / JOURNAL).rglob("*"))
    return [path for path in found if path.is_file()]


def _run(
    *words: str, folder: pathlib.Path | None = None, checked: bool = True
) -> str:
    """Runs a program and returns what it prints."""
    done = subprocess.run(
        words, cwd=folder, check=checked, capture_output=True, text=True
    )
    return done.stdout + done.stderr


if __name__ == "__main__":
    main()
