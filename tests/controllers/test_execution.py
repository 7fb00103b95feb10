"""Requests that may not be repeated."""

from __future__ import annotations

import asyncio

from azureramp import errors, messages
from azureramp.policy import idempotency
from tests.controllers import query_cell


def test_a_grant_runs_once_and_a_retry_gets_its_outcome() -> None:
    async def main() -> tuple[
        messages.ExecuteAnswer, messages.ExecuteAnswer, int
    ]:
        cell = query_cell.Cell()
        first = await cell.coordinator.execute(cell.make_execute(1))
        again = await cell.coordinator.execute(cell.make_execute(2))
        return first.ok, again.ok, cell.count_calls()

    first, again, calls = query_cell.run(main())

    assert calls == 1
    assert not first.replayed
    assert again.replayed
    assert again.result == first.result
    assert again.request_id == first.request_id


def test_no_reply_after_bytes_were_sent_is_an_unknown_outcome() -> None:
    """A dispatcher's order goes out, and the connection falls silent.

    She must be told that it may have run; a second run would send two
    trucks. The cause: the searcher took the bytes and never replied.
    """

    async def main() -> tuple[errors.Failure, int, idempotency.State | None]:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.behaviour = query_cell.stay_silent()
        result = await cell.coordinator.execute(cell.make_execute())
        await asyncio.sleep(5)
        return result.error, cell.count_calls(), cell.read_record()

    failure, calls, recorded = query_cell.run(main())

    assert failure.kind is errors.Kind.OUTCOME_UNKNOWN
    assert calls == 1
    assert recorded is idempotency.State.UNKNOWN
