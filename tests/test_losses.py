"""Tests of summarizing poorly served requests by time span."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from azureramp import log_lines, loss_causes, losses
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


def collect(*rows: str, span_s: float = 1.0) -> list[losses.SpanLosses]:
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
def test_losses_of_a_request_depend_on_outcome_and_latency_target(
    outcome: str, took_ms: float, expected: list[losses.Loss]
) -> None:
    (line,) = log_lines.parse([write(1.0, outcome, took_ms=took_ms)])
    assert losses.classify(line) == expected


def test_shard_with_a_quick_successful_retry_is_not_counted() -> None:
    """Guards against attributing a short answer to a shard that recovered.

    Both searchers of one shard don't answer. The first call to another shard
    fails too, but its retry is answered long before the request ends.
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


def test_losses_are_counted_by_span_and_vm() -> None:
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


def test_command_shows_the_worst_spans_ordered_by_time(
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
    output = capsys.readouterr().out
    assert "04:46:08" in output
    assert "shards: bad 2" in output
    assert "VMs: vm-0 1, vm-1 1" in output
    assert "04:46:02" not in output


def test_routes_without_any_answer_are_left_out() -> None:
    """Guards against rows for routes on which no caller gets an answer."""
    rows = [write(1.0, "overloaded", route="added") for _ in range(50)]
    rows += [write(1.2, "short"), write(1.4, "complete")]
    (lost,) = collect(*rows)
    assert lost.counts == {losses.Loss.SHORT: 1}


@pytest.mark.parametrize(
    ("outcome", "more", "weight"),
    [
        ("shards_missing", {}, 1.0),
        ("shed", {}, 0.5),
        ("complete", {"took_ms": 200.0}, 0.9),
        ("short", {"shards": 10, "missing": 1}, 0.19),
        ("short", {"shards": 10, "missing": 1, "took_ms": 200.0}, 0.919),
    ],
)
def test_weight_is_the_value_that_callers_lost(
    outcome: str, more: dict[str, Any], weight: float
) -> None:
    (lost,) = collect(write(1.0, outcome, **more), write(1.0, "complete"))
    assert lost.weight == pytest.approx(weight)


def test_outcomes_of_calls_distinguish_dark_paused_and_slow_searchers() -> None:
    """Guards against treating a paused searcher as one without power."""
    rows = [write(1.0, "complete")]
    for at in (2.0, 2.2, 2.4):
        rows.append(
            write(
                at,
                "short",
                "a dark 0: no answer yet",
                "b paused 0: no answer yet",
                "c slow 0: 90 200",
                "d none: no searcher may get it",
                "e full 0: 2 503 not run",
                "f away 0: 60 no_connection, not sent",
                "g cut 0: 5 broken",
            )
        )
        rows.append(write(at + 0.1, "complete", "b paused 0: 40 200"))
    (lost,) = collect(*rows, span_s=10.0)
    assert lost.causes == dict.fromkeys(loss_causes.Cause, 3)
    assert lost.called_once == 3 * 6


def test_network_delay_of_the_caller_counts_as_latency() -> None:
    """Guards against missing answers that are sent in time but arrive late."""
    (line,) = log_lines.parse([write(1.0, "complete", way_ms=18.5)])
    assert losses.classify(line) == [losses.Loss.LATE]


def test_requests_to_unadvertised_vms_are_left_out() -> None:
    """Guards against rows for checks, which are sent to every VM."""
    rows = [write(1.0, "shed", advertised=False) for _ in range(9)]
    rows += [write(1.0, "shed", advertised=True), write(1.1, "complete")]
    (lost,) = collect(*rows)
    assert lost.counts == {losses.Loss.REFUSED: 1}


def test_losses_are_divided_by_account_and_by_priority() -> None:
    rows = [
        write(1.0, "complete"),
        write(1.0, "shed", account="yard", priority=0),
        write(1.1, "shed", account="dealer", priority=1),
        write(1.2, "account_limit", account="dealer", priority=1),
        write(1.3, "shed", priority=1),
    ]
    lines = log_lines.parse(rows)
    by_account = losses.collect(lines, 1.0, losses.Group.ACCOUNT)
    assert [span.name for span in by_account] == ["", "dealer", "yard"]
    dealer = list(by_account.values())[1]
    assert dealer.counts == {losses.Loss.REFUSED: 1, losses.Loss.LIMITED: 1}
    assert dealer.weight == 0.5
    by_priority = losses.collect(lines, 1.0, losses.Group.PRIORITY)
    assert {
        span.name: lost.counts.total() for span, lost in by_priority.items()
    } == {"0": 1, "1": 3}


@pytest.mark.parametrize(
    ("served", "room"),
    [
        ({"at": 1.2, "took_ms": 50.0, "priority": 1}, 1),
        ({"at": 1.2, "took_ms": 50.0, "priority": 2}, 1),
        ({"at": 1.2, "took_ms": 50.0, "priority": 0}, 0),
        ({"at": 1.2, "took_ms": 50.0, "priority": 1, "route": "other"}, 0),
        ({"at": 1.2, "took_ms": 180.0, "target_ms": 150, "priority": 1}, 0),
        ({"at": 1.05, "took_ms": 90.0, "priority": 1}, 0),
        ({"at": 1.6, "took_ms": 50.0, "priority": 1}, 0),
    ],
)
def test_refusal_though_room_was_there(
    served: dict[str, Any], room: int
) -> None:
    """Guards against refusals that a later, less urgent request disproves."""
    rows = [write(0.1, "complete", priority=0)]
    rows.append(write(1.0, "overloaded", priority=1, took_ms=0.2))
    rows.append(write(1.0, "overloaded", "a s 0: 1 503 not run", priority=1))
    at = served.pop("at")
    rows.append(write(at, "complete", vm="vm-1", **served))
    assert sum(lost.room for lost in collect(*rows)) == room
