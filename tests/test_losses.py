"""What requests lost in each span of time."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from azureramp import log_lines, losses
from azureramp.cli import main


def write(
    at: float, outcome: str, *calls: str, vm: str = "vm-0", **more: Any
) -> str:
    line = {
        "at": f"2026-07-14T04:46:{at:06.3f}Z",
        "level": "info",
        "vm": vm,
        "channel": "azureramp.request",
        "message": "request",
        "request": "r1",
        "route": "lookup",
        "outcome": outcome,
        "took_ms": 100.0,
        "target_ms": 118,
        "calls": list(calls),
    }
    return msgspec.json.encode(line | more).decode()


def collect(*rows: str, span_s: float = 1.0) -> list[losses.Lost]:
    return list(losses.collect(log_lines.parse(rows), span_s).values())


@pytest.mark.parametrize(
    ("outcome", "took_ms", "expected"),
    [
        ("complete", 100.0, []),
        ("complete", 119.0, [losses.Loss.LATE]),
        ("answered", 119.0, [losses.Loss.LATE]),
        ("short", 100.0, [losses.Loss.SHORT]),
        ("short", 400.0, [losses.Loss.SHORT, losses.Loss.LATE]),
        ("shed", 1.0, [losses.Loss.REFUSED]),
        ("shards_unreachable", 0.1, [losses.Loss.REFUSED]),
        ("shards_missing", 990.0, [losses.Loss.FAILED]),
        ("not_found", 500.0, []),
        ("caller_gone", 90.0, []),
    ],
)
def test_a_request_is_judged_by_its_outcome_and_its_routes_target(
    outcome: str, took_ms: float, expected: list[losses.Loss]
) -> None:
    (line,) = log_lines.parse([write(1.0, outcome, took_ms=took_ms)])
    assert losses.judge(line) == expected


def test_a_shard_whose_second_call_came_soon_is_not_to_blame() -> None:
    """A lookup is short: one shard's searchers both keep silent.

    Another shard's first call was lost as well, but its second one was
    answered long before the lookup ended.
    """
    (lost,) = collect(
        write(
            1.0,
            "short",
            "bad s-1 0: no answer yet",
            "bad s-2 30: no answer yet",
            "fine s-3 0: 10 broken",
            "fine s-4 10: 30 200",
        )
    )
    assert lost.shards == {"bad": 1}
    assert lost.searchers == {"s-1": 1, "s-2": 1}


def test_spans_and_vms_are_told_apart() -> None:
    rows = [
        write(1.1, "short", vm="vm-0"),
        write(1.9, "short", vm="vm-1"),
        write(2.1, "shed", vm="vm-1"),
    ]
    first, second = collect(*rows)
    assert first.counts == {losses.Loss.SHORT: 2}
    assert first.vms == {"vm-0": 1, "vm-1": 1}
    assert second.counts == {losses.Loss.REFUSED: 1}
    (both,) = collect(*rows, span_s=10.0)
    assert both.counts.total() == 3


def test_the_command_shows_the_worst_spans_by_time(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    one, other = tmp_path / "vm-0.log", tmp_path / "vm-1.log"
    one.write_text(write(9.0, "short", "bad s-1 0: no answer yet"))
    other.write_text(
        "\n".join(
            [
                write(3.0, "shed"),
                write(5.0, "short"),
                write(9.5, "short", "bad s-2 0: no answer yet", vm="vm-1"),
                "no log line",
            ]
        )
    )
    arguments = ["losses", str(one), str(other), "--span", "2", "--worst", "1"]
    assert main.run(arguments) == 0
    told = capsys.readouterr().out
    assert "04:46:08" in told
    assert "shards: bad 2" in told
    assert "VMs: vm-0 1, vm-1 1" in told
    assert "04:46:02" not in told
