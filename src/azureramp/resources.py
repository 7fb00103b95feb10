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
    """How urgent a caller is; the lower number goes first."""

    URGENT = 0
    NORMAL = 1
    DEFERRABLE = 2


class ZoneState(enum.Enum):
    """Whether an availability zone takes new work."""

    IN_SERVICE = "in_service"
    OUT = "out"


class ServerState(enum.Enum):
    """Whether a backend server takes new work."""

    IN_SERVICE = "in_service"
    LEAVING = "leaving"


class Resource(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind"):
    """What all resources have.

    Attributes:
        name: Unique among its kind, Unicode NFC.
    """

    name: str


class Service(Resource, frozen=True, kw_only=True, tag="service"):
    """A service whose callers may query some indexes.

    Attributes:
        indexes: The names of the indexes that this service may query.
        shards: The shards that it may query, of each index: shard names, or
            empty for every shard.
    """

    indexes: tuple[str, ...]
    shards: tuple[str, ...] = ()


class Caller(Resource, frozen=True, kw_only=True, tag="caller"):
    """A caller, known by the hash of its token.

    Attributes:
        token_sha256: Lower-case hexadecimal SHA-256 of the caller's token.
        services: The names of the services that it may call.
        priority: How urgent its requests are.
        weight: Its share of address answers, relative to other callers.
        revoked: True once nothing may be accepted from it.
    """

    token_sha256: str
    services: tuple[str, ...]
    priority: Priority = Priority.NORMAL
    weight: float = 1.0
    revoked: bool = False


class Zone(Resource, frozen=True, kw_only=True, tag="availability_zone"):
    """An availability zone.

    Attributes:
        state: Whether the zone takes new work.
    """

    state: ZoneState = ZoneState.IN_SERVICE


class Searcher(msgspec.Struct, frozen=True, kw_only=True):
    """One searcher process of a backend server.

    Attributes:
        name: Unique in the deployment, such as `claims-03-a`.
        address: `IP:port` of its HTTP interface.
        slots: How many requests it runs at once.
        connections: How many connections it accepts from everybody.
        cold_limit: How many requests it bears at once in cold start.
    """

    name: str
    address: str
    slots: int = 2
    connections: int = 25
    cold_limit: int = 1


class BackendServer(Resource, frozen=True, kw_only=True, tag="backend_server"):
    """A backend server: one instance with its searchers.

    Attributes:
        service: The name of the service whose index it holds.
        zone: The name of its availability zone.
        searchers: Its searchers; they crash together.
        state: Whether it takes new work.
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
        high: The first key after the range; more than `low`.
        size: How much data the range holds, in documents; the weight of the
            range in an answer's coverage.
        searchers: The names of the searchers that hold a replica.
    """

    name: str
    low: int
    high: int
    size: int
    searchers: tuple[str, ...]


class ShardMap(Resource, frozen=True, kw_only=True, tag="shard_map"):
    """How one version of an index is cut into shards.

    The name is `{index}.{version}`. The ranges meet without gap or overlap.

    Attributes:
        index: The index.
        version: The index version; a higher number is newer.
        shards: The shards, ascending by key.
    """

    index: str
    version: int
    shards: tuple[Shard, ...]


class Policy(Resource, frozen=True, kw_only=True, tag="policy"):
    """Settings of the query path that operators may change while it runs.

    Attributes:
        hedge_budget: Hedges as a share of needed calls, 0 to 1.
        retry_budget: Retries as a share of needed calls, 0 to 1.
        queue_limit: Most sub-requests queued for a searcher.
        queue_ms: Longest time that one may be queued, in milliseconds.
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
        resource: The resource; None once it was deleted.
        kind: The resource's kind, a key of `KINDS`.
        name: The resource's name.
        revision: The store revision that wrote it.
    """

    resource: AnyResource | None
    kind: str
    name: str
    revision: int


class Configuration:
    """Every resource in force on this VM, at one store revision.

    Attributes:
        revision: The store revision that this state reflects; 0 is none.
        entries: The newest known entry for each `(kind, name)`, deleted ones
            included so that an older entry can't bring them back.
    """

    __slots__ = ("entries", "revision")

    def __init__(self) -> None:
        """Makes an empty configuration."""
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
        """Returns the policy `default`, or one of default values."""
        return self._get(Policy).get("default") or Policy(name="default")

    def _get(self, wanted: type[_T]) -> dict[str, _T]:
        return {
            name: entry.resource
            for (_, name), entry in self.entries.items()
            if isinstance(entry.resource, wanted)
        }
