"""Tests of the advertisement of VMs to callers, and of a VM's shutdown."""

from __future__ import annotations

import asyncio

import msgspec

from azureramp.ports.web import pool
from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


async def resolve(scene: deployment.Deployment, vm: str) -> list[str]:
    host, _, port = scene.get_address(vm).rpartition(":")
    directory = pool.Pool(f"{host}:{int(port) + 2}")
    target = f"/resolve?Name={deployment.HOST}&Region=r&Zone=zone-0"
    result = await directory.exchange("GET", target)
    directory.close()
    assert result.is_ok()
    if result.ok.status != 200:
        return []
    body = msgspec.json.decode(result.ok.body)
    assert 0 < body["ttl_s"] <= 5
    return sorted(body["addrs"])


def test_all_ready_vms_are_advertised() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(2.0)
        expected = sorted(scene.get_address(vm) for vm in scene.daemons)
        for vm in scene.daemons:
            assert await resolve(scene, vm) == expected

    scenes.run(scenario, vms=3)


def test_a_killed_vm_is_advertised_for_a_few_seconds_at_most() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(2.0)
        await scene.daemons["vm-1"].abort()
        await deployment.wait_for_updates(5.0)
        assert scene.get_address("vm-1") not in await resolve(scene, "vm-0")

    scenes.run(scenario, vms=2)


def test_vms_stay_advertised_while_the_store_is_unreachable() -> None:
    """Guards against an outage of the store in which no VM is advertised.

    The VMs' entries lapse with their leases although the VMs serve requests.
    The VMs stay advertised until the store has been reachable for a while.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(2.0)
        both = await resolve(scene, "vm-0")
        scene.store.faults.busy = True
        await deployment.wait_for_updates(10.0)
        assert await resolve(scene, "vm-0") == both
        scene.store.faults.busy = False
        for _ in range(8):
            await deployment.wait_for_updates(0.5)
            assert await resolve(scene, "vm-0") == both

    scenes.run(scenario, vms=2)


def test_a_stopping_vm_is_not_advertised_and_finishes_requests() -> None:
    """Guards against requests that are cancelled when a VM is replaced.

    The VM stops being advertised at once, but still serves callers that have
    its address cached. Only then it closes its port, and running requests
    finish before the end of the grace period.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(2.0)
        for index in range(2):
            scene.searchers[f"statements-{index}"].script = lambda seen: (
                searcher.Reaction(delay_s=0.7)
            )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        stopping = asyncio.ensure_future(scene.daemons["vm-1"].stop())
        await asyncio.sleep(0.5)
        assert scene.get_address("vm-1") not in await resolve(scene, "vm-0")
        assert scene.get_address("vm-1") not in await resolve(scene, "vm-1")
        late = await scene.send_request("vm-1", "/one/x")
        assert late.status == 200
        await asyncio.sleep(began_s + 2.2 - loop.time())
        last = await scene.send_request("vm-1", "/once/x", "POST", b"grant")
        assert last.status == 200
        assert await stopping == 0
        assert loop.time() - began_s < 6.0

    scenes.run(scenario, vms=2)
