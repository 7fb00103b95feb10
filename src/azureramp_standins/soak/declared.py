"""The operators' settings in a run: services, routes and bounds."""

from __future__ import annotations

import hashlib
from typing import Any

from azureramp_standins.fleet import deployment

SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
MIN_SHARD_SHARE = 0.75
MAX_RECORDS = 8
PLAIN_SERVICE = "plain"
MAX_VERSIONS = 6
"""Number of configuration versions. Each points the `/move/` route to a service
of its own, so that an answer shows the version in force."""

SERVICES = (
    *SHARDS,
    PLAIN_SERVICE,
    *(f"move-{number}" for number in range(MAX_VERSIONS)),
)

SEARCHERS_PER_SERVICE = 2
ATTEMPTS = 2
TIMEOUT_MS = 1500
TARGET_LATENCY_MS = 150

RETRY_BUDGET_RATIO = 0.02
RETRY_BUDGET_SLACK = 16
BUDGET_WINDOW_S = 10.0
COLD_PER_S = 4.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
COLD_START_S = 3.0
GRACE_S = 5.0
"""The bounds that operators set; see the daemon's settings."""

ACCOUNT_PER_S = 60.0
ACCOUNT_BURST = 20.0
"""The limited account's requests per second, and those beyond at once."""

ACCOUNT_WINDOW_S = 2.0
ACCOUNT_OVERAGE = 0.1
ACCOUNT_SLACK = 10.0
"""How far the limit may be exceeded in any window of this length."""

CONFIGURATION_BOUND_S = 3.0
"""Longest time until a written configuration is in force, in seconds."""

DRAIN_BOUND_S = 3.0
EVACUATION_BOUND_S = 5.0
"""Longest time until a draining searcher or an evacuated zone gets no more
calls, in seconds. It is added to the drawn duration of the fault."""


def make_records(service: str, name: str) -> bytes:
    """Returns a shard's records for a request, equal on all replicas."""
    seed = hashlib.blake2b(f"{service}/{name}".encode(), digest_size=48)
    return seed.digest()


def make_configuration(
    version: int,
    service: str,
    accounts: list[dict[str, Any]] | None,
    further_routes: int = 0,
) -> dict[str, Any]:
    """Makes a version of the configuration.

    Args:
        version: The version number.
        service: The target service of the `/move/` route.
        accounts: The client accounts' entries; None for a configuration
            without accounts.
        further_routes: The number of routes that no caller uses.
    """
    routes: list[dict[str, Any]] = [
        {
            "Prefix": "/all/",
            "FanoutServices": list(SHARDS),
            "TopK": MAX_RECORDS,
            "MinShardShare": MIN_SHARD_SHARE,
        },
        {"Prefix": "/one/", "Backend": PLAIN_SERVICE},
        {
            "Prefix": "/once/",
            "Backend": PLAIN_SERVICE,
            "RouteType": "non_idempotent",
        },
        {"Prefix": "/move/", "Backend": service},
    ]
    extra: dict[str, Any] = {}
    if accounts is not None:
        open_route = {
            "Prefix": "/open/",
            "Backend": PLAIN_SERVICE,
            "Public": True,
        }
        routes.append(open_route)
        extra["Tenants"] = accounts
    routes += [
        {"Prefix": f"/further-{number}/", "Backend": PLAIN_SERVICE}
        for number in range(further_routes)
    ]
    common = {
        "Hostname": deployment.HOST,
        "RouteType": "idempotent",
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": TARGET_LATENCY_MS,
        "Priority": 1,
        "Attempts": ATTEMPTS,
    }
    return {
        "Version": version,
        "Routes": [
            common | {"Name": f"route{route['Prefix']}"} | route
            for route in routes
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 64,
                "ColdStartS": COLD_START_S,
                "ColdPerS": COLD_PER_S,
            }
            for name in SERVICES
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    } | extra
