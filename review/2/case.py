"""Shows that a burst of large configurations stops all machines' updates.

The operator writes 12 versions of a large configuration within a second.
The last one moves a route, adds one and drops one. Without the trouble, it
writes only that last version. Later than the bound, clients ask each machine
for these routes.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
from typing import Any

from review.common import (
    case,
    client,
    configuration,
    deployment,
    searcher,
    store,
)

OLD_SERVICE = "statements"

NEW_SERVICE = "collector-app"

SHARDS = [f"desk{number:02}" for number in range(20)]

ZONES = ["edin-a", "edin-a", "edin-b"]

GROWN_ROUTES = 1932
"""Number of further routes of the configuration, all to many shards."""

VERSIONS = 12

GAP_S = 0.08
"""The burst: this many versions, one each `GAP_S`, in seconds."""

FIRST_VERSION = 7

CONTACT_S = 4.0

APPLY_S = 3.0
"""The bounds `ContactMs` and `ConfigApplyMs`, in seconds."""

PROBE_S = 26.0
"""How long clients send requests after the last version, in seconds."""


def make_grown_routes() -> list[dict[str, Any]]:
    """Returns the further routes."""
    return [
        configuration.make_route(
            f"/grown{number}/",
            FanoutServices=SHARDS,
            TopK=20,
            MinShardShare=0.89,
            TimeoutMs=400,
            TargetLatencyMs=92,
        )
        for number in range(GROWN_ROUTES)
    ]


def make_version(version: int, is_last: bool) -> bytes:
    """Returns an encoded version of the configuration."""
    service = NEW_SERVICE if is_last else OLD_SERVICE
    routes = [
        configuration.make_route("/fetch/", Backend=OLD_SERVICE),
        configuration.make_route("/moved/", Backend=service),
        configuration.make_route(
            "/added/" if is_last else "/dropped/", Backend=OLD_SERVICE
        ),
    ]
    made = configuration.make_configuration(
        version,
        routes + make_grown_routes(),
        [OLD_SERVICE, NEW_SERVICE, *SHARDS],
    )
    return json.dumps(made, separators=(",", ":")).encode()


def is_handled_by_older(
    outcome: client.Outcome, run: searcher.Run | None
) -> bool:
    """Returns True if a request was handled as only an older version allows."""
    if outcome.target == "/added/x":
        return outcome.status == 404
    return run is not None and (
        outcome.target == "/dropped/x" or run.service == OLD_SERVICE
    )


async def probe(
    machine: deployment.Machine, until_s: float
) -> list[client.Outcome]:
    """Sends requests to one machine on the changed routes."""
    loop = asyncio.get_running_loop()
    own = client.Client(machine.front)
    outcomes: list[client.Outcome] = []
    while loop.time() < until_s:
        for name in ("moved", "added", "dropped"):
            request = client.Request("GET", configuration.HOST, f"/{name}/x")
            outcomes.append(await own.send(request))
        await asyncio.sleep(0.5)
    own.close()
    return outcomes


async def play(trouble: bool, record: case.Record) -> bool:
    """Plays the case."""
    loop = asyncio.get_running_loop()
    (port,) = deployment.find_ports("127.0.0.1", 1)
    platform = store.Store(f"127.0.0.1:{port}")
    await platform.start()
    platform.put("op/config", make_version(FIRST_VERSION, False))
    versions = [
        make_version(FIRST_VERSION + 3 * number, number == VERSIONS)
        for number in range(1, VERSIONS + 1)
    ]
    searchers: list[searcher.Searcher] = []
    for service in (OLD_SERVICE, NEW_SERVICE):
        for number in range(2):
            (port,) = deployment.find_ports("127.0.3.1", 1)
            each = searcher.Searcher(
                f"i-{service}-{number}",
                service,
                f"127.0.3.1:{port}",
                ZONES[number],
            )
            await each.start()
            platform.put(f"servers/{each.id}", each.make_entry())
            searchers.append(each)
    machines = deployment.Deployment(platform.address, ZONES, ZONES[:1])
    try:
        await machines.start()
        await asyncio.sleep(CONTACT_S + 1.0)
        written = versions if trouble else versions[-1:]
        began_s = loop.time()
        for number, body in enumerate(written):
            await asyncio.sleep(began_s + number * GAP_S - loop.time())
            platform.put("op/config", body)
            record.write(f"a version of {len(body)} bytes is acknowledged")
        acknowledged_s = loop.time()
        record.write("this was the last version")
        probes = [
            probe(machine, acknowledged_s + PROBE_S)
            for machine in machines.frontends
        ]
        played = await asyncio.gather(*probes)
    finally:
        await machines.stop()
        await platform.stop()
        for each in searchers:
            each.crash()
    record.write(f"calls to the store: {platform.counts}")
    for machine in machines.frontends:
        for reason in ("the response body is too large", "timeout"):
            lines = machine.count_log_lines(reason)
            record.write(f"{machine.name} logged {lines} times: {reason}")
    machines.clean_up()
    runs = {run.request_id: run for each in searchers for run in each.runs}
    broken = 0
    for machine, outcomes in zip(machines.frontends, played, strict=True):
        for outcome in outcomes:
            run = runs.get(outcome.request_id)
            after_s = outcome.sent_s - acknowledged_s
            late = after_s > APPLY_S and is_handled_by_older(outcome, run)
            broken += late
            record.write(
                f"{outcome.request_id} {outcome.target} to {machine.name},"
                f" {after_s:.2f} s after the acknowledgement: run by"
                f" {run.service if run else 'none'}, status {outcome.status}"
                f"{' OLDER VERSION' if late else ''}"
            )
    record.write(f"{broken} requests handled as only an older version allows")
    return broken == 0


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, play)
