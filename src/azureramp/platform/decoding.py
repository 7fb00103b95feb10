"""What the store's entries say, in the project's types."""

from __future__ import annotations

import re

import msgspec

from azureramp import catalog, rollout_types
from azureramp.platform import bodies
from azureramp.ports.store import api as store_api

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SEARCHER_PREFIX = "servers/"
MEMBER_PREFIX = "azureramp/members/"
BLAME_PREFIX = "azureramp/blame/"
ROLLOUT_ORDER_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
ROLLOUT_RECORD_PREFIX = "azureramp/rollouts/"

REPEATABLE = "idempotent"
"""The kind of route whose requests may run more than once; every other kind,
one that is not known yet included, is taken for one that may not."""

STATES = {
    "ready": catalog.SearcherState.READY,
    "draining": catalog.SearcherState.DRAINING,
}

PHASES = {
    rollout_types.Phase.TRIAL: "running",
    rollout_types.Phase.MOVING: "running",
    rollout_types.Phase.COMPLETED: "completed",
    rollout_types.Phase.ROLLED_BACK: "rolled_back",
}
"""What operators are told of the phase of a roll-out."""

_SENDABLE = re.compile(r"[!-~]+")
"""Names that can stand in a header as they are. A line's end in one would let
whoever writes such an entry put headers into every call."""

_configuration_decoder = msgspec.json.Decoder(bodies.ConfigurationBody)
_searcher_decoder = msgspec.json.Decoder(bodies.SearcherBody)
_member_decoder = msgspec.json.Decoder(catalog.Member)
_blame_decoder = msgspec.json.Decoder(catalog.RequestBlamed)
_order_decoder = msgspec.json.Decoder(bodies.RolloutOrderBody)
_record_decoder = msgspec.json.Decoder(rollout_types.Record)


def decode(entry: store_api.Entry) -> catalog.Update | None:
    """Reads one entry of the store, or that it was deleted.

    Returns:
        What it says; None for a key that is of no interest here.
    """
    key, value = entry.key, entry.value
    try:
        if key == CONFIGURATION_KEY and value is not None:
            return _to_configuration(_configuration_decoder.decode(value))
        if key.startswith(SEARCHER_PREFIX):
            name = key.removeprefix(SEARCHER_PREFIX)
            return _decode_searcher(name, value)
        if key.startswith(EVACUATION_PREFIX):
            zone = key.removeprefix(EVACUATION_PREFIX)
            return catalog.ZoneEvacuated(zone, out=value is not None)
        if key.startswith(MEMBER_PREFIX):
            if value is None:
                return catalog.MemberGone(key.removeprefix(MEMBER_PREFIX))
            return catalog.MemberSeen(_member_decoder.decode(value))
        if key.startswith(BLAME_PREFIX) and value is not None:
            return _blame_decoder.decode(value)
        if key.startswith(ROLLOUT_ORDER_PREFIX):
            return _decode_order(entry)
        if key.startswith(ROLLOUT_RECORD_PREFIX) and value is not None:
            return catalog.RolloutRecorded(
                _record_decoder.decode(value), entry.revision
            )
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
        return catalog.Unreadable(f"{key}: {error}")
    return None


def make_member_key(vm: str) -> str:
    """Returns the key of a VM's entry."""
    return MEMBER_PREFIX + vm


def encode_blame(blamed: catalog.RequestBlamed) -> tuple[str, bytes]:
    """Returns the key and the value of a report on a request."""
    name = f"{blamed.fingerprint}/{blamed.vm}"
    return BLAME_PREFIX + name, msgspec.json.encode(blamed)


def make_rollout_keys(service: str) -> tuple[str, str]:
    """Returns the keys of a roll-out's record and of its status."""
    return ROLLOUT_RECORD_PREFIX + service, ROLLOUT_STATUS_PREFIX + service


def encode_rollout(record: rollout_types.Record) -> tuple[bytes, bytes]:
    """Returns the values of a roll-out's record and of its status."""
    status = bodies.RolloutStatusBody(PHASES[record.phase], record.order.target)
    return msgspec.json.encode(record), msgspec.json.encode(status)


def _decode_order(entry: store_api.Entry) -> catalog.Update:
    """Reads an operator's order of a roll-out, or that it was taken back."""
    service = entry.key.removeprefix(ROLLOUT_ORDER_PREFIX)
    if entry.value is None:
        return catalog.RolloutWithdrawn(service)
    body = _order_decoder.decode(entry.value)
    if not body.target_version:
        return catalog.Unreadable(f"{entry.key}: it names no version")
    return catalog.RolloutOrdered(
        rollout_types.Order(
            service, body.target_version, body.duration_s, entry.revision
        )
    )


def _decode_searcher(name: str, value: bytes | None) -> catalog.Update:
    """Reads a searcher's entry.

    One that can't be used names no searcher, also where it did before.
    """
    if value is None or not _SENDABLE.fullmatch(name):
        return catalog.SearcherGone(name)
    try:
        body = _searcher_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return catalog.SearcherGone(name)
    state = STATES.get(body.state)
    host, _, port = body.address.rpartition(":")
    if state is None or not host or not port.isdigit() or not body.backend:
        return catalog.SearcherGone(name)
    return catalog.SearcherSeen(
        catalog.Searcher(
            id=name,
            service=body.backend,
            address=body.address,
            zone=body.zone,
            slots=max(1, body.slots),
            state=state,
            cold_s=max(0.0, body.cold_remaining_ms / 1000),
            started_ms=body.born,
            version=body.version,
        )
    )


def _to_configuration(
    body: bodies.ConfigurationBody,
) -> catalog.ConfigurationDeclared:
    """Makes a configuration of its body."""
    services = {
        service.name: catalog.Service(
            name=service.name,
            health_path=service.health_path,
            connections=service.max_connections,
            cold_s=service.cold_start_s,
            cold_per_s=service.cold_per_s,
        )
        for service in body.services
    }
    limits = catalog.CallerLimits(
        header_bytes=body.limits.max_header_bytes,
        body_bytes=body.limits.max_body_bytes,
        header_s=body.limits.header_timeout_ms / 1000,
        idle_s=body.limits.idle_timeout_ms / 1000,
    )
    return catalog.ConfigurationDeclared(
        catalog.Configuration(
            version=body.version,
            routes=tuple(_to_route(route) for route in body.routes),
            services=services,
            limits=limits,
        )
    )


def _to_route(body: bodies.RouteBody) -> catalog.Route:
    """Makes a route of its body."""
    return catalog.Route(
        name=body.name,
        host=body.hostname.lower(),
        prefix=body.prefix,
        destination=_to_destination(body),
        repeatable=(
            body.route_type == REPEATABLE or bool(body.fanout_services)
        ),
        timeout_s=body.timeout_ms / 1000,
        target_s=body.target_latency_ms / 1000,
        attempts=max(1, body.attempts),
        priority=body.priority,
    )


def _to_destination(body: bodies.RouteBody) -> catalog.Destination:
    """Makes a route's destination.

    Raises:
        ValueError: The route names no service.
    """
    if body.fanout_services:
        return catalog.AllOf(
            services=tuple(dict.fromkeys(body.fanout_services)),
            most_records=body.top_k,
            least_share=body.min_shard_share,
        )
    if body.traffic_split:
        return catalog.OneOf(
            tuple(
                catalog.Weighted(part.backend or part.name, part.weight)
                for part in body.traffic_split
            )
        )
    if body.backend:
        return catalog.OneOf((catalog.Weighted(body.backend, 1.0),))
    raise ValueError(f"the route {body.name} names no service")
