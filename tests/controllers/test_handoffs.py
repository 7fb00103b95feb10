"""Tests of changes of owners, with the cold limit held across both owners."""

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
    """Creates two VMs that both see `vm1` as the searcher's owner."""
    fleet = memory.Fleet([searcher])
    servers = [owning.make_server("s1", **fields)]
    first = owning.Bench(fleet, servers, "vm1")
    second = owning.Bench(fleet, servers, "vm2")
    second.board.owners["s1"] = "vm1"
    second.board.usable_from_s.clear()
    owning.connect([first, second])
    return first, second


def set_seen_owner(bench: owning.Bench, vm: str) -> None:
    """Changes the owner in a VM's view."""
    bench.board.owners["s1"] = vm
    bench.owner.update_ownership()


def test_new_owner_continues_with_old_owners_state() -> None:
    """Ownership changes while two calls run on a warm searcher.

    The new owner starts at the handoff with the old owner's measurements and
    doesn't use the two slots until their calls have ended.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", service_time_sigma=0.0)
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
        set_seen_owner(second, "vm2")
        set_seen_owner(first, "vm2")
        await asyncio.sleep(0.020)
        state = second.board.owned_states["s1"]
        second.send("s1", request_id="c")
        await asyncio.sleep(1)

        assert first.get_kinds()["waiting"] == "not_owner"
        assert state.usable
        assert state.limit == 2
        assert state.service_ms == pytest.approx(10.0, abs=0.1)
        assert first.get_kinds()["a"] == first.get_kinds()["b"] == "ok"
        assert second.get_kinds() == {"c": "ok"}
        assert searcher.max_running == 2

    owning.run(scenario())


def test_new_owner_accepts_work_immediately_after_handoff() -> None:
    """A VM is replaced and hands its searchers off to another VM.

    Until the new owner has probed them, for some milliseconds, it must neither
    refuse work for them nor announce them as unusable. Otherwise queries would
    be refused when all replicas of a shard are handed off at the same time.
    """

    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        set_seen_owner(second, "vm2")
        set_seen_owner(first, "vm2")
        await asyncio.sleep(0.002)
        state = second.board.owned_states["s1"]
        second.send("s1", request_id="at once")
        await asyncio.sleep(0.2)

        assert state.usable
        assert state.versions == (owning.VERSION,)
        assert second.get_kinds() == {"at once": "ok"}

    owning.run(scenario())


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_lost_handoff_is_resent(lost: int) -> None:
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
        set_seen_owner(second, "vm2")
        set_seen_owner(first, "vm2")
        await asyncio.sleep(0.1 * lost + 0.2)

        assert "s1" in second.board.owned_states

    owning.run(scenario())


def test_new_owner_without_handoff_waits_for_end_of_old_lease() -> None:
    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        loop = asyncio.get_running_loop()
        second.board.usable_from_s["s1"] = loop.time() + LEASE_S
        set_seen_owner(second, "vm2")
        await asyncio.sleep(LEASE_S - 0.15)
        early = "s1" in second.board.owned_states
        await asyncio.sleep(0.3)

        assert not early
        assert "s1" in second.board.owned_states

    owning.run(scenario())


def test_late_copy_of_handoff_does_not_start_second_owner() -> None:
    """vm1 hands the searcher off to vm2, which soon hands it off to vm3.

    A copy of the first handoff arrives late at vm2 while vm2's view briefly
    has itself as the owner again. If vm2 accepted it, vm2 and vm3 would both
    use the searcher.
    """

    async def scenario() -> None:
        first, second = make_pair(owning.make_searcher("s1"))
        await first.start()
        await second.start()
        set_seen_owner(second, "vm2")
        set_seen_owner(first, "vm2")
        await asyncio.sleep(0.1)
        copy = next(
            message
            for _, message in first.peers.sent
            if isinstance(message, messages.Handoff)
        )
        second.board.usable_from_s["s1"] = float("inf")
        set_seen_owner(second, "vm3")
        second.receive("vm1", copy)
        set_seen_owner(second, "vm2")
        await asyncio.sleep(1)

        assert "s1" not in second.board.owned_states

    owning.run(scenario())


def test_paused_process_does_not_write_to_cold_searcher() -> None:
    """A process is paused between its decision to dispatch and the write.

    During the pause, while its connection is opening, its lease expires and
    another VM starts to use the cold searcher. After the pause the process
    must return the work unsent instead of writing it.
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


def test_searcher_that_turns_cold_while_connection_opens_gets_no_call() -> None:
    """A VM without a lease uses a warm searcher, as it is allowed to.

    The searcher turns cold while a call's connection is opening. Only the
    check immediately before the write can prevent the call.
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
        bench.owner._holdings.owned["s1"].ramp.reset_to_cold("latency")
        await asyncio.sleep(0.5)

        assert bench.get_kinds()["late"] == errors.Kind.COLD.value
        assert searcher.calls == calls

    owning.run(scenario())


def test_calls_to_slow_cold_searcher_are_not_aborted() -> None:
    """Cold calls take two seconds instead of the usual ten milliseconds.

    If each were aborted as on a dead connection, the searcher would never
    finish a call and would stay cold forever.
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
        assert bench.board.owned_states["s1"].limit == 2

    owning.run(scenario())


def test_call_to_cold_searcher_ends_before_the_lease() -> None:
    """A VM loses its lease while its call runs on a cold searcher.

    The next owner relies on no call running there after the lease, so the
    call's deadline must be before the end of the lease.
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


def test_without_lease_warm_searchers_get_work_and_cold_ones_do_not() -> None:
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
        assert not bench.board.owned_states["s1"].usable

    owning.run(scenario())


def test_draining_hands_searchers_off_and_waits_for_running_calls() -> None:
    async def scenario() -> None:
        searcher = owning.make_searcher("s1", service_ms=200.0)
        first, second = make_pair(searcher)
        await first.start()
        await second.start()
        first.send("s1", request_id="a")
        await asyncio.sleep(0.05)
        set_seen_owner(second, "vm2")
        first.board.owners["s1"] = "vm2"
        await first.owner.drain(5.0)
        await asyncio.sleep(0.1)
        first.send("s1", request_id="late")
        second.send("s1", request_id="b")
        await asyncio.sleep(1)

        assert first.get_kinds() == {"a": "ok", "late": "not_owner"}
        assert second.get_kinds() == {"b": "ok"}
        assert not first.board.owned_states

    owning.run(scenario())


class Disagreement:
    """Two VMs with different views of the owner, subject to the lease rules.

    The actual owner is the one that a majority sees. It changes immediately,
    and each VM's view follows after its own delay. The old owner's lease is
    no longer renewed, and the new owner may start without a handoff when it
    has expired.
    """

    def __init__(self, seed: int) -> None:
        """Creates two VMs and a searcher that stays cold."""
        self.rng = random.Random(seed)
        self.searcher = owning.make_searcher(
            "s1", slots=4, cold_limit=2, seed=seed
        )
        self.searcher.warm_after = 1_000_000
        pair = make_pair(self.searcher, slots=4, cold_limit=2)
        self.vms = {bench.vm: bench for bench in pair}
        self.actual_owner = "vm1"
        self.may_start_s = 0.0
        for bench in pair:
            bench.peers.is_lost = lambda _: self.rng.random() < 0.3
            # A working health report would not help here.
            self.searcher.faults.reports_cold = True

    async def run(self, duration_s: float) -> None:
        """Changes ownership and sends work to both VMs for some time.

        Args:
            duration_s: The duration, in seconds.
        """
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
        """Renews the actual owner's lease unless the old one is valid."""
        now_s = asyncio.get_running_loop().time()
        if now_s >= self.may_start_s:
            self.vms[self.actual_owner].board.lease_until_s = now_s + LEASE_S

    def change_owner(self) -> None:
        """Changes the actual owner; the views follow after delays."""
        loop = asyncio.get_running_loop()
        old = self.vms[self.actual_owner].board
        self.actual_owner = "vm2" if self.actual_owner == "vm1" else "vm1"
        self.may_start_s = max(self.may_start_s, old.lease_until_s)
        new = self.vms[self.actual_owner].board
        new.usable_from_s["s1"] = self.may_start_s
        for bench in self.vms.values():
            loop.call_later(
                self.rng.uniform(0.0, 1.0),
                set_seen_owner,
                bench,
                self.actual_owner,
            )


@pytest.mark.parametrize("seed", range(8))
def test_owners_in_disagreement_stay_within_the_cold_limit(seed: int) -> None:
    """Two VMs disagree for a minute on the owner of a cold searcher.

    Ownership changes every few seconds, views lag by up to a second, three of
    ten messages are lost, calls hang and are cancelled, and the searcher
    restarts. Both VMs continuously get work. The sum of their calls must never
    exceed the cold limit.
    """

    async def scenario() -> None:
        disagreement = Disagreement(seed)
        await disagreement.run(60.0)

        dispatched = [
            len(bench.get_events(events.PartDispatched))
            for bench in disagreement.vms.values()
        ]
        assert min(dispatched) > 20
        assert disagreement.searcher.max_cold_running <= 2

    owning.run(scenario())


def test_factory_creates_owner() -> None:
    bench = owning.make_bench()
    made = owner.make(
        bench.board,
        outbox.Outbox(bench.board, bench.peers),
        bench.port,
        random.Random(1),
    )

    assert isinstance(made, owner.Owner)
