"""Builds configurations like those of the small deployments."""

from __future__ import annotations

from typing import Any

HOST = "pupu76.example"

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 262144,
    "HeaderTimeoutMs": 3000,
    "IdleTimeoutMs": 15000,
}


def make_route(prefix: str, **fields: Any) -> dict[str, Any]:
    """Returns a route to one searcher of a service.

    Args:
        prefix: Its path prefix.
        **fields: Fields that replace or extend the defaults.
    """
    return {
        "Name": f"r-{prefix.strip('/').replace('/', '-')}",
        "Hostname": HOST,
        "Prefix": prefix,
        "RouteType": "idempotent",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 346,
        "Priority": 2,
        "Attempts": 2,
    } | fields


def make_service(name: str, connections: int = 110) -> dict[str, Any]:
    """Returns a service."""
    return {
        "Name": name,
        "HealthPath": "/health",
        "MaxConnections": connections,
        "ColdStartS": 3.0,
        "ColdPerS": 10.0,
        "Protocol": "h1",
        "Tls": False,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[str],
    limits: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Returns a configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": [make_service(name) for name in services],
        "Limits": limits or LIMITS,
    }
