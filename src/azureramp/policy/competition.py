"""Finds which routes compete for the same searchers.

Load: urgent and less urgent requests, or requests of several client accounts,
that meet at the same searchers. Inputs: one version of the configuration.
Outcome: the sets of services for which admission control is on.
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from azureramp import catalog

Services = tuple[str, ...]


class Scope(enum.Enum):
    """Where admission control is on; operators set it."""

    OFF = "off"
    ACCOUNTS = "accounts"
    PRIORITIES = "priorities"


def list_services(destination: catalog.Destination) -> Services:
    """Returns the services that a route's requests may be sent to."""
    match destination:
        case catalog.FanoutDestination(services=services):
            return services
        case catalog.SplitDestination(choices=choices):
            return tuple(choice.service for choice in choices)


def find_competing_sets(
    routes: Sequence[catalog.Route], has_accounts: bool, scope: Scope
) -> dict[Services, str]:
    """Groups the routes that share services, and keeps those that compete.

    Requests compete if they may differ in who is to be served first: all routes
    of a configuration with client accounts, and with `Scope.PRIORITIES` also
    the routes of a group with more than one priority.

    Args:
        routes: The routes of a configuration.
        has_accounts: True if the configuration has client accounts.
        scope: Where admission control is on.

    Returns:
        The group of each competing route's services, named after the first of
        its services in alphabetical order.
    """
    if scope is Scope.OFF:
        return {}
    by_priority = scope is Scope.PRIORITIES
    priorities: dict[Services, set[int]] = {}
    for route in routes:
        services = list_services(route.destination)
        priorities.setdefault(services, set()).add(route.priority)
    groups = _join(list(priorities))
    priorities_by_group: dict[str, set[int]] = {}
    for services, group in groups.items():
        seen = priorities_by_group.setdefault(group, set())
        seen.update(priorities[services])
    return {
        services: group
        for services, group in groups.items()
        if has_accounts or (by_priority and len(priorities_by_group[group]) > 1)
    }


def _join(sets: Sequence[Services]) -> dict[Services, str]:
    """Groups sets of services; sets that share a service are in one group."""
    parents = list(range(len(sets)))

    def find_root(number: int) -> int:
        while parents[number] != number:
            parents[number] = parents[parents[number]]
            number = parents[number]
        return number

    first_by_service: dict[str, int] = {}
    for number, services in enumerate(sets):
        for service in services:
            first = first_by_service.setdefault(service, number)
            parents[find_root(number)] = find_root(first)
    names: dict[int, str] = {}
    for number, services in enumerate(sets):
        root, name = find_root(number), min(services, default="")
        names[root] = min(names.get(root, name), name)
    return {
        services: names[find_root(number)]
        for number, services in enumerate(sets)
    }
