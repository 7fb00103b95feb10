"""Requests that may not be repeated: one run at most, and its true outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import expression
import pytest

from azureramp import errors, messages, responses
from tests.controllers import query_cell

FINISHED = "finished"
UNKNOWN = "outcome_unknown"
FREE = "free"
Kind = errors.Kind
SETTLED_S = 10.0
"""Time in which every record has its last state, in seconds."""

Step = Callable[[query_cell.Cell], query_cell.Behaviour]


def run_it(delay_s: float = 0.01, **changes: object) -> Step:
    """Makes a step: the searcher runs it, and answers after some time."""

    def make(cell: query_cell.Cell) -> query_cell.Behaviour:
        async def behave(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            assert not batch.repeatable
            await asyncio.sleep(delay_s)
            done = query_cell.make_done(batch, part)
            return messages.PartDone(
                part.part,
                done.version + int(bool(changes.get("version"))),
                done.low,
                done.high + int(bool(changes.get("range"))),
                b"[1,[" if changes.get("truncated") else done.items,
                done.service_ms,
            )

        return behave

    return make


def refuse(kind: Kind, *, sent: bool, delay_s: float = 0.001) -> Step:
    """Makes a step: the owner or the searcher refuses."""
    return lambda cell: query_cell.fail(kind, sent, delay_s)


def go_silent(cell: query_cell.Cell) -> query_cell.Behaviour:
    """Is a step: no reply ever comes."""
    return query_cell.stay_silent()


def follow(cell: query_cell.Cell, *steps: Step) -> list[str]:
    """Lets the first calls go as told; returns who was called, as it goes."""
    called: list[str] = []
    left = list(steps)

    def make(name: str) -> query_cell.Behaviour:
        async def behave(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            called.append(name)
            step = left.pop(0) if left else run_it()
            return await step(cell)(batch, part)

        return behave

    for name, searcher in cell.searchers.items():
        searcher.behaviour = make(name)
    return called


@pytest.mark.parametrize(
    ("story", "steps", "code", "calls", "state"),
    [
        ("all well", (run_it(),), "ok", 1, FINISHED),
        (
            "queue full, unsent",
            (refuse(Kind.OVERLOADED, sent=False), run_it()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "refused connection, unsent",
            (refuse(Kind.CONNECTION_LOST, sent=False), run_it()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "the owner has changed, unsent",
            (refuse(Kind.NOT_OWNER, sent=False), run_it()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "the searcher replied that it did not begin",
            (refuse(Kind.SHED, sent=True), run_it()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "no replica takes it",
            (refuse(Kind.OVERLOADED, sent=False),) * 4,
            "overloaded",
            2,
            FREE,
        ),
        (
            "no owner is reached",
            (refuse(Kind.CONNECTION_LOST, sent=False),) * 4,
            "overloaded",
            2,
            FREE,
        ),
        (
            "connection lost after the first byte",
            (refuse(Kind.CONNECTION_LOST, sent=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "the searcher failed on it",
            (refuse(Kind.BACKEND_FAILED, sent=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "the server crashed under it",
            (refuse(Kind.BACKEND_CRASHED, sent=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        ("silence", (go_silent,), "outcome_unknown", 1, UNKNOWN),
        (
            "it ran on another version",
            (run_it(version=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "it ran on another range",
            (run_it(range=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "its reply was cut short",
            (run_it(truncated=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "its reply comes after the deadline",
            (run_it(delay_s=1.5),),
            "outcome_unknown",
            1,
            FINISHED,
        ),
        (
            "after the deadline it turns out unsent",
            (refuse(Kind.DEADLINE_PASSED, sent=False, delay_s=1.5),),
            "outcome_unknown",
            1,
            FREE,
        ),
    ],
)
def test_a_dispatch_ends_in_a_true_answer_and_a_true_record(
    story: str, steps: tuple[Step, ...], code: str, calls: int, state: str
) -> None:
    """An order goes out once; each way in which that can end has one row."""

    async def main() -> tuple[str, list[str], str, float]:
        cell = query_cell.Cell()
        called = follow(cell, *steps)
        loop = asyncio.get_running_loop()
        result = await cell.coordinator.execute(cell.make_execute())
        took_s = loop.time()
        await asyncio.sleep(SETTLED_S)
        found = "ok" if result.is_ok() else result.error.kind.value
        return found, called, await cell.read_record(), took_s

    found, called, recorded, took_s = query_cell.run(main())

    assert found == code, story
    assert len(called) == len(set(called)) == calls
    assert recorded == state
    assert took_s <= 1.0


@pytest.mark.parametrize(
    ("story", "code", "calls", "state"),
    [
        ("down", "store_unavailable", 0, FREE),
        ("slower than the deadline", "store_unavailable", 0, FREE),
        ("the claim's reply is lost", "ok", 1, FINISHED),
        ("down from the dispatch on", "ok", 1, FINISHED),
    ],
)
def test_an_outage_of_the_platform_never_runs_a_request_unrecorded(
    story: str, code: str, calls: int, state: str
) -> None:
    async def main() -> tuple[str, int, str, float]:
        cell = query_cell.Cell()
        loop = asyncio.get_running_loop()
        faults = cell.store.faults
        match story:
            case "down":
                faults.down = True
            case "slower than the deadline":
                faults.delay_s = 0.7
            case "the claim's reply is lost":
                faults.lost_replies = 1
            case _:
                loop.call_later(0.01, setattr, faults, "down", True)
        result = await cell.coordinator.execute(cell.make_execute())
        took_s = loop.time()
        loop.call_later(5.0, setattr, faults, "down", False)
        await asyncio.sleep(60.0)
        found = "ok" if result.is_ok() else result.error.kind.value
        return found, cell.count_calls(), await cell.read_record(), took_s

    found, count, recorded, took_s = query_cell.run(main())

    assert (found, count) == (code, calls), story
    assert recorded == state
    assert took_s <= 1.0


def test_a_retry_through_another_vm_gets_the_first_runs_outcome() -> None:
    """The answer to a grant is lost, and the clerk sends it again elsewhere.

    The second VM must tell the first run's outcome and run nothing; while
    the first still runs it must say so.
    """

    async def main() -> tuple[
        expression.Result[responses.ExecuteAnswer, errors.Failure], ...
    ]:
        one = query_cell.Cell()
        two = query_cell.Cell(state=one.state)
        one.delay_s = 0.2
        first = asyncio.ensure_future(
            one.coordinator.execute(one.make_execute(1))
        )
        await asyncio.sleep(0.1)
        meanwhile = await two.coordinator.execute(two.make_execute(2))
        done = await first
        after = await two.coordinator.execute(two.make_execute(3))
        assert (one.count_calls(), two.count_calls()) == (1, 0)
        return done, meanwhile, after

    done, meanwhile, after = query_cell.run(main())

    assert meanwhile.error.kind is Kind.IN_PROGRESS
    assert after.ok.replayed
    assert after.ok.request_id == done.ok.request_id
    assert after.ok.result == done.ok.result


def test_a_key_used_for_another_operation_is_refused() -> None:
    async def main() -> tuple[Kind, int]:
        cell = query_cell.Cell()
        await cell.coordinator.execute(cell.make_execute(1))
        other = cell.make_execute(2, body=b'{"grant":2}')
        result = await cell.coordinator.execute(other)
        return result.error.kind, cell.count_calls()

    assert query_cell.run(main()) == (Kind.KEY_REUSED, 1)


@pytest.mark.parametrize("after_ms", range(0, 40, 2))
def test_a_caller_that_goes_away_leaves_a_true_record(after_ms: int) -> None:
    """The dispatcher's line drops at any moment of an order.

    Whenever that is, the record must say what happened: finished if a truck
    was sent, free for a retry if not.
    """

    async def main() -> tuple[int, str, bool]:
        cell = query_cell.Cell()
        task = asyncio.ensure_future(
            cell.coordinator.execute(cell.make_execute())
        )
        await asyncio.sleep(after_ms / 1000)
        ended = task.done()
        task.cancel()
        await asyncio.sleep(SETTLED_S)
        return cell.count_calls(), await cell.read_record(), ended

    calls, recorded, _ = query_cell.run(main())

    if calls:
        assert recorded == FINISHED
    else:
        assert recorded == FREE


def test_an_abandoned_request_that_waits_in_a_queue_never_runs() -> None:
    async def main() -> tuple[int, str]:
        cell = query_cell.Cell()
        for searcher in cell.searchers.values():
            searcher.slots = 0
        task = asyncio.ensure_future(
            cell.coordinator.execute(cell.make_execute())
        )
        await asyncio.sleep(0.1)
        assert sum(len(s.queue) for s in cell.searchers.values()) == 1
        task.cancel()
        await asyncio.sleep(SETTLED_S)
        return cell.count_calls(), await cell.read_record()

    assert query_cell.run(main()) == (0, FREE)


def test_a_shutdown_waits_for_what_runs_and_its_record() -> None:
    async def main() -> str:
        cell = query_cell.Cell()
        cell.delay_s = 0.3
        task = asyncio.ensure_future(
            cell.coordinator.execute(cell.make_execute())
        )
        await asyncio.sleep(0.1)
        task.cancel()
        await cell.coordinator.drain(5.0)
        return await cell.read_record()

    assert query_cell.run(main()) == FINISHED


def test_copies_of_a_result_change_nothing() -> None:
    async def main() -> tuple[bool, str]:
        cell = query_cell.Cell()
        follow(cell, refuse(Kind.OVERLOADED, sent=False), run_it(0.05))
        task = asyncio.ensure_future(
            cell.coordinator.execute(cell.make_execute())
        )
        await asyncio.sleep(0.03)
        unsent = messages.PartFailed(1, Kind.OVERLOADED.value, False)
        copies = messages.PartResults(
            request_id="execute-1", results=(unsent, unsent)
        )
        cell.coordinator.receive_results("vm-1", copies)
        result = await task
        await asyncio.sleep(SETTLED_S)
        return result.is_ok(), await cell.read_record()

    assert query_cell.run(main()) == (True, FINISHED)
