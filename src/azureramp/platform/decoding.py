"""Converts between the store's entries and azureramp's types."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

from azureramp import catalog, rollout_types
from azureramp.platform import bodies
from azureramp.policy import identity
from azureramp.ports.store import api as store_api

CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SEARCHER_PREFIX = "servers/"
VM_PREFIX = "azureramp/members/"
CRASH_REPORT_PREFIX = "azureramp/blame/"
ROLLOUT_ORDER_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
ROLLOUT_RECORD_PREFIX = "azureramp/rollouts/"

REPEATABLE = "idempotent"
"""The type of a route whose requests may run more than once. Requests of a
route of any other type, including an unknown one, may not, unless it fans
out."""

SEARCHER_STATES = {
    "ready": catalog.SearcherState.READY,
    "draining": catalog.SearcherState.DRAINING,
}

ROLLOUT_STATES = {
    rollout_types.Phase.TRIAL: "running",
    rollout_types.Phase.MOVING: "running",
    rollout_types.Phase.COMPLETED: "completed",
    rollout_types.Phase.ROLLED_BACK: "rolled_back",
}
"""The state reported to operators for each phase of a roll-out."""

_HEADER_SAFE = re.compile(r"[!-~]+")
"""Pattern of names that can be sent unchanged in a header. A name with a line
break would let the writer of the entry inject headers into every call."""

_ACCOUNT_NAME = re.compile(r"[!-~](?:[ -~]{0,254}[!-~])?")
"""Pattern of account names that reach searchers unchanged in a header: like
`_HEADER_SAFE`, but spaces within the name are allowed, and its length is
limited, since some servers limit the size of headers."""

MAX_SHOWN_NAME_CHARACTERS = 40

_configuration_decoder = msgspec.json.Decoder(bodies.ConfigurationBody)
_account_decoder = msgspec.json.Decoder(bodies.TenantBody)
_searcher_decoder = msgspec.json.Decoder(bodies.SearcherBody)
_vm_decoder = msgspec.json.Decoder(catalog.Member)
_crash_report_decoder = msgspec.json.Decoder(catalog.CrashReport)
_order_decoder = msgspec.json.Decoder(bodies.RolloutOrderBody)
_record_decoder = msgspec.json.Decoder(rollout_types.Record)


def decode(entry: store_api.Entry) -> catalog.Update | None:
    """Decodes one entry of the store, or its deletion.

    Args:
        entry: The entry; its value is None if it was deleted.

    Returns:
        The update; `catalog.InvalidEntry` if the value can't be decoded, None
        for a key that isn't used here.
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
            return catalog.ZoneEvacuationChanged(zone, out=value is not None)
        if key.startswith(VM_PREFIX):
            if value is None:
                return catalog.MemberRemoved(key.removeprefix(VM_PREFIX))
            return catalog.MemberAnnounced(_vm_decoder.decode(value))
        if key.startswith(CRASH_REPORT_PREFIX) and value is not None:
            return _crash_report_decoder.decode(value)
        if key.startswith(ROLLOUT_ORDER_PREFIX):
            return _decode_order(entry)
        if key.startswith(ROLLOUT_RECORD_PREFIX) and value is not None:
            return catalog.RolloutRecorded(
                _record_decoder.decode(value), entry.revision
            )
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return catalog.InvalidEntry(f"{key}: {error}")
    return None


def make_member_key(vm: str) -> str:
    """Returns the key of the entry that announces a VM."""
    return VM_PREFIX + vm


def encode_crash_report(
    crash_report: catalog.CrashReport,
) -> tuple[str, bytes]:
    """Returns the key and value of a crash report on a request."""
    name = f"{crash_report.fingerprint}/{crash_report.vm}"
    return CRASH_REPORT_PREFIX + name, msgspec.json.encode(crash_report)


def make_rollout_keys(service: str) -> tuple[str, str]:
    """Returns the keys of the record and the status of a service's roll-out."""
    return ROLLOUT_RECORD_PREFIX + service, ROLLOUT_STATUS_PREFIX + service


def encode_rollout(record: rollout_types.Record) -> tuple[bytes, bytes]:
    """Encodes a roll-out's record and the status shown to operators."""
    status = bodies.RolloutStatusBody(
        ROLLOUT_STATES[record.phase], record.order.target
    )
    return msgspec.json.encode(record), msgspec.json.encode(status)


def _decode_order(entry: store_api.Entry) -> catalog.Update:
    """Decodes an operator's order for a roll-out, or its withdrawal."""
    service = entry.key.removeprefix(ROLLOUT_ORDER_PREFIX)
    if entry.value is None:
        return catalog.RolloutWithdrawn(service)
    body = _order_decoder.decode(entry.value)
    if not body.target_version:
        return catalog.InvalidEntry(f"{entry.key}: TargetVersion is empty")
    return catalog.RolloutOrdered(
        rollout_types.Order(
            service, body.target_version, body.duration_s, entry.revision
        )
    )


def _decode_searcher(name: str, value: bytes | None) -> catalog.Update:
    """Decodes a searcher's entry.

    An invalid entry removes the searcher, even if an earlier version of the
    entry was valid.
    """
    if value is None or not _HEADER_SAFE.fullmatch(name):
        return catalog.SearcherRemoved(name)
    try:
        body = _searcher_decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return catalog.SearcherRemoved(name)
    state = SEARCHER_STATES.get(body.state)
    host, _, port = body.address.rpartition(":")
    if state is None or not host or not port.isdigit() or not body.backend:
        return catalog.SearcherRemoved(name)
    return catalog.SearcherAnnounced(
        catalog.Searcher(
            id=name,
            service=body.backend,
            address=body.address,
            zone=body.zone,
            slots=max(1, body.slots),
            state=state,
            cold_remaining_s=max(0.0, body.cold_remaining_ms / 1000),
            started_ms=body.born,
            version=body.version,
        )
    )


def _to_configuration(
    body: bodies.ConfigurationBody,
) -> catalog.ConfigurationDeclared:
    """Converts a configuration."""
    services = {
        service.name: catalog.Service(
            name=service.name,
            health_path=service.health_path,
            max_connections=service.max_connections,
            cold_start_s=service.cold_start_s,
            cold_requests_per_s=service.cold_per_s,
        )
        for service in body.services
    }
    limits = catalog.RequestLimits(
        max_header_bytes=body.limits.max_header_bytes,
        max_body_bytes=body.limits.max_body_bytes,
        header_timeout_s=body.limits.header_timeout_ms / 1000,
        idle_timeout_s=body.limits.idle_timeout_ms / 1000,
    )
    return catalog.ConfigurationDeclared(
        catalog.Configuration(
            version=body.version,
            routes=tuple(_to_route(route) for route in body.routes),
            services=services,
            limits=limits,
            accounts=(
                None if body.tenants is None else _decode_accounts(body.tenants)
            ),
        )
    )


def _decode_accounts(entries: Sequence[msgspec.Raw]) -> catalog.Accounts:
    """Decodes the client accounts; invalid ones are left out."""
    accounts: list[catalog.Account] = []
    problems: list[str] = []
    for number, entry in enumerate(entries):
        try:
            body = _account_decoder.decode(entry)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            problems.append(f"account entry {number} is left out: {error}")
            continue
        if _ACCOUNT_NAME.fullmatch(body.name):
            accounts.append(_to_account(body))
        else:
            shown = body.name[:MAX_SHOWN_NAME_CHARACTERS]
            problems.append(
                f"account {shown!a} is left out: its name can't be sent in a"
                " header"
            )
    return identity.index_accounts(accounts, problems)


def _to_account(body: bodies.TenantBody) -> catalog.Account:
    """Converts a client account; empty keys are left out."""
    return catalog.Account(
        name=body.name,
        key_hashes=tuple(
            identity.hash_token(key)
            for key in dict.fromkeys(body.api_keys)
            if key
        ),
        priority=body.priority,
        rate_per_s=body.rate_per_s,
        burst=body.burst,
    )


def _to_route(body: bodies.RouteBody) -> catalog.Route:
    """Converts a route."""
    return catalog.Route(
        name=body.name,
        host=body.hostname.lower(),
        prefix=body.prefix,
        destination=_to_destination(body),
        repeatable=(
            body.route_type == REPEATABLE or bool(body.fanout_services)
        ),
        timeout_s=body.timeout_ms / 1000,
        target_latency_s=body.target_latency_ms / 1000,
        max_attempts=max(1, body.attempts),
        priority=body.priority,
        public=body.public,
    )


def _to_destination(body: bodies.RouteBody) -> catalog.Destination:
    """Converts a route's destination.

    Raises:
        ValueError: The route names no service.
    """
    if body.fanout_services:
        return catalog.FanoutDestination(
            services=tuple(dict.fromkeys(body.fanout_services)),
            max_records=body.top_k,
            min_shard_share=body.min_shard_share,
        )
    if body.traffic_split:
        return catalog.SplitDestination(
            tuple(
                catalog.WeightedService(part.backend or part.name, part.weight)
                for part in body.traffic_split
            )
        )
    if body.backend:
        return catalog.SplitDestination(
            (catalog.WeightedService(body.backend, 1.0),)
        )
    raise ValueError(f"route {body.name} names no service")
