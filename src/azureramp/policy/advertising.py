"""Which VMs callers are told to connect to.

Fewer VMs than there are serve callers better: a searcher accepts a few dozen
connections from all VMs together, so with few VMs each holds warm ones, and a
VM that gets many requests knows the searchers better. The others stand by.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from azureramp import catalog

MOST_TOLD = 64
"""Most addresses in an answer; callers read no more."""

LEAST_TOLD = 4
"""Fewest VMs that are told while there are as many: with two, the loss of one
would leave no choice to those that keep an answer."""

LEAST_ZONES = 2
"""Fewest availability zones that are told while there are as many, so that
the loss of one leaves VMs that are told and warm."""

LINKS_EACH = 8
"""Connections that a VM should be able to hold to each searcher: two for the
calls of two requests at once, and as many for hedges and late answers."""

NEAR_SHARE = 0.5
"""An availability zone is near the searchers if its share of them is this part
of the largest share."""


def choose(
    members: Iterable[catalog.Member],
    nearness: Mapping[str, float],
    connections: int,
) -> tuple[catalog.Member, ...]:
    """Chooses the VMs to tell of.

    VMs in availability zones that hold many searchers go first, since their
    calls need not cross zones; among them those with most processor.

    Args:
        members: The VMs that are known.
        nearness: The share of the searchers that each zone holds, 0 to 1.
        connections: The fewest connections that a searcher in use accepts
            from all VMs together; 0 if that is not known.

    Returns:
        The VMs, in the order of their names.
    """
    staying = [member for member in members if not member.leaving]
    most = MOST_TOLD
    if connections:
        most = min(most, max(LEAST_TOLD, connections // LINKS_EACH))
    if any(member.busy for member in staying):
        most = MOST_TOLD
        nearness = {}
    zones = _rank_zones(staying, nearness)
    told: list[catalog.Member] = []
    for zone_group in _group_zones(zones, nearness):
        if len(told) >= LEAST_TOLD and _count_zones(told) >= LEAST_ZONES:
            break
        told += _take_evenly(staying, zone_group, most - len(told))
    return tuple(sorted(told, key=lambda member: member.vm))


def get_link_share(connections: int, told: int, is_told: bool) -> int:
    """Returns how many connections a VM may hold to one searcher.

    A tenth is left for VMs that are not told, which open one when a request
    reaches them all the same, and for moments when views differ.

    Args:
        connections: How many the searcher accepts from all VMs together.
        told: How many VMs are told.
        is_told: True if this VM is among them.
    """
    if not is_told:
        return 1
    return max(1, math.floor(0.9 * connections / max(1, told)))


def _rank_zones(
    members: Iterable[catalog.Member], nearness: Mapping[str, float]
) -> list[str]:
    """Returns the members' zones, nearest first."""
    zones = {member.zone for member in members}
    return sorted(zones, key=lambda zone: (-nearness.get(zone, 0.0), zone))


def _group_zones(
    zones: list[str], nearness: Mapping[str, float]
) -> list[list[str]]:
    """Groups ranked zones: the near ones together, then one by one."""
    if not zones:
        return []
    largest = nearness.get(zones[0], 0.0)
    near = [
        zone
        for zone in zones
        if nearness.get(zone, 0.0) >= NEAR_SHARE * largest
    ]
    return [near, *([zone] for zone in zones if zone not in near)]


def _take_evenly(
    members: list[catalog.Member], zones: list[str], most: int
) -> list[catalog.Member]:
    """Takes VMs from zones in turn, those with most processor first."""
    queues = [
        sorted(
            (member for member in members if member.zone == zone),
            key=lambda member: (member.cores, member.vm),
        )
        for zone in zones
    ]
    taken: list[catalog.Member] = []
    while len(taken) < most and any(queues):
        for queue in queues:
            if queue and len(taken) < most:
                taken.append(queue.pop())
    return taken


def _count_zones(members: list[catalog.Member]) -> int:
    """Returns in how many zones members are."""
    return len({member.zone for member in members})
