"""The platform's messages as they are encoded on the wire.

These types are used in this package only; `decoding` and `store` convert them
to azureramp's types. Fields that other writers may omit have defaults.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class RouteBody(msgspec.Struct, rename="pascal"):
    """A route.

    Attributes:
        route_type: Determines whether the route's requests may run more than
            once.
        backend: The name of the service; used if neither `fanout_services` nor
            `traffic_split` is given.
        traffic_split: Several services with their weights.
        fanout_services: The shards; each request goes to all of them.
        top_k: Maximum number of records in an answer.
        min_shard_share: Minimum share of the shards that an answer must
            cover, 0 to 1.
        public: True if its requests need no key.
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
    public: bool = False


class SplitBody(msgspec.Struct, rename="pascal"):
    """A service of a split route with its weight.

    The service's name is read from `Backend`, as in a plain route, or else
    from `Name`.
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
    """Limits on callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_ms: float = 10_000
    idle_timeout_ms: float = 60_000


class TenantBody(msgspec.Struct, rename="pascal"):
    """A client account.

    Attributes:
        rate_per_s: Maximum requests per second; 0 for no limit.
        burst: Requests allowed at once beyond that rate.
        priority: Replaces the priority of the route; None to keep it.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: _NotNegative = msgspec.field(default=0.0, name="RatePerS")
    burst: _NotNegative = 0.0


class ConfigurationBody(msgspec.Struct, rename="pascal"):
    """The complete current configuration.

    Attributes:
        tenants: The client accounts, each a `TenantBody`; None if requests
            need no keys. They are decoded one by one, so that an invalid
            account doesn't invalidate the others.
    """

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    tenants: list[msgspec.Raw] | None = None
    limits: LimitsBody = msgspec.field(default_factory=LimitsBody)


class SearcherBody(msgspec.Struct, rename="pascal"):
    """A searcher's entry.

    Attributes:
        backend: The name of the searcher's service, not of a backend server.
        version: The version of its software, not of a configuration.
        cold_remaining_ms: Remaining time of its cold start, in milliseconds.
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
    """An operator's order for a roll-out.

    Attributes:
        backend: The name of the service, not of a backend server.
        target_version: The version of the searchers' software to move to.
        duration_s: The time for the whole roll-out, in seconds.
    """

    target_version: str
    backend: str = ""
    duration_s: float = msgspec.field(default=0.0, name="DurationS")


class RolloutStatusBody(msgspec.Struct, rename="pascal"):
    """The progress of a roll-out, reported to operators."""

    state: str
    target_version: str


class ItemBody(msgspec.Struct, rename="pascal"):
    """One item of the store, or its removal.

    Attributes:
        value: The value, base64-encoded.
        removed: True if the key was deleted.
    """

    key: str
    revision: int
    value: str = ""
    removed: bool = False


class RangeBody(msgspec.Struct):
    """One page of items.

    Attributes:
        items: The items, ordered by key.
        more: True if there are further pages.
        revision: The store's revision when the page was read.
    """

    items: list[ItemBody]
    more: bool = msgspec.field(default=False, name="HasMore")
    revision: int = msgspec.field(default=0, name="AsOf")


class WatchBody(msgspec.Struct):
    """The changes returned by a watch.

    Attributes:
        events: The changes, ordered by revision.
        revision: The revision to continue the watch from.
    """

    events: list[ItemBody]
    revision: int = msgspec.field(default=0, name="AsOf")


class PreconditionBody(msgspec.Struct, rename="pascal"):
    """A key and its expected revision; 0 if the key must not exist."""

    key: str
    revision: int


class WriteBody(msgspec.Struct, rename="pascal", omit_defaults=True):
    """One key's new value, base64-encoded."""

    key: str
    value: str
    lease: int = 0


class TransactionBody(msgspec.Struct, rename="pascal"):
    """A conditional change of one or more keys."""

    precondition: list[PreconditionBody]
    writes: list[WriteBody]
    delete_keys: list[str]


class CommittedBody(msgspec.Struct, rename="pascal"):
    """The answer to a change that took effect."""

    revision: int


class ConflictBody(msgspec.Struct):
    """The current items that a change conflicted with."""

    items: list[ItemBody]


class LeaseRequestBody(msgspec.Struct, rename="pascal"):
    """A request for a lease."""

    ttl_ms: int


class LeaseBody(msgspec.Struct, rename="pascal"):
    """A granted lease."""

    lease: int
    ttl_ms: int
