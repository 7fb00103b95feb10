"""Tests of explaining a failed request from the logs of all VMs."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from azureramp import explanations, log_lines
from azureramp.cli import explain as explain_command
from azureramp.cli import main


def write(at: float, vm: str, channel: str, message: str, **more: Any) -> str:
    line = {
        "at": f"2026-07-14T04:46:{at:06.3f}Z",
        "level": "info",
        "vm": vm,
        "channel": f"azureramp.{channel}",
        "message": message,
    }
    return msgspec.json.encode(line | more).decode()


def write_request(
    at: float, vm: str, name: str, outcome: str, *calls: str
) -> str:
    return write(
        at,
        vm,
        "request",
        "request",
        request=name,
        outcome=outcome,
        calls=list(calls),
    )


def explain(*rows: str) -> explanations.Explanation:
    explanation = explanations.explain(log_lines.parse(rows), "mine")
    assert explanation is not None
    return explanation


def test_refusal_is_explained_by_calls_of_other_vms() -> None:
    """Guards against an explanation that leaves the faulty component open.

    The searcher rejected the call of this VM and those of other VMs, so the
    fault is in the searcher, not in the network path from one VM to it.
    """
    explanation = explain(
        write(1, "vm-0", "program", "started on 10.0.0.1:80"),
        write(
            2, "vm-0", "searchers", "searcher i-7 of s at 10.0.0.2:80 is ready"
        ),
        write_request(9.9, "vm-1", "a", "shed", "s i-7 0: 2 503 not run"),
        write_request(10, "vm-0", "mine", "shed", "s i-7 0: 2 503 not run"),
        write_request(10.2, "vm-2", "b", "answered", "s i-7 0: 3 503 not run"),
    )
    assert explanation.calls == [
        log_lines.Call("s", "i-7", 0, 2, "503 not run")
    ]
    assert "i-7 mostly '503 not run' (2 of 2" in explanation.cause
    assert "seen by 2 VMs" in explanation.cause
    assert [line.message for line in explanation.vm_state_lines] == [
        "started on 10.0.0.1:80"
    ]
    assert [
        line.at_s - explanation.request.at_s
        for line in explanation.searcher_lines
    ] == [-8.0]
    assert not explanation.missing_lines


def test_short_answer_is_explained_for_each_missing_shard() -> None:
    explanation = explain(
        write_request(
            10,
            "vm-0",
            "mine",
            "short",
            "a i-1 0: no answer yet",
            "a i-2 19: no answer yet",
            "b i-3 0: 5 broken",
            "b i-4 5: 9 200",
            "c none: no searcher may get it",
            "d i-5 0: no answer yet",
        ),
        write_request(10.5, "vm-1", "a", "short", "a i-1 0: no answer yet"),
    )
    shards = explanation.cause.split("; ")
    assert shards[0].startswith("a: i-1 mostly 'no answer yet'")
    assert "i-2 no answer yet (seen by this request only)" in shards[0]
    assert shards[1] == "c: no searcher may get it"
    assert shards[2].endswith("no retry or hedged request was allowed")
    assert len(shards) == 3
    assert explanation.missing_lines == [
        "no earlier line of vm-0: its logs start later"
    ]


@pytest.mark.parametrize("crashed", [True, False])
def test_unknown_outcome_is_explained_by_a_crash_or_a_lost_answer(
    crashed: bool,
) -> None:
    rows = [
        write_request(
            10, "vm-0", "mine", "outcome_unknown", "s i-7 0: 3 broken"
        )
    ]
    if crashed:
        message = "request x was running on searcher i-7 when it crashed"
        rows.append(write(10.4, "vm-1", "crashes", message))
    explanation = explain(*rows)
    assert ("crashed while it ran" in explanation.cause) is crashed
    assert ("answer was lost" in explanation.cause) is not crashed


def test_invalid_lines_and_line_prefixes_are_ignored() -> None:
    lines = log_lines.parse(
        [
            "no log line",
            '{"at":"soon","vm":"x"}',
            '{"at":5}',
            "  3.01 vm-0 " + write(3, "vm-0", "contact", "the store is back"),
        ]
    )
    assert [line.message for line in lines] == ["the store is back"]


def test_command_prints_the_explanation_or_that_there_is_no_line(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "vm-0.log"
    row = write_request(10, "vm-0", "mine", "shed", "s i-7 0: 2 503 not run")
    path.write_text(row + "\n", "utf-8")
    assert main.run(["explain", "mine", str(path)]) == 0
    output = capsys.readouterr().out
    assert "request mine: shed" in output
    assert "cause: searchers rejected it without running it" in output
    assert main.run(["explain", "other", str(path)]) == 4
    assert "no line of request other" in capsys.readouterr().err


def test_unready_searcher_is_named_with_its_state() -> None:
    """Guards against treating the silence of a draining searcher as a fault."""
    row = write(
        10,
        "vm-0",
        "request",
        "request",
        request="mine",
        outcome="short",
        calls=["a i-1 0: 8 503 not run", "a i-2 9: no answer yet"],
        not_ready=["i-1 draining", "i-2 gone"],
    )
    assert explain(row).cause == "a: i-1 was draining, i-2 was gone"


def in_force(at: float, vm: str, version: int) -> str:
    return write(at, vm, "applying", f"configuration {version} is in force")


@pytest.mark.parametrize(
    ("fields", "rows", "expected"),
    [
        (
            {"outcome": "unauthenticated", "detail": "no key"},
            [],
            "had no key",
        ),
        (
            {"outcome": "unauthenticated", "detail": "unknown key"},
            [in_force(9.5, "vm-1", 7), in_force(9.9, "vm-2", 7)],
            "the VM was behind: configuration 7 had been in force on vm-1 for"
            " 0.5 s",
        ),
        (
            {"outcome": "unauthenticated", "detail": "unknown key"},
            [in_force(9.5, "vm-1", 4), in_force(10.1, "vm-2", 7)],
            "no account of the VM's configuration holds its key alone",
        ),
        (
            {"outcome": "keys_outdated", "contact_age_ms": 6100},
            [],
            "last reached it 6100 ms before",
        ),
        ({"outcome": "keys_outdated"}, [], "never had contact"),
        (
            {
                "outcome": "account_limit",
                "account": "big yard",
                "detail": "account big yard: limit 5/s and 10; vm-3 decided",
            },
            [
                write(
                    at,
                    vm,
                    "account_limits",
                    f"account {name} reached its limit: limit 5/s and 10",
                )
                for at, vm, name in (
                    (8.0, "vm-0", "big yard"),
                    (9.0, "vm-0", "other"),
                    (9.0, "vm-1", "big yard"),
                    (10.5, "vm-0", "big yard"),
                )
            ],
            "big yard was beyond its limit (reached 2.0 s before): limit 5/s",
        ),
        (
            {"outcome": "stale_configuration", "detail": "its account"},
            [],
            "the configuration changed while it waited",
        ),
        (
            {"outcome": "overloaded", "detail": "3 ahead of it"},
            [],
            "not admitted: 3 ahead of it",
        ),
    ],
)
def test_refusal_of_an_account_is_explained_by_what_the_vm_knew(
    fields: dict[str, Any], rows: list[str], expected: str
) -> None:
    """Guards against a refusal whose cause is in another VM's lines."""
    own = {"request": "mine", "configuration": 4} | fields
    explanation = explain(
        in_force(2.0, "vm-0", 4),
        write(10, "vm-0", "request", "request", **own),
        *rows,
    )
    assert expected in explanation.cause
    assert "behind" in expected or "behind" not in explanation.cause
    assert explanation.in_force is not None
    assert explanation.in_force.version == 4


def test_command_names_the_account_and_what_the_vm_knew(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "vm-0.log"
    fields = {
        "request": "mine",
        "outcome": "account_limit",
        "account": "yard",
        "priority": 1,
        "configuration": 4,
        "contact_age_ms": 250,
    }
    rows = [
        in_force(2.0, "vm-0", 4),
        write(10, "vm-0", "request", "request", **fields),
    ]
    path.write_text("\n".join(rows), "utf-8")
    assert main.run(["explain", "mine", str(path)]) == 0
    output = capsys.readouterr().out
    assert "account yard, priority 1" in output
    assert "configuration 4 had been in force on the VM for 8.0 s" in output
    assert "250 ms before" in output


def test_searchers_that_other_vms_knew_to_have_left_are_listed() -> None:
    explanation = explain(
        write(
            4,
            "vm-1",
            "searchers",
            "searcher i-7 of s at 10.0.0.2:80 is gone",
            revision=812,
        ),
        write(
            5,
            "vm-2",
            "searchers",
            "searcher i-7 of s at 10.0.0.2:80 is gone",
            revision=813,
        ),
        write(
            5, "vm-1", "searchers", "searcher i-8 of s at 10.0.0.3:80 is gone"
        ),
        write(
            6, "vm-1", "searchers", "searcher i-8 of s at 10.0.0.3:80 is ready"
        ),
        write(
            10,
            "vm-0",
            "request",
            "request",
            request="mine",
            outcome="answered",
            searchers=["i-7", "i-8"],
            revision=815,
            source="10.0.0.9:80",
            update_age_ms=120,
        ),
    )
    assert explanation.departures == [
        explanations.Departure("i-7", "gone", "vm-1", 6.0, 812)
    ]
    rows = "\n".join(explain_command.format_explanation(explanation))
    assert "revision 815 from 10.0.0.9:80, received 120 ms before" in rows
    assert "i-7 was gone on vm-1 6.000 s before, by revision 812" in rows


def test_unusable_answer_of_the_store_is_named_with_its_size() -> None:
    """Guards against logs that call a large answer an unreachable store."""
    unusable = (
        "can't use the store's answer to a watch after revision 7: the response"
        " body is too large: 9000000 bytes or more, at most 4000000 are"
        " accepted; reading all entries"
    )
    explanation = explain(
        write(1, "vm-0", "feed", "receiving changes from store"),
        write(2, "vm-0", "feed", unusable),
        write_request(3, "vm-0", "mine", "shed", "s i-7 0: 2 503 not run"),
    )
    messages = [line.message for line in explanation.vm_state_lines]
    assert unusable in messages
