"""Selects the VMs that are advertised to callers.

The load it answers: requests that each call up to a few hundred searchers, at
VMs whose cores and links differ. Its inputs are the VMs' announcements, the
zones of the searchers and the connections that a searcher accepts; its outcome
is the set of advertised VMs.

Advertising a subset of the VMs gives better service: a searcher accepts a few
dozen connections from all VMs together, so with few VMs each can keep warm
connections, and a VM that gets many requests has better measurements of the
searchers. The other VMs are on standby.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

from azureramp import catalog

MAX_ADVERTISED = 64
"""Maximum number of addresses in an answer; callers read no more."""

MIN_ADVERTISED = 4
"""Minimum number of advertised VMs, if there are as many. With two, the loss
of one would leave no alternative to callers that cache an answer."""

MIN_ZONES = 2
"""Minimum number of availability zones with advertised VMs, if there are as
many. After the loss of one zone, advertised VMs with open connections
remain."""

USUAL_CONNECTIONS_PER_VM = 8
"""Connections that a VM should be able to hold to each searcher: two for the
calls of two concurrent requests, and two for hedges and late answers."""

MIN_CONNECTIONS_PER_VM = 3
"""Minimum connections per VM to each searcher, however many VMs are busy: one
for a call, one for its late answer and one for the next call. With fewer, calls
wait for each other. While the VMs have different views, they together also
exceed the limit of a searcher, which resets the connections beyond it."""

LARGE_VM_SHARE = 0.5
"""A VM with less than this share of the largest VM's capacity is advertised
only to reach `MIN_ADVERTISED`, or in place of a busy VM: a small VM answers a
request to all shards too late."""

CALL_CORE_S = 0.0004
"""CPU time that a call to a searcher takes on a VM, in core-seconds."""

CALL_MBIT = 0.008
"""Size of a call to a searcher with its answer, in Mbit."""

NEAR_ZONE_SHARE = 0.5
"""An availability zone counts as near the searchers if its share of them is at
least this fraction of the largest zone's share."""


def choose_members(
    members: Iterable[catalog.Member],
    nearness: Mapping[str, float],
    connections: int,
) -> tuple[catalog.Member, ...]:
    """Selects the VMs to advertise.

    VMs in availability zones that hold many searchers are preferred, since
    their calls need not cross zones, and among them those with the most
    capacity. Each busy VM is replaced by two others: if only that VM is slow,
    they do its work; if all are loaded, twice as many VMs share the load. Busy
    VMs are advertised only if there are too few others.

    Args:
        members: The known VMs.
        nearness: The share of the searchers that each zone holds, 0 to 1.
        connections: The lowest number of connections that a searcher in use
            accepts from all VMs together; 0 if unknown.

    Returns:
        The selected VMs, sorted by name.
    """
    staying = [member for member in members if not member.leaving]
    capacities = measure_capacities(staying)
    usual, maximum = _count_targets(connections)
    usual = min(usual, max(MIN_ADVERTISED, _count_large(capacities)))
    chosen: list[catalog.Member] = []
    busy: list[catalog.Member] = []
    groups = _group_zones(_rank_zones(staying, nearness), nearness)
    for index, zones in enumerate(groups):
        if (
            len(chosen) >= MIN_ADVERTISED + len(busy)
            and _count_zones(chosen) >= MIN_ZONES
        ):
            break
        # The last place is reserved for another zone.
        reserved = index == 0 and len(zones) == 1 and len(groups) > 1
        for member in _rank_alternating(staying, zones, capacities):
            if len(chosen) >= min(maximum, usual + len(busy)) - reserved:
                break
            (busy if member.busy else chosen).append(member)
    chosen += busy[: min(maximum, usual + len(busy)) - len(chosen)]
    return tuple(sorted(chosen, key=lambda member: member.vm))


def get_connections_per_vm(
    connections: int, advertised: int, is_advertised: bool
) -> int:
    """Returns how many connections a VM may hold to one searcher.

    A tenth is reserved for VMs that are not advertised, which open one
    connection if a request reaches them anyway, and for times at which the VMs
    have different views.

    Args:
        connections: The number of connections that the searcher accepts from
            all VMs together.
        advertised: The number of advertised VMs.
        is_advertised: True if this VM is among them.
    """
    if not is_advertised:
        return 1
    return max(1, math.floor(0.9 * connections / max(1, advertised)))


def _count_targets(connections: int) -> tuple[int, int]:
    """Returns the usual and the maximum number of advertised VMs."""
    if not connections:
        return MAX_ADVERTISED, MAX_ADVERTISED
    usual = max(MIN_ADVERTISED, connections // USUAL_CONNECTIONS_PER_VM)
    maximum = max(MIN_ADVERTISED, connections // MIN_CONNECTIONS_PER_VM)
    return min(MAX_ADVERTISED, usual), min(MAX_ADVERTISED, maximum)


def measure_capacities(
    members: Collection[catalog.Member],
) -> dict[str, float]:
    """Returns what each VM can carry, in units that only compare VMs.

    If links differ, the capacity is the rate at which a VM can make one call
    after the other. Otherwise, or while the link of any VM is unknown, it is
    the number of cores.

    Args:
        members: The VMs to compare.
    """
    links = {member.link_mbps for member in members}
    if len(links) <= 1 or min(links) <= 0:
        return {member.vm: member.cores for member in members}
    return {
        member.vm: 1.0
        / (CALL_CORE_S / max(member.cores, 1e-9) + CALL_MBIT / member.link_mbps)
        for member in members
    }


def _count_large(capacities: Mapping[str, float]) -> int:
    """Returns how many VMs have at least `LARGE_VM_SHARE` of the largest."""
    maximum = max(capacities.values(), default=0.0)
    return sum(
        capacity >= LARGE_VM_SHARE * maximum for capacity in capacities.values()
    )


def _rank_zones(
    members: Iterable[catalog.Member], nearness: Mapping[str, float]
) -> list[str]:
    """Returns the members' zones, nearest first."""
    zones = {member.zone for member in members}
    return sorted(zones, key=lambda zone: (-nearness.get(zone, 0.0), zone))


def _group_zones(
    zones: list[str], nearness: Mapping[str, float]
) -> list[list[str]]:
    """Groups ranked zones: the near ones in one group, then one zone each."""
    if not zones:
        return []
    largest = nearness.get(zones[0], 0.0)
    near = [
        zone
        for zone in zones
        if nearness.get(zone, 0.0) >= NEAR_ZONE_SHARE * largest
    ]
    return [near, *([zone] for zone in zones if zone not in near)]


def _rank_alternating(
    members: list[catalog.Member],
    zones: list[str],
    capacities: Mapping[str, float],
) -> list[catalog.Member]:
    """Ranks VMs, alternating between zones, the largest capacity first."""
    queues = [
        sorted(
            (member for member in members if member.zone == zone),
            key=lambda member: (capacities[member.vm], member.vm),
        )
        for zone in zones
    ]
    ranked: list[catalog.Member] = []
    while any(queues):
        ranked += [queue.pop() for queue in queues if queue]
    return ranked


def _count_zones(members: list[catalog.Member]) -> int:
    """Returns the number of zones that the members are in."""
    return len({member.zone for member in members})
