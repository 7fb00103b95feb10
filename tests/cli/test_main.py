"""Tests of the tool's command line: flags, variables and usage errors."""

from __future__ import annotations

import pytest

from azureramp.cli import exit_codes, main

CONNECTED = ["--address", "127.0.0.1:1", "--token", "t"]


def test_flag_is_read_from_environment_variable(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("AZURERAMP_ADDRESS", "10.0.0.1:1, here")
    monkeypatch.setenv("AZURERAMP_TOKEN", "t")

    assert main.run(["status"]) == exit_codes.ExitCode.USAGE
    assert "AZURERAMP_ADDRESS): 'here' is not" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (
            ["status", "--token", "t", "--address", "here:x"],
            ["--address", "AZURERAMP_ADDRESS", "'here:x'", "1 to 65535"],
        ),
        (
            ["status", *CONNECTED, "--timeout-ms", "soon"],
            ["--timeout-ms", "AZURERAMP_TIMEOUT_MS", "'soon'", "1 to 600000"],
        ),
        (
            ["status", *CONNECTED, "--language", "de"],
            ["--language", "AZURERAMP_LANGUAGE", "'de'", "en, hu"],
        ),
        (
            ["drain-zone", "b", *CONNECTED, "--wait-ms", "0"],
            ["--wait-ms", "AZURERAMP_DRAIN_ZONE_WAIT_MS", "'0'", "1 to"],
        ),
        (["status"], ["--address", "AZURERAMP_ADDRESS", "is missing"]),
        (["get", "zone", *CONNECTED], ["KIND", "'zone'", "one of service"]),
        (["apply", *CONNECTED, "-f", "/no/file"], ["--file", "/no/file"]),
        (["status", "--speed", "1"], ["--speed"]),
    ],
)
def test_usage_error_prints_one_line_and_exits_with_2(
    arguments: list[str], words: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    code = main.run(arguments)

    lines = capsys.readouterr().err.splitlines()
    assert code == exit_codes.ExitCode.USAGE
    assert len(lines) == 1
    for word in words:
        assert word in lines[0]
