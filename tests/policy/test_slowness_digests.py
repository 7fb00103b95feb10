"""What VMs tell each other of slow backend servers, and whom they believe."""

from __future__ import annotations

import random

from azureramp.policy import (
    searcher_selection,
    searcher_stats,
    server_slowness,
    slowness_digests,
)

HALF_LIFE_S = 0.4


def make_report(
    figure: float, received_s: float, searcher: str = "i-1"
) -> slowness_digests.Report:
    return slowness_digests.Report(searcher, 1_000, figure, received_s)


def test_only_large_changes_are_told_and_only_once() -> None:
    """Guards against messages whose number grows with the searchers in use."""
    outbox = slowness_digests.Outbox()
    outbox.add(make_report(2.5, 1.0), HALF_LIFE_S)
    assert not outbox.take(1.0)
    outbox.add(make_report(8.5, 1.1), HALF_LIFE_S)
    assert outbox.take(1.1) == (make_report(8.5, 1.1),)
    outbox.add(make_report(8.5, 1.2), HALF_LIFE_S)
    assert not outbox.take(1.2), "the others know"
    outbox.add(make_report(1.0, 1.3), HALF_LIFE_S)
    assert outbox.take(1.3) == (make_report(1.0, 1.3),), "it recovered"
    outbox.add(make_report(8.5, 9.0), HALF_LIFE_S)
    assert outbox.take(9.0), "the others have forgotten"


def test_a_paused_vm_tells_nothing_old() -> None:
    """Guards against a VM that wakes after seconds and tells what it knew."""
    outbox = slowness_digests.Outbox()
    outbox.add(make_report(8.5, 1.0), HALF_LIFE_S)
    assert not outbox.take(4.0)


def test_a_message_is_bounded_and_the_slowest_go_first() -> None:
    outbox = slowness_digests.Outbox()
    for number in range(300):
        outbox.add(make_report(5.0 + number, 1.0, f"i-{number}"), HALF_LIFE_S)
    told = outbox.take(1.0)
    assert len(told) == slowness_digests.MAX_REPORTS
    assert told[0].figure == 304.0
    assert outbox.take(1.1)[0].figure == told[-1].figure - 1.0


def test_the_rate_of_messages_does_not_grow_with_the_vms() -> None:
    for vms in (1, 8, 63):
        interval_s = slowness_digests.compute_interval_s(vms)
        assert vms / interval_s <= slowness_digests.MESSAGES_PER_S + 1e-9


def test_a_vm_that_tells_wrong_figures_is_not_believed_for_long() -> None:
    trust = slowness_digests.Trust()
    checks = [trust.check("liar", 8.5, 1.0, 1.0, 1.1) for _ in range(3)]
    assert checks == [False, False, True]
    assert not trust.is_trusted("liar", 1.2)
    assert trust.is_trusted("honest", 1.2)
    assert trust.is_trusted("liar", 1.2 + slowness_digests.DISTRUST_S)


def test_a_vm_that_told_the_truth_before_a_change_stays_trusted() -> None:
    trust = slowness_digests.Trust()
    for number in range(20):
        own = 1.0 if number % 5 == 0 else 8.0
        assert not trust.check("vm", 8.5, 1.0, own, 1.1)
    assert not trust.check("late", 8.5, 1.0, 1.0, 3.0), "it may have changed"


def test_what_is_told_counts_until_there_is_newer_knowledge() -> None:
    server = server_slowness.ServerSlowness()
    server.record(1.0, 1.0)
    server.record_told("vm-2", 8.5, 0.9)
    assert server.get_latest() == (1.0, 1.0), "the own report is newer"
    server.record_told("vm-2", 8.5, 1.1)
    server.record_told("vm-3", 1.0, 1.05)
    assert server.get_latest() == (8.5, 1.1)
    server.record(1.2, 1.2)
    assert server.get_latest() == (1.2, 1.2)


def test_a_searcher_that_is_only_heard_of_gets_a_call_again() -> None:
    """Guards against a VM whose wrong figures keep a sound searcher idle."""
    records = {
        name: searcher_stats.SearcherStats(2, same_zone=name == "near")
        for name in ("near", "far")
    }
    rng = random.Random(1)
    chosen: list[str] = []
    for number in range(80):
        now_s = number / 10
        records["near"].server.record_told("liar", 8.5, now_s)
        chosen.append(
            searcher_selection.choose(records.items(), now_s, rng) or ""
        )
    assert chosen[0] == "far"
    assert "near" in chosen
