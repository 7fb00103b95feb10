"""Selection of the VMs that this VM advertises to callers."""

from __future__ import annotations

from collections.abc import Collection

import logbook

from azureramp import catalog
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import advertising

_logger = logbook.Logger("azureramp.directory")


def update_advertised(board: board_module.Board) -> None:
    """Selects the advertised VMs after a change of VMs, searchers or routes.

    Args:
        board: The process's state, whose `advertised` is updated.
    """
    services = find_used_services(board.configuration)
    selected = advertising.choose_members(
        board.members.values(),
        measure_nearness(board, services),
        find_fewest_connections(board.configuration, services),
    )
    before = board.advertised
    board.advertised = {member.vm: member for member in selected}
    if board.advertised.keys() != before.keys():
        _log_change(board, before.keys())


def _log_change(board: board_module.Board, before: Collection[str]) -> None:
    """Logs a change of the VMs that are advertised to callers.

    A process that serves callers logs only whether it is advertised itself.
    """
    vm = board.identity.vm
    if not board.identity.serves_callers:
        _logger.info(
            "VMs advertised to callers: {}", ", ".join(board.advertised)
        )
    elif (vm in before) != (vm in board.advertised):
        state = "now" if vm in board.advertised else "no longer"
        _logger.info("this VM is {} advertised to callers", state)


def find_used_services(
    configuration: catalog.Configuration | None,
) -> set[str]:
    """Returns the services that are the destination of a route.

    Args:
        configuration: The configuration; None if there is none yet.
    """
    used: set[str] = set()
    for route in configuration.routes if configuration else ():
        match route.destination:
            case catalog.SplitDestination(choices=choices):
                used.update(choice.service for choice in choices)
            case catalog.FanoutDestination(services=services):
                used.update(services)
    return used


def measure_nearness(
    board: board_module.Board, services: set[str]
) -> dict[str, float]:
    """Returns the share of the used searchers in each availability zone.

    All services have the same weight, however many searchers they have, since
    a request to all shards makes one call to each.

    Args:
        board: The state.
        services: The services in use.
    """
    nearness: dict[str, float] = {}
    for service in services:
        zones = [
            target.searcher.zone
            for target in board.by_service.get(service, {}).values()
            if target.searcher.zone not in board.evacuated_zones
        ]
        for zone in zones:
            share = 1.0 / (len(zones) * len(services))
            nearness[zone] = nearness.get(zone, 0.0) + share
    return nearness


def find_fewest_connections(
    configuration: catalog.Configuration | None, services: set[str]
) -> int:
    """Returns the lowest connection limit of the searchers in use.

    Args:
        configuration: The configuration; None if there is none yet.
        services: The services in use.

    Returns:
        The limit; 0 if there is no configuration or no service in it.
    """
    if configuration is None:
        return 0
    return min(
        (
            configuration.services[service].max_connections
            for service in services
            if service in configuration.services
        ),
        default=0,
    )
