"""Tests of roll-outs on whole VMs: bad versions, faults and unusual orders."""

from __future__ import annotations

import asyncio
import collections

import pytest

from azureramp_standins.fleet import deployment, searcher
from azureramp_standins.rollouts import play, versions
from tests.forwarding import scenes

KIND = versions.Kind
FAULT = play.Fault
BAD_KINDS = [kind for kind in KIND if kind is not KIND.GOOD]


def check(plan: play.Parameters, state: str) -> play.Outcome:
    outcome = play.simulate(plan)
    assert outcome.violations == ()
    assert outcome.state == state
    assert outcome.ended_s <= play.DURATION_S
    return outcome


@pytest.mark.parametrize("vms", [1, 3, 12])
def test_a_good_version_is_completed_without_failures(vms: int) -> None:
    outcome = check(play.Parameters(vms, 1, KIND.GOOD), "completed")
    assert outcome.success_share == 1.0
    assert outcome.aborted_calls == 0


@pytest.mark.parametrize("kind", BAD_KINDS)
def test_a_bad_version_is_rolled_back_within_its_exposure_bound(
    kind: KIND,
) -> None:
    check(play.Parameters(3, 2, kind), "rolled_back")


@pytest.mark.parametrize(
    "fault", [each for each in FAULT if each.value != "none"]
)
def test_a_failing_version_is_rolled_back_during_a_fault(fault: FAULT) -> None:
    """Guards against faults that raise the requests to the new version."""
    check(play.Parameters(3, 3, KIND.FAILING, fault), "rolled_back")


@pytest.mark.parametrize(
    "fault", [FAULT.DRIVER_KILLED, FAULT.STORE_SLOW, FAULT.OLD_SLOW]
)
def test_a_good_version_is_completed_during_a_fault(fault: FAULT) -> None:
    check(play.Parameters(3, 4, KIND.GOOD, fault), "completed")


def test_a_slow_version_is_rolled_back_although_all_vms_are_killed() -> None:
    """Guards against the completion of a slow version after a restart.

    When all VMs were killed, the evidence against the version was lost with
    them, and the roll-out was completed at its deadline.
    """
    check(play.Parameters(3, 2012, KIND.SLOW, FAULT.ALL_KILLED), "rolled_back")


def test_a_vm_that_rarely_sends_keeps_confirming_that_it_has_moved() -> None:
    """Guards against a completion while a VM still uses the old searchers.

    VMs that paused between two requests reported less often than their
    confirmations and grants expired.
    """
    check(play.Parameters(30, 21582, KIND.GOOD), "completed")


def test_no_call_is_aborted_if_traffic_moves_back_before_the_time_ends() -> (
    None
):
    """Guards against a completion by a driver that could not write before."""
    check(
        play.Parameters(12, 60015, KIND.GOOD, FAULT.STORE_DOWN), "rolled_back"
    )


async def send(
    scene: deployment.Deployment, target: str, seconds: float
) -> int:
    """Sends about 20 requests per second; returns the number of failures."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    failed = 0
    while loop.time() < until_s:
        answer = await scene.send_request("vm-0", target)
        failed += answer.status != 200
        await asyncio.sleep(0.045)
    return failed


def count_calls(scene: deployment.Deployment) -> collections.Counter[str]:
    """Counts the requests that searchers received, by version."""
    return collections.Counter(
        {
            version: sum(
                len(each.requests)
                for each in scene.searchers.values()
                if each.version == version
            )
            for version in {each.version for each in scene.searchers.values()}
        }
    )


async def add_new(
    scene: deployment.Deployment,
    version: str,
    service: str = scenes.SINGLE_SERVICE,
) -> list[searcher.Searcher]:
    return [
        await scene.add_searcher(
            f"{service}-{version}-{index}", service, f"zone-{index}", version
        )
        for index in range(2)
    ]


def test_a_second_order_replaces_the_first() -> None:
    """Guards against requests to a version whose order has been replaced."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 30.0)
        await add_new(scene, "v2")
        await send(scene, "/one/x", 3.0)
        scene.order_rollout(scenes.SINGLE_SERVICE, "v3", 8.0)
        await add_new(scene, "v3")
        await send(scene, "/one/x", 1.0)
        counts_before = count_calls(scene)
        assert counts_before["v2"] > 0
        await send(scene, "/one/x", 7.5)
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "completed"
        assert count_calls(scene)["v2"] == counts_before["v2"]
        assert count_calls(scene)["v3"] > 20

    scenes.run(scenario)


def test_a_withdrawn_order_is_rolled_back() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 30.0)
        await add_new(scene, "v2")
        await send(scene, "/one/x", 2.0)
        scene.store.remove(f"op/rollout/{scenes.SINGLE_SERVICE}")
        await send(scene, "/one/x", 1.0)
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "rolled_back"
        counts_before = count_calls(scene)["v2"]
        assert await send(scene, "/one/x", 1.0) == 0
        assert count_calls(scene)["v2"] == counts_before

    scenes.run(scenario)


def test_an_order_of_the_current_version_is_completed_at_once() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v1", 12.0)
        assert await send(scene, "/one/x", 2.0) == 0
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "completed"
        assert await send(scene, "/one/x", 1.0) == 0

    scenes.run(scenario)


def test_a_roll_out_without_new_searchers_is_rolled_back() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 4.0)
        assert await send(scene, "/one/x", 4.0) == 0
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "rolled_back"

    scenes.run(scenario)


def test_shards_are_rolled_out_while_queries_run() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        shards = scenes.SHARDS[:2]
        for shard in shards:
            scene.order_rollout(shard, "v2", 8.0)
            await add_new(scene, "v2", shard)
        assert await send(scene, "/all/x", 7.5) == 0
        for shard in shards:
            assert scene.read_rollout_state(shard) == "completed"
        for each in scene.searchers.values():
            if each.service in shards and each.version == "v1":
                assert each.running_requests == 0
                each.crash()
        assert await send(scene, "/all/x", 1.0) == 0

    scenes.run(scenario, vms=2)


def test_a_vm_without_its_driver_calls_only_the_old_version() -> None:
    """Guards against the use of an expired grant by a VM without its driver."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 60.0)
        await add_new(scene, "v2")
        await send(scene, "/one/x", 3.0)
        assert count_calls(scene)["v2"] > 0
        for program in scene.daemons.values():
            running = program.rollouts.active[scenes.SINGLE_SERVICE]
            loop = asyncio.get_running_loop()
            sides = running.list_version_groups(True, loop.time() + 1.5)
            assert [side.value for side in sides] == ["old"]

    scenes.run(scenario)


def test_a_full_read_of_the_store_does_not_restart_a_roll_out() -> None:
    """Guards against a roll-out's age that restarts with each full read."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 6.0)
        await add_new(scene, "v2")
        for _ in range(5):
            await send(scene, "/one/x", 1.0)
            scene.store.compact()
        await send(scene, "/one/x", 1.0)
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "completed"

    scenes.run(scenario)


def test_a_vm_restarted_before_the_first_record_bars_the_old_version() -> None:
    """Guards against requests to old searchers that stop without draining."""

    async def scenario(scene: deployment.Deployment) -> None:
        await scene.daemons.pop("vm-0").abort()
        scene.order_rollout(scenes.SINGLE_SERVICE, "v2", 8.0)
        await add_new(scene, "v2")
        await scene.add_vm("vm-0", "zone-0", 30000, first_start=False)
        await deployment.wait_for_updates()
        assert await send(scene, "/one/x", 6.8) == 0
        assert scene.read_rollout_state(scenes.SINGLE_SERVICE) == "completed"
        before = count_calls(scene)["v1"]
        assert await send(scene, "/one/x", 1.0) == 0
        assert count_calls(scene)["v1"] == before

    scenes.run(scenario)


def test_roll_outs_cause_no_store_calls_without_orders() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        before = scene.store.call_counts["/kv-txn"]
        await send(scene, "/one/x", 5.0)
        assert scene.store.call_counts["/kv-txn"] == before

    scenes.run(scenario)
