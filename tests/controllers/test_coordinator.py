"""Tests of the coordinator's complete and incomplete answers."""

from __future__ import annotations

import msgspec

from azureramp import errors, responses
from tests.controllers import query_cell


def test_query_is_answered_completely_from_newest_version() -> None:
    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        result = await cell.coordinator.query(cell.make_query())
        assert cell.count_calls() == 6
        return result.ok

    answer = query_cell.run(main())

    assert answer.complete
    assert answer.coverage == 1.0
    assert answer.missing == ()
    assert msgspec.json.decode(answer.items) == [
        [low, low + 100] for low in range(0, 600, 100)
    ]


def test_shard_without_reply_gives_incomplete_answer_by_deadline() -> None:
    """Both replicas of a shard accept a sub-request and never reply.

    The caller must get the other shards' results before its deadline, marked
    as incomplete.
    """

    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        for name in cell.get_replicas(2):
            cell.searchers[name].behaviour = query_cell.never_reply()
        result = await cell.coordinator.query(cell.make_query())
        return result.ok

    answer = query_cell.run(main())

    assert not answer.complete
    assert answer.missing == (responses.KeyRange(200, 300),)
    assert 0.83 < answer.coverage < 0.84
    assert answer.took_ms < 1000


def test_part_failed_on_all_replicas_gives_answer_immediately() -> None:
    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        for name in cell.get_replicas(0):
            cell.searchers[name].behaviour = query_cell.fail_with(
                errors.Kind.BACKEND_FAILED, sent=True
            )
        result = await cell.coordinator.query(cell.make_query())
        return result.ok

    answer = query_cell.run(main())

    assert answer.missing == (responses.KeyRange(0, 100),)
    assert answer.took_ms < 30
