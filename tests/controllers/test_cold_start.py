"""Tests of the limits on work for searchers in cold start."""

from __future__ import annotations

import asyncio
import random

import pytest

from azureramp import events, messages
from azureramp.ports.searchers import memory
from tests.controllers import owning


async def send_load(
    bench: owning.Bench, names: list[str], duration_s: float, gap_s: float
) -> None:
    """Sends sub-requests to searchers in turn.

    Args:
        bench: The VM that owns the searchers.
        names: The searchers' names.
        duration_s: The duration, in seconds.
        gap_s: The interval between sub-requests, in seconds.
    """
    for number in range(int(duration_s / gap_s)):
        name = names[number % len(names)]
        now_s = asyncio.get_running_loop().time()
        bench.send(name, request_id=f"{name}/{now_s}/{number}")
        await asyncio.sleep(gap_s)


def test_new_searcher_gets_its_cold_limit_until_it_is_warm() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        searcher.warm_after = 30
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await send_load(bench, ["s1"], 6.0, 0.004)

        assert searcher.max_cold_running == 2
        assert searcher.max_running == 8
        assert bench.board.owned_states["s1"].limit == 8

    owning.run(scenario())


@pytest.mark.parametrize("down_s", [0.0, 0.02, 0.2, 1.0])
@pytest.mark.parametrize("gap_s", [0.002, 0.02])
def test_restart_between_health_reads_is_detected_before_work_is_sent(
    down_s: float, gap_s: float
) -> None:
    """A searcher restarts under load between two health reads.

    Health is read twice per second, so the next read may come much later. The
    owner must detect the restart from the lost connections and respect the
    cold limit from the first call.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await send_load(bench, ["s1"], 3.0, 0.002)
        limit = bench.board.owned_states["s1"].limit
        await asyncio.sleep(0.1)
        for _ in range(6):
            searcher.faults.down = down_s > 0
            searcher.restart(warm_after=30)
            asyncio.get_running_loop().call_later(
                down_s, setattr, searcher.faults, "down", False
            )
            await send_load(bench, ["s1"], 0.87, gap_s)

        assert limit == 8
        assert searcher.calls > 300
        assert 1 <= searcher.max_cold_running <= 2

    owning.run(scenario())


def test_restart_of_idle_searcher_is_detected() -> None:
    """A searcher restarts while idle, so that no call's connection is lost."""

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await send_load(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(30)
        searcher.restart(warm_after=30)
        for number in range(16):
            bench.send("s1", request_id=f"morning{number}")
        await asyncio.sleep(1)

        assert 1 <= searcher.max_cold_running <= 2
        assert bench.get_kinds()["morning15"] == "ok"

    owning.run(scenario())


def test_searcher_that_lost_all_connections_is_treated_as_cold() -> None:
    """All connections to a searcher are lost while its process keeps running.

    The cause may also have emptied its caches, so the searcher is ramped up
    again. The loss of one of several connections is not sufficient.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await send_load(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(0.2)
        next(iter(searcher.links)).break_connection()
        await asyncio.sleep(1)
        after_one = bench.board.owned_states["s1"].limit
        for link in list(searcher.links):
            link.break_connection()
        await asyncio.sleep(1)

        assert after_one == 8
        assert bench.board.owned_states["s1"].limit == 2

    owning.run(scenario())


def test_limit_is_reduced_for_searcher_that_turns_cold_unreported() -> None:
    """A searcher loses its caches without a restart and without a report.

    Only its latency shows this. After a few slow calls the owner reduces its
    limit to the cold limit and raises it again when latency is normal.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        searcher.faults.reports_cold = False
        bench = owning.make_bench(searcher, slots=8, cold_limit=1)
        await bench.start()
        await send_load(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(0.1)
        calls = searcher.calls
        searcher.reset_to_cold(warm_after=25)
        for number in range(8):
            bench.send("s1", request_id=f"slow{number}")
        await asyncio.sleep(0.2)
        reduced = bench.board.owned_states["s1"].limit
        await send_load(bench, ["s1"], 4.0, 0.01)

        assert searcher.calls - calls > 25
        assert reduced == 1
        assert bench.board.owned_states["s1"].limit == 8
        reasons = [
            event.reason for event in bench.get_events(events.SearcherChanged)
        ]
        assert "latency" in reasons

    owning.run(scenario())


def test_searcher_that_turned_cold_is_detected_although_calls_are_hedged() -> (
    None
):
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=4)
        bench = owning.make_bench(searcher, slots=4, cold_limit=1)
        await bench.start()
        await send_load(bench, ["s1"], 3.0, 0.004)
        await asyncio.sleep(0.1)
        searcher.reset_to_cold(warm_after=1000)
        for number in range(12):
            bench.send("s1", request_id=f"slow{number}")
            await asyncio.sleep(0.035)
            bench.receive(
                "asker",
                messages.Cancel(request_id=f"slow{number}", parts=(1,)),
            )
        await asyncio.sleep(0.2)

        assert bench.board.owned_states["s1"].limit == 1

    owning.run(scenario())


def test_searchers_of_zone_that_returns_cold_are_ramped_separately() -> None:
    """Thirty cold searchers return at the same time under full load.

    Each is ramped separately. Queues stay short: work that can't finish in
    time is refused immediately instead of queued.
    """

    async def scenario() -> None:
        names = [f"s{number}" for number in range(30)]
        searchers = [owning.make_searcher(name) for name in names]
        bench = owning.Bench(
            memory.Fleet(searchers),
            [owning.make_server(name) for name in names],
        )
        await bench.start()
        await send_load(bench, names, 3.0, 0.0008)
        for searcher in searchers:
            searcher.faults.down = True
            searcher.restart(warm_after=40)
        await send_load(bench, names, 1.0, 0.0008)
        for searcher in searchers:
            searcher.faults.down = False
        longest = 0
        for _ in range(40):
            await send_load(bench, names, 0.1, 0.0008)
            queued = [
                state.queued for state in bench.board.owned_states.values()
            ]
            longest = max(longest, *queued)

        assert max(searcher.max_cold_running for searcher in searchers) == 1
        assert all(searcher.served >= 40 for searcher in searchers)
        assert {state.limit for state in bench.board.owned_states.values()} == {
            2
        }
        assert longest <= 64

    owning.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_cold_limit_holds_under_random_faults(seed: int) -> None:
    """Ten searchers restart, shed, fail, hang and respond slowly for 6 s."""

    async def scenario() -> None:
        rng = random.Random(seed)
        names = [f"s{number}" for number in range(10)]
        searchers = [
            owning.make_searcher(name, slots=4, seed=seed) for name in names
        ]
        bench = owning.Bench(
            memory.Fleet(searchers),
            [owning.make_server(name, slots=4, cold_limit=2) for name in names],
        )
        await bench.start()
        for _ in range(60):
            searcher = rng.choice(searchers)
            match rng.randrange(6):
                case 0:
                    searcher.restart(warm_after=20)
                case 1:
                    searcher.faults.sheds = rng.choice([0.0, 0.3])
                case 2:
                    searcher.faults.fails = rng.choice([0.0, 0.3])
                case 3:
                    searcher.faults.hangs = rng.randrange(3)
                case 4:
                    searcher.faults.straggles = 0.05
                case _:
                    searcher.faults.down = not searcher.faults.down
                    if searcher.faults.down:
                        searcher.restart(warm_after=20)
            await send_load(bench, names, 0.1, 0.002)

        assert max(searcher.max_cold_running for searcher in searchers) == 2
        assert sum(searcher.calls for searcher in searchers) > 500
        dispatched = bench.get_events(events.PartDispatched)
        assert all(event.in_use <= event.limit for event in dispatched)

    owning.run(scenario())
