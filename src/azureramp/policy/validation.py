"""Validation of resources against the configuration in force.

Each problem names a field and one rule of a closed list; see `rules`. The texts
of the rules are in `texts`.
"""

from __future__ import annotations

import math
import re
import unicodedata
from collections.abc import Iterable, Iterator

from azureramp import resources, settings
from azureramp.policy import rules

_Problem = rules.Problem
_Rule = rules.Rule

MAX_NAME_CHARACTERS = 128
MAX_SLOTS = 10_000
MAX_WEIGHT = 1_000_000.0


def check_resource(
    resource: resources.AnyResource, configuration: resources.Configuration
) -> list[_Problem]:
    """Checks a resource that is to be created or changed.

    Args:
        resource: The resource.
        configuration: The configuration in force.

    Returns:
        All problems found; empty if the resource is valid.
    """
    problems = list(_check_name("name", resource.name))
    match resource:
        case resources.Service():
            problems += _check_service(resource)
        case resources.Caller():
            problems += _check_caller(resource, configuration)
        case resources.Zone():
            pass
        case resources.BackendServer():
            problems += _check_server(resource, configuration)
        case resources.ShardMap():
            problems += _check_map(resource, configuration)
        case resources.Policy():
            problems += _check_policy(resource)
    return problems


def check_deletion(
    kind: str, name: str, configuration: resources.Configuration
) -> list[_Problem]:
    """Checks that no other resource refers to one that is to be deleted.

    Args:
        kind: The resource's kind.
        name: The resource's name.
        configuration: The configuration in force.

    Returns:
        A problem for each resource that refers to it.
    """
    users: list[str] = []
    servers = configuration.get_backend_servers()
    match kind:
        case "availability_zone":
            users = [
                f"backend_server/{server.name}"
                for server in servers.values()
                if server.zone == name
            ]
        case "service":
            users = [
                f"backend_server/{server.name}"
                for server in servers.values()
                if server.service == name
            ]
            users += [
                f"caller/{caller.name}"
                for caller in configuration.get_callers().values()
                if name in caller.services
            ]
        case "backend_server" if name in servers:
            removed = {searcher.name for searcher in servers[name].searchers}
            users = sorted(_find_maps_of(removed, configuration))
    return [_Problem("name", _Rule.STILL_REFERENCED, user) for user in users]


def _check_name(field: str, name: str) -> Iterator[_Problem]:
    """Checks a name; letters of any language are allowed, in NFC form."""
    if not name:
        yield _Problem(field, _Rule.EMPTY)
    if len(name) > MAX_NAME_CHARACTERS:
        yield _Problem(field, _Rule.TOO_LONG, str(MAX_NAME_CHARACTERS))
    # Without normalization, two different names could look the same.
    if unicodedata.normalize("NFC", name) != name:
        yield _Problem(field, _Rule.NOT_NFC, name)
    bad = [letter for letter in name if not _is_allowed(letter)]
    if bad or name != name.strip():
        yield _Problem(field, _Rule.CHARACTER, ascii("".join(bad) or name))


def _is_allowed(letter: str) -> bool:
    return letter != "/" and not unicodedata.category(letter).startswith("C")


def _check_names(
    field: str, names: Iterable[str], *, may_be_empty: bool = False
) -> Iterator[_Problem]:
    """Checks a list of names without duplicates."""
    seen: set[str] = set()
    for number, name in enumerate(names):
        path = f"{field}[{number}]"
        yield from _check_name(path, name)
        if name in seen:
            yield _Problem(path, _Rule.DUPLICATE, name)
        seen.add(name)
    if not seen and not may_be_empty:
        yield _Problem(field, _Rule.EMPTY)


def _check_references(
    field: str, names: Iterable[str], declared: Iterable[str]
) -> Iterator[_Problem]:
    """Checks that the referenced resources exist."""
    declared_names = set(declared)
    for number, name in enumerate(names):
        if name not in declared_names:
            path = f"{field}[{number}]"
            yield _Problem(path, _Rule.UNKNOWN_REFERENCE, name)


def _check_bounds(
    field: str, value: float, low: float, high: float
) -> Iterator[_Problem]:
    if not (math.isfinite(value) and low <= value <= high):
        yield _Problem(field, _Rule.BOUNDS, f"{low:g} … {high:g}")


def _check_service(service: resources.Service) -> Iterator[_Problem]:
    yield from _check_names("indexes", service.indexes)
    yield from _check_names("shards", service.shards, may_be_empty=True)


def _check_caller(
    caller: resources.Caller, configuration: resources.Configuration
) -> Iterator[_Problem]:
    if not re.fullmatch(r"[0-9a-f]{64}", caller.token_sha256):
        yield _Problem("token_sha256", _Rule.TOKEN_HASH)
    for other in configuration.get_callers().values():
        same = other.token_sha256 == caller.token_sha256
        if same and other.name != caller.name:
            yield _Problem("token_sha256", _Rule.DUPLICATE, other.name)
    yield from _check_names("services", caller.services)
    yield from _check_references(
        "services", caller.services, configuration.get_services()
    )
    yield from _check_bounds("weight", caller.weight, 1e-6, MAX_WEIGHT)


def _check_server(
    server: resources.BackendServer, configuration: resources.Configuration
) -> Iterator[_Problem]:
    if server.service not in configuration.get_services():
        yield _Problem("service", _Rule.UNKNOWN_REFERENCE, server.service)
    if server.zone not in configuration.get_zones():
        yield _Problem("zone", _Rule.UNKNOWN_REFERENCE, server.zone)
    if not server.searchers:
        yield _Problem("searchers", _Rule.EMPTY)
    servers = configuration.get_backend_servers()
    others = [
        searcher
        for other in servers.values()
        if other.name != server.name
        for searcher in other.searchers
    ]
    names = {searcher.name for searcher in others}
    addresses = {searcher.address for searcher in others}
    for number, searcher in enumerate(server.searchers):
        field = f"searchers[{number}]"
        yield from _check_searcher(field, searcher)
        if searcher.name in names:
            yield _Problem(f"{field}.name", _Rule.DUPLICATE, searcher.name)
        if searcher.address in addresses:
            yield _Problem(
                f"{field}.address", _Rule.DUPLICATE, searcher.address
            )
        names.add(searcher.name)
        addresses.add(searcher.address)
    before = servers.get(server.name)
    if before is not None:
        removed = {searcher.name for searcher in before.searchers}
        removed -= {searcher.name for searcher in server.searchers}
        for user in sorted(_find_maps_of(removed, configuration)):
            yield _Problem("searchers", _Rule.STILL_REFERENCED, user)


def _check_searcher(
    field: str, searcher: resources.Searcher
) -> Iterator[_Problem]:
    yield from _check_name(f"{field}.name", searcher.name)
    if not settings.is_address(searcher.address):
        yield _Problem(f"{field}.address", _Rule.ADDRESS, searcher.address)
    yield from _check_bounds(f"{field}.slots", searcher.slots, 1, MAX_SLOTS)
    yield from _check_bounds(
        f"{field}.connections", searcher.connections, 2, MAX_SLOTS
    )
    yield from _check_bounds(
        f"{field}.cold_limit", searcher.cold_limit, 1, max(1, searcher.slots)
    )


def _check_map(
    shard_map: resources.ShardMap, configuration: resources.Configuration
) -> Iterator[_Problem]:
    expected = f"{shard_map.index}.{shard_map.version}"
    yield from _check_name("index", shard_map.index)
    yield from _check_bounds("version", shard_map.version, 1, 2**53)
    if shard_map.name != expected:
        yield _Problem("name", _Rule.MAP_NAME, expected)
    yield from _check_names(
        "shards", (shard.name for shard in shard_map.shards)
    )
    yield from _check_ranges(shard_map.shards)
    searchers = {
        searcher.name
        for server in configuration.get_backend_servers().values()
        for searcher in server.searchers
    }
    for number, shard in enumerate(shard_map.shards):
        field = f"shards[{number}].searchers"
        yield from _check_names(field, shard.searchers)
        yield from _check_references(field, shard.searchers, searchers)


def _check_ranges(
    shards: tuple[resources.Shard, ...],
) -> Iterator[_Problem]:
    """Checks that the key ranges are contiguous and do not overlap."""
    for number, shard in enumerate(shards):
        field = f"shards[{number}]"
        if shard.low >= shard.high:
            yield _Problem(f"{field}.high", _Rule.RANGE_EMPTY, str(shard.high))
        if shard.size < 0:
            yield _Problem(f"{field}.size", _Rule.BOUNDS, "0 …")
        end = shards[number - 1].high if number else shard.low
        if shard.low > end:
            yield _Problem(f"{field}.low", _Rule.RANGE_GAP, str(end))
        if shard.low < end:
            yield _Problem(f"{field}.low", _Rule.RANGE_OVERLAP, str(end))
    if shards and not any(shard.size for shard in shards):
        yield _Problem("shards", _Rule.BOUNDS, "size: 1 …")


def _check_policy(policy: resources.Policy) -> Iterator[_Problem]:
    if policy.name != "default":
        yield _Problem("name", _Rule.POLICY_NAME, "default")
    yield from _check_bounds("hedge_budget", policy.hedge_budget, 0, 1)
    yield from _check_bounds("retry_budget", policy.retry_budget, 0, 1)
    yield from _check_bounds("queue_limit", policy.queue_limit, 1, 100_000)
    yield from _check_bounds("queue_ms", policy.queue_ms, 1, 600_000)
    yield from _check_bounds("quarantine_s", policy.quarantine_s, 1, 604_800)


def _find_maps_of(
    searchers: set[str], configuration: resources.Configuration
) -> Iterator[str]:
    """Finds the shard maps that refer to any of the searchers."""
    for shard_map in configuration.get_shard_maps().values():
        named = {name for shard in shard_map.shards for name in shard.searchers}
        if named & searchers:
            yield f"shard_map/{shard_map.name}"
