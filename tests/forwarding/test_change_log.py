"""Tests that the number of log lines on the store's changes stays small."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterator

import logbook

from azureramp.controllers.forwarding import change_log
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes

VMS = 12
SERVICES = 20


@contextlib.contextmanager
def capture() -> Iterator[logbook.TestHandler]:
    """Captures the log lines written in the context."""
    with logbook.TestHandler(level=logbook.INFO).applicationbound() as handler:
        yield handler


def count_lines(handler: logbook.TestHandler) -> collections.Counter[str]:
    """Counts the log lines by channel."""
    return collections.Counter(record.channel for record in handler.records)


def test_new_searchers_are_logged_as_counts() -> None:
    """Guards against a log line for each new searcher on each VM."""

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(4.0)
        with capture() as handler:
            for number in range(SERVICES):
                await scene.add_searchers(f"more-{number}")
            await deployment.wait_for_updates(change_log.FLUSH_INTERVAL_S + 1.0)
        counts = count_lines(handler)
        assert counts["azureramp.searchers"] == 0
        assert 0 < counts["azureramp.changes"] <= 3 * VMS

    scenes.run(scenario, vms=VMS)


def test_a_change_of_a_searcher_in_use_is_logged_as_a_line() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        assert (await scene.send_request("vm-0", "/one/x")).status == 200
        used = next(
            name
            for name, each in scene.searchers.items()
            if any(seen.target == "/one/x" for seen in each.requests)
        )
        with capture() as handler:
            entry = scene.searchers[used].make_entry(State="draining")
            scene.store.put(f"servers/{used}", entry)
            await deployment.wait_for_updates(1.0)
        messages = [
            record.message
            for record in handler.records
            if record.channel == "azureramp.searchers"
        ]
        assert len(messages) == 1
        assert used in messages[0]
        assert messages[0].endswith("draining")

    scenes.run(scenario)


def test_a_missing_entry_of_a_searcher_in_use_is_logged_with_its_source() -> (
    None
):
    async def scenario(scene: deployment.Deployment) -> None:
        for _ in range(8):
            assert (await scene.send_request("vm-0", "/one/x")).status == 200
        scene.store.faults.busy = True
        await deployment.wait_for_updates(5.0)
        scene.store.remove("servers/statements-0")
        revision = scene.store.state.revision
        scene.store.faults.busy = False
        with capture() as handler:
            await deployment.wait_for_updates(1.5)
            assert (await scene.send_request("vm-0", "/one/x")).status == 200
            await deployment.wait_for_updates(4.0)
        lines = [
            record
            for record in handler.records
            if record.channel == "azureramp.searchers"
        ]
        assert ["missing" in lines[0].message, "gone" in lines[1].message] == [
            True,
            True,
        ]
        assert lines[0].extra["source"] == "store"
        assert lines[0].extra["revision"] >= revision
        request = next(
            record.extra
            for record in handler.records
            if record.channel == "azureramp.request"
        )
        assert request["source"] == "store"
        assert request["revision"] >= revision
        assert request["update_age_ms"] < 2000
        assert set(request["searchers"]) <= {"statements-0", "statements-1"}

    scenes.run(scenario)


def test_lines_on_single_searchers_are_rate_limited() -> None:
    log = change_log.ChangeLog()
    channel = logbook.Logger("azureramp.searchers")
    with capture() as handler:
        for _ in range(100):
            log.log_line(channel, "searcher a is gone", 1.0)
        log.log_line(channel, "searcher b is gone", 2.0)
    assert len(handler.records) == change_log.LINE_BURST + 1
    left_out = 100 - int(change_log.LINE_BURST)
    assert handler.records[-1].extra["lines_left_out"] == left_out


def test_counts_are_logged_once_per_interval() -> None:
    log = change_log.ChangeLog()
    with capture() as handler:
        log.count(change_log.Change.VM_GONE)
        log.flush(1.0, 7)
        log.count(change_log.Change.VM_SEEN)
        log.flush(1.0 + change_log.FLUSH_INTERVAL_S / 2, 8)
        log.count(change_log.Change.VM_SEEN)
        log.flush(1.0 + change_log.FLUSH_INTERVAL_S, 9)
        log.flush(9.0, 9)
    first, second = handler.records
    assert first.extra["vms_gone"] == 1
    assert second.extra["vms_seen"] == 2
    assert second.extra["revision"] == 9
