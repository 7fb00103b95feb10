"""Tests of hedges, retries, lost owners and requests that caused crashes."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import (
    blackboard,
    errors,
    events,
    messages,
    resources,
    responses,
)
from azureramp.policy import fingerprints, hedging
from tests.controllers import query_cell

STRAGGLER_S = 0.2


async def warm_up(cell: query_cell.Cell, queries: int = 12) -> None:
    """Lets the coordinator measure usual durations and earn a budget."""
    for number in range(1000, 1000 + queries):
        await cell.coordinator.query(cell.make_query(number))


def straggle(cell: query_cell.Cell, name: str) -> None:
    """Makes all calls of a searcher slow from now on."""

    async def behave(
        batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        await asyncio.sleep(STRAGGLER_S)
        return query_cell.make_done(batch, part)

    cell.searchers[name].behaviour = behave


def force_choice(cell: query_cell.Cell, name: str) -> None:
    """Forces the choice of a searcher by making other replicas unusable.

    They are usable again after 1 ms, for later attempts.
    """
    shard = name.partition("-")[0]
    others = [n for n in cell.searchers if n.startswith(f"{shard}-")]
    others.remove(name)
    for other in others:
        cell.advertise_one(other, usable=False)
    loop = asyncio.get_running_loop()
    for other in others:
        loop.call_later(0.001, cell.advertise_one, other)


def get_chosen(cell: query_cell.Cell, request_id: str) -> list[str]:
    """Returns the reasons of a request's hedges and retries, in order."""
    return [
        event.reason
        for event in cell.get_events(events.PartChosen)
        if event.request_id == request_id and event.reason != "first"
    ]


def test_straggler_is_hedged_on_another_server_and_cancelled() -> None:
    """A query waits for a searcher that takes twenty times as long as usual.

    A second replica answers instead. The slow call must be cancelled so that
    its slot becomes free.
    """

    async def main() -> tuple[responses.QueryAnswer, query_cell.Cell]:
        cell = query_cell.Cell()
        await warm_up(cell)
        straggle(cell, "s0-0")
        force_choice(cell, "s0-0")
        answer = (await cell.coordinator.query(cell.make_query())).ok
        await asyncio.sleep(0.01)
        return answer, cell

    answer, cell = query_cell.run(main())

    assert answer.complete
    assert answer.took_ms < 60
    assert get_chosen(cell, "request-1") == ["hedge"]
    assert len(cell.searchers["s0-0"].cancelled) == 1
    assert not cell.searchers["s0-0"].running


@pytest.mark.parametrize(
    ("case_name", "hedges"),
    [
        ("owner's notice", 1),
        ("notice of an ended part", 0),
        ("budget of zero", 0),
        ("overload", 1),
        ("same server only", 0),
        ("crash attributed to the request", 0),
    ],
)
def test_owners_notice_causes_hedge_only_where_allowed(
    case_name: str, hedges: int
) -> None:
    async def main() -> list[str]:
        cell = query_cell.Cell(query_cell.Shape(replicas=3))
        await warm_up(cell)
        straggle(cell, "s0-0")
        force_choice(cell, "s0-0")
        measured = cell.coordinator._dispatcher.measurements
        query = cell.make_query(priority=resources.Priority.DEFERRABLE)
        match case_name:
            case "budget of zero":
                cell.put(resources.Policy(name="default", hedge_budget=0))
            case "overload":
                measured.admission_level.value = 2.5
                query = cell.make_query()
            case "same server only":
                server = cell.board.configuration.get_backend_servers()
                names = [f"server-s0-{number}" for number in range(3)]
                together = tuple(
                    one for name in names for one in server[name].searchers
                )
                for name, searchers in zip(
                    names, (together, (), ()), strict=True
                ):
                    cell.put(
                        resources.BackendServer(
                            name=name,
                            service="claims",
                            zone="zone-0",
                            searchers=searchers,
                        )
                    )
            case "crash attributed to the request":
                attribute_crash(cell, query.body, "one")
        task = asyncio.ensure_future(cell.coordinator.query(query))
        await asyncio.sleep(0.05)
        chosen = [
            event
            for event in cell.get_events(events.PartChosen)
            if event.request_id == "request-1" and event.shard == "0"
        ]
        part = chosen[0].part + (100 if "ended" in case_name else 0)
        late = messages.PartsLate(request_id="request-1", parts=(part, part))
        cell.coordinator.receive_late("vm-1", late)
        cell.coordinator.receive_late("vm-1", late)
        answer = (await task).ok
        assert answer.complete
        return get_chosen(cell, "request-1")

    assert query_cell.run(main()) == ["hedge"] * hedges, case_name


@pytest.mark.parametrize(("level", "hedges"), [(3.0, 1), (2.5, 0)])
def test_without_notice_nothing_is_hedged_under_overload(
    level: float, hedges: int
) -> None:
    """A part is late, and without its owner's notice it may only be queued.

    Under overload a hedge would wait in another queue and take a slot from the
    first call of another request.
    """

    async def main() -> list[str]:
        cell = query_cell.Cell()
        await warm_up(cell, 40)
        straggle(cell, "s0-0")
        force_choice(cell, "s0-0")
        cell.coordinator._dispatcher.measurements.admission_level.value = level
        assert (await cell.coordinator.query(cell.make_query())).ok.complete
        return get_chosen(cell, "request-1")

    assert query_cell.run(main()) == ["hedge"] * hedges


def attribute_crash(cell: query_cell.Cell, body: bytes, crash_id: str) -> None:
    """Attributes the crash of a server to a query."""
    cell.board.crash_counts.record_crash(
        f"server-{crash_id}",
        f"searcher-{crash_id}",
        crash_id,
        frozenset({fingerprints.compute_fingerprint("cover", body)}),
        asyncio.get_running_loop().time(),
        600.0,
    )


def test_hedges_and_retries_stay_within_their_budgets() -> None:
    """Every searcher is slow at random; hedging all would double the load.

    Over many queries hedges must stay within 5 % and retries within 10 % of
    the needed calls.
    """

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()

        async def behave(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            slow = cell.random.random() < 0.3
            if slow:
                late = messages.PartsLate(
                    request_id=batch.request_id, parts=(part.part,)
                )
                asyncio.get_running_loop().call_later(
                    0.015, cell.coordinator.receive_late, "vm-1", late
                )
            await asyncio.sleep(0.2 if slow else 0.01)
            return query_cell.make_done(batch, part)

        for searcher in cell.searchers.values():
            searcher.behaviour = behave
        for number in range(200):
            await cell.coordinator.query(cell.make_query(number))
        return cell

    cell = query_cell.run(main())

    counts = cell.board.metrics.counts
    assert counts["part.needed"] == 1200
    assert 0 < counts["part.hedged"] <= 60
    assert counts["part.retried"] <= 120 + 10


def test_failing_service_gets_no_retry_storm() -> None:
    """A whole service fails; unlimited retries would triple the load."""

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.behaviour = query_cell.fail_with(
                errors.Kind.BACKEND_FAILED, sent=True
            )
        for number in range(100):
            await cell.coordinator.query(cell.make_query(number))
        return cell

    cell = query_cell.run(main())

    assert cell.count_calls() <= 600 * 1.1 + 10


@pytest.mark.parametrize("lost", ["silent", "restarted", "gone"])
def test_lost_owner_vm_does_not_reduce_coverage(
    lost: str,
) -> None:
    """An entry VM fails during a query, and its parts are lost.

    They exceed the hedge budget. Once membership detects the failure, they
    must immediately be sent to other owners, and the answer must be complete.
    """

    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell(query_cell.Shape(shards=12, vms=3, replicas=3))
        cell.put(resources.Policy(name="default", retry_budget=0))
        for name, searcher in cell.searchers.items():
            if cell.board.owners[name] == "vm-1":
                searcher.behaviour = query_cell.never_reply()

        def notice() -> None:
            member = cell.board.members["vm-1"]
            match lost:
                case "silent":
                    member.state = blackboard.MemberState.SUSPECT
                case "restarted":
                    member.incarnation += 1
                case "gone":
                    del cell.board.members["vm-1"]

        asyncio.get_running_loop().call_later(0.08, notice)
        query = cell.make_query(deadline_ms=400)
        return (await cell.coordinator.query(query)).ok

    answer = query_cell.run(main())

    assert answer.complete
    assert answer.took_ms < 200


def test_searcher_that_never_replies_is_soon_avoided() -> None:
    """A searcher accepts all calls and never replies, so none ever fails."""

    async def main() -> list[bool]:
        cell = query_cell.Cell()
        cell.put(resources.Policy(name="default", hedge_budget=0))
        await warm_up(cell)
        cell.searchers["s0-0"].behaviour = query_cell.never_reply()
        complete = []
        for number in range(30):
            query = cell.make_query(number, deadline_ms=100)
            complete.append((await cell.coordinator.query(query)).ok.complete)
        return complete

    complete = query_cell.run(main())

    assert not all(complete)
    assert complete[-15:] == [True] * 15


def test_zone_out_of_service_gets_no_retry_and_no_hedge() -> None:
    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        await warm_up(cell)
        for name in cell.get_replicas(0):
            straggle(cell, name)
        force_choice(cell, "s0-0")
        task = asyncio.ensure_future(cell.coordinator.query(cell.make_query()))
        await asyncio.sleep(0.002)
        cell.put(resources.Zone(name="zone-1", state=resources.ZoneState.OUT))
        assert (await task).ok.complete
        return cell

    assert get_chosen(query_cell.run(main()), "request-1") == []


def test_request_that_may_have_caused_a_crash_is_sent_to_one_shard_first() -> (
    None
):
    """A query was in flight when a server crashed, and its caller repeats it.

    It first runs on one shard alone. If that server crashes too, the other
    shards must not get the query, and there must be no retry that could crash
    a third server.
    """

    async def main() -> tuple[list[str], int, bool]:
        cell = query_cell.Cell()
        query = cell.make_query()
        attribute_crash(cell, query.body, "one")
        isolated = []

        async def crash(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            isolated.append(batch.isolated)
            await asyncio.sleep(0.005)
            kind = errors.Kind.BACKEND_CRASHED.value
            return messages.PartFailed(part.part, kind, True)

        for searcher in cell.searchers.values():
            searcher.behaviour = crash
        result = await cell.coordinator.query(query)
        assert result.error.kind is errors.Kind.BACKEND_CRASHED
        return get_chosen(cell, "request-1"), cell.count_calls(), all(isolated)

    chosen, calls, isolated = query_cell.run(main())

    assert chosen == []
    assert calls == 1
    assert isolated


def test_harmless_suspect_request_gets_complete_answer() -> None:
    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        query = cell.make_query()
        attribute_crash(cell, query.body, "one")
        return (await cell.coordinator.query(query)).ok

    assert query_cell.run(main()).complete


def test_two_crashes_end_a_query() -> None:
    """A new poison query fans out; two crashes suffice to end it."""

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for number, searcher in enumerate(cell.searchers.values()):
            crashes = query_cell.fail_with(
                errors.Kind.BACKEND_CRASHED, True, 0.002 + number / 1000
            )
            searcher.behaviour = crashes
        result = await cell.coordinator.query(cell.make_query())
        await asyncio.sleep(0.5)
        assert result.error.kind is errors.Kind.BACKEND_CRASHED
        return cell

    cell = query_cell.run(main())

    assert get_chosen(cell, "request-1") == []
    cancelled = sum(len(s.cancelled) for s in cell.searchers.values())
    assert cancelled >= 3


def test_quarantined_request_is_refused_as_not_run() -> None:
    async def main() -> tuple[errors.Failure, int]:
        cell = query_cell.Cell()
        query = cell.make_query()
        attribute_crash(cell, query.body, "one")
        attribute_crash(cell, query.body, "two")
        result = await cell.coordinator.query(query)
        return result.error, cell.count_calls()

    failure, calls = query_cell.run(main())

    assert failure.kind is errors.Kind.QUARANTINED
    assert failure.get_retry_after_ms() > 0
    assert calls == 0


def test_hedge_delay_is_measured_per_shard() -> None:
    """All replicas of one shard are four times slower than the others.

    Hedging doesn't make the shard faster, so once this is measured, it must
    not be hedged.
    """

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for name in cell.get_replicas(0):

            async def behave(
                batch: messages.QueryBatch, part: messages.PartRequest
            ) -> messages.PartResult | None:
                await asyncio.sleep(0.04)
                return query_cell.make_done(batch, part)

            cell.searchers[name].behaviour = behave
        await warm_up(cell, 40)
        cell.board.metrics.counts.clear()
        await warm_up(cell, 40)
        return cell

    cell = query_cell.run(main())

    assert cell.board.metrics.counts["part.hedged"] == 0
    place = hedging.DelayKey("cover", "0", resources.Priority.URGENT)
    delays = cell.coordinator._dispatcher.measurements.delays
    assert 40 <= delays.get_delay_ms(place, 1000) < 60
