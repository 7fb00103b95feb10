"""Shows that a burst of large configurations stops a machine's updates.

The operator writes versions of a large configuration in quick succession. The
last one moves a route, adds one and drops one. Without the trouble, it writes
only that last version. Later than the bound, clients ask each machine for
these routes. In the second part, the configuration is smaller, and one machine
is cut off from the store during the burst.
"""

from __future__ import annotations

import asyncio
import dataclasses
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
"""The zones of the machines; the last one is alone in its zone, as the machine
of glas-b is in the small deployment."""

GAP_S = 0.08
"""Time between two versions of a burst, in seconds."""

FIRST_VERSION = 7

CONTACT_S = 4.0

APPLY_S = 3.0
"""The bounds `ContactMs` and `ConfigApplyMs`, in seconds."""

PROBE_S = 24.0
"""How long clients send requests after the last version, in seconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Part:
    """One part of the case.

    Attributes:
        name: Its name in the record.
        grown_routes: Number of further routes of the configuration, all to
            many shards.
        versions: Number of versions in the burst.
        cut_s: How long the last machine is cut off from the store from half a
            second before the burst on, in seconds; 0 if it isn't.
    """

    name: str
    grown_routes: int
    versions: int
    cut_s: float


PARTS = (
    Part("a burst alone", 1932, 12, 0.0),
    Part("a burst while one machine is cut off", 350, 25, 5.5),
)


def make_grown_routes(count: int) -> list[dict[str, Any]]:
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
        for number in range(count)
    ]


def make_version(part: Part, version: int, is_last: bool) -> bytes:
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
        routes + make_grown_routes(part.grown_routes),
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


async def write_versions(
    platform: store.Store, part: Part, trouble: bool, record: case.Record
) -> None:
    """Writes the versions of the burst, or only the last one."""
    loop = asyncio.get_running_loop()
    versions = [
        make_version(part, FIRST_VERSION + 3 * number, number == part.versions)
        for number in range(1, part.versions + 1)
    ]
    began_s = loop.time()
    for number, body in enumerate(versions if trouble else versions[-1:]):
        await asyncio.sleep(max(0.0, began_s + number * GAP_S - loop.time()))
        platform.put("op/config", body)
        record.write(f"a version of {len(body)} bytes is acknowledged")
    record.write("this was the last version")


async def cut_off(
    platform: store.Store, address: str, for_s: float, record: case.Record
) -> float:
    """Cuts one machine off from the store; returns when the cut ended."""
    platform.cut([address])
    record.write("the last machine is cut off from the store")
    await asyncio.sleep(for_s)
    platform.heal([address])
    record.write("the last machine reaches the store again")
    return asyncio.get_running_loop().time()


async def play(trouble: bool, record: case.Record) -> bool:
    """Plays the case."""
    held = True
    for part in PARTS:
        record.write(f"part: {part.name}")
        held &= await play_part(part, trouble, record)
    return held


async def play_part(part: Part, trouble: bool, record: case.Record) -> bool:
    """Plays one part."""
    loop = asyncio.get_running_loop()
    ports = deployment.find_ports("127.0.0.1", len(ZONES) + 1)
    platform = store.Store([f"127.0.0.1:{port}" for port in ports])
    await platform.start()
    platform.put("op/config", make_version(part, FIRST_VERSION, False))
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
    machines = deployment.Deployment(platform.addresses, ZONES, ZONES[:1])
    last = machines.frontends[-1]
    in_touch_s = dict.fromkeys(machines.frontends, 0.0)
    try:
        await machines.start()
        await asyncio.sleep(CONTACT_S + 1.0)
        cut: asyncio.Task[float] | None = None
        if trouble and part.cut_s:
            address = platform.addresses[len(ZONES) - 1]
            cut = asyncio.create_task(
                cut_off(platform, address, part.cut_s, record)
            )
            await asyncio.sleep(0.5)
        await write_versions(platform, part, trouble, record)
        acknowledged_s = loop.time()
        if cut is not None:
            in_touch_s[last] = await cut + CONTACT_S
        played = await asyncio.gather(
            *(
                probe(machine, acknowledged_s + PROBE_S)
                for machine in machines.frontends
            )
        )
    finally:
        await machines.stop()
        await platform.stop()
        for each in searchers:
            each.crash()
    for machine in machines.frontends:
        lines = machine.count_log_lines("the response body is too large")
        record.write(f"{machine.name} logged {lines} times: body is too large")
    machines.clean_up()
    runs = {run.request_id: run for each in searchers for run in each.runs}
    broken = 0
    for machine, outcomes in zip(machines.frontends, played, strict=True):
        broken += judge(
            machine.name,
            outcomes,
            runs,
            acknowledged_s,
            in_touch_s[machine],
            record,
        )
    record.write(f"{broken} requests handled as only an older version allows")
    return broken == 0


def judge(
    name: str,
    outcomes: list[client.Outcome],
    runs: dict[str, searcher.Run],
    acknowledged_s: float,
    in_touch_s: float,
    record: case.Record,
) -> int:
    """Writes what one machine did; returns how many requests broke the rule."""
    broken = 0
    for outcome in outcomes:
        run = runs.get(outcome.request_id)
        after_s = outcome.sent_s - acknowledged_s
        is_broken = (
            after_s > APPLY_S
            and outcome.sent_s > in_touch_s
            and is_handled_by_older(outcome, run)
        )
        broken += is_broken
        record.write(
            f"{outcome.request_id} {outcome.target} to {name},"
            f" {after_s:.2f} s after the acknowledgement: run by"
            f" {run.service if run else 'none'}, status {outcome.status}"
            f"{' OLDER VERSION' if is_broken else ''}"
        )
    return broken


if __name__ == "__main__":
    case.main(pathlib.Path(__file__).parent, play)
