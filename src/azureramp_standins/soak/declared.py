"""What the operators of a run declare: services, routes and bounds."""

from __future__ import annotations

import hashlib
from typing import Any

from azureramp_standins.fleet import deployment

SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
LEAST_SHARE = 0.75
MOST_RECORDS = 8
PLAIN = "plain"
MOVES = 6
"""Versions of the configuration, each of which moves a route to a service of
its own, so that an answer shows which version it was given under."""

SERVICES = (*SHARDS, PLAIN, *(f"move-{number}" for number in range(MOVES)))

SEARCHERS_EACH = 2
ATTEMPTS = 2
TIMEOUT_MS = 1500
TARGET_MS = 150

RATIO = 0.02
SLACK = 16
WINDOW_S = 10.0
COLD_PER_S = 4.0
COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
COLD_S = 3.0
GRACE_S = 5.0
"""What the operators bound; see the daemon's settings."""

DRAINED_S = 3.0
EVACUATED_S = 5.0
"""In this time a draining searcher, or a zone taken out, must get nothing
more, in seconds; a fault lasts for as long again as it was drawn to."""


def make_records(service: str, name: str) -> bytes:
    """Returns a shard's records for a request, the same from each replica."""
    seed = hashlib.blake2b(f"{service}/{name}".encode(), digest_size=48)
    return seed.digest()


def make_configuration(version: int, service: str) -> dict[str, Any]:
    """Makes a version of the configuration.

    Args:
        version: Its number.
        service: Where the moving route goes.
    """
    routes: list[dict[str, Any]] = [
        {
            "Prefix": "/all/",
            "FanoutServices": list(SHARDS),
            "TopK": MOST_RECORDS,
            "MinShardShare": LEAST_SHARE,
        },
        {"Prefix": "/one/", "Backend": PLAIN},
        {"Prefix": "/once/", "Backend": PLAIN, "RouteType": "non_idempotent"},
        {"Prefix": "/move/", "Backend": service},
    ]
    common = {
        "Hostname": deployment.HOST,
        "RouteType": "idempotent",
        "TimeoutMs": TIMEOUT_MS,
        "TargetLatencyMs": TARGET_MS,
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
                "ColdStartS": COLD_S,
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
    }
