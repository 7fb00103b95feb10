"""Runs a scenario against a whole deployment in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from azureramp_standins import virtual
from azureramp_standins.fleet import deployment

Scenario = Callable[[deployment.Deployment], Awaitable[None]]

SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
SINGLE_SERVICE = "statements"


def run(
    scenario: Scenario, vms: int = 1, searchers: int = 2, seed: int = 0
) -> None:
    """Runs a scenario.

    The deployment has a route `/all/` to `SHARDS` that requires three shards, a
    route `/one/`, and a route `/once/` whose requests may run only once; the
    last two lead to `SINGLE_SERVICE`.
    """

    async def run_scenario() -> None:
        scene = deployment.Deployment(seed)
        await scene.start()
        for service in (*SHARDS, SINGLE_SERVICE):
            await scene.add_searchers(service, searchers)
        scene.add_route(
            "/all/", FanoutServices=list(SHARDS), TopK=3, MinShardShare=0.75
        )
        scene.add_route("/one/", Backend=SINGLE_SERVICE)
        scene.add_route(
            "/once/", Backend=SINGLE_SERVICE, RouteType="non_idempotent"
        )
        scene.write_configuration()
        for number in range(vms):
            await scene.add_vm(f"vm-{number}", f"zone-{number % 2}")
        await deployment.wait_for_updates()
        try:
            await scenario(scene)
        finally:
            await scene.kill()

    virtual.run(run_scenario())


def get_headers(response: object) -> dict[str, str]:
    """Returns a response's headers, names in lower case."""
    pairs: tuple[tuple[str, str], ...] = getattr(response, "headers", ())
    return {name.lower(): value for name, value in pairs}
