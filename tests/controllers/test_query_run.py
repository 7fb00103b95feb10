"""Tests of running queries with version changes and faulty results."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Sequence

import msgspec
import pytest

from azureramp import (
    errors,
    events,
    messages,
    resources,
    responses,
)
from azureramp.policy import hedging
from tests.controllers import query_cell

BOUNDS = (0, 150, 300, 600)
"""The shard bounds of version 2; those of version 1 are multiples of 100."""


def check_items(answer: responses.QueryAnswer, bounds: Sequence[int]) -> None:
    """Checks that the items cover exactly the ranges that aren't missing."""
    cut = [list(pair) for pair in itertools.pairwise(bounds)]
    items = msgspec.json.decode(answer.items)
    missing = [
        [low, high]
        for low, high in cut
        if any(m.low <= low and high <= m.high for m in answer.missing)
    ]
    assert sorted(items + missing) == cut
    size = sum(high - low for low, high in items)
    assert answer.coverage == pytest.approx(size / 600, abs=1e-12)
    assert answer.complete == (not missing)


def get_pinned(cell: query_cell.Cell) -> list[int]:
    """Returns the versions that were pinned, in order."""
    return [e.version for e in cell.get_events(events.RequestAdmitted)]


def reload(
    cell: query_cell.Cell, number: int, after_s: float = 0.002
) -> query_cell.Behaviour:
    """Creates the behaviour of a shard that is reloaded during a query.

    Args:
        cell: The cell.
        number: The only version that the shard still serves.
        after_s: The delay of its refusals of other versions, in seconds.
    """

    async def behave(
        batch: messages.QueryBatch, part: messages.PartRequest
    ) -> messages.PartResult | None:
        if batch.version == number:
            return await cell.reply_complete(batch, part)
        await asyncio.sleep(after_s)
        kind = errors.Kind.VERSION_GONE.value
        return messages.PartFailed(part.part, kind, True)

    return behave


def make_repartitioned(
    serving: Sequence[int] = (0, 1, 2), versions: Sequence[int] = (1, 2)
) -> query_cell.Cell:
    """Creates a cell whose shard 1 drops version 1 during the query.

    Args:
        serving: The shards whose searchers serve the newer versions.
        versions: The versions that they serve after 3 ms.
    """
    cell = query_cell.Cell()
    cell.put_version(2, BOUNDS)
    for name in cell.get_replicas(1):
        cell.searchers[name].behaviour = reload(cell, 2)

    def advertise() -> None:
        for shard in serving:
            for name in cell.get_replicas(shard):
                names = tuple(f"cover.{version}" for version in versions)
                cell.advertise_one(name, names)

    asyncio.get_running_loop().call_later(0.003, advertise)
    return cell


def test_repartition_restarts_running_query_on_newer_version() -> None:
    """The index is repartitioned during a query.

    Half of the results are of the old version when the first searcher reports
    that this version is gone. Merging results of both versions would count
    some entries twice and omit others. The answer must be complete and of the
    new version only.
    """

    async def main() -> tuple[responses.QueryAnswer, list[int]]:
        cell = make_repartitioned()
        result = await cell.coordinator.query(cell.make_query())
        return result.ok, get_pinned(cell)

    answer, pinned = query_cell.run(main())

    assert answer.version == 2
    assert answer.complete
    assert pinned == [1, 2]
    check_items(answer, BOUNDS)


@pytest.mark.parametrize(
    ("case_name", "serving", "deadline_ms"),
    [
        ("no newer version is served", (), 1000),
        ("a shard of the newer version is not served", (0, 1), 1000),
        ("no time is left", (0, 1, 2), 10),
    ],
)
def test_gone_version_without_alternative_gives_incomplete_answer(
    case_name: str, serving: tuple[int, ...], deadline_ms: float
) -> None:
    async def main() -> tuple[responses.QueryAnswer, list[int]]:
        cell = make_repartitioned(serving)
        cell.delay_s = 0.001
        place = hedging.DelayKey("cover", "1", resources.Priority.URGENT)
        for _ in range(30):
            cell.coordinator._dispatcher.measurements.delays.add(place, 9)
        query = cell.make_query(deadline_ms=deadline_ms)
        answer = (await cell.coordinator.query(query)).ok
        return answer, get_pinned(cell)

    answer, pinned = query_cell.run(main())

    assert pinned == [1], case_name
    assert answer.version == 1
    assert answer.missing == (responses.KeyRange(100, 200),)
    check_items(answer, range(0, 601, 100))


def test_second_repartition_does_not_restart_query_again() -> None:
    async def main() -> tuple[responses.QueryAnswer, list[int]]:
        cell = make_repartitioned(range(6), (1, 2, 3))
        cell.delay_s = 0.001
        for name in cell.get_replicas(1):
            cell.searchers[name].behaviour = reload(cell, 3)
        loop = asyncio.get_running_loop()
        loop.call_later(0.010, cell.put_version, 3)
        result = await cell.coordinator.query(cell.make_query())
        return result.ok, get_pinned(cell)

    answer, pinned = query_cell.run(main())

    # The old version has results of five of six shards, the new one fewer.
    assert pinned == [1, 2, 1]
    assert answer.version == 1
    check_items(answer, range(0, 601, 100))


def test_old_versions_results_are_kept_if_restart_has_fewer() -> None:
    """The new version's searchers stop replying right after the restart.

    The answer must not have less than the results already received: five of
    six shards of the old version rather than nothing of the new one.
    """

    async def main() -> responses.QueryAnswer:
        cell = make_repartitioned()
        cell.delay_s = 0.001

        async def answer_old_version(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            if batch.version == 2:
                await asyncio.sleep(3600)
            return await cell.reply_complete(batch, part)

        for name, searcher in cell.searchers.items():
            if name not in cell.get_replicas(1):
                searcher.behaviour = answer_old_version
        for name in cell.get_replicas(1):
            cell.searchers[name].behaviour = reload(cell, 9, 0.005)
        return (await cell.coordinator.query(cell.make_query())).ok

    answer = query_cell.run(main())

    assert answer.version == 1
    assert answer.missing == (responses.KeyRange(100, 200),)
    check_items(answer, range(0, 601, 100))


@pytest.mark.parametrize("wrong", ["version", "range", "truncated"])
def test_wrong_result_is_not_merged_and_is_retried_on_another_replica(
    wrong: str,
) -> None:
    async def main() -> tuple[responses.QueryAnswer, query_cell.Cell]:
        cell = query_cell.Cell()

        async def behave(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            low, high = part.low, part.high
            version = batch.version + (wrong == "version")
            items = b"[[0,1],[" if wrong == "truncated" else b"[[0,1]]"
            low += 50 if wrong == "range" else 0
            return messages.PartDone(part.part, version, low, high, items, 1)

        cell.searchers["s0-0"].behaviour = behave
        cell.advertise_one("s0-1", usable=False)
        query = cell.make_query()
        task = asyncio.ensure_future(cell.coordinator.query(query))
        await asyncio.sleep(0)
        cell.advertise_one("s0-1")
        return (await task).ok, cell

    answer, cell = query_cell.run(main())

    assert cell.searchers["s0-0"].calls == 1
    assert answer.complete
    check_items(answer, range(0, 601, 100))


@pytest.mark.parametrize("seed", range(8))
def test_late_duplicate_lost_and_reordered_results_never_mix_answers(
    seed: int,
) -> None:
    """Twenty queries run over links that lose, duplicate and reorder messages.

    Each must get the complete answer to its own request or one that states
    exactly what is missing.
    """

    async def main() -> list[responses.QueryAnswer]:
        cell = query_cell.Cell(seed=seed)
        faults = cell.network.faults
        faults.doubling, faults.loss, faults.jitter_s = 0.3, 0.05, 0.05
        queries = [cell.make_query(number) for number in range(20)]
        results = await asyncio.gather(*map(cell.coordinator.query, queries))
        assert [r.ok.request_id for r in results] == [
            query.request_id for query in queries
        ]
        return [result.ok for result in results]

    for answer in query_cell.run(main()):
        check_items(answer, range(0, 601, 100))


@pytest.mark.parametrize(
    ("minimum", "kind"),
    [
        (0.5, None),
        (0.8333333333333333, None),
        (0.84, errors.Kind.COVERAGE_TOO_LOW),
    ],
)
def test_unreachable_minimum_coverage_is_refused_immediately(
    minimum: float, kind: errors.Kind | None
) -> None:
    """A shard fails on all replicas, so that the minimum can't be reached.

    This takes 1 ms and the other shards take 300 ms: the refusal must not
    wait for them.
    """

    async def main() -> tuple[errors.Kind | None, float]:
        cell = query_cell.Cell()
        cell.delay_s = 0.3
        for name in cell.get_replicas(0):
            cell.searchers[name].behaviour = query_cell.fail_with(
                errors.Kind.BACKEND_FAILED, sent=True
            )
        loop = asyncio.get_running_loop()
        query = cell.make_query(minimum_coverage=minimum)
        result = await cell.coordinator.query(query)
        found = result.error.kind if result.is_error() else None
        return found, loop.time()

    found, took_s = query_cell.run(main())

    assert found is kind
    assert (took_s < 0.02) == (kind is not None)


@pytest.mark.parametrize(
    ("minimum", "kind"),
    [(0.9, errors.Kind.NO_SNAPSHOT), (0.8, None)],
)
def test_query_with_minimum_unreachable_at_admission_is_not_run(
    minimum: float, kind: errors.Kind | None
) -> None:
    async def main() -> tuple[errors.Failure | None, int]:
        cell = query_cell.Cell()
        for name in cell.get_replicas(0):
            cell.advertise_one(name, usable=False)
        query = cell.make_query(minimum_coverage=minimum)
        result = await cell.coordinator.query(query)
        failure = result.error if result.is_error() else None
        return failure, cell.count_calls()

    failure, calls = query_cell.run(main())

    assert (failure.kind if failure else None) is kind
    assert calls == (0 if kind else 5)


def test_refusal_by_former_owner_is_retried_at_new_owner() -> None:
    """A VM leaves while queries run, and its searchers get a new owner.

    The old owner refuses with `not_owner`, and the coordinator's view lags by
    some milliseconds. The answer must still be complete.
    """

    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell(query_cell.Shape(replicas=1))
        moved = "s1-0"
        good = cell.searchers[moved].behaviour
        cell.searchers[moved].behaviour = query_cell.fail_with(
            errors.Kind.NOT_OWNER, sent=False
        )

        def hand_off() -> None:
            cell.searchers[moved].behaviour = good
            cell.board.owners[moved] = "vm-3"
            cell.advertise_one(moved)

        asyncio.get_running_loop().call_later(0.02, hand_off)
        return (await cell.coordinator.query(cell.make_query())).ok

    answer = query_cell.run(main())

    assert answer.complete
    assert answer.took_ms < 100
