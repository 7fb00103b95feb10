"""Tests of large configurations that are written in quick succession."""

from __future__ import annotations

import asyncio

import logbook
import pytest

from azureramp.controllers.forwarding import feed
from azureramp.platform import store as platform_store
from azureramp_standins.fleet import deployment
from tests.forwarding import departures, scenes

MAX_APPLY_S = 3.0
"""Time within which a version is in force on all VMs, in seconds."""

LARGE_ROUTES = 1932
SMALL_ROUTES = 350
GAP_S = 0.08
"""Time between two versions of a burst, in seconds."""


def add_routes(scene: deployment.Deployment, count: int) -> None:
    """Adds routes of some 500 bytes each to the configuration."""
    for number in range(count):
        scene.add_route(
            f"/grown{number}/",
            FanoutServices=[*scenes.SHARDS] * 5,
            TopK=20,
            MinShardShare=0.89,
        )


async def write_burst(scene: deployment.Deployment, versions: int) -> None:
    for _ in range(versions):
        await asyncio.sleep(GAP_S)
        scene.write_configuration()


def check_in_force(scene: deployment.Deployment) -> None:
    """Checks that the newest version is in force on all VMs."""
    expected = scene.configuration["Version"]
    for vm, program in scene.daemons.items():
        assert program.board.configuration is not None, vm
        assert program.board.configuration.version == expected, vm


@pytest.mark.parametrize("vms", [1, 4])
def test_last_version_of_a_burst_is_in_force_in_time(vms: int) -> None:
    """Guards against a watch repeated although its answer is too large."""

    async def scenario(scene: deployment.Deployment) -> None:
        add_routes(scene, LARGE_ROUTES)
        await write_burst(scene, 12)
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)

    scenes.run(scenario, vms=vms)


def test_version_is_in_force_in_time_after_an_outage_with_a_burst() -> None:
    """Guards against a VM that returns to too many changes and stays behind."""

    async def scenario(scene: deployment.Deployment) -> None:
        add_routes(scene, SMALL_ROUTES)
        scene.store.faults.busy = True
        await write_burst(scene, 25)
        await asyncio.sleep(3.0)
        scene.store.faults.busy = False
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)

    scenes.run(scenario)


@pytest.mark.parametrize("status", [200, 400, 500])
def test_changes_are_received_while_watches_get_unusable_answers(
    status: int,
) -> None:
    """Guards against a watch repeated although its answer can't be used."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.watch_status = status
        await deployment.wait_for_updates(2.0)
        scene.write_configuration()
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)
        assert scene.daemons["vm-0"].board.contact.reachable
        calls = scene.store.call_counts
        before = calls["/kv-watch"]
        await deployment.wait_for_updates(10.0)
        assert calls["/kv-watch"] - before <= 10.0 / feed.WATCH_PAUSE_S

    scenes.run(scenario)


def test_store_client_names_the_size_of_an_answer_that_is_too_large() -> None:
    """Guards against logs that call a large answer an unreachable store."""

    async def scenario(scene: deployment.Deployment) -> None:
        client = platform_store.PlatformStore(deployment.STORE_ADDRESS)
        for _ in range(6):
            scene.store.put("k", b"x" * 1_000_000)
        result = await client.watch("k", 0, 1.0)
        assert result.error.kind.value == "store_answer_unusable"
        assert "8000" in result.error.detail
        await client.close()

    scenes.run(scenario)


def test_last_version_is_in_force_in_time_over_a_narrow_link() -> None:
    """Guards against a watch repeated although its answer takes too long."""

    async def scenario(scene: deployment.Deployment) -> None:
        add_routes(scene, LARGE_ROUTES)
        await write_burst(scene, 4)
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)

    scenes.run(scenario, store_link_fault="narrow")


def test_start_over_a_narrow_link_reads_a_large_configuration() -> None:
    """Guards against a page repeated although its answer takes too long."""

    async def scenario(scene: deployment.Deployment) -> None:
        add_routes(scene, LARGE_ROUTES)
        scene.store.put("servers/other", b"x" * 500_000)
        scene.write_configuration()
        await scene.add_vm("vm-1", "zone-2", first_start=False)
        await deployment.wait_for_updates(5.0)
        check_in_force(scene)

    scenes.run(scenario, store_link_fault="narrow")


def test_transfer_of_changes_is_not_cancelled_by_other_failed_calls() -> None:
    """Guards against a large answer that other failed calls always cut off."""

    async def scenario(scene: deployment.Deployment) -> None:
        add_routes(scene, LARGE_ROUTES)
        scene.write_configuration()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_APPLY_S
        while loop.time() < until_s:
            departures.fail_call(scene, "vm-0")
            await asyncio.sleep(0.01)
            scene.daemons["vm-0"]._feed._contact.record_success()
            await asyncio.sleep(0.3)
        check_in_force(scene)

    scenes.run(scenario, store_link_fault="narrow")


def test_changes_are_received_beside_an_entry_that_is_not_base64() -> None:
    """Guards against an answer rejected whole for one of its entries."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.raw_values = True
        scene.store.put("servers/raw-0", b"?")
        scene.write_configuration()
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)
        assert not any("raw-0" in each for each in list_searchers(scene))

    scenes.run(scenario)


def list_searchers(scene: deployment.Deployment) -> list[str]:
    """Returns the ids of the searchers that a VM knows."""
    return list(scene.daemons["vm-0"].board.targets)


def test_changes_are_received_while_watches_get_no_answer() -> None:
    """Guards against a watch repeated although its answer never begins."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.silent_watches = True
        await deployment.wait_for_updates(2.0)
        scene.write_configuration()
        await deployment.wait_for_updates(MAX_APPLY_S)
        check_in_force(scene)

    scenes.run(scenario)


def test_unusable_answer_is_logged_with_its_revision_and_size() -> None:
    """Guards against logs that call a large answer an unreachable store."""
    with logbook.TestHandler() as handler:

        async def scenario(scene: deployment.Deployment) -> None:
            add_routes(scene, LARGE_ROUTES)
            await write_burst(scene, 8)
            await deployment.wait_for_updates(MAX_APPLY_S)

        scenes.run(scenario)
    lines = [
        record.message
        for record in handler.records
        if "can't use the store's answer" in record.message
    ]
    assert lines
    assert all("after revision" in line for line in lines)
    assert all("bytes or more" in line for line in lines)
    messages = [record.message for record in handler.records]
    assert not any("the store is unreachable" in each for each in messages)
