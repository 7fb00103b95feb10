"""Tests of collecting the use of client accounts."""

from __future__ import annotations

import pathlib
from typing import Any

import msgspec
import pytest

from azureramp import account_use, log_lines, metrics
from azureramp.cli import main


def write(
    at: float, outcome: str, account: str, vm: str = "vm-0", **more: Any
) -> str:
    line = {
        "at": f"2026-07-14T04:46:{at:06.3f}Z",
        "vm": vm,
        "channel": "azureramp.request",
        "message": "request",
        "request": f"r{at}",
        "outcome": outcome,
    }
    if account:
        line["account"] = account
    return msgspec.json.encode(line | more).decode()


def write_limit(at: float, text: str, vm: str = "vm-0") -> str:
    line = {
        "at": f"2026-07-14T04:46:{at:06.3f}Z",
        "vm": vm,
        "channel": "azureramp.account_limits",
        "message": f"account big yard {text}: limit 5/s and 10; vm-1 decided",
    }
    return msgspec.json.encode(line).decode()


ROWS = [
    write(1, "complete", "big yard"),
    write(2, "account_limit", "big yard", retry_after_ms=250),
    write(3, "account_limit", "big yard", vm="vm-1"),
    write(4, "shed", "dealer"),
    write(4, "unauthenticated", "", detail="unknown key"),
    write(5, "complete", ""),
    write_limit(1.9, "reached its limit"),
    write_limit(2.9, "reached its limit", vm="vm-1"),
    write_limit(6.0, "is within its limit again after 3.1 s", vm="vm-1"),
]
PAGE = """# HELP azureramp_account_outcomes Requests.
azureramp_account_outcomes{account="big yard",reason="complete"} 40
azureramp_account_outcomes{account="q\\"\\\\",reason="account_limit"} 7
azureramp_other 5
"""


def test_use_is_collected_from_logs() -> None:
    accounts = account_use.collect(log_lines.parse(ROWS))
    assert list(accounts) == ["big yard", "dealer", metrics.NO_ACCOUNT]
    yard = accounts["big yard"]
    assert yard.sum_outcomes() == {"complete": 1, "account_limit": 2}
    assert yard.limit == "limit 5/s and 10"
    changes = {vm: use.limit_change for vm, use in yard.vms.items()}
    assert {vm: each.reached for vm, each in changes.items() if each} == {
        "vm-0": True,
        "vm-1": False,
    }
    assert [line.at_s % 60 for line in yard.last_refusals] == [2.0, 3.0]


def test_counts_of_a_metrics_page_replace_those_of_the_vms_logs() -> None:
    accounts = account_use.collect(
        log_lines.parse(ROWS), [("vm-0", PAGE.splitlines())]
    )
    assert accounts["big yard"].sum_outcomes() == {
        "complete": 40,
        "account_limit": 1,
    }
    assert accounts['q"\\'].vms["vm-0"].outcomes == {"account_limit": 7}
    assert next(iter(accounts)) == 'q"\\'


def test_command_shows_limits_and_refusals_by_vm(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log, page = tmp_path / "all.log", tmp_path / "vm-1.prom"
    log.write_text("\n".join([*ROWS, write(7, "shed", "z", lines_left_out=9)]))
    page.write_text(PAGE)
    assert main.run(["accounts", str(log), str(page), "--most", "2"]) == 0
    output = capsys.readouterr().out
    assert (
        "account big yard, limit 5/s and 10: 42 requests, 1 refused" in output
    )
    assert "vm-1: 40 requests, 0 refused; within its limit since" in output
    assert "back after 250 ms" in output
    assert "and 3 more accounts" in output
    assert "9 lines were left out" in output
    assert main.run(["accounts", str(log), "--account", "dealer"]) == 0
    assert "big yard" not in capsys.readouterr().out
    assert main.run(["accounts", str(log), "--account", "nobody"]) == 4
