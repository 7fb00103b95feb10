"""Tests of comparing variants, with a fake of the users' benchmark program."""

from __future__ import annotations

import pathlib
import subprocess

import click
import pytest
from click import testing

from azureramp_standins.measuring import ablation

BENCH = """#!/usr/bin/env python3
import pathlib, sys
limit = pathlib.Path("src/azureramp/policy/limits.py").read_text().split()[-1]
seed = sys.argv[sys.argv.index("--seed") + 1]
folder = pathlib.Path("journal")
folder.mkdir(exist_ok=True)
broken = "{}" if seed != "3" else '{"LOST": 1}'
entry = '{"days": [{"rules": %s}]}' % broken
(folder / f"{limit}-{seed}.json").write_text(entry)
print(f"worth 0.{limit}{seed} = whole day 0.9 (weight 0.7) less prices")
print("- 5 of 10 gathered answers left parts out")
"""


@pytest.fixture
def repository(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> pathlib.Path:
    folder = tmp_path / "repository"
    module = folder / "src/azureramp/policy/limits.py"
    module.parent.mkdir(parents=True)
    module.write_text("LIMIT = 5\n", "utf-8")
    for arguments in (
        ("init", "-q"),
        ("add", "."),
        (*ablation.GIT_AUTHOR_OPTIONS, "commit", "-qm", "x"),
    ):
        subprocess.run(("git", *arguments), cwd=folder, check=True)
    bench = tmp_path / "bench"
    bench.write_text(BENCH, "utf-8")
    bench.chmod(0o755)
    (tmp_path / "site").touch()
    monkeypatch.chdir(folder)
    return folder


def run(repository: pathlib.Path, *options: str) -> testing.Result:
    folder = repository.parent
    arguments = [
        "--bench",
        str(folder / "bench"),
        "--site",
        str(folder / "site"),
    ]
    arguments += ["--scratch", str(folder), "--why", "x", "--day", "quiet-1"]
    return testing.CliRunner().invoke(ablation.main, [*arguments, *options])


def test_variants_are_run_with_the_unchanged_code(
    repository: pathlib.Path,
) -> None:
    result = run(repository, "--seeds", "2", "--set", "policy/limits:LIMIT=7")
    assert result.exit_code == 0, result.output
    rows = [row.split("\t") for row in result.output.splitlines()]
    assert rows[1][:3] == ["as it is", "quiet-1", "0.515"]
    assert rows[2][:3] == ["LIMIT=7", "quiet-1", "0.715"]
    assert rows[1][-2:] == ["10/20", "2/2"]
    entries = sorted(path.name for path in (repository / "journal").iterdir())
    assert entries == ["5-1.json", "5-2.json", "7-1.json", "7-2.json"]


def test_day_that_broke_a_rule_does_not_count(
    repository: pathlib.Path,
) -> None:
    result = run(repository, "--seeds", "3")
    assert result.output.splitlines()[1].endswith("2/3")


@pytest.mark.parametrize(
    "setting", ["policy/limits:OTHER=1", "policy/none:LIMIT=1", "LIMIT=1"]
)
def test_missing_constant_is_reported(
    repository: pathlib.Path, setting: str
) -> None:
    result = run(repository, "--seeds", "1", "--set", setting)
    assert result.exit_code == click.UsageError.exit_code
    assert "--set" in result.output


def test_report_without_worth_does_not_count() -> None:
    assert ablation.parse_report("given up after 60 s") is None
