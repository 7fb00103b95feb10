"""Which VMs callers are told of, under the load of whole deployments."""

from __future__ import annotations

import dataclasses

from azureramp import catalog
from azureramp.policy import advertising, strain


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
    assert len(told) == 54 // advertising.LINKS_EACH
    assert all(member.cores == 2.0 for member in told)
    assert len({member.zone for member in told}) == 4


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


def test_a_burst_that_makes_one_vm_busy_brings_all_in() -> None:
    """Four of eight VMs are told; three times the usual callers come.

    Timers of the told VMs fire tens of milliseconds late. One of them says
    so, and all VMs are told until that has been over for a while.
    """
    judged = strain.Strain()
    assert not judged.add(0.002, 0.0)
    assert not judged.add(5.0, 1.0), "a pause is not load"
    for number in range(5):
        busy = judged.add(0.05, 2.0 + number / 4)
    assert busy
    for number in range(40):
        assert judged.add(0.0, 3.5 + number / 4)
    assert not judged.add(0.0, 40.0)
    members = make_members({"a": 4, "b": 4})
    assert len(advertising.choose(members, {}, 26)) == 4
    members[0] = dataclasses.replace(members[0], busy=True)
    assert len(advertising.choose(members, {}, 26)) == 8


def test_no_vm_holds_more_than_its_share_of_a_searchers_connections() -> None:
    for connections in (4, 26, 54, 440):
        for told in (1, 4, 13, 64):
            share = advertising.get_link_share(connections, told, True)
            assert share >= 1
            assert share == 1 or share * told <= connections
    assert advertising.get_link_share(26, 4, False) == 1
