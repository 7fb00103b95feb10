"""Tests that poison requests cause only a limited number of crashes."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from azureramp import events, messages, resources
from azureramp.ports.searchers import memory
from tests.controllers import owning

VMS = tuple(f"vm{number}" for number in range(1, 9))
POISON = b'{"poison":1}'


class Deployment:
    """Eight VMs and ten servers of two searchers, with a simple coordinator.

    A request is sent through any VM. Like a coordinator, the VM refuses it
    while it is quarantined and sends a suspect request to one shard only.

    Attributes:
        benches: The VMs by name.
        searchers: The searchers' processes.
    """

    def __init__(self, **faults: Any) -> None:
        """Creates a deployment without suspect requests.

        Args:
            faults: Values for the searchers' `memory.Faults`.
        """
        servers = [
            resources.BackendServer(
                name=f"x{number}",
                service="stock",
                zone="a",
                searchers=tuple(
                    resources.Searcher(
                        name=f"x{number}-{letter}",
                        address=f"x{number}-{letter}:1",
                        cold_limit=2,
                    )
                    for letter in "ab"
                ),
            )
            for number in range(10)
        ]
        names = [item.name for server in servers for item in server.searchers]
        self.searchers = [owning.make_searcher(name) for name in names]
        for first, second in zip(
            self.searchers[::2], self.searchers[1::2], strict=True
        ):
            first.siblings = second.siblings = [first, second]
        for searcher in self.searchers:
            searcher.faults.crashes_on = b"poison"
            for name, value in faults.items():
                setattr(searcher.faults, name, value)
        fleet = memory.Fleet(self.searchers)
        self.benches = {vm: owning.Bench(fleet, servers, vm, VMS) for vm in VMS}
        self.owners = {
            name: VMS[number % len(VMS)] for number, name in enumerate(names)
        }
        for bench in self.benches.values():
            bench.board.owners = dict(self.owners)
        owning.connect(list(self.benches.values()))
        self.rng = random.Random(3)
        self.number = 0

    async def start(self) -> None:
        """Starts all VMs."""
        for bench in self.benches.values():
            await bench.start(0.0)
        await asyncio.sleep(0.5)

    def count_crashes(self) -> int:
        """Returns the total number of server crashes."""
        return sum(searcher.crashes for searcher in self.searchers) // 2

    def send_request(
        self, vm: str, fingerprint: int, body: bytes, width: int
    ) -> str | None:
        """Sends a request through a VM.

        Args:
            vm: The VM's name.
            fingerprint: The request's fingerprint.
            body: The query.
            width: The number of searchers to send it to.

        Returns:
            The request's id; None if the VM refuses it.
        """
        now_s = asyncio.get_running_loop().time()
        blame = self.benches[vm].board.crash_counts
        if blame.get_quarantine_ms(fingerprint, now_s) > 0:
            return None
        isolated = blame.count_crashes(fingerprint, now_s) > 0
        self.number += 1
        names = self.rng.sample(sorted(self.owners), 1 if isolated else width)
        request_id = f"r{self.number}"
        for owner in VMS:
            mine = [name for name in names if self.owners[name] == owner]
            if not mine:
                continue
            batch = owning.make_batch(
                *mine,
                request_id=request_id,
                fingerprint=fingerprint,
                body=body,
                isolated=isolated,
            )
            asyncio.get_running_loop().call_later(
                owning.HOP_S, self.benches[owner].receive, "asker", batch
            )
        return request_id

    def get_kinds(self, request_id: str) -> list[str]:
        """Returns the kinds of a request's results on all VMs."""
        return [
            owning.get_kind(result)
            for bench in self.benches.values()
            for (number, _), result in bench.get_results().items()
            if number == request_id
        ]


@pytest.mark.parametrize("width", [1, 20])
def test_repeated_poison_request_crashes_few_servers(
    width: int,
) -> None:
    """A caller sends a poison request through all VMs in turn, for minutes.

    The first time it may crash every server that it is sent to, because it is
    not suspect yet. If these are two or more, it is refused for half a minute;
    then it is sent to one shard only, crashes one more server and is refused
    for the quarantine time. If it was one server, it may crash one or two
    more, running alone.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        deployment.send_request("vm1", 7, POISON, width)
        await asyncio.sleep(0.2)
        first = deployment.count_crashes()
        refused = 0
        for number in range(3000):
            vm = VMS[number % len(VMS)]
            refused += deployment.send_request(vm, 7, POISON, width) is None
            await asyncio.sleep(0.1)

        assert 1 <= first <= min(10, width)
        assert deployment.count_crashes() <= max(first + 1, 3)
        assert refused > 2900

    owning.run(scenario())


def test_poison_request_sent_through_all_vms_crashes_only_first_servers() -> (
    None
):
    """All VMs send it at the same time, and again when it isn't refused.

    Ten servers run it concurrently and crash, which can't be prevented. After
    that the limit is one crash on each of the eight owners, and one in total
    if the notices arrive in time.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        for vm in VMS:
            deployment.send_request(vm, 7, POISON, 20)
        await asyncio.sleep(0.3)
        first = deployment.count_crashes()
        for _ in range(60):
            for vm in VMS:
                deployment.send_request(vm, 7, POISON, 20)
            await asyncio.sleep(1)

        assert first <= 10
        assert deployment.count_crashes() - first <= len(VMS)

    owning.run(scenario())


def test_owners_limit_crashes_without_notices() -> None:
    """Every crash notice between the VMs is lost.

    Each owner still uses the crashes that it detects: after the first ones it
    runs the request alone, and after one more crash not at all.
    """

    async def scenario() -> None:
        deployment = Deployment(restart_s=1.5)
        for bench in deployment.benches.values():
            bench.peers.is_lost = lambda message: isinstance(
                message, messages.CrashNotice
            )
        await deployment.start()
        deployment.send_request("vm1", 7, POISON, 20)
        await asyncio.sleep(2)
        first = deployment.count_crashes()
        for number in range(1000):
            deployment.send_request(VMS[number % len(VMS)], 7, POISON, 20)
            await asyncio.sleep(0.1)

        assert deployment.count_crashes() - first <= 2 * len(VMS)

    owning.run(scenario())


def test_harmless_requests_in_flight_are_not_quarantined() -> None:
    """Fifty harmless queries run while a poison request is sent twice.

    Those in flight during a crash are suspect for a short time. They must
    succeed or fail with their server, and none may be quarantined.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        request_ids = []
        for number in range(50):
            request_id = deployment.send_request(
                VMS[number % len(VMS)], 100 + number % 10, b"{}", 4
            )
            request_ids.append(request_id)
            if number in (10, 30):
                deployment.send_request("vm2", 7, POISON, 1)
            await asyncio.sleep(0.05)
        await asyncio.sleep(5)
        again = [
            deployment.send_request(
                VMS[number % len(VMS)], 100 + number, b"{}", 4
            )
            for number in range(10)
        ]
        await asyncio.sleep(1)

        assert deployment.count_crashes() == 2
        assert None not in request_ids
        for request_id in again:
            assert request_id is not None
            assert set(deployment.get_kinds(request_id)) == {"ok"}

    owning.run(scenario())


def test_harmless_request_beside_poison_request_continues_alone() -> None:
    """A harmless query is in flight on several servers when one crashes.

    Its parts on other servers are requeued and run one at a time, so it loses
    only some time and the part on the crashed server.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        for searcher in deployment.searchers:
            searcher.service_ms, searcher.service_time_sigma = 50.0, 0.0
        deployment.searchers[0].service_ms = 20.0
        bench = deployment.benches["vm1"]
        bench.send("x0-a", request_id="bad", fingerprint=7, body=POISON)
        names = ("x0-a", "x4-a", "x8-a")
        assert {deployment.owners[name] for name in names} == {"vm1"}
        await asyncio.sleep(0.005)
        bench.send(*names, request_id="good", fingerprint=8)
        await asyncio.sleep(0.9)

        assert deployment.get_kinds("bad") == ["backend_crashed"]
        assert sorted(deployment.get_kinds("good")) == [
            "backend_crashed",
            "ok",
            "ok",
        ]
        assert bench.board.crash_counts.count_crashes(8, 1.0) == 0

    owning.run(scenario())


def test_poison_request_is_cancelled_on_other_servers_after_a_crash() -> None:
    """A poison request runs on a fast server and on two slow ones.

    The fast one crashes first. The request must be cancelled on the slow ones
    before it crashes them too: it then runs on one of them alone, and after
    that server's crash it doesn't run again.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        for searcher in deployment.searchers:
            searcher.service_ms = 300.0
        deployment.searchers[0].service_ms = 10.0
        bench = deployment.benches["vm1"]
        for name in ("x0-a", "x4-a", "x8-a"):
            assert deployment.owners[name] == "vm1"
            bench.send(name, request_id=name, fingerprint=7, body=POISON)
        await asyncio.sleep(0.2)
        running = [searcher.running for searcher in deployment.searchers]
        first = deployment.count_crashes()
        await asyncio.sleep(3)

        assert first == 1
        assert sum(running) == 1
        assert deployment.count_crashes() == 2

    owning.run(scenario())


def test_isolated_request_runs_one_part_at_a_time_per_owner() -> None:
    """A suspect request is sent to three searchers of one owner.

    If they ran it concurrently, a poison request would crash all three
    servers.
    """

    async def scenario() -> None:
        deployment = Deployment()
        await deployment.start()
        names = ("x0-a", "x4-a", "x8-a")
        bench = deployment.benches["vm1"]
        bench.send(
            *names, request_id="r", fingerprint=7, body=POISON, isolated=True
        )
        await asyncio.sleep(0.9)

        assert deployment.count_crashes() == 2
        assert sorted(deployment.get_kinds("r")) == [
            "backend_crashed",
            "backend_crashed",
            "quarantined",
        ]

    owning.run(scenario())


def test_suspect_request_waits_until_second_crash_is_counted() -> None:
    """A server restarts 50 ms after its crash, and the request is sent again.

    Crashes of one server this close together are merged, as reports of two
    owners about one crash. A suspect request must not get an additional
    attempt that isn't counted.
    """

    async def scenario() -> None:
        deployment = Deployment(restart_s=0.05)
        await deployment.start()
        bench = deployment.benches["vm1"]
        bench.send("x0-a", request_id="r1", fingerprint=7, body=POISON)
        await asyncio.sleep(0.7)
        sibling = deployment.benches["vm2"]
        assert deployment.owners["x0-b"] == "vm2"
        sibling.send("x0-b", request_id="r2", fingerprint=7, body=POISON)
        await asyncio.sleep(0.1)

        assert deployment.get_kinds("r2") == ["cold"]
        assert deployment.count_crashes() == 1

    owning.run(scenario())


def test_crash_is_also_attributed_to_recently_cancelled_call() -> None:
    """A call is cancelled and crashes its server shortly afterwards.

    The searcher had not noticed the cancellation yet. Only a harmless call is
    still in flight, and the crash would be attributed to it alone.
    """

    async def scenario() -> None:
        searcher = owning.make_searcher("s1", service_ms=300.0)
        bench = owning.make_bench(searcher, cold_limit=2)
        await bench.start()
        bench.send("s1", request_id="bad", fingerprint=7)
        bench.send("s1", request_id="good", fingerprint=8)
        await asyncio.sleep(0.1)
        bench.receive("asker", messages.Cancel(request_id="bad", parts=(1,)))
        await asyncio.sleep(0.1)
        searcher.crash()
        await asyncio.sleep(0.1)

        loop_s = asyncio.get_running_loop().time()
        charged = [
            bench.board.crash_counts.count_crashes(f, loop_s) for f in (7, 8)
        ]
        assert charged == [1, 1]

    owning.run(scenario())


def test_suspect_request_runs_alone_on_its_searcher() -> None:
    """A crash is attributed to all calls in flight, so a suspect runs alone."""

    async def scenario() -> None:
        bench = owning.make_bench(
            owning.make_searcher("s1", service_time_sigma=0.0), cold_limit=2
        )
        await bench.start()
        bench.send("s1", request_id="before")
        bench.send("s1", request_id="suspect", isolated=True)
        bench.send("s1", request_id="after", remaining_ms=2000.0)
        await asyncio.sleep(1)

        dispatched = [
            (event.request_id, event.in_use)
            for event in bench.get_events(events.PartDispatched)
        ]
        assert dispatched == [("before", 1), ("suspect", 1), ("after", 1)]

    owning.run(scenario())


def test_vm_started_later_receives_quarantines() -> None:
    async def scenario() -> None:
        deployment = Deployment()
        late = deployment.benches["vm8"]
        late.peers.routes.clear()
        for bench in deployment.benches.values():
            bench.peers.is_lost = lambda message: (
                isinstance(message, messages.CrashNotice)
                and bool(message.crash_id)
            )
        await deployment.start()
        owner = deployment.benches["vm1"]
        for number in range(2):
            owner.send(
                "x0-a", request_id=f"r{number}", fingerprint=7, body=POISON
            )
            await asyncio.sleep(3)
        await asyncio.sleep(6)

        loop_s = asyncio.get_running_loop().time()
        assert owner.board.crash_counts.get_quarantine_ms(7, loop_s) > 0
        assert late.board.crash_counts.get_quarantine_ms(7, loop_s) > 0
        blamed = owner.get_events(events.FingerprintBlamed)
        assert [event.crashes for event in blamed] == [1, 2]

    owning.run(scenario())


def test_connection_lost_in_network_is_not_a_crash() -> None:
    """A connection is reset in the network; the searcher keeps running."""

    async def scenario() -> None:
        searcher = owning.make_searcher("s1")
        bench = owning.make_bench(searcher)
        await bench.start()
        bench.send("s1", fingerprint=7)
        await asyncio.sleep(0.012)
        for link in list(searcher.links):
            link.break_connection()
        await asyncio.sleep(0.5)

        assert bench.get_kinds() == {"r1": "connection_lost"}
        loop_s = asyncio.get_running_loop().time()
        assert bench.board.crash_counts.count_crashes(7, loop_s) == 0

    owning.run(scenario())
