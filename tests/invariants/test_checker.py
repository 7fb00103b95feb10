"""Each promise, broken on purpose, turns the checker red."""

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


def make_past(*timed: tuple[float, events.AnyEvent]) -> history.History:
    """Makes a history of one VM's events at the given times."""
    now = [0.0]
    timeline = timelines.Timeline("vm-1", wall=lambda: now[0])
    for at_s, event in timed:
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


def make_received(**fields: object) -> history.Received:
    values: dict[str, object] = {
        "sent_s": 1.0,
        "got_s": 2.0,
        "vm": "vm-1",
        "answered": True,
        "code": "ok",
        "ran": "ran",
        "request_id": "r",
        "version": 1,
        **fields,
    }
    return history.Received(**values)  # type: ignore[arg-type]


def break_snapshot() -> history.History:
    return make_past(
        (0, ADMITTED),
        (1, make_part(0, 10)),
        (2, make_part(10, 30, version=2)),
        (3, make_answer(1.0)),
    )


def break_coverage() -> history.History:
    return make_past(
        (0, ADMITTED), (1, make_part(0, 10)), (2, make_answer(0.5))
    )


def break_cold_start() -> history.History:
    past = make_past()
    past.arrivals.append(make_arrival(1.0, in_use=2, cold_limit=1))
    return past


def break_zone_out() -> history.History:
    past = make_past(
        (1, make_zone_change(5, "a")), (1, accept("availability_zone", "a", 5))
    )
    past.arrivals.append(make_arrival(4.5))
    return past


def break_whole_answer() -> history.History:
    past = make_past()
    past.keys_by_tag["q@1"] = (1, 2, 3)
    past.received.append(
        make_received(
            wanted="q", complete=True, item_keys=(1, 2), item_tags=("q@1",) * 2
        )
    )
    return past


def break_not_run() -> history.History:
    past = make_past()
    past.arrivals.append(make_arrival(5.0))
    past.received.append(make_received(code="overloaded", ran="not_run"))
    return past


def break_at_most_once() -> history.History:
    past = make_past()
    past.arrivals.append(make_arrival(1.0, idempotency_key="k"))
    past.arrivals.append(make_arrival(9.0, idempotency_key="k"))
    return past


def break_server_leaving() -> history.History:
    past = make_past(
        (1, make_zone_change(5, "a")),
        (1, accept("backend_server", "server-a", 5)),
    )
    past.arrivals.append(make_arrival(4.5))
    return past


def break_graceful_stop() -> history.History:
    past = make_past()
    past.stops.append(history.Stop("vm-1", began_s=1.5, ended_s=3.0))
    past.received.append(make_received(answered=False, code="", ran=""))
    return past


def break_configuration() -> history.History:
    return make_past((1, make_zone_change(5)), (2, make_zone_change(4)))


BREAKS = {
    "snapshot": break_snapshot,
    "coverage": break_coverage,
    "cold_start": break_cold_start,
    "zone_out": break_zone_out,
    "whole_answer": break_whole_answer,
    "not_run": break_not_run,
    "at_most_once": break_at_most_once,
    "server_leaving": break_server_leaving,
    "graceful_stop": break_graceful_stop,
    "configuration": break_configuration,
}


def test_there_is_a_break_for_each_invariant() -> None:
    assert list(BREAKS) == list(checker.INVARIANTS)


@pytest.mark.parametrize("name", checker.INVARIANTS)
def test_a_broken_promise_is_found_and_no_other(name: str) -> None:
    found = checker.check(BREAKS[name]())

    assert {violation.invariant for violation in found} == {name}


def test_a_vm_that_admits_work_on_an_old_revision_is_found() -> None:
    past = make_past(
        (1, make_zone_change(4)),
        (2, accept("availability_zone", "a", 5)),
        (6, ADMITTED),
    )

    assert [v.invariant for v in checker.check(past)] == ["configuration"]


def test_a_zone_that_came_back_may_have_work() -> None:
    past = make_past(
        (1, make_zone_change(5, "a")),
        (1, accept("availability_zone", "a", 5)),
        (9, make_zone_change(6)),
    )
    past.arrivals.append(make_arrival(9.5))

    assert checker.check(past) == []


def test_a_change_accepted_after_the_zone_is_back_says_nothing() -> None:
    past = make_past(
        (1, make_zone_change(5, "a")),
        (2, make_zone_change(6)),
        (3, accept("availability_zone", "a", 5)),
    )
    past.arrivals.append(make_arrival(9.5))

    assert checker.check(past) == []


def test_a_good_run_has_no_violation() -> None:
    past = make_past(
        (0, ADMITTED),
        (1, make_part(0, 10)),
        (2, make_part(10, 30)),
        (3, make_answer(1.0)),
    )
    past.keys_by_tag["q@1"] = (1, 2)
    past.received.append(
        make_received(
            wanted="q",
            complete=True,
            coverage=1.0,
            item_keys=(1, 2),
            item_tags=("q@1",) * 2,
        )
    )

    assert checker.check(past) == []
