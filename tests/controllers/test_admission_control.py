"""Tests of admission under load, and of when a refusal means not run."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import pytest

from azureramp import errors, messages, resources
from tests.controllers import query_cell

SHARES = {
    resources.Priority.URGENT: 0.5,
    resources.Priority.NORMAL: 0.3,
    resources.Priority.DEFERRABLE: 0.2,
}
DEADLINES_MS = {
    resources.Priority.URGENT: 500.0,
    resources.Priority.NORMAL: 1000.0,
    resources.Priority.DEFERRABLE: 3000.0,
}


@dataclasses.dataclass(slots=True)
class Outcomes:
    """Counts of the outcomes of one priority's requests."""

    sent: int = 0
    complete: int = 0
    refused: int = 0
    quick_refusals: int = 0


async def generate_load(
    cell: query_cell.Cell, load: float, queries: int
) -> dict[resources.Priority, Outcomes]:
    """Generates a load and counts the outcomes.

    Args:
        cell: The cell.
        load: The load as a share of the cell's capacity.
        queries: The number of queries.
    """
    outcomes: dict[resources.Priority, Outcomes] = collections.defaultdict(
        Outcomes
    )
    loop = asyncio.get_running_loop()

    async def send_query(number: int, priority: resources.Priority) -> None:
        query = cell.make_query(
            number, DEADLINES_MS[priority], priority=priority
        )
        began_s = loop.time()
        result = await cell.coordinator.query(query)
        outcome = outcomes[priority]
        outcome.sent += 1
        if result.is_ok():
            outcome.complete += result.ok.complete
        elif result.error.get_answer().ran is errors.Execution.NOT_RUN:
            outcome.refused += 1
            outcome.quick_refusals += loop.time() - began_s < 0.001

    slots = cell.shape.replicas * cell.shape.slots
    rate = slots / cell.delay_s * load
    tasks = []
    for number in range(queries):
        await asyncio.sleep(cell.random.expovariate(rate))
        priority = cell.random.choices(list(SHARES), list(SHARES.values()))[0]
        tasks.append(asyncio.ensure_future(send_query(number, priority)))
    await asyncio.gather(*tasks)
    return outcomes


def test_at_120_percent_load_urgent_requests_are_not_shed() -> None:
    """The load exceeds the searchers' capacity by a fifth.

    Urgent requests must be answered completely and in time, while requests of
    lower priority are shed, the least urgent most often. Shed requests must be
    refused immediately.
    """

    async def main() -> dict[resources.Priority, Outcomes]:
        return await generate_load(query_cell.Cell(), 1.2, 6000)

    outcomes = query_cell.run(main())

    urgent = outcomes[resources.Priority.URGENT]
    normal = outcomes[resources.Priority.NORMAL]
    deferrable = outcomes[resources.Priority.DEFERRABLE]
    assert urgent.sent > 2800
    assert urgent.complete >= 0.999 * urgent.sent
    assert deferrable.refused / deferrable.sent > 0.5
    assert normal.refused / normal.sent < deferrable.refused / deferrable.sent
    for outcome in outcomes.values():
        assert outcome.quick_refusals == outcome.refused


def test_at_60_percent_load_no_request_is_refused() -> None:
    async def main() -> dict[resources.Priority, Outcomes]:
        return await generate_load(query_cell.Cell(), 0.6, 2000)

    for outcome in query_cell.run(main()).values():
        assert outcome.refused == 0
        assert outcome.complete == outcome.sent


def test_deadline_below_service_time_is_refused_immediately() -> None:
    async def main() -> tuple[errors.Failure, int]:
        cell = query_cell.Cell()
        for number in range(20):
            await cell.coordinator.query(cell.make_query(number))
        before = cell.count_calls()
        short = cell.make_query(100, deadline_ms=8)
        result = await cell.coordinator.query(short)
        return result.error, cell.count_calls() - before

    failure, calls = query_cell.run(main())

    assert failure.kind is errors.Kind.DEADLINE_TOO_SHORT
    assert failure.get_retry_after_ms() > 0
    assert calls == 0


def test_number_of_running_requests_is_limited() -> None:
    async def main() -> collections.Counter[str]:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.behaviour = query_cell.never_reply()
        queries = [
            cell.make_query(n, priority=resources.Priority.DEFERRABLE)
            for n in range(400)
        ]
        results = await asyncio.gather(*map(cell.coordinator.query, queries))
        return collections.Counter(r.error.kind.value for r in results)

    kinds = query_cell.run(main())

    assert kinds["overloaded"] == 400 - 256


@pytest.mark.parametrize(
    ("case_name", "kind", "sent", "expected"),
    [
        ("queues full", errors.Kind.OVERLOADED, False, "overloaded"),
        ("lost unsent", errors.Kind.CONNECTION_LOST, False, "overloaded"),
        ("searchers shed", errors.Kind.SHED, True, "shed"),
        ("searchers fail", errors.Kind.BACKEND_FAILED, True, "backend_failed"),
    ],
)
def test_query_refused_everywhere_is_reported_as_not_run_only_if_true(
    case_name: str, kind: errors.Kind, sent: bool, expected: str
) -> None:
    async def main() -> errors.Failure:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.behaviour = query_cell.fail_with(kind, sent)
        return (await cell.coordinator.query(cell.make_query())).error

    failure = query_cell.run(main())

    assert failure.kind.value == expected, case_name
    ran = failure.get_answer().ran
    assert (ran is errors.Execution.NOT_RUN) == (kind.value != "backend_failed")


def test_refusal_after_a_part_ran_is_not_reported_as_not_run() -> None:
    """One part runs without a reply; all others are refused unsent."""

    async def main() -> errors.Failure:
        cell = query_cell.Cell()
        for name, searcher in cell.searchers.items():
            searcher.behaviour = (
                query_cell.never_reply()
                if name in cell.get_replicas(0)
                else query_cell.fail_with(errors.Kind.OVERLOADED, False)
            )
        return (await cell.coordinator.query(cell.make_query())).error

    failure = query_cell.run(main())

    assert failure.get_answer().ran is not errors.Execution.NOT_RUN


def test_abandoned_query_cancels_all_its_parts() -> None:
    """After the caller disconnects the searchers must not continue the work."""

    async def main() -> tuple[int, int, int, dict[str, object]]:
        cell = query_cell.Cell()
        cell.delay_s = 10.0
        task = asyncio.ensure_future(cell.coordinator.query(cell.make_query()))
        await asyncio.sleep(0.1)
        running = sum(len(s.running) for s in cell.searchers.values())
        task.cancel()
        await asyncio.sleep(0.1)
        left = sum(len(s.running) for s in cell.searchers.values())
        dispatcher = cell.coordinator._dispatcher
        return (
            running,
            left,
            dispatcher.measurements.running,
            dict(dispatcher._receivers),
        )

    assert query_cell.run(main()) == (6, 0, 0, {})


def test_late_result_of_ended_query_is_dropped() -> None:
    async def main() -> None:
        cell = query_cell.Cell()
        await cell.coordinator.query(cell.make_query())
        shard = cell.board.configuration.get_shard_maps()["cover.1"].shards[0]
        done = messages.PartDone(1, 1, shard.low, shard.high, b"[]", 1.0)
        late = messages.PartResults(request_id="request-1", results=(done,))
        cell.coordinator.receive_results("vm-1", late)
        notice = messages.PartsLate(request_id="request-1", parts=(1, 2))
        cell.coordinator.receive_late("vm-1", notice)

    query_cell.run(main())
