"""Tests that the checker detects a violation of each invariant."""

from __future__ import annotations

import pytest

from azureramp import events, resources, timelines
from azureramp.invariants import checker, history

MAP = resources.ShardMap(
    name="arrears.1",
    index="arrears",
    version=1,
    shards=(
        resources.Shard(name="a", low=0, high=10, size=10, searchers=("s",)),
        resources.Shard(name="b", low=10, high=30, size=30, searchers=("s",)),
    ),
)
ADMITTED = events.RequestAdmitted(
    request_id="r",
    caller="desk",
    service="claims",
    index="arrears",
    version=1,
    priority=0,
    fingerprint=1,
)


def make_part(low: int, high: int, version: int = 1) -> events.PartEnded:
    return events.PartEnded(
        request_id="r",
        part=low,
        searcher="s",
        version=version,
        low=low,
        high=high,
        code="ok",
        merged=True,
    )


def make_answer(coverage: float) -> events.RequestAnswered:
    return events.RequestAnswered(
        request_id="r", code="ok", ran="ran", version=1, coverage=coverage
    )


def make_zone_change(revision: int, *zones: str) -> events.ConfigurationApplied:
    return events.ConfigurationApplied(
        revision=revision,
        source="store",
        changed=("availability_zone/a",),
        zones_out=zones,
        leaving=tuple(f"server-{zone}" for zone in zones),
    )


def accept(kind: str, name: str, revision: int) -> events.ConfigurationAccepted:
    return events.ConfigurationAccepted(
        resource_kind=kind, name=name, revision=revision
    )


def make_history(
    *timed_events: tuple[float, events.AnyEvent],
) -> history.History:
    """Makes a history of one VM's events at given times, in seconds."""
    now = [0.0]
    timeline = timelines.Timeline("vm-1", wall_clock=lambda: now[0])
    for at_s, event in timed_events:
        now[0] = at_s
        timeline.record(event, at_s)
    return history.History(
        records=timeline.get_records(),
        shard_maps={MAP.name: MAP},
        end_s=100.0,
    )


def make_arrival(at_s: float, **fields: object) -> history.Arrival:
    values: dict[str, object] = {
        "request_id": "r",
        "searcher": "s",
        "server": "server-a",
        "zone": "a",
        "version": 1,
        **fields,
    }
    return history.Arrival(at_s=at_s, **values)  # type: ignore[arg-type]


def make_received(**fields: object) -> history.RequestOutcome:
    values: dict[str, object] = {
        "sent_s": 1.0,
        "ended_s": 2.0,
        "vm": "vm-1",
        "answered": True,
        "code": "ok",
        "ran": "ran",
        "request_id": "r",
        "version": 1,
        **fields,
    }
    return history.RequestOutcome(**values)  # type: ignore[arg-type]


def violate_snapshot() -> history.History:
    return make_history(
        (0, ADMITTED),
        (1, make_part(0, 10)),
        (2, make_part(10, 30, version=2)),
        (3, make_answer(1.0)),
    )


def violate_coverage() -> history.History:
    return make_history(
        (0, ADMITTED), (1, make_part(0, 10)), (2, make_answer(0.5))
    )


def violate_cold_start() -> history.History:
    run_history = make_history()
    run_history.arrivals.append(make_arrival(1.0, in_use=2, cold_limit=1))
    return run_history


def violate_zone_out() -> history.History:
    run_history = make_history(
        (1, make_zone_change(5, "a")), (1, accept("availability_zone", "a", 5))
    )
    run_history.arrivals.append(make_arrival(4.5))
    return run_history


def violate_whole_answer() -> history.History:
    run_history = make_history()
    run_history.keys_by_tag["q@1"] = (1, 2, 3)
    run_history.outcomes.append(
        make_received(
            expected_query="q",
            complete=True,
            item_keys=(1, 2),
            item_tags=("q@1",) * 2,
        )
    )
    return run_history


def violate_not_run() -> history.History:
    run_history = make_history()
    run_history.arrivals.append(make_arrival(5.0))
    run_history.outcomes.append(make_received(code="overloaded", ran="not_run"))
    return run_history


def violate_at_most_once() -> history.History:
    run_history = make_history()
    run_history.arrivals.append(make_arrival(1.0, idempotency_key="k"))
    run_history.arrivals.append(make_arrival(9.0, idempotency_key="k"))
    return run_history


def violate_server_leaving() -> history.History:
    run_history = make_history(
        (1, make_zone_change(5, "a")),
        (1, accept("backend_server", "server-a", 5)),
    )
    run_history.arrivals.append(make_arrival(4.5))
    return run_history


def violate_graceful_stop() -> history.History:
    run_history = make_history()
    run_history.stops.append(
        history.PlannedStop("vm-1", began_s=1.5, ended_s=3.0)
    )
    run_history.outcomes.append(make_received(answered=False, code="", ran=""))
    return run_history


def violate_configuration() -> history.History:
    return make_history((1, make_zone_change(5)), (2, make_zone_change(4)))


VIOLATING_HISTORIES = {
    "snapshot": violate_snapshot,
    "coverage": violate_coverage,
    "cold_start": violate_cold_start,
    "zone_out": violate_zone_out,
    "whole_answer": violate_whole_answer,
    "not_run": violate_not_run,
    "at_most_once": violate_at_most_once,
    "server_leaving": violate_server_leaving,
    "graceful_stop": violate_graceful_stop,
    "configuration": violate_configuration,
}


def test_each_invariant_has_a_violating_history() -> None:
    assert list(VIOLATING_HISTORIES) == list(checker.INVARIANTS)


@pytest.mark.parametrize("name", checker.INVARIANTS)
def test_only_the_violated_invariant_is_reported(name: str) -> None:
    found = checker.check(VIOLATING_HISTORIES[name]())

    assert {violation.invariant for violation in found} == {name}


def test_request_admitted_on_outdated_revision_is_reported() -> None:
    run_history = make_history(
        (1, make_zone_change(4)),
        (2, accept("availability_zone", "a", 5)),
        (6, ADMITTED),
    )

    assert [v.invariant for v in checker.check(run_history)] == [
        "configuration"
    ]


def test_zone_back_in_service_may_receive_work() -> None:
    run_history = make_history(
        (1, make_zone_change(5, "a")),
        (1, accept("availability_zone", "a", 5)),
        (9, make_zone_change(6)),
    )
    run_history.arrivals.append(make_arrival(9.5))

    assert checker.check(run_history) == []


def test_change_accepted_after_zone_is_back_is_ignored() -> None:
    run_history = make_history(
        (1, make_zone_change(5, "a")),
        (2, make_zone_change(6)),
        (3, accept("availability_zone", "a", 5)),
    )
    run_history.arrivals.append(make_arrival(9.5))

    assert checker.check(run_history) == []


def test_correct_run_has_no_violation() -> None:
    run_history = make_history(
        (0, ADMITTED),
        (1, make_part(0, 10)),
        (2, make_part(10, 30)),
        (3, make_answer(1.0)),
    )
    run_history.keys_by_tag["q@1"] = (1, 2)
    run_history.outcomes.append(
        make_received(
            expected_query="q",
            complete=True,
            coverage=1.0,
            item_keys=(1, 2),
            item_tags=("q@1",) * 2,
        )
    )

    assert checker.check(run_history) == []
