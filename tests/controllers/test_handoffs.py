"""Changes of owners: never two ramps on one cold searcher."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from azureramp import errors, events, messages
from azureramp.controllers import outbox, owner
from azureramp.ports.searchers import memory
from tests.controllers import owning

LEASE_S = owning.LEASE_MS / 1000


def make_pair(
    searcher: memory.Searcher, **fields: Any
) -> tuple[owning.Bench, owning.Bench]:
    """Makes two VMs; `vm1` owns the searcher, and both know it."""
    fleet = memory.Fleet([searcher])
    servers = [owning.make_server("s1", **fields)]
    first = owning.Bench(fleet, servers, "vm1")
    second = owning.Bench(fleet, servers, "vm2")
    second.board.owners["s1"] = "vm1"
    second.board.may_start_s.clear()
    owning.join([first, second])
    return first, second


def see_owner(bench: owning.Bench, vm: str) -> None:
    """Makes a VM see another owner."""
    bench.board.owners["s1"] = vm
    bench.owner.update_ownership()


def test_the_new_owner_goes_on_where_the_old_one_was() -> None:
    """Ownership moves while two calls run on a warm searcher.

    The new owner starts at the handoff, warm, with the old one's history,
    and leaves the two slots alone until their calls have ended.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", spread=0.0)
        first, second = make_pair(searcher)
        await first.start()
        await second.start()
        for number in range(30):
            first.send("s1", request_id=f"w{number}")
            await asyncio.sleep(0.02)
        searcher.service_ms = 100.0
        first.send("s1", request_id="a")
        first.send("s1", request_id="b")
        first.send("s1", request_id="waiting")
        await asyncio.sleep(0.020)
        see_owner(second, "vm2")
        see_owner(first, "vm2")
        await asyncio.sleep(0.020)
        state = second.board.owned["s1"]
        second.send("s1", request_id="c")
        await asyncio.sleep(1)

        assert first.get_kinds()["waiting"] == "not_owner"
        assert state.usable
        assert state.limit == 2
        assert state.service_ms == pytest.approx(10.0, abs=0.1)
        assert first.get_kinds()["a"] == first.get_kinds()["b"] == "ok"
        assert second.get_kinds() == {"c": "ok"}
        assert searcher.most_running == 2

    owning.run(scenario())


def test_right_after_a_handoff_the_new_owner_takes_work() -> None:
    """A VM is replaced; its searchers go to another one in that moment.

    Until the new owner has looked at them itself, some milliseconds, it must
    neither refuse their work nor call them unusable: with all replicas of a
    shard handed off together, queries would be refused for want of them.
    """

    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        see_owner(second, "vm2")
        see_owner(first, "vm2")
        await asyncio.sleep(0.002)
        state = second.board.owned["s1"]
        second.send("s1", request_id="at once")
        await asyncio.sleep(0.2)

        assert state.usable
        assert state.versions == (owning.VERSION,)
        assert second.get_kinds() == {"at once": "ok"}

    owning.run(scenario())


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_a_lost_handoff_is_sent_again(lost: int) -> None:
    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        left = [lost]

        def is_lost(message: messages.PeerMessage) -> bool:
            if isinstance(message, messages.Handoff) and left[0]:
                left[0] -= 1
                return True
            return False

        first.peers.is_lost = is_lost
        await first.start()
        await second.start()
        see_owner(second, "vm2")
        see_owner(first, "vm2")
        await asyncio.sleep(0.1 * lost + 0.2)

        assert "s1" in second.board.owned

    owning.run(scenario())


def test_without_a_handoff_the_new_owner_waits_for_the_old_lease() -> None:
    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        loop = asyncio.get_running_loop()
        second.board.may_start_s["s1"] = loop.time() + LEASE_S
        see_owner(second, "vm2")
        await asyncio.sleep(LEASE_S - 0.15)
        early = "s1" in second.board.owned
        await asyncio.sleep(0.3)

        assert not early
        assert "s1" in second.board.owned

    owning.run(scenario())


def test_a_late_copy_of_a_handoff_does_not_start_a_second_owner() -> None:
    """vm1 hands the searcher to vm2, which soon hands it on to vm3.

    A copy of the first handoff arrives at vm2 late, in a moment in which
    vm2's view flickers back to itself. Starting by it would put vm2 beside
    vm3.
    """

    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        see_owner(second, "vm2")
        see_owner(first, "vm2")
        await asyncio.sleep(0.1)
        copy = next(
            message
            for _, message in first.peers.sent
            if isinstance(message, messages.Handoff)
        )
        second.board.may_start_s["s1"] = float("inf")
        see_owner(second, "vm3")
        second.receive("vm1", copy)
        see_owner(second, "vm2")
        await asyncio.sleep(1)

        assert "s1" not in second.board.owned

    owning.run(scenario())


def test_a_paused_process_does_not_write_to_a_cold_searcher() -> None:
    """A process is paused between its decision to dispatch and the write.

    While it sleeps, with its connection just opening, its lease runs out and
    another VM starts on the cold searcher. It wakes and goes on where it
    was. The work must go back unsent, not to the searcher.
    """

    async def scenario() -> None:
        loop = owning.get_loop()
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        bench.board.lease_until_s = loop.time() + LEASE_S
        bench.send("s1", remaining_ms=60_000.0)
        await asyncio.sleep(0.003)
        loop.jumped_s += 2 * LEASE_S
        await asyncio.sleep(0.1)

        result = bench.get_results()["r1", 1]
        assert isinstance(result, messages.PartFailed)
        assert not result.sent
        assert searcher.calls == 0
        assert not bench.get_events(events.PartDispatched)

    owning.run(scenario())


def test_a_searcher_that_turns_cold_while_a_connection_opens_gets_nothing() -> (
    None
):
    """A VM without a lease goes on with its warm searchers, as it may.

    One call's connection is just opening when the searcher is found to have
    turned cold. Now only the look right before the write can hold it back.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        for number in range(20):
            bench.send("s1", request_id=f"w{number}")
            await asyncio.sleep(0.02)
        bench.board.lease_until_s = 0.0
        await asyncio.sleep(5)
        calls = searcher.calls
        bench.send("s1", request_id="late")
        await asyncio.sleep(0.003)
        bench.owner._holdings.owned["s1"].ramp.turn_cold("latency")
        await asyncio.sleep(0.5)

        assert bench.get_kinds()["late"] == errors.Kind.COLD.value
        assert searcher.calls == calls

    owning.run(scenario())


def test_a_slow_cold_searcher_is_not_given_up_on() -> None:
    """Cold calls take two seconds where they usually take ten milliseconds.

    Were each given up as if its connection were dead, the searcher would
    never get through one, and stay cold for good.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        for number in range(20):
            bench.send("s1", request_id=f"w{number}")
            await asyncio.sleep(0.02)
        searcher.cold_factor = 200.0
        searcher.restart(warm_after=2)
        await asyncio.sleep(1)
        for number in range(4):
            bench.send("s1", request_id=f"c{number}", remaining_ms=5000.0)
            await asyncio.sleep(4)

        kinds = bench.get_kinds()
        assert {kinds[f"c{number}"] for number in range(4)} == {"ok"}
        assert bench.board.owned["s1"].limit == 2

    owning.run(scenario())


def test_a_call_to_a_cold_searcher_ends_before_the_lease() -> None:
    """A VM loses its lease while its call runs on a cold searcher.

    The next owner counts on nothing running there after the lease, so the
    searcher was told a deadline before its end.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        searcher.faults.hangs = 1
        bench = owning.make_bench(searcher)
        await bench.start()
        loop = asyncio.get_running_loop()
        bench.board.lease_until_s = loop.time() + LEASE_S
        bench.send("s1", remaining_ms=60_000.0)
        await asyncio.sleep(0.1)
        running = searcher.running
        await asyncio.sleep(LEASE_S - 0.1)

        assert running == 1
        assert searcher.running == 0

    owning.run(scenario())


def test_without_a_lease_warm_searchers_go_on_and_cold_ones_wait() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        for number in range(20):
            bench.send("s1", request_id=f"w{number}")
            await asyncio.sleep(0.02)
        bench.board.lease_until_s = 0.0
        bench.send("s1", request_id="warm")
        await asyncio.sleep(0.1)
        searcher.restart(warm_after=10)
        bench.send("s1", request_id="cold", remaining_ms=500.0)
        await asyncio.sleep(1)

        assert bench.get_kinds()["warm"] == "ok"
        assert bench.get_kinds()["cold"] == errors.Kind.COLD.value
        assert searcher.calls == 21
        assert not bench.board.owned["s1"].usable

    owning.run(scenario())


def test_draining_hands_everything_off_and_ends_what_runs() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", service_ms=200.0)
        first, second = make_pair(searcher)
        await first.start()
        await second.start()
        first.send("s1", request_id="a")
        await asyncio.sleep(0.05)
        see_owner(second, "vm2")
        first.board.owners["s1"] = "vm2"
        await first.owner.drain(5.0)
        await asyncio.sleep(0.1)
        first.send("s1", request_id="late")
        second.send("s1", request_id="b")
        await asyncio.sleep(1)

        assert first.get_kinds() == {"a": "ok", "late": "not_owner"}
        assert second.get_kinds() == {"b": "ok"}
        assert not first.board.owned

    owning.run(scenario())


class Disagreement:
    """Two VMs whose views of the owner differ, under the leases' rules.

    The truth is what a majority sees. It changes at once; each VM's view
    follows after its own delay, the old owner's lease is renewed no more,
    and the new owner may start without a handoff when it has run out.
    """

    def __init__(self, seed: int) -> None:
        """Makes two VMs and a searcher that stays cold."""
        self.rng = random.Random(seed)
        self.searcher = owning.make_searcher(
            "s1", slots=4, cold_limit=2, seed=seed
        )
        self.searcher.warm_after = 1_000_000
        pair = make_pair(self.searcher, slots=4, cold_limit=2)
        self.vms = {bench.vm: bench for bench in pair}
        self.truth = "vm1"
        self.may_start_s = 0.0
        for bench in pair:
            bench.peers.is_lost = lambda _: self.rng.random() < 0.3
            # A working health report would not help here.
            self.searcher.faults.reports_cold = True

    async def run(self, duration_s: float) -> None:
        """Lets ownership change, and both be asked, for some time."""
        loop = asyncio.get_running_loop()
        for bench in self.vms.values():
            bench.board.lease_until_s = 0.0
            await bench.start(0.0)
        end_s = loop.time() + duration_s
        change_s = loop.time() + 1.0
        number = 0
        while loop.time() < end_s:
            self.renew_lease()
            if loop.time() >= change_s:
                change_s = loop.time() + self.rng.uniform(0.05, 4.0)
                self.change_owner()
            for bench in self.vms.values():
                number += 1
                if self.rng.random() < 0.1:
                    self.searcher.faults.hangs = 1
                bench.send(
                    "s1",
                    request_id=f"r{number}",
                    remaining_ms=self.rng.uniform(20, 4000),
                )
                if self.rng.random() < 0.3:
                    cancel = messages.Cancel(
                        request_id=f"r{number - 1}", parts=(1,)
                    )
                    bench.receive("asker", cancel)
            if self.rng.random() < 0.01:
                self.searcher.restart(warm_after=1_000_000)
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))

    def renew_lease(self) -> None:
        """Renews the true owner's lease, unless an old one is valid."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.may_start_s:
            self.vms[self.truth].board.lease_until_s = now_s + LEASE_S

    def change_owner(self) -> None:
        """Changes the truth; the views follow one by one."""
        loop = asyncio.get_running_loop()
        old = self.vms[self.truth].board
        self.truth = "vm2" if self.truth == "vm1" else "vm1"
        self.may_start_s = max(self.may_start_s, old.lease_until_s)
        new = self.vms[self.truth].board
        new.may_start_s["s1"] = self.may_start_s
        for bench in self.vms.values():
            loop.call_later(
                self.rng.uniform(0.0, 1.0), see_owner, bench, self.truth
            )


@pytest.mark.parametrize("seed", range(8))
def test_owners_in_disagreement_stay_within_the_cold_limit(seed: int) -> None:
    """Two VMs disagree on who owns a searcher that stays cold for a minute.

    Ownership changes every few seconds, views lag by up to a second, three
    messages in ten are lost, calls hang and are cancelled, the searcher
    restarts. Both VMs are asked all the while. Together they must never
    have more than the cold limit in it.
    """

    async def scenario() -> None:
        trial = Disagreement(seed)
        await trial.run(60.0)

        dispatched = [
            len(bench.get_events(events.PartDispatched))
            for bench in trial.vms.values()
        ]
        assert min(dispatched) > 20
        assert trial.searcher.most_cold <= 2

    owning.run(scenario())


def test_the_owner_module_is_made_by_its_factory() -> None:
    bench = owning.make_bench()
    made = owner.make(
        bench.board,
        outbox.Outbox(bench.board, bench.peers),
        bench.port,
        random.Random(1),
    )

    assert isinstance(made, owner.Owner)
