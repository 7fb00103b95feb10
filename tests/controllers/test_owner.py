"""Tests of the owner: its queue, its slots and its results."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from azureramp import events, messages, resources
from tests.controllers import owning

URGENT = resources.Priority.URGENT
DEFERRABLE = resources.Priority.DEFERRABLE
OUT = resources.Zone(name="a", state=resources.ZoneState.OUT)
BACK = resources.Zone(name="a", state=resources.ZoneState.IN_SERVICE)


async def warm(bench: owning.Bench) -> None:
    """Sends a new searcher enough work to finish its ramp."""
    for number in range(20):
        bench.send("s1", request_id=f"warm{number}")
        await asyncio.sleep(0.025)


def test_part_returns_complete_result_and_records_dispatch_before_write() -> (
    None
):
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        bench.send("s1")
        await asyncio.sleep(0.2)

        result = bench.get_results()["r1", 1]
        assert isinstance(result, messages.PartDone)
        assert (result.version, result.low, result.high) == (1, 0, 100)
        (dispatched,) = bench.get_events(events.PartDispatched)
        assert (dispatched.searcher, dispatched.in_use) == ("s1", 1)

    owning.run(scenario())


def test_running_calls_are_limited_to_slots_and_others_wait() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        for number in range(20):
            bench.send("s1", request_id=f"r{number}")
        await asyncio.sleep(1)

        dispatched = bench.get_events(events.PartDispatched)
        assert len(dispatched) == 20
        assert all(event.in_use <= event.limit <= 2 for event in dispatched)
        assert bench.fleet.searchers["s1:1"].max_running == 2

    owning.run(scenario())


def test_owner_opens_at_most_half_of_the_connection_limit() -> None:
    """An owner must leave half of the connections to a second owner.

    Two owners of one searcher coexist while their views differ, and the
    searcher accepts 10 connections in total. Here calls hang, are cancelled
    and replaced while health is read.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8, service_time_sigma=0.0)
        bench = owning.make_bench(
            searcher, slots=8, cold_limit=8, connections=10
        )
        await bench.start()
        for number in range(40):
            searcher.faults.hangs = 2
            bench.send("s1", request_id=f"r{number}", remaining_ms=100.0)
            await asyncio.sleep(0.01)
        await asyncio.sleep(1)

        assert searcher.calls >= 20
        assert 3 <= searcher.max_links <= 5

    owning.run(scenario())


def test_urgent_work_waits_at_most_one_service_time_for_deferrable_work() -> (
    None
):
    """Deferrable work fills all slots and the queue when urgent work comes."""

    async def scenario() -> None:
        bench = owning.make_bench(slots=2)
        await bench.start()
        for number in range(30):
            bench.send("s1", request_id=f"d{number}", priority=DEFERRABLE)
        await asyncio.sleep(0.001)
        bench.send("s1", request_id="urgent", priority=URGENT)
        service_s, connect_s = 0.010, 0.006
        await asyncio.sleep(2 * (service_s + connect_s) + 0.002)

        assert bench.get_kinds()["urgent"] == "ok"

    owning.run(scenario())


def test_deferrable_work_gets_spare_capacity() -> None:
    """Urgent work uses three quarters of a searcher for three seconds.

    The deferrable work that was sent at the start must get the last quarter.
    """

    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        bench.put(resources.Policy(name="default", queue_ms=4000))
        for number in range(50):
            bench.send(
                "s1",
                request_id=f"d{number}",
                priority=DEFERRABLE,
                remaining_ms=4000.0,
            )
        for number in range(450):
            bench.send("s1", request_id=f"u{number}", priority=URGENT)
            await asyncio.sleep(0.010 / 1.5)
        await asyncio.sleep(1)

        kinds = bench.get_kinds()
        assert {kinds[f"d{number}"] for number in range(50)} == {"ok"}
        assert {kinds[f"u{number}"] for number in range(450)} == {"ok"}

    owning.run(scenario())


def test_full_queue_drops_least_urgent_work_with_retry_delay() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        bench.put(resources.Policy(name="default", queue_limit=8))
        await warm(bench)
        for number in range(12):
            bench.send("s1", request_id=f"d{number}", priority=DEFERRABLE)
        for number in range(5):
            bench.send("s1", request_id=f"u{number}", priority=URGENT)
        await asyncio.sleep(1)

        kinds = bench.get_kinds()
        assert {kinds[f"u{number}"] for number in range(5)} == {"ok"}
        refused = [
            result
            for result in bench.get_results().values()
            if isinstance(result, messages.PartFailed)
        ]
        assert len(refused) == 7
        assert {result.kind for result in refused} == {"overloaded"}
        assert not any(result.sent for result in refused)
        assert all(result.retry_after_ms > 0 for result in refused)

    owning.run(scenario())


def test_queue_wait_is_limited_by_policy() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        await warm(bench)
        bench.put(resources.Policy(name="default", queue_ms=80))
        searcher.faults.hangs = 2
        for number in range(3):
            bench.send("s1", request_id=f"r{number}", remaining_ms=5000.0)
        await asyncio.sleep(0.19)

        kinds = bench.get_kinds()
        assert "r0" not in kinds
        assert "r1" not in kinds
        assert kinds["r2"] == "overloaded"

    owning.run(scenario())


def test_work_that_cannot_finish_in_time_is_refused_immediately() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        await warm(bench)
        for number in range(20):
            bench.send("s1", request_id=f"r{number}")
        bench.send("s1", request_id="hasty", remaining_ms=30.0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)

        assert bench.get_kinds()["hasty"] == "deadline_too_short"

    owning.run(scenario())


def test_late_work_does_not_use_a_slot() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        await warm(bench)
        calls = bench.fleet.searchers["s1:1"].calls
        bench.send("s1", request_id="late", remaining_ms=5.0)
        await asyncio.sleep(0.1)

        assert bench.get_kinds()["late"] == "deadline_too_short"
        assert bench.fleet.searchers["s1:1"].calls == calls

    owning.run(scenario())


def test_cancelled_part_frees_its_slot_without_a_reply() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        searcher.faults.hangs = 1
        bench.send("s1", request_id="hung")
        await asyncio.sleep(0.1)
        bench.receive("asker", messages.Cancel(request_id="hung", parts=(1,)))
        bench.send("s1", request_id="next")
        await asyncio.sleep(0.2)

        assert searcher.running == 0
        assert bench.get_kinds() == {"next": "ok"}

    owning.run(scenario())


def test_cancelled_queued_non_repeatable_request_is_reported_unsent() -> None:
    """A caller cancels a non-repeatable request that waits for a slot.

    The coordinator may release the idempotency record only if the owner
    reports that no byte was sent. A request that was sent runs to its end.
    """

    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        for name in ("sent", "waiting"):
            bench.send("s1", request_id=name, repeatable=False)
        await asyncio.sleep(0.01)
        for name in ("sent", "waiting"):
            bench.receive("asker", messages.Cancel(request_id=name, parts=(1,)))
        await asyncio.sleep(0.5)

        results = bench.get_results()
        assert owning.get_kind(results["sent", 1]) == "ok"
        waiting = results["waiting", 1]
        assert isinstance(waiting, messages.PartFailed)
        assert (waiting.kind, waiting.sent) == ("cancelled", False)
        assert len(bench.fleet.searchers["s1:1"].effect_bodies) == 1

    owning.run(scenario())


def test_duplicate_message_runs_non_repeatable_request_once() -> None:
    """A peer message is duplicated, with one copy a minute late.

    The copy must not run the request again and must not cause a reply that
    the coordinator could treat as the outcome.
    """

    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        for wait_s in (0.001, 60.0, 0.5):
            bench.send("s1", request_id="grant", repeatable=False)
            await asyncio.sleep(wait_s)

        assert len(bench.fleet.searchers["s1:1"].effect_bodies) == 1
        assert len(bench.peers.sent) == 1

    owning.run(scenario())


@pytest.mark.parametrize(
    ("resource", "kind"),
    [
        (OUT, "zone_out"),
        (
            owning.make_server("s1", state=resources.ServerState.LEAVING),
            "leaving",
        ),
    ],
    ids=["zone_out", "leaving"],
)
def test_searcher_out_of_service_gets_no_work(resource: Any, kind: str) -> None:
    """A zone or a server is taken out of service while work waits for it.

    Running calls end. Waiting work is returned immediately, unsent, so that
    its coordinator tries another replica. Nothing more is dispatched or
    probed, not even by a call that was waiting for its connection to open.
    """

    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        await warm(bench)
        await asyncio.sleep(4.5)
        searcher = bench.fleet.searchers["s1:1"]
        calls = searcher.calls
        for number in range(5):
            bench.send("s1", request_id=f"r{number}")
        await asyncio.sleep(0.003)
        bench.put(resource)
        bench.owner.update_ownership()
        reads = searcher.health_reads
        await asyncio.sleep(3)
        bench.send("s1", request_id="late")
        await asyncio.sleep(0.1)

        kinds = bench.get_kinds()
        assert searcher.calls == calls
        assert searcher.health_reads == reads
        assert not searcher.links
        for name in ("r0", "r1", "r2", "r3", "r4", "late"):
            assert kinds[name] == kind
        assert not bench.board.owned_states["s1"].usable

    owning.run(scenario())


def test_running_call_ends_when_its_zone_is_taken_out_of_service() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        bench.send("s1")
        await asyncio.sleep(0.010)
        bench.put(OUT)
        bench.owner.update_ownership()
        await asyncio.sleep(0.5)

        assert bench.get_kinds() == {"r1": "ok"}

    owning.run(scenario())


def test_zone_returned_to_service_is_cold() -> None:
    async def scenario() -> None:
        bench = owning.make_bench()
        await bench.start()
        await warm(bench)
        before = bench.board.owned_states["s1"].limit
        bench.put(OUT)
        bench.owner.update_ownership()
        await asyncio.sleep(5)
        bench.put(BACK)
        bench.owner.update_ownership()
        await asyncio.sleep(0.5)

        assert before == 2
        assert bench.board.owned_states["s1"].usable
        assert bench.board.owned_states["s1"].limit == 1

    owning.run(scenario())


def test_exception_in_port_frees_the_slot_and_is_answered() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()

        def fail(call: object) -> bytes:
            raise ZeroDivisionError

        searcher.search = fail
        for number in range(4):
            bench.send("s1", request_id=f"bad{number}")
        await asyncio.sleep(0.2)
        searcher.search = lambda call: b"[]"
        bench.send("s1", request_id="good")
        await asyncio.sleep(0.2)

        kinds = bench.get_kinds()
        assert {kinds[f"bad{number}"] for number in range(4)} == {"internal"}
        assert kinds["good"] == "ok"

    owning.run(scenario())
