"""The configuration of forwarding, and the updates read from the store.

Operators configure the routes, the services behind them and limits on callers'
requests. Searchers and VMs announce themselves. All of this reaches every VM
through the platform's store; the platform adapter decodes it into these types.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from azureramp import rollout_types


@dataclasses.dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its weight in a route's traffic split.

    Attributes:
        service: The service's name.
        weight: Its share of the requests, relative to the other services of
            the route; 0 or more.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class SplitDestination:
    """A destination that sends each request to one searcher of one service.

    Attributes:
        choices: The services with their weights, at least one.
    """

    choices: tuple[WeightedService, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class FanoutDestination:
    """A destination that sends each request to one searcher of every shard.

    Attributes:
        services: The names of the shards' services, without duplicates.
        max_records: Maximum number of records in an answer.
        min_shard_share: Minimum share of the shards that an answer must cover,
            0 to 1.
    """

    services: tuple[str, ...]
    max_records: int
    min_shard_share: float


Destination = SplitDestination | FanoutDestination


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """A route: the requests that it matches and how they are handled.

    Attributes:
        name: The route's name.
        host: The host in the request, lower case, without a port.
        prefix: The prefix of the path; it ends with a slash.
        destination: Where the requests are sent.
        repeatable: True if a request may run more than once.
        timeout_s: Maximum time until the caller gets an answer, in seconds.
        target_latency_s: The latency target of an answer, in seconds.
        max_attempts: Maximum number of searchers (of each shard) that may run
            one request.
        priority: The priority of its requests; 0 is the highest.
        public: True if its requests need no key.
    """

    name: str
    host: str
    prefix: str
    destination: Destination
    repeatable: bool
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    priority: int
    public: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A client account: the callers that share a set of keys and a limit.

    Attributes:
        name: The account's name; it can be sent in a header unchanged.
        key_hashes: The SHA-256 hashes of its keys, hexadecimal.
        priority: Replaces the priority of the route; None to keep it.
        rate_per_s: Maximum requests per second, at all VMs together; 0 for no
            limit.
        burst: Requests allowed at once beyond that rate.
    """

    name: str
    key_hashes: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(slots=True, frozen=True)
class Accounts:
    """The client accounts of a configuration.

    Attributes:
        by_name: The accounts by name.
        by_key_hash: The accounts by the hash of each key. A key that several
            accounts share identifies none of them and is left out.
        problems: What is wrong with the accounts' entries, without any keys.
    """

    by_name: Mapping[str, Account]
    by_key_hash: Mapping[str, Account] = dataclasses.field(repr=False)
    problems: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service: a group of interchangeable searchers.

    Attributes:
        name: The service's name.
        health_path: The path of its searchers' health check.
        max_connections: Maximum number of connections that one of its searchers
            accepts from all VMs together.
        cold_start_s: How long a searcher is cold after its start, in seconds.
        cold_requests_per_s: Maximum requests per second to a cold searcher; 0
            for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_requests_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class RequestLimits:
    """Limits on the size and timing of callers' requests.

    Attributes:
        max_header_bytes: Maximum size of the request line and headers, in
            bytes.
        max_body_bytes: Maximum size of the body, in bytes.
        header_timeout_s: Timeout for receiving the headers, in seconds.
        idle_timeout_s: Timeout of a connection between two requests, in
            seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: Increases with each change, but not always by one.
        routes: The routes.
        services: The services by name.
        limits: The limits on callers' requests.
        accounts: The client accounts; None if requests need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: RequestLimits
    accounts: Accounts | None = None


class SearcherState(enum.Enum):
    """The state that a searcher announces."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True, frozen=True)
class Searcher:
    """A searcher's announcement.

    Attributes:
        id: The searcher's identity. Each call carries it, so that another
            searcher that has taken over the address rejects the call.
        service: The name of its service.
        address: Its `IP:port`.
        zone: Its availability zone.
        slots: How many requests it runs concurrently.
        state: Whether it accepts new requests.
        cold_remaining_s: Remaining time of its cold start when it wrote the
            announcement, in seconds.
        started_ms: When it started, in milliseconds since 1970; a different
            value under the same id is a different process.
        version: The version of its software.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: SearcherState
    cold_remaining_s: float
    started_ms: int
    version: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """The announcement of a VM of this tier.

    The attributes are the keys of its encoding in the store.

    Attributes:
        vm: The VM's name.
        zone: Its availability zone.
        address: The `IP:port` that callers connect to.
        peer_address: The `IP:port` that other VMs connect to.
        cores: Its CPU capacity, in cores.
        leaving: True while it shuts down and callers should use other VMs.
        busy: True while its CPU load is high enough to delay requests.
        keeper: The VM to whose lease the entry is attached; empty if it is the
            announced VM's own lease.
        link_mbps: The bandwidth of its link, in Mbit/s; 0 if unknown.
        announcement: Number of the announced VM's choice of who announces it.
            A later choice has a higher number.
    """

    vm: str
    zone: str
    address: str
    peer_address: str
    cores: float
    leaving: bool
    busy: bool = False
    keeper: str = ""
    link_mbps: float = 0.0
    announcement: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOrdered:
    """Operators ordered a roll-out."""

    order: rollout_types.Order


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutWithdrawn:
    """Operators withdrew their order for a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutRecorded:
    """A VM recorded the progress of a roll-out.

    Attributes:
        record: The record.
        revision: The store revision at which it was written.
    """

    record: rollout_types.Record
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationDeclared:
    """Operators declared a new version of the configuration."""

    configuration: Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherAnnounced:
    """A searcher announced itself or updated its announcement."""

    searcher: Searcher


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherRemoved:
    """A searcher's entry was deleted or is invalid."""

    id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneEvacuationChanged:
    """Operators took a zone's searchers out of use, or back into use.

    Attributes:
        zone: The availability zone.
        out: True if its searchers must not be used.
    """

    zone: str
    out: bool


@dataclasses.dataclass(slots=True, frozen=True)
class MemberAnnounced:
    """A VM of this tier announced itself or updated its announcement."""

    member: Member


@dataclasses.dataclass(slots=True, frozen=True)
class MemberRemoved:
    """A VM's entry was deleted."""

    vm: str


@dataclasses.dataclass(slots=True, frozen=True)
class CrashReport:
    """A VM's report that a request crashed searchers.

    The attributes are the keys of its encoding in the store.

    Attributes:
        fingerprint: The request's fingerprint.
        vm: The VM that observed the crashes.
        crashes: How many crashes of searchers the VM attributes to it.
    """

    fingerprint: str
    vm: str
    crashes: int


@dataclasses.dataclass(slots=True, frozen=True)
class InvalidEntry:
    """An entry with a known key could not be decoded.

    Attributes:
        reason: The key and the error.
    """

    reason: str


Update = (
    ConfigurationDeclared
    | SearcherAnnounced
    | SearcherRemoved
    | ZoneEvacuationChanged
    | MemberAnnounced
    | MemberRemoved
    | CrashReport
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutRecorded
    | InvalidEntry
)
"""An update decoded from one entry of the store."""
