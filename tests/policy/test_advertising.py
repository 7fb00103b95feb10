"""The selection of advertised VMs, in deployments of several sizes."""

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


def test_a_few_large_vms_are_advertised_for_requests_to_all_shards() -> None:
    """Guards against advertising so many VMs that connections are cold.

    64 VMs, three quarters of them with half a core; 90 shards accept 54
    connections each. With all VMs advertised, most calls found no open
    connection. A call costs 0.5 ms of a core, so 90 calls take a small VM
    90 ms. A load trial scored 0.45 with 13 advertised VMs and 0.61 with 6.
    """
    zones = {"a": 16, "b": 16, "c": 16, "d": 16}
    members = [
        dataclasses.replace(member, cores=2.0 if index % 4 == 0 else 0.5)
        for index, member in enumerate(make_members(zones))
    ]
    advertised = advertising.choose_members(
        members, dict.fromkeys(zones, 0.25), 54
    )
    assert len(advertised) == 54 // advertising.USUAL_CONNECTIONS_PER_VM
    assert all(member.cores == 2.0 for member in advertised)
    assert len({member.zone for member in advertised}) == 4


def test_small_vms_are_not_advertised_beside_enough_large_ones() -> None:
    """Guards against late answers from a small advertised VM.

    Six VMs have two cores, the other 68 have half a core and a slow link. The
    searchers' connections suffice for seven VMs. With a small VM as the
    seventh, a tenth of all requests to 90 shards were incomplete, all of them
    answered by that VM.
    """
    zones = {"a": 22, "b": 27, "c": 25}
    members = [
        dataclasses.replace(
            member, cores=2.15 if member.vm[-2:] in ("-0", "-1") else 0.52
        )
        for member in make_members(zones)
    ]
    advertised = advertising.choose_members(
        members, dict.fromkeys(zones, 0.33), 59
    )
    assert len(advertised) == 6
    assert all(member.cores > 2.0 for member in advertised)


def test_a_vm_with_a_slow_link_is_not_advertised_beside_enough_others() -> None:
    """Guards against late answers from a VM whose link holds them up.

    Four VMs of a zone have two cores and links of 11 Mbit/s, on which the
    answers of 90 shards take 65 ms. Those with half the cores and links of 100
    Mbit/s answer sooner.
    """
    zones = {"a": 8, "b": 8}
    members = [
        dataclasses.replace(
            member,
            cores=2.0 if index % 2 else 1.0,
            link_mbps=11.0 if index % 2 else 100.0,
        )
        for index, member in enumerate(make_members(zones))
    ]
    advertised = advertising.choose_members(members, {}, 54)
    assert len(advertised) >= advertising.MIN_ADVERTISED
    assert all(member.link_mbps == 100.0 for member in advertised)


def test_vms_with_like_or_unknown_links_are_advertised_by_their_cores() -> None:
    """Guards against other VMs for deployments whose links don't differ."""
    zones = {"a": 16, "b": 16}
    members = [
        dataclasses.replace(member, cores=2.0 if index % 16 == 0 else 0.9)
        for index, member in enumerate(make_members(zones))
    ]
    usual = {each.vm for each in advertising.choose_members(members, {}, 54)}
    alike = [dataclasses.replace(each, link_mbps=25.0) for each in members]
    one_unknown = [
        dataclasses.replace(each, link_mbps=25.0 * index)
        for index, each in enumerate(members)
    ]
    for changed in (alike, one_unknown):
        advertised = advertising.choose_members(changed, {}, 54)
        assert {each.vm for each in advertised} == usual


def test_advertised_vms_remain_after_the_loss_of_a_zone() -> None:
    zones = {"a": 3, "b": 2, "c": 2, "d": 1}
    nearness = {"a": 1.0}
    advertised = advertising.choose_members(make_members(zones), nearness, 26)
    assert len({member.zone for member in advertised}) >= 2
    left = [m for m in make_members(zones) if m.zone != "a"]
    assert len(advertising.choose_members(left, {}, 26)) >= 3


def test_leaving_vms_are_never_advertised() -> None:
    members = make_members({"a": 2})
    members[0] = dataclasses.replace(members[0], leaving=True)
    assert advertising.choose_members(members, {}, 26) == (members[1],)
    assert advertising.choose_members([], {}, 26) == ()


def test_a_vm_is_busy_during_and_some_time_after_late_timers() -> None:
    detector = overload.OverloadDetector()
    assert not detector.record_delay(0.002, 0.0)
    assert not detector.record_delay(5.0, 1.0), "a pause is not load"
    for number in range(5):
        busy = detector.record_delay(0.05, 2.0 + number / 4)
    assert busy
    for number in range(40):
        assert detector.record_delay(0.0, 3.5 + number / 4)
    assert not detector.record_delay(0.0, 40.0)


def test_a_vm_is_added_for_each_busy_advertised_vm() -> None:
    """Guards against an overload of the advertised VMs by a burst.

    Four of eight VMs are advertised and three times the usual number of
    callers arrives, so timers of these VMs fire tens of milliseconds late. For
    each busy VM one more is advertised, until all available VMs are.
    """
    members = make_members({"a": 4, "b": 4})
    usual = advertising.choose_members(members, {}, 26)
    assert len(usual) == 4
    for busy in (1, 2, 4):
        loaded = {member.vm for member in usual[:busy]}
        current = [
            dataclasses.replace(member, busy=member.vm in loaded)
            for member in members
        ]
        advertised = advertising.choose_members(current, {}, 26)
        fresh = [member for member in advertised if not member.busy]
        assert len(fresh) == min(4 + busy, len(members) - busy)
    assert len(advertised) == 8


def test_busy_standby_vms_do_not_change_the_advertised_ones() -> None:
    """Guards against advertising all VMs because some standby VMs are slow.

    Five of 58 standby VMs become slow while six other VMs serve. If all 64 are
    then advertised, each opens a connection to each of 400 searchers that
    accept 54, gets a reset and retries at each change. This made all 64 VMs
    busy, and callers got half of their answers.
    """
    members = make_members({"a": 16, "b": 16, "c": 16, "d": 16})
    usual = advertising.choose_members(members, {}, 54)
    advertised = {member.vm for member in usual}
    others = [member.vm for member in members if member.vm not in advertised]
    slow = set(others[:5])
    current = [
        dataclasses.replace(member, busy=member.vm in slow)
        for member in members
    ]
    assert advertising.choose_members(current, {}, 54) == usual


def test_each_advertised_vm_keeps_connections_if_all_are_busy() -> None:
    for connections in (26, 54, 440):
        members = [
            dataclasses.replace(member, busy=True)
            for member in make_members({"a": 30, "b": 30})
        ]
        advertised = advertising.choose_members(members, {}, connections)
        share = advertising.get_connections_per_vm(
            connections, len(advertised), True
        )
        assert share >= 2


def test_a_busy_vm_is_replaced_by_others() -> None:
    members = make_members({"a": 4, "b": 4})
    usual = advertising.choose_members(members, {}, 26)
    current = [
        dataclasses.replace(member, busy=member == usual[0])
        for member in members
    ]
    advertised = advertising.choose_members(current, {}, 26)
    assert len(advertised) == 5
    assert not any(member.busy for member in advertised)


def test_a_zone_with_enough_vms_is_not_advertised_alone() -> None:
    """Guards against advertising VMs of a single zone.

    All searchers are in one zone that has enough VMs for all callers. If only
    these are advertised, callers have no VM left once the zone loses power.
    """
    members = make_members({"a": 12, "b": 2})
    advertised = advertising.choose_members(members, {"a": 1.0}, 54)
    assert {member.zone for member in advertised} == {"a", "b"}


def test_no_vm_holds_more_than_its_share_of_a_searchers_connections() -> None:
    for connections in (4, 26, 54, 440):
        for advertised in (1, 4, 13, 64):
            share = advertising.get_connections_per_vm(
                connections, advertised, True
            )
            assert share >= 1
            assert share == 1 or share * advertised <= connections
    assert advertising.get_connections_per_vm(26, 4, False) == 1
