"""The platform's messages, as they stand on the wire.

Only this package sees these types; `decoding` turns them into the project's.
Fields are optional where other writers may leave them out.
"""

from __future__ import annotations

import msgspec


class RouteBody(msgspec.Struct, rename="pascal"):
    """A route.

    Attributes:
        backend: The name of a service, unless one of the next two is given.
        traffic_split: Services with their weights.
        fanout_services: The shards that are all asked.
        top_k: The most records of an answer.
        min_shard_share: The least share of the shards, 0 to 1.
        route_type: What may be repeated.
    """

    name: str
    hostname: str
    prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float
    attempts: int = 1
    priority: int = 0
    backend: str | None = None
    traffic_split: list[SplitBody] | None = None
    fanout_services: list[str] | None = None
    top_k: int = msgspec.field(default=0, name="TopK")
    min_shard_share: float = 0.0


class SplitBody(msgspec.Struct, rename="pascal"):
    """A service of a split route with its weight.

    The service's name has stood under `Backend` as for a plain route; `Name`
    is read too.
    """

    weight: float
    backend: str = ""
    name: str = ""


class ServiceBody(msgspec.Struct, rename="pascal"):
    """A service."""

    name: str
    health_path: str = "/health"
    max_connections: int = 0
    cold_start_s: float = msgspec.field(default=0.0, name="ColdStartS")
    cold_per_s: float = msgspec.field(default=0.0, name="ColdPerS")


class LimitsBody(msgspec.Struct, rename="pascal"):
    """What callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class ConfigurationBody(msgspec.Struct, rename="pascal"):
    """The newest configuration in full."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class SearcherBody(msgspec.Struct, rename="pascal"):
    """A searcher's entry.

    Attributes:
        backend: The name of its service, not of a backend server.
        version: The version of its software, not of a configuration.
        cold_remaining_ms: How much longer it is cold.
        born: When it started, in milliseconds since 1970.
    """

    backend: str
    address: str
    zone: str
    state: str
    version: str = ""
    slots: int = 1
    cold_remaining_ms: float = 0.0
    born: int = msgspec.field(default=0, name="born")


class RolloutOrderBody(msgspec.Struct, rename="pascal"):
    """An operator's order of a roll-out.

    Attributes:
        backend: The name of the service, not of a backend server.
        target_version: The version of the searchers' software.
        duration_s: The time for all of it, in seconds.
    """

    target_version: str
    backend: str = ""
    duration_s: float = msgspec.field(default=0.0, name="DurationS")


class RolloutStatusBody(msgspec.Struct, rename="pascal"):
    """How far a roll-out is, for the operators."""

    state: str
    target_version: str


class ItemBody(msgspec.Struct, rename="pascal"):
    """One item of the store, or that it was removed.

    Attributes:
        value: The value as base64.
        removed: True if the key is gone.
    """

    key: str
    revision: int
    value: str = ""
    removed: bool = False


class RangeBody(msgspec.Struct):
    """One page of items.

    Attributes:
        items: The items, by key.
        more: True if there are further pages.
        revision: The store's revision at the reading.
    """

    items: list[ItemBody]
    more: bool = msgspec.field(default=False, name="HasMore")
    revision: int = msgspec.field(default=0, name="AsOf")


class WatchBody(msgspec.Struct):
    """What has changed.

    Attributes:
        events: The changes, by revision.
        revision: The revision to go on from.
    """

    events: list[ItemBody]
    revision: int = msgspec.field(default=0, name="AsOf")


class PreconditionBody(msgspec.Struct, rename="pascal"):
    """A key with the revision that it must have; 0 for none."""

    key: str
    revision: int


class WriteBody(msgspec.Struct, rename="pascal", omit_defaults=True):
    """One key's new value, as base64."""

    key: str
    value: str
    lease: int = 0


class TransactionBody(msgspec.Struct, rename="pascal"):
    """A change under a condition."""

    precondition: list[PreconditionBody]
    writes: list[WriteBody]
    delete_keys: list[str]


class CommittedBody(msgspec.Struct, rename="pascal"):
    """A change that took effect."""

    revision: int


class ConflictBody(msgspec.Struct):
    """The items that a change ran into, as they are now."""

    items: list[ItemBody]


class LeaseRequestBody(msgspec.Struct, rename="pascal"):
    """A wish for a lease."""

    ttl_ms: int


class LeaseBody(msgspec.Struct, rename="pascal"):
    """A lease."""

    lease: int
    ttl_ms: int
