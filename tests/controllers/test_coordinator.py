"""The coordinator's queries, whole and short."""

from __future__ import annotations

import msgspec

from azureramp import errors, responses
from tests.controllers import query_cell


def test_a_query_is_answered_whole_from_the_newest_version() -> None:
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


def test_a_silent_shard_makes_the_answer_short_by_the_deadline() -> None:
    """A director waits at the desk while one shard never replies.

    The clerk must see what is held before the deadline, and that it is
    short. The cause: a searcher's both replicas accept and go silent.
    """

    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        for name in cell.replicas_of(2):
            cell.searchers[name].behaviour = query_cell.stay_silent()
        result = await cell.coordinator.query(cell.make_query())
        return result.ok

    answer = query_cell.run(main())

    assert not answer.complete
    assert answer.missing == (responses.KeyRange(200, 300),)
    assert 0.83 < answer.coverage < 0.84
    assert answer.took_ms < 1000


def test_a_parts_failure_everywhere_gives_the_final_answer_at_once() -> None:
    async def main() -> responses.QueryAnswer:
        cell = query_cell.Cell()
        for name in cell.replicas_of(0):
            cell.searchers[name].behaviour = query_cell.fail(
                errors.Kind.BACKEND_FAILED, sent=True
            )
        result = await cell.coordinator.query(cell.make_query())
        return result.ok

    answer = query_cell.run(main())

    assert answer.missing == (responses.KeyRange(0, 100),)
    assert answer.took_ms < 30
