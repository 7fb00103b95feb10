"""Tests that non-repeatable requests run at most once, with a true record."""

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
"""Time after which every record has its final state, in seconds."""

Step = Callable[[query_cell.Cell], query_cell.Behaviour]


def run_and_reply(delay_s: float = 0.01, **changes: object) -> Step:
    """Creates a step in which the searcher runs the request and replies.

    Args:
        delay_s: The delay of the reply, in seconds.
        changes: The faults of the reply: `version`, `range`, `truncated`.
    """

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
    """Creates a step in which the owner or the searcher refuses."""
    return lambda cell: query_cell.fail_with(kind, sent, delay_s)


def never_reply(cell: query_cell.Cell) -> query_cell.Behaviour:
    """Returns the behaviour of a step without a reply."""
    return query_cell.never_reply()


def set_steps(cell: query_cell.Cell, *steps: Step) -> list[str]:
    """Sets the behaviour of the first calls, in order.

    Returns:
        The names of the called searchers; grows with each call.
    """
    called: list[str] = []
    remaining = list(steps)

    def make(name: str) -> query_cell.Behaviour:
        async def behave(
            batch: messages.QueryBatch, part: messages.PartRequest
        ) -> messages.PartResult | None:
            called.append(name)
            step = remaining.pop(0) if remaining else run_and_reply()
            return await step(cell)(batch, part)

        return behave

    for name, searcher in cell.searchers.items():
        searcher.behaviour = make(name)
    return called


@pytest.mark.parametrize(
    ("case_name", "steps", "code", "calls", "state"),
    [
        ("success", (run_and_reply(),), "ok", 1, FINISHED),
        (
            "queue full, unsent",
            (refuse(Kind.OVERLOADED, sent=False), run_and_reply()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "refused connection, unsent",
            (refuse(Kind.CONNECTION_LOST, sent=False), run_and_reply()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "the owner has changed, unsent",
            (refuse(Kind.NOT_OWNER, sent=False), run_and_reply()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "the searcher replied that it did not start it",
            (refuse(Kind.SHED, sent=True), run_and_reply()),
            "ok",
            2,
            FINISHED,
        ),
        (
            "all replicas refuse it",
            (refuse(Kind.OVERLOADED, sent=False),) * 4,
            "overloaded",
            2,
            FREE,
        ),
        (
            "no searcher is reachable",
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
        ("silence", (never_reply,), "outcome_unknown", 1, UNKNOWN),
        (
            "it ran on another version",
            (run_and_reply(version=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "it ran on another range",
            (run_and_reply(range=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "its reply was truncated",
            (run_and_reply(truncated=True),),
            "outcome_unknown",
            1,
            UNKNOWN,
        ),
        (
            "its reply arrives after the deadline",
            (run_and_reply(delay_s=1.5),),
            "outcome_unknown",
            1,
            FINISHED,
        ),
        (
            "reported unsent after the deadline",
            (refuse(Kind.DEADLINE_PASSED, sent=False, delay_s=1.5),),
            "outcome_unknown",
            1,
            FREE,
        ),
    ],
)
def test_dispatch_gives_correct_answer_and_record(
    case_name: str, steps: tuple[Step, ...], code: str, calls: int, state: str
) -> None:
    """A request is dispatched once; each possible outcome is one case."""

    async def main() -> tuple[str, list[str], str, float]:
        cell = query_cell.Cell()
        called = set_steps(cell, *steps)
        loop = asyncio.get_running_loop()
        result = await cell.coordinator.execute(cell.make_execute())
        took_s = loop.time()
        await asyncio.sleep(SETTLED_S)
        outcome = "ok" if result.is_ok() else result.error.kind.value
        return outcome, called, await cell.read_record(), took_s

    outcome, called, recorded, took_s = query_cell.run(main())

    assert outcome == code, case_name
    assert len(called) == len(set(called)) == calls
    assert recorded == state
    assert took_s <= 1.0


@pytest.mark.parametrize(
    ("case_name", "code", "calls", "state"),
    [
        ("down", "store_unavailable", 0, FREE),
        ("slower than the deadline", "store_unavailable", 0, FREE),
        ("the claim's reply is lost", "ok", 1, FINISHED),
        ("down from the dispatch on", "ok", 1, FINISHED),
    ],
)
def test_store_outage_never_runs_a_request_without_record(
    case_name: str, code: str, calls: int, state: str
) -> None:
    async def main() -> tuple[str, int, str, float]:
        cell = query_cell.Cell()
        loop = asyncio.get_running_loop()
        faults = cell.store.faults
        match case_name:
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
        outcome = "ok" if result.is_ok() else result.error.kind.value
        return outcome, cell.count_calls(), await cell.read_record(), took_s

    outcome, count, recorded, took_s = query_cell.run(main())

    assert (outcome, count) == (code, calls), case_name
    assert recorded == state
    assert took_s <= 1.0


def test_retry_through_another_vm_gets_first_runs_outcome() -> None:
    """An answer is lost, and the caller retries through another VM.

    The second VM must return the outcome of the first run and run nothing.
    While the first run is in progress it must report that.
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


def test_key_used_for_another_operation_is_refused() -> None:
    async def main() -> tuple[Kind, int]:
        cell = query_cell.Cell()
        await cell.coordinator.execute(cell.make_execute(1))
        other = cell.make_execute(2, body=b'{"grant":2}')
        result = await cell.coordinator.execute(other)
        return result.error.kind, cell.count_calls()

    assert query_cell.run(main()) == (Kind.KEY_REUSED, 1)


@pytest.mark.parametrize("after_ms", range(0, 40, 2))
def test_record_is_correct_after_caller_disconnects(after_ms: int) -> None:
    """A caller disconnects at any time during a request.

    The record must always state the real outcome: finished if the request
    ran, free for a retry if not.
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


def test_abandoned_queued_request_never_runs() -> None:
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


def test_shutdown_waits_for_running_request_and_its_record() -> None:
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


def test_duplicate_results_are_ignored() -> None:
    async def main() -> tuple[bool, str]:
        cell = query_cell.Cell()
        set_steps(
            cell, refuse(Kind.OVERLOADED, sent=False), run_and_reply(0.05)
        )
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
