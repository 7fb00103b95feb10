"""Selects the VMs that are advertised to callers.

Advertising a subset of the VMs gives better service: a searcher accepts a few
dozen connections from all VMs together, so with few VMs each can keep warm
connections, and a VM that gets many requests has better measurements of the
searchers. The other VMs are on standby.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from azureramp import catalog

MOST_ADVERTISED = 64
"""Maximum number of addresses in an answer; callers read no more."""

LEAST_ADVERTISED = 4
"""Minimum number of advertised VMs, if there are as many. With two, the loss
of one would leave no alternative to callers that cache an answer."""

LEAST_ZONES = 2
"""Minimum number of availability zones with advertised VMs, if there are as
many, so that after the loss of one zone advertised, warm VMs remain."""

LINKS_EACH = 8
"""Connections that a VM should be able to hold to each searcher: two for the
calls of two concurrent requests, and two for hedges and late answers."""

LINKS_LEAST = 3
"""Minimum connections per VM to each searcher, however many VMs are busy: one
for a call, one for its late answer and one for the next call. With fewer, calls
wait for each other, and VMs with differing views together exceed the limit of
a searcher, which resets the connections beyond it."""

STRONG_SHARE = 0.5
"""A VM with less than this share of the largest VM's cores is advertised only
to reach `LEAST_ADVERTISED`, or in place of a busy VM: a small VM answers a
request to all shards too late."""

NEAR_SHARE = 0.5
"""An availability zone counts as near the searchers if its share of them is at
least this fraction of the largest zone's share."""


def choose(
    members: Iterable[catalog.Member],
    nearness: Mapping[str, float],
    connections: int,
) -> tuple[catalog.Member, ...]:
    """Selects the VMs to advertise.

    VMs in availability zones that hold many searchers are preferred, since
    their calls need not cross zones, and among them those with most cores. Two
    VMs replace each busy one: if that VM is slow, others do its work; if all
    are loaded, twice as many share the load. Busy VMs are advertised only if
    there are too few others.

    Args:
        members: The known VMs.
        nearness: The share of the searchers that each zone holds, 0 to 1.
        connections: The lowest number of connections that a searcher in use
            accepts from all VMs together; 0 if unknown.

    Returns:
        The selected VMs, sorted by name.
    """
    staying = [member for member in members if not member.leaving]
    usual, most = _count_wanted(connections)
    usual = min(usual, max(LEAST_ADVERTISED, _count_strong(staying)))
    chosen: list[catalog.Member] = []
    busy: list[catalog.Member] = []
    groups = _group_zones(_rank_zones(staying, nearness), nearness)
    for number, zones in enumerate(groups):
        if (
            len(chosen) >= LEAST_ADVERTISED + len(busy)
            and _count_zones(chosen) >= LEAST_ZONES
        ):
            break
        # The last place is reserved for another zone.
        reserved = number == 0 and len(zones) == 1 and len(groups) > 1
        for member in _rank_evenly(staying, zones):
            if len(chosen) >= min(most, usual + len(busy)) - reserved:
                break
            (busy if member.busy else chosen).append(member)
    chosen += busy[: min(most, usual + len(busy)) - len(chosen)]
    return tuple(sorted(chosen, key=lambda member: member.vm))


def get_link_share(
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


def _count_wanted(connections: int) -> tuple[int, int]:
    """Returns the usual and the maximum number of advertised VMs."""
    if not connections:
        return MOST_ADVERTISED, MOST_ADVERTISED
    usual = max(LEAST_ADVERTISED, connections // LINKS_EACH)
    most = max(LEAST_ADVERTISED, connections // LINKS_LEAST)
    return min(MOST_ADVERTISED, usual), min(MOST_ADVERTISED, most)


def _count_strong(members: list[catalog.Member]) -> int:
    """Returns how many VMs have at least `STRONG_SHARE` of the most cores."""
    most = max((member.cores for member in members), default=0.0)
    return sum(member.cores >= STRONG_SHARE * most for member in members)


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
        if nearness.get(zone, 0.0) >= NEAR_SHARE * largest
    ]
    return [near, *([zone] for zone in zones if zone not in near)]


def _rank_evenly(
    members: list[catalog.Member], zones: list[str]
) -> list[catalog.Member]:
    """Ranks VMs, alternating between zones, those with most cores first."""
    queues = [
        sorted(
            (member for member in members if member.zone == zone),
            key=lambda member: (member.cores, member.vm),
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
