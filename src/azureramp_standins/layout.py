"""The resources of a deployment for tests and measurements."""

from __future__ import annotations

import dataclasses
import hashlib

from azureramp import resources

KEYS_PER_SHARD = 1000
DOCUMENTS_PER_SHARD = 100

CALLERS = {
    "desk": resources.Priority.URGENT,
    "ledger": resources.Priority.NORMAL,
    "statements": resources.Priority.DEFERRABLE,
}
"""Callers by name; the token of each is its name."""

SERVICE = "claims"
INDEX = "arrears"


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """How large a deployment is.

    Attributes:
        zones: The availability zones' names.
        vms: How many entry VMs, spread over the zones in turn.
        servers: How many backend servers, spread over the zones in turn.
        searchers: How many searchers each has.
        slots: Slots of a searcher.
        connections: Connections that a searcher accepts.
        cold_limit: What a searcher bears in cold start.
        shards: How many shards an index version has.
        replicas: How many searchers hold each shard.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    vms: int = 3
    servers: int = 6
    searchers: int = 2
    slots: int = 2
    connections: int = 25
    cold_limit: int = 1
    shards: int = 6
    replicas: int = 2


def make_server(layout: Layout, number: int) -> resources.BackendServer:
    """Makes one backend server.

    Args:
        layout: The deployment's size.
        number: Its number, from 0.
    """
    name = f"{SERVICE}-{number:02}"
    return resources.BackendServer(
        name=name,
        service=SERVICE,
        zone=layout.zones[number % len(layout.zones)],
        searchers=tuple(
            resources.Searcher(
                name=f"{name}-{letter}",
                address=f"127.1.{number}.{letter + 1}:80",
                slots=layout.slots,
                connections=layout.connections,
                cold_limit=layout.cold_limit,
            )
            for letter in range(layout.searchers)
        ),
    )


def make_shard_map(
    layout: Layout, version: int, shards: int | None = None
) -> resources.ShardMap:
    """Makes the shard map of one index version.

    Replicas of a shard lie on different backend servers, whose zones differ
    as far as there are zones, since servers take the zones in turn.

    Args:
        layout: The deployment's size.
        version: The index version.
        shards: How many shards it has; None takes the layout's.
    """
    count = shards or layout.shards
    span = layout.shards * KEYS_PER_SHARD
    total = layout.servers * layout.searchers
    made: list[resources.Shard] = []
    for number in range(count):
        low, high = span * number // count, span * (number + 1) // count
        names = []
        for copy in range(layout.replicas):
            place = (number * layout.replicas + copy) % total
            server = place % layout.servers
            letter = place // layout.servers
            names.append(f"{SERVICE}-{server:02}-{letter}")
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
        name=f"{INDEX}.{version}",
        index=INDEX,
        version=version,
        shards=tuple(made),
    )


def make_callers() -> list[resources.AnyResource]:
    """Makes the callers and their service."""
    made: list[resources.AnyResource] = [
        resources.Service(name=SERVICE, indexes=(INDEX,))
    ]
    made.extend(
        resources.Caller(
            name=name,
            token_sha256=hashlib.sha256(name.encode()).hexdigest(),
            services=(SERVICE,),
            priority=priority,
        )
        for name, priority in CALLERS.items()
    )
    return made


def make_resources(layout: Layout) -> list[resources.AnyResource]:
    """Makes every resource of a deployment with index version 1."""
    return [
        *(resources.Zone(name=zone) for zone in layout.zones),
        *make_callers(),
        *(make_server(layout, n) for n in range(layout.servers)),
        make_shard_map(layout, 1),
    ]
