"""Hedges, retries, lost owners, and requests blamed for crashes."""

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
    """Lets the coordinator measure ordinary times, and earn a budget."""
    for number in range(1000, 1000 + queries):
        await cell.coordinator.query(cell.make_query(number))


def straggle(cell: query_cell.Cell, name: str) -> None:
    """Makes a searcher slow in everything from now on."""

    async def behave(
        batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        await asyncio.sleep(STRAGGLER_S)
        return query_cell.make_done(batch, part)

    cell.searchers[name].behaviour = behave


def force(cell: query_cell.Cell, name: str) -> None:
    """Makes a shard's other replicas unusable until the next turn."""
    shard = name.partition("-")[0]
    others = [n for n in cell.searchers if n.startswith(f"{shard}-")]
    others.remove(name)
    for other in others:
        cell.advertise_one(other, usable=False)
    loop = asyncio.get_running_loop()
    for other in others:
        loop.call_later(0.001, cell.advertise_one, other)


def get_chosen(cell: query_cell.Cell, request_id: str) -> list[str]:
    """Returns the reasons of a request's later attempts."""
    return [
        event.reason
        for event in cell.get_events(events.PartChosen)
        if event.request_id == request_id and event.reason != "first"
    ]


def test_a_straggler_is_hedged_on_another_server_and_cancelled() -> None:
    """A stock lookup waits for one searcher that takes twenty times as long.

    A second replica answers instead; the loser's slot must become free, not
    stay taken for its whole time.
    """

    async def main() -> tuple[responses.QueryAnswer, query_cell.Cell]:
        cell = query_cell.Cell()
        await warm_up(cell)
        straggle(cell, "s0-0")
        force(cell, "s0-0")
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
    ("story", "hedges"),
    [
        ("owner's notice", 1),
        ("notice of an ended part", 0),
        ("budget of zero", 0),
        ("overload", 1),
        ("same server only", 0),
        ("blamed for a crash", 0),
    ],
)
def test_an_owners_notice_leads_to_a_hedge_only_where_it_may(
    story: str, hedges: int
) -> None:
    async def main() -> list[str]:
        cell = query_cell.Cell(query_cell.Shape(replicas=3))
        await warm_up(cell)
        straggle(cell, "s0-0")
        force(cell, "s0-0")
        measured = cell.coordinator._dispatcher.measured
        query = cell.make_query(priority=resources.Priority.DEFERRABLE)
        match story:
            case "budget of zero":
                cell.put(resources.Policy(name="default", hedge_budget=0))
            case "overload":
                measured.level.value = 2.5
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
            case "blamed for a crash":
                blame(cell, query.body, "one")
        task = asyncio.ensure_future(cell.coordinator.query(query))
        await asyncio.sleep(0.05)
        chosen = [
            event
            for event in cell.get_events(events.PartChosen)
            if event.request_id == "request-1" and event.shard == "0"
        ]
        part = chosen[0].part + (100 if "ended" in story else 0)
        late = messages.PartsLate(request_id="request-1", parts=(part, part))
        cell.coordinator.receive_late("vm-1", late)
        cell.coordinator.receive_late("vm-1", late)
        answer = (await task).ok
        assert answer.complete
        return get_chosen(cell, "request-1")

    assert query_cell.run(main()) == ["hedge"] * hedges, story


@pytest.mark.parametrize(("level", "hedges"), [(3.0, 1), (2.5, 0)])
def test_without_a_notice_nothing_is_hedged_under_overload(
    level: float, hedges: int
) -> None:
    """A part is late and no owner says that it runs: it may only wait.

    Under overload a second call for it would wait in another queue, and take
    a slot from somebody's first.
    """

    async def main() -> list[str]:
        cell = query_cell.Cell()
        await warm_up(cell, 40)
        straggle(cell, "s0-0")
        force(cell, "s0-0")
        cell.coordinator._dispatcher.measured.level.value = level
        assert (await cell.coordinator.query(cell.make_query())).ok.complete
        return get_chosen(cell, "request-1")

    assert query_cell.run(main()) == ["hedge"] * hedges


def blame(cell: query_cell.Cell, body: bytes, crash_id: str) -> None:
    """Blames a query for the crash of a server of its own."""
    cell.board.blame.record(
        f"server-{crash_id}",
        f"searcher-{crash_id}",
        crash_id,
        frozenset({fingerprints.compute("cover", body)}),
        asyncio.get_running_loop().time(),
        600.0,
    )


def test_hedges_and_retries_stay_within_their_budgets() -> None:
    """Every searcher turns slow at random; hedging all would double the load.

    Over many queries the extra calls stay within 5 % and 10 % of the needed.
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


def test_a_failing_service_gets_no_retry_storm() -> None:
    """A whole service fails at once; each query's retries would triple it."""

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.behaviour = query_cell.fail(
                errors.Kind.BACKEND_FAILED, sent=True
            )
        for number in range(100):
            await cell.coordinator.query(cell.make_query(number))
        return cell

    cell = query_cell.run(main())

    assert cell.count_calls() <= 600 * 1.1 + 10


@pytest.mark.parametrize("lost", ["silent", "restarted", "gone"])
def test_a_vm_that_goes_with_its_searchers_costs_no_coverage(
    lost: str,
) -> None:
    """An entry VM fails under a query; an eighth of the parts go with it.

    More than the hedges' budget holds. Membership notices after a while; its
    parts must then go to other owners at once, and the answer be whole.
    """

    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell(query_cell.Shape(shards=12, vms=3, replicas=3))
        cell.put(resources.Policy(name="default", retry_budget=0))
        for name, searcher in cell.searchers.items():
            if cell.board.owners[name] == "vm-1":
                searcher.behaviour = query_cell.stay_silent()

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


def test_a_silent_searcher_is_soon_left_out() -> None:
    """One searcher accepts all and answers nothing; no failure ever comes."""

    async def main() -> list[bool]:
        cell = query_cell.Cell()
        cell.put(resources.Policy(name="default", hedge_budget=0))
        await warm_up(cell)
        cell.searchers["s0-0"].behaviour = query_cell.stay_silent()
        complete = []
        for number in range(30):
            query = cell.make_query(number, deadline_ms=100)
            complete.append((await cell.coordinator.query(query)).ok.complete)
        return complete

    complete = query_cell.run(main())

    assert not all(complete)
    assert complete[-15:] == [True] * 15


def test_a_zone_taken_out_gets_no_retry_and_no_hedge() -> None:
    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        await warm_up(cell)
        for name in cell.replicas_of(0):
            straggle(cell, name)
        force(cell, "s0-0")
        task = asyncio.ensure_future(cell.coordinator.query(cell.make_query()))
        await asyncio.sleep(0.002)
        cell.put(resources.Zone(name="zone-1", state=resources.ZoneState.OUT))
        assert (await task).ok.complete
        return cell

    assert get_chosen(query_cell.run(main()), "request-1") == []


def test_a_request_blamed_for_a_crash_goes_to_one_shard_first() -> None:
    """A query was in flight when a server crashed, and its caller repeats it.

    It runs alone, on one shard; when a server crashes again the other shards
    never get it, and there is no retry that would crash a third.
    """

    async def main() -> tuple[list[str], int, bool]:
        cell = query_cell.Cell()
        query = cell.make_query()
        blame(cell, query.body, "one")
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


def test_an_innocent_suspect_is_answered_whole() -> None:
    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        query = cell.make_query()
        blame(cell, query.body, "one")
        return (await cell.coordinator.query(query)).ok

    assert query_cell.run(main()).complete


def test_two_crashes_under_one_query_end_it() -> None:
    """A new poison query fans out; the first two crashes are proof enough."""

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for number, searcher in enumerate(cell.searchers.values()):
            crashes = query_cell.fail(
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


def test_a_quarantined_request_is_refused_as_not_run() -> None:
    async def main() -> tuple[errors.Failure, int]:
        cell = query_cell.Cell()
        query = cell.make_query()
        blame(cell, query.body, "one")
        blame(cell, query.body, "two")
        result = await cell.coordinator.query(query)
        return result.error, cell.count_calls()

    failure, calls = query_cell.run(main())

    assert failure.kind is errors.Kind.QUARANTINED
    assert failure.get_retry_after_ms() > 0
    assert calls == 0


def test_the_delay_of_a_hedge_is_the_shards_own() -> None:
    """One shard is four times slower than the others, all its replicas.

    Asking it twice makes it no faster: once measured, it is not hedged.
    """

    async def main() -> query_cell.Cell:
        cell = query_cell.Cell()
        for name in cell.replicas_of(0):

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
    place = hedging.Place("cover", "0", resources.Priority.URGENT)
    delays = cell.coordinator._dispatcher.measured.delays
    assert 40 <= delays.get_ms(place, 1000) < 60
