"""Tests of collecting and showing the steps of roll-outs."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from azureramp import log_lines, rollout_steps
from azureramp.cli import exit_codes, main

STEP = {
    "at": "2026-07-14T04:46:01.000Z",
    "level": "info",
    "vm": "vm-3",
    "channel": rollout_steps.CHANNEL,
    "message": "the roll-out of statements to v2 is rolled_back now",
    "service": "statements",
    "target": "v2",
    "order": 8,
    "phase": "rolled_back",
    "reason": "the new version answers worse",
    "age_s": 3.25,
    "calls_to_new": 12,
    "calls_allowed": 60,
    "calls": 120,
    "answers": "r-1: new 6/12 old 1/108",
}


def write(**changes: Any) -> str:
    return msgspec.json.encode(STEP | changes).decode()


def run(path: pathlib.Path, *options: str) -> int:
    return main.run(["rollouts", str(path), *options])


def test_steps_are_collected_by_service_and_order() -> None:
    rows = [
        write(phase="moving"),
        write(at="2026-07-14T04:46:02.000Z"),
        write(order=9, phase="trial"),
        write(channel="azureramp.request"),
    ]
    found = rollout_steps.collect(log_lines.parse(rows))
    phases = {
        key: [step.phase for step in steps] for key, steps in found.items()
    }
    assert phases == {
        ("statements", 8): ["moving", "rolled_back"],
        ("statements", 9): ["trial"],
    }
    assert found["statements", 8][0].get_share() == 0.1


def test_command_shows_share_driver_and_reason_of_a_step(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text(write() + "\n" + write(service="other"), "utf-8")
    assert run(path, "--service", "statements") == exit_codes.ExitCode.OK
    output = capsys.readouterr().out
    assert "rolled_back after 3.2 s, 12 of 120 calls (10.0%)" in output
    assert "by vm-3: the new version answers worse" in output
    assert "r-1: new 6/12 old 1/108" in output
    assert "other" not in output


def test_command_reports_logs_without_rollouts(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    path.write_text(write(channel="x"), "utf-8")
    assert run(path) == exit_codes.ExitCode.NOT_FOUND
    assert "no roll-out" in capsys.readouterr().err
