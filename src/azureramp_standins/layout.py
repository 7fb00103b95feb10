"""Resources of a deployment for tests and measurements."""

from __future__ import annotations

import dataclasses
import hashlib

from azureramp import resources

KEYS_PER_SHARD = 1000

PRIORITY_BY_CALLER = {
    "desk": resources.Priority.URGENT,
    "ledger": resources.Priority.NORMAL,
    "statements": resources.Priority.DEFERRABLE,
}
"""Priorities of the callers by name; each caller's token is its name."""


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """Size of one service's back end.

    The service has one index, which is named after the service.

    Attributes:
        name: The service's name.
        servers: Number of backend servers, assigned to the zones round-robin.
        searchers: Number of searchers of each backend server.
        slots: Number of slots of a searcher.
        connections: Number of connections that a searcher accepts.
        connect_ms: Time to open a connection, in milliseconds.
        cold_limit: Maximum number of concurrent calls to a searcher in cold
            start.
        shards: Number of shards of an index version.
        replicas: Number of searchers that hold each shard.
    """

    name: str = "claims"
    servers: int = 6
    searchers: int = 2
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    cold_limit: int = 1
    shards: int = 6
    replicas: int = 2

    def count_keys(self) -> int:
        """Returns the number of keys of the index."""
        return self.shards * KEYS_PER_SHARD


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """Size of a deployment.

    Attributes:
        zones: Names of the availability zones.
        vms: Number of entry VMs, assigned to the zones round-robin.
        services: The services.
        one_way_delay_ms: Network delay from one VM to another, in
            milliseconds.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    vms: int = 3
    services: tuple[Service, ...] = (Service(),)
    one_way_delay_ms: float = 1.0

    def get_service(self, name: str) -> Service:
        """Returns the service of a name."""
        return next(each for each in self.services if each.name == name)


def _make_service_with_few_connections(name: str, servers: int) -> Service:
    """Makes a service with few connections that are slow to open."""
    return Service(name=name, servers=servers, shards=servers, replicas=2)


def _make_service_with_many_connections(
    name: str, servers: int, slots: int, connections: int
) -> Service:
    """Makes a service with many connections that are fast to open."""
    return Service(
        name=name,
        servers=servers,
        searchers=1,
        slots=slots,
        connections=connections,
        connect_ms=1.0,
        shards=servers,
        replicas=2,
    )


SCOTLAND = Layout(
    zones=("edinburgh-a", "edinburgh-b", "glasgow-a", "dundee-a"),
    vms=8,
    services=(
        _make_service_with_few_connections("claims", 20),
        _make_service_with_few_connections("ledger", 30),
        _make_service_with_many_connections("statements", 4, 3, 100),
        _make_service_with_many_connections("collectors", 4, 3, 100),
    ),
    one_way_delay_ms=1.5,
)
"""The burial fund's deployment, with the sizes that its operators state."""

HUNGARY = Layout(
    zones=("budapest-a", "gyor-a", "szeged-a"),
    vms=8,
    services=(
        _make_service_with_few_connections("dispatch", 20),
        _make_service_with_few_connections("invoicing", 30),
        _make_service_with_many_connections("reorder", 3, 4, 40),
        _make_service_with_many_connections("fleet", 3, 4, 40),
    ),
    one_way_delay_ms=1.0,
)
"""The nitrogen supplier's deployment, with its operators' sizes."""


def make_server(
    layout: Layout, service: Service, number: int
) -> resources.BackendServer:
    """Makes one backend server.

    Args:
        layout: The deployment's size.
        service: The service of the backend server.
        number: The backend server's number within the service, from 0.
    """
    name = f"{service.name}-{number:02}"
    service_number = layout.services.index(service) + 1
    return resources.BackendServer(
        name=name,
        service=service.name,
        zone=layout.zones[number % len(layout.zones)],
        searchers=tuple(
            resources.Searcher(
                name=f"{name}-{letter}",
                address=f"127.{service_number}.{number}.{letter + 1}:80",
                slots=service.slots,
                connections=service.connections,
                cold_limit=service.cold_limit,
            )
            for letter in range(service.searchers)
        ),
    )


def make_servers(layout: Layout) -> list[resources.BackendServer]:
    """Makes the backend servers of all services."""
    return [
        make_server(layout, service, number)
        for service in layout.services
        for number in range(service.servers)
    ]


def make_shard_map(
    service: Service, version: int, shards: int | None = None
) -> resources.ShardMap:
    """Makes the shard map of one version of a service's index.

    Replicas of a shard are on different backend servers. These are in
    different zones if there are enough zones, since backend servers are
    assigned to the zones round-robin.

    Args:
        service: The service.
        version: The index version.
        shards: Number of shards; None uses that of the service.
    """
    count = shards or service.shards
    span = service.count_keys()
    total = service.servers * service.searchers
    built_shards: list[resources.Shard] = []
    for number in range(count):
        low, high = span * number // count, span * (number + 1) // count
        names = []
        for copy in range(service.replicas):
            position = (number * service.replicas + copy) % total
            server, letter = (
                position % service.servers,
                position // service.servers,
            )
            names.append(f"{service.name}-{server:02}-{letter}")
        built_shards.append(
            resources.Shard(
                name=f"{number:03}",
                low=low,
                high=high,
                size=(high - low) // 10,
                searchers=tuple(names),
            )
        )
    return resources.ShardMap(
        name=f"{service.name}.{version}",
        index=service.name,
        version=version,
        shards=tuple(built_shards),
    )


def make_callers(layout: Layout) -> list[resources.AnyResource]:
    """Makes the callers and the services."""
    names = tuple(service.name for service in layout.services)
    declared: list[resources.AnyResource] = [
        resources.Service(name=name, indexes=(name,)) for name in names
    ]
    declared.extend(
        resources.Caller(
            name=name,
            token_sha256=hashlib.sha256(name.encode()).hexdigest(),
            services=names,
            priority=priority,
        )
        for name, priority in PRIORITY_BY_CALLER.items()
    )
    return declared


def make_resources(layout: Layout) -> list[resources.AnyResource]:
    """Makes all resources of a deployment, with version 1 of each index."""
    return [
        *(resources.Zone(name=zone) for zone in layout.zones),
        *make_callers(layout),
        *make_servers(layout),
        *(make_shard_map(service, 1) for service in layout.services),
    ]
