"""The owner: its queue, its slots and what it gives back."""

from __future__ import annotations

import asyncio

from azureramp import events, messages, resources
from azureramp.ports.searchers import memory
from tests.controllers import owning


def make_bench(**faults: object) -> owning.Bench:
    searcher = memory.Searcher("s1:1", versions=(owning.VERSION,))
    for name, value in faults.items():
        setattr(searcher.faults, name, value)
    return owning.Bench([searcher], [owning.make_server("s1")])


def test_a_part_comes_back_whole_and_is_recorded_before_its_write() -> None:
    async def scenario() -> None:
        bench = make_bench()
        running = await bench.start()
        bench.send("s1")
        await asyncio.sleep(0.2)
        running.cancel()

        result = bench.get_results()["r1", 1]
        assert isinstance(result, messages.PartDone)
        assert (result.version, result.low, result.high) == (1, 0, 100)
        (dispatched,) = bench.get_events(events.PartDispatched)
        assert dispatched.searcher == "s1"
        assert dispatched.in_use == 1

    owning.run(scenario())


def test_no_more_run_than_the_slots_and_the_rest_waits() -> None:
    async def scenario() -> None:
        bench = make_bench()
        running = await bench.start()
        for number in range(20):
            bench.send("s1", request_id=f"r{number}")
        await asyncio.sleep(1)
        running.cancel()

        dispatched = bench.get_events(events.PartDispatched)
        assert len(dispatched) == 20
        assert max(event.in_use for event in dispatched) == 2
        assert all(event.in_use <= event.limit for event in dispatched)

    owning.run(scenario())


def test_a_cancelled_part_frees_its_slot() -> None:
    async def scenario() -> None:
        bench = make_bench(hangs=1)
        running = await bench.start()
        bench.send("s1", request_id="hung")
        await asyncio.sleep(0.1)
        bench.owner.receive_cancel(
            "vm2", messages.Cancel(request_id="hung", parts=(1,))
        )
        bench.send("s1", request_id="next")
        await asyncio.sleep(0.1)
        running.cancel()

        result = bench.get_results()["next", 1]
        assert isinstance(result, messages.PartDone)

    owning.run(scenario())


def test_a_zone_taken_out_gets_nothing_and_the_queue_goes_back() -> None:
    """An operator takes a zone out while work waits for its searchers.

    What runs there ends; what waits goes back at once, unsent, so that its
    coordinator asks another replica; nothing new is dispatched or probed.
    """

    async def scenario() -> None:
        bench = make_bench()
        running = await bench.start()
        for number in range(5):
            bench.send("s1", request_id=f"r{number}")
        await asyncio.sleep(0)
        out = resources.Zone(name="a", state=resources.ZoneState.OUT)
        await asyncio.sleep(0.008)
        bench.put(out)
        bench.owner.update_ownership()
        calls = bench.fleet.searchers["s1:1"].calls
        await asyncio.sleep(1)
        bench.send("s1", request_id="late")
        await asyncio.sleep(0.1)
        running.cancel()

        results = bench.get_results()
        done = [r for r in results.values() if type(r) is messages.PartDone]
        refused = [
            r
            for r in results.values()
            if isinstance(r, messages.PartFailed) and r.kind == "zone_out"
        ]
        assert len(done) == calls == bench.fleet.searchers["s1:1"].calls
        assert len(done) + len(refused) == 6
        assert not any(result.sent for result in refused)

    owning.run(scenario())
