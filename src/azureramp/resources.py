"""The resources that operators declare.

Each resource is one entry of the platform's key-value service under
`/azureramp/resources/{kind}/{name}`, encoded as JSON with its kind in the
field `kind`. They are msgspec structs, which are plain classes with slots
and a codec.
"""

from __future__ import annotations

import enum
from typing import TypeVar

import msgspec

_T = TypeVar("_T")


class Priority(enum.IntEnum):
    """The priority of a caller's requests; lower numbers are served first."""

    URGENT = 0
    NORMAL = 1
    DEFERRABLE = 2


class ZoneState(enum.Enum):
    """Whether an availability zone accepts new work."""

    IN_SERVICE = "in_service"
    OUT = "out"


class ServerState(enum.Enum):
    """Whether a backend server accepts new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"


class Resource(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """Base class of all resources.

    Attributes:
        name: Unique among the resources of its kind, in Unicode NFC.
    """

    name: str


class Service(Resource, frozen=True, kw_only=True, tag="service"):
    """A service, which permits its callers to query some indexes.

    Attributes:
        indexes: The names of the indexes that this service may query.
        shards: The names of the shards that it may query in each index; empty
            for all shards.
    """

    indexes: tuple[str, ...]
    shards: tuple[str, ...] = ()


class Caller(Resource, frozen=True, kw_only=True, tag="caller"):
    """A caller, identified by the hash of its token.

    Attributes:
        token_sha256: Lower-case hexadecimal SHA-256 of the caller's token.
        services: The names of the services that it may call.
        priority: The priority of its requests.
        weight: Its weight in the distribution of callers over VMs, relative
            to other callers.
        revoked: True if its requests are refused.
    """

    token_sha256: str
    services: tuple[str, ...]
    priority: Priority = Priority.NORMAL
    weight: float = 1.0
    revoked: bool = False


class Zone(Resource, frozen=True, kw_only=True, tag="availability_zone"):
    """An availability zone.

    Attributes:
        state: Whether the zone accepts new work.
    """

    state: ZoneState = ZoneState.IN_SERVICE


class Searcher(msgspec.Struct, frozen=True, kw_only=True):
    """One searcher process of a backend server.

    Attributes:
        name: Unique in the deployment, such as `claims-03-a`.
        address: `IP:port` of its HTTP interface.
        slots: Number of requests that it runs concurrently.
        connections: Number of connections that it accepts from all clients
            together.
        cold_limit: Number of concurrent requests that it can handle during
            cold start.
    """

    name: str
    address: str
    slots: int = 2
    connections: int = 25
    cold_limit: int = 1


class BackendServer(Resource, frozen=True, kw_only=True, tag="backend_server"):
    """A backend server: one instance with its searchers.

    Attributes:
        service: The name of the service whose index it stores.
        zone: The name of its availability zone.
        searchers: Its searchers, which crash together.
        state: Whether it accepts new work.
    """

    service: str
    zone: str
    searchers: tuple[Searcher, ...]
    state: ServerState = ServerState.IN_SERVICE


class Shard(msgspec.Struct, frozen=True, kw_only=True):
    """One shard of one index version: a half-open range of the key space.

    Attributes:
        name: Unique in its shard map.
        low: The first key of the range.
        high: The first key after the range; greater than `low`.
        size: Number of documents in the range, which is the weight of the
            range in an answer's coverage.
        searchers: The names of the searchers that have a replica.
    """

    name: str
    low: int
    high: int
    size: int
    searchers: tuple[str, ...]


class ShardMap(Resource, frozen=True, kw_only=True, tag="shard_map"):
    """The division of one index version into shards.

    The name is `{index}.{version}`. The ranges are contiguous and don't
    overlap.

    Attributes:
        index: The index.
        version: The index version; a higher number is newer.
        shards: The shards, in ascending order of their keys.
    """

    index: str
    version: int
    shards: tuple[Shard, ...]


class Policy(Resource, frozen=True, kw_only=True, tag="policy"):
    """Settings of the query path that operators can change at run time.

    Attributes:
        hedge_budget: Hedged calls as a share of needed calls, 0 to 1.
        retry_budget: Retries as a share of needed calls, 0 to 1.
        queue_limit: Maximum number of sub-requests queued per searcher.
        queue_ms: Maximum time that a sub-request may be queued, in
            milliseconds.
        quarantine_s: How long a poison request is refused, in seconds.
    """

    hedge_budget: float = 0.05
    retry_budget: float = 0.1
    queue_limit: int = 64
    queue_ms: int = 1000
    quarantine_s: int = 600


AnyResource = Service | Caller | Zone | BackendServer | ShardMap | Policy

KINDS: dict[str, type[AnyResource]] = {
    "service": Service,
    "caller": Caller,
    "availability_zone": Zone,
    "backend_server": BackendServer,
    "shard_map": ShardMap,
    "policy": Policy,
}


def get_kind(resource: AnyResource) -> str:
    """Returns a resource's kind, a key of `KINDS`."""
    return str(type(resource).__struct_config__.tag)


class Versioned(msgspec.Struct, frozen=True):
    """A resource with the store's revision of its entry.

    Attributes:
        resource: The resource; None if it was deleted.
        kind: The resource's kind, a key of `KINDS`.
        name: The resource's name.
        revision: The store revision of the write.
    """

    resource: AnyResource | None
    kind: str
    name: str
    revision: int


class Configuration:
    """All resources in force on this VM, at one store revision.

    Attributes:
        revision: The store revision that this state reflects; 0 for none.
        entries: The newest known entry for each `(kind, name)`. Deleted ones
            are included, so that an older entry can't restore them.
    """

    __slots__ = ("entries", "revision")

    def __init__(self) -> None:
        """Creates an empty configuration."""
        self.revision = 0
        self.entries: dict[tuple[str, str], Versioned] = {}

    def get_services(self) -> dict[str, Service]:
        """Returns the services by name."""
        return self._get(Service)

    def get_callers(self) -> dict[str, Caller]:
        """Returns the callers by name."""
        return self._get(Caller)

    def get_zones(self) -> dict[str, Zone]:
        """Returns the availability zones by name."""
        return self._get(Zone)

    def get_backend_servers(self) -> dict[str, BackendServer]:
        """Returns the backend servers by name."""
        return self._get(BackendServer)

    def get_shard_maps(self) -> dict[str, ShardMap]:
        """Returns the shard maps by name."""
        return self._get(ShardMap)

    def get_policy(self) -> Policy:
        """Returns the policy `default`, or one with default values."""
        return self._get(Policy).get("default") or Policy(name="default")

    def _get(self, resource_type: type[_T]) -> dict[str, _T]:
        return {
            name: entry.resource
            for (_, name), entry in self.entries.items()
            if isinstance(entry.resource, resource_type)
        }
