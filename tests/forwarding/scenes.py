"""Runs a scenario against a whole deployment in virtual time."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from azureramp_standins import virtual
from azureramp_standins.fleet import deployment
from azureramp_standins.soak import proxy

Scenario = Callable[[deployment.Deployment], Awaitable[None]]

SHARDS = ("shard-a", "shard-b", "shard-c", "shard-d")
SINGLE_SERVICE = "statements"


STORE_LINK_ADDRESS = "127.0.0.1:7001"


def run(
    scenario: Scenario,
    vms: int = 1,
    searchers: int = 2,
    seed: int = 0,
    store_link_fault: str = "",
) -> None:
    """Runs a scenario.

    The deployment has a route `/all/` to `SHARDS` that requires three shards, a
    route `/one/`, and a route `/once/` whose requests may run only once; the
    last two lead to `SINGLE_SERVICE`. With `store_link_fault`, the VMs reach
    the store over one link that has this fault from the start.
    """

    async def run_scenario() -> None:
        scene = deployment.Deployment(seed)
        link: proxy.Proxy | None = None
        if store_link_fault:
            scene = deployment.Deployment(seed, STORE_LINK_ADDRESS)
            link = proxy.Proxy(STORE_LINK_ADDRESS, deployment.STORE_ADDRESS)
            await link.start()
            link.inject(store_link_fault)
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
            if link is not None:
                await link.stop()
            await scene.kill()

    virtual.run(run_scenario())


def get_headers(response: object) -> dict[str, str]:
    """Returns a response's headers, names in lower case."""
    pairs: tuple[tuple[str, str], ...] = getattr(response, "headers", ())
    return {name.lower(): value for name, value in pairs}
