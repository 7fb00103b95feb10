"""Tests of the list of slow searchers."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from azureramp.cli import main, searchers
from azureramp.controllers.forwarding import slow_searchers


def test_slow_searchers_are_shown_with_their_source(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    line = {
        "at": "2026-07-14T04:46:01.000Z",
        "level": "info",
        "vm": "vm-0",
        "channel": "azureramp.searchers",
        "message": slow_searchers.MESSAGE,
        "known": 270,
        "slow": ["i-1 shard-a 8.50 40 own", "i-2 shard-b 6.80 210 vm-3"],
        "left_out": 5,
    }
    path = tmp_path / "log"
    path.write_bytes(msgspec.json.encode(line) + b"\n")
    assert main.run(["searchers", str(path)]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert rows[1:] == [
        "2026-07-14T04:46:01.000Z vm-0: i-1 shard-a 8.50 40 own",
        "2026-07-14T04:46:01.000Z vm-0: i-2 shard-b 6.80 210 vm-3",
        "2026-07-14T04:46:01.000Z vm-0: and 5 more",
    ]
    assert main.run(["searchers", "--searcher", "i-2", str(path)]) == 0
    assert len(capsys.readouterr().out.splitlines()) == 2
    assert searchers.SLOW_SEARCHERS == slow_searchers.MESSAGE
