"""Tests of the membership controllers of five VMs, over links with faults."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import pytest

from azureramp import blackboard, events, messages
from azureramp.ports.peers import memory
from azureramp_standins import virtual
from tests.controllers import vms

CONFIGURATION = vms.make_configuration(
    *((f"s{number}", f"z{number % 3}") for number in range(12))
)
SETTLE_S = 4.0
"""Time from the start until leases and owners are stable, in seconds."""


class Cell:
    """Five VMs in three zones."""

    def __init__(self) -> None:
        self.listed = [vms.make_vm(f"vm{n}", f"z{n % 3}") for n in range(5)]
        self.listing = vms.FakeVmList(*self.listed)
        self.network = memory.Network()
        self.nodes: dict[str, vms.Node] = {}

    async def start(self, name: str, incarnation: int = 1) -> vms.Node:
        entry = next(vm for vm in self.listed if vm.name == name)
        node = vms.Node(
            self.network, entry, self.listing, CONFIGURATION, incarnation
        )
        self.nodes[name] = node
        await node.start()
        return node

    def get_boards(self, *but: str) -> list[blackboard.Blackboard]:
        return [n.board for name, n in self.nodes.items() if name not in but]

    def count_changes(self, since_s: float) -> int:
        """Counts the changes of members' states since a time."""
        return sum(
            isinstance(record.event, events.MemberChanged)
            and record.monotonic_s >= since_s
            for board in self.get_boards()
            for record in board.timeline.get_records()
        )


def run(test: Callable[[Cell], Awaitable[None]]) -> None:
    """Starts a cell, waits until it is stable, and runs a test on it."""

    async def body() -> None:
        cell = Cell()
        for vm in cell.listed:
            await cell.start(vm.name)
        await asyncio.sleep(SETTLE_S)
        await test(cell)
        for node in cell.nodes.values():
            await node.stop()

    virtual.run(body())


def now_s() -> float:
    return asyncio.get_running_loop().time()


def assert_agreed(boards: list[blackboard.Blackboard]) -> dict[str, str]:
    """Checks that VMs agree on the owners and may use their searchers.

    Returns:
        The names of the owner VMs, by searcher name.
    """
    owners = boards[0].owners
    assert len(owners) == 24
    for board in boards:
        own = board.settings.vm
        assert board.owners == owners
        assert board.lease_until_s > now_s()
        assert board.usable_from_s.keys() == {
            name for name, vm in owners.items() if vm == own
        }
        assert all(at <= now_s() for at in board.usable_from_s.values())
    return owners


def test_vms_agree_on_owners_in_searcher_zone_after_start() -> None:
    async def test(cell: Cell) -> None:
        owners = assert_agreed(cell.get_boards())
        zones = {vm.name: vm.zone for vm in cell.listed}
        for searcher, vm in owners.items():
            number = int(searcher[1:].partition("-")[0])
            assert zones[vm] == f"z{number % 3}"

    run(test)


def test_no_vm_uses_searchers_before_first_lease() -> None:
    """All VMs start at once and grant no lease for one lease duration.

    A VM that treated this as the loss of the majority would start without a
    lease, and return incomplete answers because its cold searchers wait.
    """

    async def body() -> None:
        cell = Cell()
        for vm in cell.listed:
            await cell.start(vm.name)
        await asyncio.sleep(1.4)
        for board in cell.get_boards():
            assert board.usable_from_s
            assert set(board.usable_from_s.values()) == {math.inf}
        for node in cell.nodes.values():
            await node.stop()

    virtual.run(body())


def test_few_lost_heartbeats_change_nothing() -> None:
    """All heartbeats are lost for 0.6 s, for example while a switch reboots.

    A VM that reacted to a single missing heartbeat would move searchers back
    and forth, and each move costs the delay of a cold ramp.
    """

    async def test(cell: Cell) -> None:
        began_s = now_s()
        cell.network.faults.loss = 1.0
        await asyncio.sleep(0.6)
        cell.network.faults.loss = 0.0
        await asyncio.sleep(3.0)
        assert cell.count_changes(began_s) == 0
        assert_agreed(cell.get_boards())

    run(test)


def test_searchers_of_killed_vm_move_after_its_lease() -> None:
    """A host fails, and its searchers get no work until other VMs own them.

    The new owner may use them only after the failed VM's lease has expired,
    and all other VMs must agree on the new owners.
    """

    async def test(cell: Cell) -> None:
        node = cell.nodes.pop("vm0")
        lost = set(node.board.usable_from_s)
        await node.stop()
        lease_end_s = node.board.lease_until_s
        await asyncio.sleep(3.0)
        owners = assert_agreed(cell.get_boards())
        assert lost
        assert "vm0" not in owners.values()
        starts = [
            at
            for board in cell.get_boards()
            for name, at in board.usable_from_s.items()
            if name in lost
        ]
        assert len(starts) == len(lost)
        assert min(starts) >= lease_end_s
        assert max(starts) <= lease_end_s + 1.0

    run(test)


def test_process_pause_makes_no_vm_suspect() -> None:
    """The processes are paused for ten seconds, as in a live migration.

    When a process resumes, the last heartbeat of every VM is ten seconds old,
    and its timer fires before it reads the messages waiting in its sockets.
    """

    async def test(cell: Cell) -> None:
        began_s = now_s()
        asyncio.get_running_loop()._selector.clock.advance(10.0)  # type: ignore[attr-defined]
        await asyncio.sleep(3.0)
        assert cell.count_changes(began_s) == 0
        assert_agreed(cell.get_boards())

    run(test)


def test_cut_link_between_two_vms_moves_no_searcher() -> None:
    """Two VMs lose contact with each other, but not with the other VMs.

    If each treated the other as failed, both would claim the same searchers.
    """

    async def test(cell: Cell) -> None:
        before = assert_agreed(cell.get_boards())
        cell.network.faults.cut = {("vm0", "vm3"), ("vm3", "vm0")}
        await asyncio.sleep(5.0)
        assert assert_agreed(cell.get_boards()) == before
        member = cell.nodes["vm0"].board.members["vm3"]
        assert member.state is blackboard.MemberState.SUSPECT

    run(test)


def test_without_majority_searchers_have_owners_but_no_lease() -> None:
    """A VM is cut off from all others.

    It can't know how they use its searchers, so cold searchers must wait,
    while warm ones continue to get work.
    """

    async def test(cell: Cell) -> None:
        others = [vm.name for vm in cell.listed if vm.name != "vm0"]
        cell.network.faults.cut = {
            pair for vm in others for pair in (("vm0", vm), (vm, "vm0"))
        }
        await asyncio.sleep(5.0)
        board = cell.nodes["vm0"].board
        assert board.lease_until_s < now_s()
        assert set(board.owners.values()) == {"vm0"}
        assert all(at <= now_s() for at in board.usable_from_s.values())
        owners = assert_agreed(cell.get_boards("vm0"))
        assert "vm0" not in owners.values()

    run(test)


def test_restarted_vm_is_distinguished_from_earlier_process() -> None:
    """A VM is replaced by a new process with the same name and address.

    A delayed heartbeat of the old process announces that it leaves. It must
    not take the new process out of service.
    """

    async def test(cell: Cell) -> None:
        await cell.nodes.pop("vm0").stop()
        await cell.start("vm0", incarnation=2)
        await asyncio.sleep(SETTLE_S)
        before = assert_agreed(cell.get_boards())
        late = messages.Heartbeat(
            sequence=10_000,
            leaving=True,
            ready=False,
            revision=0,
            confirmed_age_ms=0.0,
            lease_ms=1500.0,
        )
        envelope = messages.Envelope("vm0", 1, 0, (late,))
        for vm in ("vm1", "vm2", "vm3", "vm4"):
            cell.nodes[vm].receive(envelope)
        member = cell.nodes["vm1"].board.members["vm0"]
        assert (member.incarnation, member.ready) == (2, True)
        assert member.state is blackboard.MemberState.LIVE
        assert assert_agreed(cell.get_boards()) == before

    run(test)


def test_new_vm_owns_nothing_before_receiving_heartbeats() -> None:
    """A VM is replaced, and receives heartbeats later than the others do.

    If it were treated as an owner at once, the searchers handed to it would
    have no owner until it receives them, and answers would be incomplete.
    """

    async def test(cell: Cell) -> None:
        await cell.nodes.pop("vm0").stop()
        await asyncio.sleep(SETTLE_S)
        others = ("vm1", "vm2", "vm3", "vm4")
        cell.network.faults.cut = {(vm, "vm0") for vm in others}
        node = await cell.start("vm0", incarnation=2)
        await asyncio.sleep(0.9)
        for board in cell.get_boards("vm0"):
            assert "vm0" not in board.owners.values()
        cell.network.faults.cut = set()
        await asyncio.sleep(0.4)
        assert "vm0" in node.board.owners.values()
        await asyncio.sleep(SETTLE_S)
        assert_agreed(cell.get_boards())

    run(test)


def test_leaving_vm_releases_searchers_within_one_heartbeat() -> None:
    async def test(cell: Cell) -> None:
        cell.nodes["vm0"].membership.announce_leaving()
        await asyncio.sleep(0.05)
        for board in cell.get_boards():
            assert "vm0" not in board.owners.values()
            state = board.members["vm0"].state
            assert state is blackboard.MemberState.LEAVING

    run(test)


@pytest.mark.parametrize("change", ["shrinks", "fails"])
def test_lagging_or_failing_list_removes_no_live_vm(
    change: str,
) -> None:
    async def test(cell: Cell) -> None:
        began_s = now_s()
        if change == "shrinks":
            cell.listing.vms = cell.listing.vms[1:]
        else:
            cell.listing.down = True
        await asyncio.sleep(5.0)
        assert cell.count_changes(began_s) == 0
        assert_agreed(cell.get_boards())

    run(test)


@pytest.mark.parametrize(
    "pairs",
    [
        pytest.param([("vm0", "vm3")], id="one way"),
        pytest.param([("vm0", "vm3"), ("vm3", "vm0")], id="both ways"),
        pytest.param(
            [
                (a, b)
                for a in ("vm0", "vm1", "vm2", "vm3", "vm4")
                for b in ("vm0", "vm1", "vm2", "vm3", "vm4")
                if a != b
            ],
            id="all links at once",
        ),
    ],
)
def test_half_open_link_is_replaced(
    pairs: list[tuple[str, str]],
) -> None:
    """A device between two VMs loses the state of their connections.

    Both ends stay open without an error, but messages no longer arrive, while
    a new connection works. Unacknowledged heartbeats reveal this, whether or
    not messages arrive in the other direction.
    """

    async def test(cell: Cell) -> None:
        cell.network.faults.half_open = set(pairs)
        await asyncio.sleep(2.5)
        assert cell.network.faults.half_open == set()
        await asyncio.sleep(4.0)
        assert_agreed(cell.get_boards())

    run(test)
