"""Tests that configurations are applied soon and never revert under faults."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from azureramp_standins.fleet import deployment
from tests.forwarding import scenes


def test_an_added_route_is_served_and_a_removed_one_is_not_found() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.add_route("/one/deep/", Backend="shard-a")
        del scene.configuration["Routes"][2]
        scene.write_configuration()
        await deployment.wait_for_updates()
        assert (await scene.send_request("vm-0", "/one/deep/x")).status == 200
        assert len(scene.searchers["shard-a-0"].requests) == 1
        assert (await scene.send_request("vm-0", "/once/x")).status == 404

    scenes.run(scenario)


def test_an_older_version_is_not_applied() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        old = msgspec.json.decode(msgspec.json.encode(scene.configuration))
        scene.add_route("/new/", Backend=scenes.SINGLE_SERVICE)
        scene.write_configuration()
        await deployment.wait_for_updates()
        scene.store.put("op/config", old)
        await deployment.wait_for_updates()
        assert (await scene.send_request("vm-0", "/new/x")).status == 200

    scenes.run(scenario)


def test_all_entries_are_read_again_after_a_compaction() -> None:
    """Guards against a removal that is missed when the history is compacted.

    The store compacts its history while a searcher's entry is deleted, so the
    watch does not return the deletion. All entries are read again, and missing
    ones are treated as deleted.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(5.0)
        scene.store.faults.silent = True
        scene.store.remove("servers/statements-0")
        scene.add_route("/new/", Backend=scenes.SINGLE_SERVICE)
        scene.write_configuration()
        scene.store.compact()
        scene.store.faults.silent = False
        await deployment.wait_for_updates(15.0)
        assert (await scene.send_request("vm-0", "/new/x")).status == 200
        assert "statements-0" not in scene.daemons["vm-0"].board.targets

    scenes.run(scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_a_vm_without_a_configuration_responds_with_503(
    fault: str,
) -> None:
    """Guards against 404 responses of a VM that has no configuration yet.

    The VM starts while the store is unreachable. Callers do not retry after a
    404, so the VM responds with 503 and `Retry-After` until it has read the
    configuration.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await scene.daemons["vm-0"].abort()
        setattr(scene.store.faults, fault, True)
        await scene.add_vm("late")
        await deployment.wait_for_updates()
        answer = await scene.send_request("late", "/one/x")
        assert answer.status == 503
        assert float(scenes.get_headers(answer)["retry-after"]) > 0
        setattr(scene.store.faults, fault, False)
        await deployment.wait_for_updates(4.0)
        assert (await scene.send_request("late", "/one/x")).status == 200

    scenes.run(scenario)


def test_a_change_is_applied_while_the_store_is_slow() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.slow_s = 0.3
        scene.add_route("/new/", Backend=scenes.SINGLE_SERVICE)
        scene.write_configuration()
        await deployment.wait_for_updates(2.0)
        assert (await scene.send_request("vm-0", "/new/x")).status == 200

    scenes.run(scenario)


def test_requests_are_split_by_weight() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        split = [
            {"Backend": "shard-a", "Weight": 3},
            {"Backend": "shard-b", "Weight": 1},
        ]
        scene.add_route("/split/", TrafficSplit=split)
        scene.write_configuration()
        await deployment.wait_for_updates()
        for _ in range(40):
            answer = await scene.send_request("vm-0", "/split/x")
            assert answer.status == 200
        for service, expected in (("shard-a", 30), ("shard-b", 10)):
            actual = sum(
                len(scene.searchers[f"{service}-{index}"].requests)
                for index in range(2)
            )
            assert actual == expected

    scenes.run(scenario)


def test_a_burst_of_versions_causes_few_store_calls() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        before = scene.store.call_counts["/kv-watch"]
        for _ in range(50):
            scene.write_configuration()
            await asyncio.sleep(0.04)
        assert scene.store.call_counts["/kv-watch"] - before <= 12

    scenes.run(scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_a_vm_that_starts_in_an_outage_copies_another_vm(
    fault: str,
) -> None:
    """Guards against a VM that refuses requests when it starts in an outage.

    The other VMs have the configuration and the searchers. The new VM copies
    their entries, serves requests, and applies the store's changes once the
    store is reachable again.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        setattr(scene.store.faults, fault, True)
        await scene.add_vm("late")
        await deployment.wait_for_updates(3.0)
        assert (await scene.send_request("late", "/one/x")).status == 200
        setattr(scene.store.faults, fault, False)
        scene.add_route("/new/", Backend=scenes.SINGLE_SERVICE)
        scene.write_configuration()
        await deployment.wait_for_updates(4.0)
        assert (await scene.send_request("late", "/new/x")).status == 200

    scenes.run(scenario)
