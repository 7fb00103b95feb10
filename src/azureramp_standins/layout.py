"""The resources of a deployment for tests and measurements."""

from __future__ import annotations

import dataclasses
import hashlib

from azureramp import resources

KEYS_PER_SHARD = 1000

CALLERS = {
    "desk": resources.Priority.URGENT,
    "ledger": resources.Priority.NORMAL,
    "statements": resources.Priority.DEFERRABLE,
}
"""Callers by name; the token of each is its name."""


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """How large one service's back end is; it holds the index of its name.

    Attributes:
        name: The service's name.
        servers: How many backend servers, spread over the zones in turn.
        searchers: How many searchers each has.
        slots: Slots of a searcher.
        connections: Connections that a searcher accepts.
        connect_ms: Time that a new connection takes, in milliseconds.
        cold_limit: What a searcher bears in cold start.
        shards: How many shards an index version has.
        replicas: How many searchers hold each shard.
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
        """Returns the size of the key space."""
        return self.shards * KEYS_PER_SHARD


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """How large a deployment is.

    Attributes:
        zones: The availability zones' names.
        vms: How many entry VMs, spread over the zones in turn.
        services: The services.
        hop_ms: One way between two VMs, in milliseconds.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    vms: int = 3
    services: tuple[Service, ...] = (Service(),)
    hop_ms: float = 1.0

    def get_service(self, name: str) -> Service:
        """Returns a service by its name."""
        return next(each for each in self.services if each.name == name)


def _make_dear(name: str, servers: int) -> Service:
    """Makes a service whose connections are few and dear."""
    return Service(name=name, servers=servers, shards=servers, replicas=2)


def _make_cheap(
    name: str, servers: int, slots: int, connections: int
) -> Service:
    """Makes a service whose connections are many and cheap."""
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
        _make_dear("claims", 20),
        _make_dear("ledger", 30),
        _make_cheap("statements", 4, 3, 100),
        _make_cheap("collectors", 4, 3, 100),
    ),
    hop_ms=1.5,
)
"""The burial fund's deployment, as its operators state it today."""

HUNGARY = Layout(
    zones=("budapest-a", "gyor-a", "szeged-a"),
    vms=8,
    services=(
        _make_dear("dispatch", 20),
        _make_dear("invoicing", 30),
        _make_cheap("reorder", 3, 4, 40),
        _make_cheap("fleet", 3, 4, 40),
    ),
    hop_ms=1.0,
)
"""The nitrogen supplier's deployment, as its operators state it today."""


def make_server(
    layout: Layout, service: Service, number: int
) -> resources.BackendServer:
    """Makes one backend server.

    Args:
        layout: The deployment's size.
        service: Its service.
        number: Its number within the service, from 0.
    """
    name = f"{service.name}-{number:02}"
    place = layout.services.index(service) + 1
    return resources.BackendServer(
        name=name,
        service=service.name,
        zone=layout.zones[number % len(layout.zones)],
        searchers=tuple(
            resources.Searcher(
                name=f"{name}-{letter}",
                address=f"127.{place}.{number}.{letter + 1}:80",
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

    Replicas of a shard lie on different backend servers, whose zones differ
    as far as there are zones, since servers take the zones in turn.

    Args:
        service: The service.
        version: The index version.
        shards: How many shards it has; None takes the service's.
    """
    count = shards or service.shards
    span = service.count_keys()
    total = service.servers * service.searchers
    made: list[resources.Shard] = []
    for number in range(count):
        low, high = span * number // count, span * (number + 1) // count
        names = []
        for copy in range(service.replicas):
            place = (number * service.replicas + copy) % total
            server, letter = place % service.servers, place // service.servers
            names.append(f"{service.name}-{server:02}-{letter}")
        made.append(
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
        shards=tuple(made),
    )


def make_callers(layout: Layout) -> list[resources.AnyResource]:
    """Makes the callers and the services."""
    names = tuple(service.name for service in layout.services)
    made: list[resources.AnyResource] = [
        resources.Service(name=name, indexes=(name,)) for name in names
    ]
    made.extend(
        resources.Caller(
            name=name,
            token_sha256=hashlib.sha256(name.encode()).hexdigest(),
            services=names,
            priority=priority,
        )
        for name, priority in CALLERS.items()
    )
    return made


def make_resources(layout: Layout) -> list[resources.AnyResource]:
    """Makes every resource of a deployment with index versions 1."""
    return [
        *(resources.Zone(name=zone) for zone in layout.zones),
        *make_callers(layout),
        *make_servers(layout),
        *(make_shard_map(service, 1) for service in layout.services),
    ]
