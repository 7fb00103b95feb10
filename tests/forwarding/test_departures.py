"""Tests that searchers which left get no requests, whatever the VMs lost."""

from __future__ import annotations

import asyncio

import pytest

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import departures, scenes

SETTLE_S = 6.0
"""Time after which the start of the VMs has no more effect, in seconds."""

ALL_CALLS = frozenset(
    (
        "watch",
        "read_prefix",
        "renew_lease",
        "grant_lease",
        "write",
        "write_batch",
    )
)


def check_use(
    fault: departures.Fault,
    remove_after_s: float,
    draining: bool = False,
    excluded: str = "",
) -> None:
    """Checks that a searcher that leaves beside a fault gets no late requests.

    Args:
        fault: Injects the fault.
        remove_after_s: When the searcher leaves after the fault's beginning, in
            seconds.
        draining: True if it reports that it is draining.
        excluded: A VM that the fault itself cuts off.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await asyncio.sleep(SETTLE_S)
        last_use_s = await departures.measure_last_use_s(
            scene, remove_after_s, fault, draining
        )
        last_use_s.pop(excluded, None)
        late = {
            vm: at_s
            for vm, at_s in last_use_s.items()
            if at_s > departures.USE_BOUND_S
        }
        assert not late

    scenes.run(scenario, vms=6)


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize(
    ("downtime_s", "remove_after_s"),
    [(0.2, 0.1), (0.6, 0.5), (1.5, 1.2), (1.5, 1.4), (2.0, 1.8)],
)
def test_a_restarted_relay_hides_no_departure(
    downtime_s: float, remove_after_s: float, draining: bool
) -> None:
    """Guards against followers that miss deletions before a relay's start."""

    async def restart(scene: deployment.Deployment) -> None:
        relay = departures.find_relay(scene, "zone-0")
        await departures.restart_vm(scene, relay, downtime_s)

    check_use(restart, remove_after_s, draining)


@pytest.mark.parametrize("draining", [False, True])
@pytest.mark.parametrize("vm", ["vm-0", "vm-2"])
def test_a_failed_call_keeps_no_searcher_that_left(
    vm: str, draining: bool
) -> None:
    """Guards against taking a removal for an expiry after one failed call."""

    async def fail(scene: deployment.Deployment) -> None:
        departures.fail_call(scene, vm)

    check_use(fail, 0.1, draining)


@pytest.mark.parametrize("vm", ["vm-0", "vm-2"])
def test_repeated_failures_of_one_vm_keep_no_searcher_that_left(
    vm: str,
) -> None:
    """Guards against a removal that each further failed call defers."""

    async def fail(scene: deployment.Deployment) -> None:
        for _ in range(10):
            departures.fail_call(scene, vm)
            await asyncio.sleep(1.0)

    check_use(fail, 1.3)


def test_failing_renewals_of_a_follower_keep_no_searcher_that_left() -> None:
    """Guards against a VM that trusts its own calls more than its relay."""

    async def fail(scene: deployment.Deployment) -> None:
        store = departures.wrap_store(scene, "vm-2")
        store.failing.update(("renew_lease", "grant_lease"))
        await asyncio.sleep(8.0)
        store.failing.clear()

    check_use(fail, 0.5)


@pytest.mark.parametrize("remove_after_s", [0.2, 1.0, 1.6, 4.1])
@pytest.mark.parametrize("cut_s", [1.5, 4.0])
def test_a_relay_that_lost_the_store_delays_no_departure(
    cut_s: float, remove_after_s: float
) -> None:
    """Guards against taking a relay's own outage for one of the store."""

    async def cut(scene: deployment.Deployment) -> None:
        store = departures.wrap_store(scene, "vm-0")
        store.failing.update(ALL_CALLS)
        await asyncio.sleep(cut_s)
        store.failing.clear()

    check_use(cut, remove_after_s, excluded="vm-0")


@pytest.mark.parametrize("remove_after_s", [1.0, 2.5])
def test_a_relay_whose_watch_hangs_delays_no_departure(
    remove_after_s: float,
) -> None:
    """Guards against a relay that is current by its renewals only."""

    async def hang(scene: deployment.Deployment) -> None:
        store = departures.wrap_store(scene, "vm-0")
        store.silent.add("watch")
        # Ends the watch that is under way.
        scene.store.put("op/evacuate/zone-9", {})
        await asyncio.sleep(10.0)
        store.silent.clear()

    check_use(hang, remove_after_s, excluded="vm-0")


def test_a_call_that_waited_is_not_sent_to_a_searcher_that_left() -> None:
    """Guards against a target whose state is not read again at the sending."""

    async def scenario(scene: deployment.Deployment) -> None:
        for service in scene.configuration["Services"]:
            service["MaxConnections"] = 1
        for route in scene.configuration["Routes"]:
            route["TimeoutMs"] = 9000
        scene.write_configuration()
        await asyncio.sleep(SETTLE_S)
        for each in scene.searchers.values():
            each.script = lambda request: searcher.Reaction(delay_s=3.5)
        requests = [
            asyncio.ensure_future(
                scene.send_request("vm-0", "/once/x", "POST", deadline_ms=8000)
            )
            for _ in range(6)
        ]
        await asyncio.sleep(0.3)
        leaving = scene.searchers[departures.SEARCHER]
        entry = leaving.make_entry(State="draining")
        scene.store.put(f"servers/{departures.SEARCHER}", entry)
        left_s = asyncio.get_running_loop().time()
        await asyncio.wait(requests)
        times_s = [each.at_s - left_s for each in leaving.requests]
        assert times_s, "the searcher gets calls before"
        assert max(times_s) <= departures.USE_BOUND_S

    scenes.run(scenario)
