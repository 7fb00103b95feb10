"""The configuration, indexed for the query path."""

from __future__ import annotations

import dataclasses

from azureramp import resources


@dataclasses.dataclass(slots=True, frozen=True)
class Site:
    """The location of a searcher.

    Attributes:
        searcher: The searcher.
        server: The name of its backend server.
        zone: The name of its availability zone.
        in_service: False while its zone is out of service or its server is
            leaving.
    """

    searcher: resources.Searcher
    server: str
    zone: str
    in_service: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Topology:
    """An indexed revision of the configuration.

    Attributes:
        sites: All declared searchers by name.
        maps: The shard maps of each index, the newest version first.
        services: The services by name.
        callers: The callers by the hash of their token; callers with the same
            token are listed together.
        zones_out: The availability zones out of service.
        policy: The settings of the query path.
    """

    sites: dict[str, Site]
    maps: dict[str, tuple[resources.ShardMap, ...]]
    services: dict[str, resources.Service]
    callers: dict[str, tuple[resources.Caller, ...]]
    zones_out: frozenset[str]
    policy: resources.Policy


def build_topology(configuration: resources.Configuration) -> Topology:
    """Indexes a configuration."""
    zones_out = frozenset(
        name
        for name, zone in configuration.get_zones().items()
        if zone.state is resources.ZoneState.OUT
    )
    return Topology(
        sites=_build_sites(configuration, zones_out),
        maps=_build_maps(configuration),
        services=configuration.get_services(),
        callers=_build_callers(configuration),
        zones_out=zones_out,
        policy=configuration.get_policy(),
    )


def _build_sites(
    configuration: resources.Configuration, zones_out: frozenset[str]
) -> dict[str, Site]:
    """Collects the location of each searcher."""
    sites = {}
    for server in configuration.get_backend_servers().values():
        in_service = (
            server.zone not in zones_out
            and server.state is resources.ServerState.IN_SERVICE
        )
        for searcher in server.searchers:
            sites[searcher.name] = Site(
                searcher, server.name, server.zone, in_service
            )
    return sites


def _build_maps(
    configuration: resources.Configuration,
) -> dict[str, tuple[resources.ShardMap, ...]]:
    """Groups the shard maps by index, the newest version first."""
    maps: dict[str, list[resources.ShardMap]] = {}
    for shard_map in configuration.get_shard_maps().values():
        maps.setdefault(shard_map.index, []).append(shard_map)
    for versions in maps.values():
        versions.sort(key=lambda shard_map: -shard_map.version)
    return {index: tuple(versions) for index, versions in maps.items()}


def _build_callers(
    configuration: resources.Configuration,
) -> dict[str, tuple[resources.Caller, ...]]:
    """Groups the callers by token hash."""
    callers: dict[str, list[resources.Caller]] = {}
    for caller in configuration.get_callers().values():
        callers.setdefault(caller.token_sha256.lower(), []).append(caller)
    return {sha256: tuple(same) for sha256, same in callers.items()}
