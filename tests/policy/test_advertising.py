"""Which VMs are advertised to callers, under the load of whole deployments."""

from __future__ import annotations

import dataclasses

from azureramp import catalog
from azureramp.policy import advertising, overload


def make_members(
    zones: dict[str, int], cores: float = 1.0
) -> list[catalog.Member]:
    return [
        catalog.Member(f"{zone}-{index}", zone, "a", "p", cores, leaving=False)
        for zone, count in zones.items()
        for index in range(count)
    ]


def test_a_few_large_vms_hold_warm_connections_for_a_request_to_all() -> None:
    """64 VMs, half of them of half a core; 90 shards accept 54 connections.

    Told of all VMs, callers found no connection open for most calls, and a
    call costs 0.5 ms of a core: 90 of them take a small VM 90 ms. A trial of
    the pattern was worth 0.45 with 13 VMs told and 0.61 with 6.
    """
    zones = {"a": 16, "b": 16, "c": 16, "d": 16}
    members = [
        dataclasses.replace(member, cores=2.0 if index % 4 == 0 else 0.5)
        for index, member in enumerate(make_members(zones))
    ]
    told = advertising.choose(members, dict.fromkeys(zones, 0.25), 54)
    assert len(told) == 54 // advertising.USUAL_CONNECTIONS_PER_VM
    assert all(member.cores == 2.0 for member in told)
    assert len({member.zone for member in told}) == 4


def test_a_small_vm_makes_up_no_number_beside_large_ones() -> None:
    """A tenth of all requests to 90 shards is short, all those of one VM.

    Six VMs have two cores, the other 68 half a core and a narrow link. The
    searchers' connections would do for seven, so one small VM was told, and
    what it answers to 90 shards comes late.
    """
    zones = {"a": 22, "b": 27, "c": 25}
    members = [
        dataclasses.replace(
            member, cores=2.15 if member.vm[-2:] in ("-0", "-1") else 0.52
        )
        for member in make_members(zones)
    ]
    told = advertising.choose(members, dict.fromkeys(zones, 0.33), 59)
    assert len(told) == 6
    assert all(member.cores > 2.0 for member in told)


def test_the_loss_of_a_zone_leaves_vms_that_are_told() -> None:
    zones = {"a": 3, "b": 2, "c": 2, "d": 1}
    nearness = {"a": 1.0}
    told = advertising.choose(make_members(zones), nearness, 26)
    assert len({member.zone for member in told}) >= 2
    left = [m for m in make_members(zones) if m.zone != "a"]
    assert len(advertising.choose(left, {}, 26)) >= 3


def test_leaving_vms_are_never_told() -> None:
    members = make_members({"a": 2})
    members[0] = dataclasses.replace(members[0], leaving=True)
    assert advertising.choose(members, {}, 26) == (members[1],)
    assert advertising.choose([], {}, 26) == ()


def test_a_vm_is_busy_while_its_timers_are_late_and_for_a_while_after() -> None:
    judged = overload.Overload()
    assert not judged.add(0.002, 0.0)
    assert not judged.add(5.0, 1.0), "a pause is not load"
    for number in range(5):
        busy = judged.add(0.05, 2.0 + number / 4)
    assert busy
    for number in range(40):
        assert judged.add(0.0, 3.5 + number / 4)
    assert not judged.add(0.0, 40.0)


def test_a_burst_that_makes_the_told_vms_busy_doubles_their_number() -> None:
    """Four of eight VMs are told; three times the usual callers come.

    Timers of the told VMs fire tens of milliseconds late. For each that says
    so, one VM more is told, until all that can take part do.
    """
    members = make_members({"a": 4, "b": 4})
    usual = advertising.choose(members, {}, 26)
    assert len(usual) == 4
    for busy in (1, 2, 4):
        loaded = {member.vm for member in usual[:busy]}
        now = [
            dataclasses.replace(member, busy=member.vm in loaded)
            for member in members
        ]
        told = advertising.choose(now, {}, 26)
        fresh = [member for member in told if not member.busy]
        assert len(fresh) == min(4 + busy, len(members) - busy)
    assert len(told) == 8


def test_slowed_vms_on_stand_by_leave_the_told_ones_as_they_are() -> None:
    """Five of 58 VMs on stand-by turn slow while six others serve.

    All VMs were told then. Each of the 64 opened a connection to each of 400
    searchers that accept 54, was reset, and tried again at each change: that
    made all 64 busy, and callers got half of their answers.
    """
    members = make_members({"a": 16, "b": 16, "c": 16, "d": 16})
    usual = advertising.choose(members, {}, 54)
    told = {member.vm for member in usual}
    others = [member.vm for member in members if member.vm not in told]
    slow = set(others[:5])
    now = [
        dataclasses.replace(member, busy=member.vm in slow)
        for member in members
    ]
    assert advertising.choose(now, {}, 54) == usual


def test_however_many_are_busy_each_told_vm_keeps_a_few_connections() -> None:
    for connections in (26, 54, 440):
        members = [
            dataclasses.replace(member, busy=True)
            for member in make_members({"a": 30, "b": 30})
        ]
        told = advertising.choose(members, {}, connections)
        share = advertising.get_link_share(connections, len(told), True)
        assert share >= 2


def test_a_slow_vm_is_replaced_by_others() -> None:
    members = make_members({"a": 4, "b": 4})
    usual = advertising.choose(members, {}, 26)
    now = [
        dataclasses.replace(member, busy=member == usual[0])
        for member in members
    ]
    told = advertising.choose(now, {}, 26)
    assert len(told) == 5
    assert not any(member.busy for member in told)


def test_a_zone_with_vms_enough_does_not_stand_alone() -> None:
    """All searchers are in one zone, which has VMs enough for all callers.

    Told of these alone, callers had nowhere to go once the zone lost power.
    """
    members = make_members({"a": 12, "b": 2})
    told = advertising.choose(members, {"a": 1.0}, 54)
    assert {member.zone for member in told} == {"a", "b"}


def test_no_vm_holds_more_than_its_share_of_a_searchers_connections() -> None:
    for connections in (4, 26, 54, 440):
        for told in (1, 4, 13, 64):
            share = advertising.get_link_share(connections, told, True)
            assert share >= 1
            assert share == 1 or share * told <= connections
    assert advertising.get_link_share(26, 4, False) == 1
