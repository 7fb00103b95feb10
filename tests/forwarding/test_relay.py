"""Tests of receiving changes from another VM instead of the store."""

from __future__ import annotations

import asyncio
import random

import pytest

from azureramp.platform import store
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes

VMS = 6


async def settle_sources(scene: deployment.Deployment) -> str:
    """Checks that one VM per zone watches the store; returns zone-0's."""
    await deployment.wait_for_updates(3.0)
    watching = {
        program.board.identity.zone: vm
        for vm, program in scene.daemons.items()
        if program.board.reads_from_store
    }
    following = [
        vm
        for vm, program in scene.daemons.items()
        if not program.board.reads_from_store
    ]
    assert len(following) == VMS - 2
    assert sorted(watching) == ["zone-0", "zone-1"]
    return watching["zone-0"]


async def check_change(scene: deployment.Deployment, within_s: float) -> None:
    """Checks that a change is in force on all running VMs within a time."""
    scene.configuration["Version"] += 1
    expected = scene.configuration["Version"]
    scene.store.put("op/config", scene.configuration)
    await deployment.wait_for_updates(within_s)
    for vm, program in scene.daemons.items():
        configuration = program.board.configuration
        assert configuration is not None
        assert configuration.version == expected, vm


def test_one_vm_per_zone_watches_and_all_vms_receive_a_change() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        await settle_sources(scene)
        before = scene.store.call_counts["/kv-watch"]
        await check_change(scene, 0.6)
        assert scene.store.call_counts["/kv-watch"] - before <= 4

    scenes.run(scenario, vms=VMS)


def test_a_killed_relay_is_replaced_in_time() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        relay = await settle_sources(scene)
        await scene.daemons.pop(relay).abort()
        await check_change(scene, 2.0)

    scenes.run(scenario, vms=VMS)


def test_a_relay_without_the_store_is_abandoned_in_time() -> None:
    """Guards against a zone that misses a change if its relay loses the store.

    The relay continues to answer the other VMs of its zone but receives no
    changes. The other VMs detect by the age in its responses that the store
    has not answered it for too long, and watch the store themselves.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        relay = await settle_sources(scene)
        isolated = scene.daemons.pop(relay)
        unreachable = store.PlatformStore("127.0.0.1:1")
        await isolated._store.close()
        isolated._feed._store = isolated._members._store = unreachable
        isolated._roster._store = unreachable
        await check_change(scene, 2.9)
        await isolated.abort()

    scenes.run(scenario, vms=VMS)


@pytest.mark.parametrize("seed", range(8))
def test_a_hanging_relay_is_abandoned_in_time(seed: int) -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        relay = await settle_sources(scene)
        hanging = scene.daemons.pop(relay)

        async def hang(request: object) -> None:
            await asyncio.sleep(3600)

        for server in hanging._servers:
            server._handler = hang  # type: ignore[assignment]
        await asyncio.sleep(1.0)
        await check_change(scene, 2.0)
        await hanging.abort()

    scenes.run(scenario, vms=VMS, seed=seed)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_all_vms_receive_a_change_after_an_outage(fault: str) -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        await settle_sources(scene)
        setattr(scene.store.faults, fault, True)
        await deployment.wait_for_updates(8.0)
        setattr(scene.store.faults, fault, False)
        await check_change(scene, 3.0)

    scenes.run(scenario, vms=VMS)


def test_followers_do_not_read_the_store_when_their_relay_reads_anew() -> None:
    """Guards against a zone that reads the store all at once after a burst."""

    async def scenario(scene: deployment.Deployment) -> None:
        relay = await settle_sources(scene)
        followers = [
            program
            for vm, program in scene.daemons.items()
            if vm != relay and program.board.identity.zone == "zone-0"
        ]
        scene.store.faults.watch_status = 400
        for number in range(30):
            scene.write_configuration()
            if number == 15:
                scene.store.remove("servers/shard-a-0")
            await asyncio.sleep(0.2)
            assert not any(each.board.reads_from_store for each in followers)
        await check_change(scene, 3.0)
        for each in followers:
            assert each._relay.copy.get_revision("servers/shard-a-0") == 0

    scenes.run(scenario, vms=VMS)


def put_large_entries(scene: deployment.Deployment) -> list[str]:
    """Writes entries that exceed a response's limit; returns their keys."""
    rng = random.Random(1)
    keys = [f"other/{number}" for number in range(6)]
    for key in keys:
        scene.store.put(key, rng.randbytes(900_000))
    return keys


def test_followers_receive_more_changes_than_one_response_holds() -> None:
    """Guards against a request repeated although its answer is too large."""

    async def scenario(scene: deployment.Deployment) -> None:
        await settle_sources(scene)
        keys = put_large_entries(scene)
        following = [
            program
            for program in scene.daemons.values()
            if not program.board.reads_from_store
        ]
        for _ in range(30):
            await asyncio.sleep(0.1)
            assert not any(each.board.reads_from_store for each in following)
        for each in following:
            copied = each._relay.copy
            assert all(copied.get_revision(key) for key in keys)

    scenes.run(scenario, vms=VMS)


def test_vm_that_starts_in_an_outage_copies_many_entries() -> None:
    """Guards against a VM that never gets a copy since it is too large."""

    async def scenario(scene: deployment.Deployment) -> None:
        put_large_entries(scene)
        await settle_sources(scene)
        scene.store.faults.busy = True
        started = await scene.add_vm("vm-new", first_start=False)
        await deployment.wait_for_updates(3.0)
        assert started.board.configuration is not None

    scenes.run(scenario, vms=VMS)
