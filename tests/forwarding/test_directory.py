"""Tests of the directory process, which only advertises VMs to callers."""

from __future__ import annotations

import dataclasses

import msgspec

from azureramp.platform import program
from azureramp.ports.web import pool
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes

VMS = 4
ADDRESS = "127.0.0.1:39002"


async def start_directory() -> program.Program:
    """Starts a directory as the second process of a VM."""
    settings = deployment.make_settings("vm-0/directory", "zone-0", 39000)
    identity = dataclasses.replace(
        settings.identity,
        caller_address="",
        peer_address="",
        serves_callers=False,
    )
    settings = msgspec.structs.replace(
        settings, identity=identity, front_address="", ready_address=""
    )
    started = program.Program(settings, seed=0)
    await started.start()
    return started


async def look_up() -> list[str] | None:
    """Returns the advertised addresses; None if the response is an error."""
    directory = pool.Pool(ADDRESS)
    target = f"/resolve?Name={deployment.HOST}&Region=r&Zone=zone-0"
    result = await directory.exchange("GET", target)
    directory.close()
    if result.ok.status != 200:
        return None
    return sorted(msgspec.json.decode(result.ok.body)["addrs"])


def test_it_returns_the_advertised_vms_but_not_itself() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        directory = await start_directory()
        await deployment.wait_for_updates(4.0)
        assert await look_up() == sorted(map(scene.get_address, scene.daemons))
        for each in (*scene.daemons.values(), directory):
            assert sorted(each.board.members) == sorted(scene.daemons)
        assert not any(
            target.pool.count_open()
            for target in directory.board.targets.values()
        )
        assert await directory.stop() == 0

    scenes.run(scenario, vms=VMS)


def test_it_returns_no_address_without_vms() -> None:
    """Guards against a response with a port on which no process listens."""

    async def scenario(scene: deployment.Deployment) -> None:
        directory = await start_directory()
        await deployment.wait_for_updates(2.0)
        assert await look_up() is None
        await directory.abort()

    scenes.run(scenario, vms=0)


def test_a_killed_vm_is_soon_removed() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        directory = await start_directory()
        await deployment.wait_for_updates(4.0)
        await scene.daemons.pop("vm-1").abort()
        await deployment.wait_for_updates(5.0)
        assert await look_up() == sorted(map(scene.get_address, scene.daemons))
        await directory.abort()

    scenes.run(scenario, vms=VMS)
