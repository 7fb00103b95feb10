"""Tests of the owner under random concurrent faults."""

from __future__ import annotations

import asyncio
import collections
import random

import pytest

from azureramp import messages, resources
from azureramp.ports.searchers import memory
from tests.controllers import owning

NAMES = [f"s{number}" for number in range(4)]


class FaultInjection:
    """Injects random faults into four searchers while sub-requests run."""

    def __init__(self, seed: int) -> None:
        """Creates four searchers with one owner."""
        self.rng = random.Random(seed)
        self.searchers = [
            owning.make_searcher(name, slots=3, seed=seed) for name in NAMES
        ]
        self.bench = owning.Bench(
            memory.Fleet(self.searchers),
            [owning.make_server(name, slots=3) for name in NAMES],
        )
        self.expected: set[tuple[str, int]] = set()
        self.number = 0

    def change_fault(self) -> None:
        """Starts or ends a random fault at a searcher."""
        searcher = self.rng.choice(self.searchers)
        faults = searcher.faults
        match self.rng.randrange(9):
            case 0:
                faults.sheds = self.rng.choice([0.0, 0.5])
            case 1:
                faults.fails = self.rng.choice([0.0, 0.5])
            case 2:
                faults.crossed += 2
            case 3:
                faults.truncated += 2
            case 4:
                faults.hangs += 1
            case 5:
                searcher.make_half_open()
            case 6:
                searcher.restart(warm_after=5)
            case 7:
                state = self.rng.choice(list(resources.ZoneState))
                self.bench.put(resources.Zone(name="a", state=state))
                self.bench.owner.update_ownership()
            case _:
                faults.crashes_on = self.rng.choice([b"", b"poison"])

    def send_request(self) -> None:
        """Sends a request and sometimes cancels it."""
        self.number += 1
        request_id = f"r{self.number}"
        repeatable = self.rng.random() < 0.9
        names = self.rng.sample(NAMES, self.rng.randrange(1, 4))
        self.bench.send(
            *names,
            request_id=request_id,
            fingerprint=self.number % 50,
            body=b"poison" if self.number % 50 == 7 else b"{}",
            repeatable=repeatable,
            priority=self.rng.choice(list(resources.Priority)),
            remaining_ms=self.rng.uniform(1, 1500),
        )
        parts = {(request_id, number + 1) for number in range(len(names))}
        if self.rng.random() < 0.2:
            self.bench.receive(
                "asker",
                messages.Cancel(
                    request_id=request_id,
                    parts=tuple(part for _, part in sorted(parts)),
                ),
            )
            parts = set() if repeatable else parts
        self.expected |= parts


@pytest.mark.parametrize("seed", range(6))
def test_each_part_ends_once_and_no_slot_leaks(seed: int) -> None:
    """A hundred faults occur in ten seconds, at any step of a sub-request.

    Refusals, wrong replies, missing replies, restarts, crashes, zones out of
    service and cancellations coincide. Afterwards each sub-request that was
    not cancelled has exactly one result, the owner and the searchers hold no
    sub-requests, and new requests succeed.
    """

    async def scenario() -> None:
        injection = FaultInjection(seed)
        bench = injection.bench
        await bench.start()
        for _ in range(100):
            injection.change_fault()
            for _ in range(8):
                injection.send_request()
                await asyncio.sleep(0.012)
        for searcher in injection.searchers:
            searcher.faults = memory.Faults()
        bench.put(resources.Zone(name="a"))
        bench.owner.update_ownership()
        await asyncio.sleep(5)
        counts = collections.Counter(
            (message.request_id, result.part)
            for _, message in bench.peers.sent
            if isinstance(message, messages.PartResults)
            for result in message.results
        )
        bench.send(*NAMES, request_id="after")
        await asyncio.sleep(1)

        assert injection.expected <= counts.keys()
        assert set(counts.values()) == {1}
        assert not bench.owner._holdings.parts
        assert [searcher.running for searcher in injection.searchers] == [0] * 4
        after = [bench.get_results()["after", part] for part in range(1, 5)]
        assert [owning.get_kind(result) for result in after] == ["ok"] * 4

    owning.run(scenario())
