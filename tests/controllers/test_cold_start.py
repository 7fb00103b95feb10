"""Cold searchers get no more than they bear."""

from __future__ import annotations

import asyncio
import random

import pytest

from azureramp import events, messages
from azureramp.ports.searchers import memory
from tests.controllers import owning


async def ask(
    bench: owning.Bench, names: list[str], duration_s: float, gap_s: float
) -> None:
    """Asks searchers in turn, for some time."""
    for number in range(int(duration_s / gap_s)):
        name = names[number % len(names)]
        now_s = asyncio.get_running_loop().time()
        bench.send(name, request_id=f"{name}/{now_s}/{number}")
        await asyncio.sleep(gap_s)


def test_a_new_searcher_gets_its_cold_limit_until_it_is_warm() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        searcher.warm_after = 30
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await ask(bench, ["s1"], 6.0, 0.004)

        assert searcher.most_cold == 2
        assert searcher.most_running == 8
        assert bench.board.owned["s1"].limit == 8

    owning.run(scenario())


@pytest.mark.parametrize("down_s", [0.0, 0.02, 0.2, 1.0])
@pytest.mark.parametrize("gap_s", [0.002, 0.02])
def test_a_restart_between_two_health_reads_is_noticed_before_work(
    down_s: float, gap_s: float
) -> None:
    """A searcher's process restarts within half a second, under load.

    Health is read twice a second, so the next read may be long after. The
    owner must notice by the connections that ended and send no more than the
    cold limit, from the first call on.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await ask(bench, ["s1"], 3.0, 0.002)
        limit = bench.board.owned["s1"].limit
        await asyncio.sleep(0.1)
        for _ in range(6):
            searcher.faults.down = down_s > 0
            searcher.restart(warm_after=30)
            asyncio.get_running_loop().call_later(
                down_s, setattr, searcher.faults, "down", False
            )
            await ask(bench, ["s1"], 0.87, gap_s)

        assert limit == 8
        assert searcher.calls > 300
        assert 1 <= searcher.most_cold <= 2

    owning.run(scenario())


def test_a_restart_while_nothing_is_asked_is_noticed() -> None:
    """A searcher restarts in a quiet night; no call's connection is open."""

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await ask(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(30)
        searcher.restart(warm_after=30)
        for number in range(16):
            bench.send("s1", request_id=f"morning{number}")
        await asyncio.sleep(1)

        assert 1 <= searcher.most_cold <= 2
        assert bench.get_kinds()["morning15"] == "ok"

    owning.run(scenario())


def test_a_searcher_that_lost_all_its_connections_is_taken_for_cold() -> None:
    """Every connection to a searcher ends at once, its process lives on.

    What ended them may have cost it its caches too, so it is ramped anew.
    One lost connection among several is no reason.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        bench = owning.make_bench(searcher, slots=8, cold_limit=2)
        await bench.start()
        await ask(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(0.2)
        next(iter(searcher.links)).lose()
        await asyncio.sleep(1)
        after_one = bench.board.owned["s1"].limit
        for link in list(searcher.links):
            link.lose()
        await asyncio.sleep(1)

        assert after_one == 8
        assert bench.board.owned["s1"].limit == 2

    owning.run(scenario())


def test_a_searcher_that_turns_cold_without_a_word_is_eased_off() -> None:
    """A searcher loses its caches but not its process.

    Nothing but its latency tells. After few slow calls the owner goes down
    to the cold limit, and up again when latency is normal.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=8)
        searcher.faults.reports_cold = False
        bench = owning.make_bench(searcher, slots=8, cold_limit=1)
        await bench.start()
        await ask(bench, ["s1"], 3.0, 0.002)
        await asyncio.sleep(0.1)
        calls = searcher.calls
        searcher.turn_cold(warm_after=25)
        for number in range(8):
            bench.send("s1", request_id=f"slow{number}")
        await asyncio.sleep(0.2)
        eased = bench.board.owned["s1"].limit
        await ask(bench, ["s1"], 4.0, 0.01)

        assert searcher.calls - calls > 25
        assert eased == 1
        assert bench.board.owned["s1"].limit == 8
        reasons = [
            event.reason for event in bench.get_events(events.SearcherChanged)
        ]
        assert "latency" in reasons

    owning.run(scenario())


def test_a_searcher_that_turned_cold_shows_though_its_calls_are_hedged() -> (
    None
):
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", slots=4)
        bench = owning.make_bench(searcher, slots=4, cold_limit=1)
        await bench.start()
        await ask(bench, ["s1"], 3.0, 0.004)
        await asyncio.sleep(0.1)
        searcher.turn_cold(warm_after=1000)
        for number in range(12):
            bench.send("s1", request_id=f"slow{number}")
            await asyncio.sleep(0.035)
            bench.receive(
                "asker",
                messages.Cancel(request_id=f"slow{number}", parts=(1,)),
            )
        await asyncio.sleep(0.2)

        assert bench.board.owned["s1"].limit == 1

    owning.run(scenario())


def test_a_whole_zone_that_returns_cold_is_ramped_searcher_by_searcher() -> (
    None
):
    """Thirty searchers come back at once, cold, into full demand.

    Each is ramped by itself. Queues stay short: what they can't take in
    time is refused at once instead of waiting.
    """

    async def scenario() -> None:
        names = [f"s{number}" for number in range(30)]
        searchers = [owning.make_searcher(name) for name in names]
        bench = owning.Bench(
            memory.Fleet(searchers),
            [owning.make_server(name) for name in names],
        )
        await bench.start()
        await ask(bench, names, 3.0, 0.0008)
        for searcher in searchers:
            searcher.faults.down = True
            searcher.restart(warm_after=40)
        await ask(bench, names, 1.0, 0.0008)
        for searcher in searchers:
            searcher.faults.down = False
        longest = 0
        for _ in range(40):
            await ask(bench, names, 0.1, 0.0008)
            queued = [state.queued for state in bench.board.owned.values()]
            longest = max(longest, *queued)

        assert max(searcher.most_cold for searcher in searchers) == 1
        assert all(searcher.served >= 40 for searcher in searchers)
        assert {state.limit for state in bench.board.owned.values()} == {2}
        assert longest <= 64

    owning.run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_the_cold_limit_holds_under_random_faults(seed: int) -> None:
    """Ten searchers restart, shed, fail, hang and straggle for six seconds."""

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
            await ask(bench, names, 0.1, 0.002)

        assert max(searcher.most_cold for searcher in searchers) == 2
        assert sum(searcher.calls for searcher in searchers) > 500
        dispatched = bench.get_events(events.PartDispatched)
        assert all(event.in_use <= event.limit for event in dispatched)

    owning.run(scenario())
