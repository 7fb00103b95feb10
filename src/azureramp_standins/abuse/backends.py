"""Runs the store and the searchers of a deployment in a process of their own.

    python -m azureramp_standins.abuse.backends STORE LIMITS ADDRESS...

It writes the configuration and the searchers' entries, and prints a line once
all of them listen. For each line that it reads from its standard input it
prints a JSON array: the ids of the requests that searchers got since the last.
"""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import msgspec

from azureramp_standins.abuse import clients
from azureramp_standins.fleet import deployment, searcher, store

SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
SERVICES = ("plain", "large", *SHARDS)
SEARCHERS_PER_SERVICE = 2
SLOTS = 8

ANSWER_BYTES = 2_000_000
"""Size of the answers on the route `/large/`, in bytes."""


async def run(
    store_address: str, limits: dict[str, int], addresses: list[str]
) -> None:
    """Serves until the standard input ends.

    Args:
        store_address: The `IP:port` of the store.
        limits: The limits of the configuration that differ from usual.
        addresses: The `IP:port` of each searcher.
    """
    run_store = store.Store(store_address)
    await run_store.start()
    searchers: list[searcher.Searcher] = []
    for number, address in enumerate(addresses):
        service = SERVICES[number // SEARCHERS_PER_SERVICE]
        name = f"{service}:{number}"
        each = searcher.Searcher(name, service, address, "zone-0")
        size = ANSWER_BYTES if service == "large" else 64
        each.script = searcher.Reaction(body=b"y" * size).always
        await each.start()
        run_store.put(f"servers/{name}", each.make_entry(Slots=SLOTS))
        searchers.append(each)
    run_store.put("op/config", make_configuration(limits))
    sys.stdout.write("started\n")
    sys.stdout.flush()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while await reader.readline():
        names = [request.id for each in searchers for request in each.requests]
        for each in searchers:
            each.requests.clear()
        sys.stdout.write(msgspec.json.encode(names).decode() + "\n")
        sys.stdout.flush()


def make_configuration(limits: dict[str, int]) -> dict[str, Any]:
    """Makes the configuration of the deployment.

    Args:
        limits: The limits that differ from usual.
    """
    common = {
        "Hostname": deployment.HOST,
        "RouteType": "idempotent",
        "TimeoutMs": clients.DEADLINE_MS,
        "TargetLatencyMs": 150,
        "Priority": 1,
        "Attempts": 2,
    }
    routes: list[dict[str, Any]] = [
        {"Prefix": "/one/", "Backend": "plain"},
        {
            "Prefix": "/once/",
            "Backend": "plain",
            "RouteType": "non_idempotent",
        },
        {"Prefix": "/large/", "Backend": "large"},
        {
            "Prefix": "/all/",
            "FanoutServices": list(SHARDS),
            "TopK": 8,
            "MinShardShare": 0.75,
        },
    ]
    return {
        "Version": 1,
        "Routes": [
            common | {"Name": f"route{route['Prefix']}"} | route
            for route in routes
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 64,
                "ColdStartS": 0.0,
                "ColdPerS": 0.0,
            }
            for name in SERVICES
        ],
        "Limits": {
            "MaxHeaderBytes": clients.HEADER_BYTES,
            "MaxBodyBytes": clients.BODY_BYTES,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        }
        | limits,
    }


def main() -> None:
    """Runs the processes that the arguments describe."""
    limits = msgspec.json.decode(sys.argv[2], type=dict[str, int])
    asyncio.run(run(sys.argv[1], limits, sys.argv[3:]))


if __name__ == "__main__":
    main()
