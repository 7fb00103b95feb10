"""What operators declare about requests that are forwarded as they come.

A configuration names routes, the services behind them and what a caller may
send. Searchers announce themselves. Both reach every VM through the
platform's store; the adapter decodes them into these types.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from azureramp import rollout_types


@dataclasses.dataclass(slots=True, frozen=True)
class Weighted:
    """A service with its part of a route's requests.

    Attributes:
        service: The service's name.
        weight: Its part, relative to the others; 0 or more.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class OneOf:
    """A request goes to one searcher of one of these services.

    Attributes:
        choices: The services with their parts, at least one.
    """

    choices: tuple[Weighted, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class AllOf:
    """A request goes to one searcher of each of these services, the shards.

    Attributes:
        services: The shards' names, without repeats.
        most_records: How many records an answer holds at most.
        least_share: The least share of the shards, 0 to 1, with which an
            answer counts.
    """

    services: tuple[str, ...]
    most_records: int
    least_share: float


Destination = OneOf | AllOf


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Which requests go where, and what is promised for them.

    Attributes:
        name: The route's name.
        host: The host that callers name, lower case, without a port.
        prefix: The beginning of the path; it ends with a slash.
        destination: Where its requests go.
        repeatable: True if a request may run more than once.
        timeout_s: Longest time that a caller is kept waiting, in seconds.
        target_s: The time in which an answer is worth most, in seconds.
        attempts: Most searchers (of each shard) that may run one request.
        priority: Its rank; 0 goes first.
    """

    name: str
    host: str
    prefix: str
    destination: Destination
    repeatable: bool
    timeout_s: float
    target_s: float
    attempts: int
    priority: int


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A service: searchers that answer alike.

    Attributes:
        name: The service's name.
        health_path: The path of its searchers' health check.
        connections: How many connections one of its searchers accepts from
            all VMs together.
        cold_s: How long a searcher is cold after its start, in seconds.
        cold_per_s: Requests a second that a cold searcher bears; 0 if it
            needs no limit.
    """

    name: str
    health_path: str
    connections: int
    cold_s: float
    cold_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """What a caller may send, and how slowly.

    Attributes:
        header_bytes: Most bytes of a request's line and headers.
        body_bytes: Most bytes of a request's body.
        header_s: Longest time for the headers, in seconds.
        idle_s: Longest time between two requests, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_000_000
    header_s: float = 10.0
    idle_s: float = 60.0


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """One version of what the operators declared.

    Attributes:
        version: Rises with each change, not always by one.
        routes: The routes.
        services: The services by name.
        limits: What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits


class SearcherState(enum.Enum):
    """What a searcher says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(slots=True, frozen=True)
class Searcher:
    """A searcher as it announced itself.

    Attributes:
        id: Its identity; a call names it, so that another searcher that got
            its address refuses.
        service: The name of its service.
        address: Its `IP:port`.
        zone: Its availability zone.
        slots: How many requests it runs at once.
        state: Whether it takes new work.
        cold_s: How much longer it is cold, in seconds, when it wrote this.
        started_ms: When it started, in milliseconds since 1970; another
            value under the same id is another process.
        version: The version of its software.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: SearcherState
    cold_s: float
    started_ms: int
    version: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class Member:
    """A VM of this tier as it announced itself.

    Attributes:
        vm: The VM's name.
        zone: Its availability zone.
        address: The `IP:port` that callers connect to.
        peer_address: The `IP:port` that other VMs connect to.
        cores: Its processor, in cores.
        leaving: True once callers should go elsewhere.
        busy: True while its processor is busy enough to delay requests.
        keeper: The VM whose lease holds the announcement; empty for its own.
    """

    vm: str
    zone: str
    address: str
    peer_address: str
    cores: float
    leaving: bool
    busy: bool = False
    keeper: str = ""


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutOrdered:
    """Operators ordered a roll-out."""

    order: rollout_types.Order


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutWithdrawn:
    """Operators took their order for a service back."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutRecorded:
    """A VM recorded how far a roll-out is.

    Attributes:
        record: The record.
        revision: The store's revision that wrote it.
    """

    record: rollout_types.Record
    revision: int


@dataclasses.dataclass(slots=True, frozen=True)
class ConfigurationDeclared:
    """There is a new version of the configuration."""

    configuration: Configuration


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherSeen:
    """A searcher announced itself, or something new of itself."""

    searcher: Searcher


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherGone:
    """A searcher's entry is gone, or no longer usable."""

    id: str


@dataclasses.dataclass(slots=True, frozen=True)
class ZoneEvacuated:
    """Operators take an availability zone's searchers out, or back in."""

    zone: str
    out: bool


@dataclasses.dataclass(slots=True, frozen=True)
class MemberSeen:
    """A VM of this tier announced itself."""

    member: Member


@dataclasses.dataclass(slots=True, frozen=True)
class MemberGone:
    """A VM's entry is gone."""

    vm: str


@dataclasses.dataclass(slots=True, frozen=True)
class RequestBlamed:
    """A VM saw a request crash searchers.

    Attributes:
        fingerprint: The request's fingerprint.
        vm: The VM.
        crashes: How many searchers that VM saw crash.
    """

    fingerprint: str
    vm: str
    crashes: int


@dataclasses.dataclass(slots=True, frozen=True)
class Unreadable:
    """An entry of a known place could not be read.

    Attributes:
        reason: What was wrong with it.
    """

    reason: str


Update = (
    ConfigurationDeclared
    | SearcherSeen
    | SearcherGone
    | ZoneEvacuated
    | MemberSeen
    | MemberGone
    | RequestBlamed
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutRecorded
    | Unreadable
)
"""What one entry of the store says."""
