"""Searchers that drain, stop or restart, and evacuated availability zones."""

from __future__ import annotations

import asyncio

import pytest

from azureramp.controllers.forwarding import board
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes


async def ask_often(scene: deployment.Deployment, count: int = 12) -> None:
    for _ in range(count):
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.status == 200


def test_a_draining_searcher_gets_nothing_new() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        leaving = scene.searchers["statements-0"]
        scene.store.put(
            "servers/statements-0", leaving.make_entry(State="draining")
        )
        await deployment.wait_for_updates()
        before = len(leaving.requests)
        await ask_often(scene)
        assert len(leaving.requests) == before

    scenes.run(scenario)


def test_an_evacuated_zone_gets_no_calls_until_it_is_restored() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.put("op/evacuate/zone-0", {})
        await deployment.wait_for_updates()
        await ask_often(scene)
        assert not scene.searchers["statements-0"].requests
        scene.store.remove("op/evacuate/zone-0")
        await deployment.wait_for_updates()
        await ask_often(scene)
        assert scene.searchers["statements-0"].requests

    scenes.run(scenario)


@pytest.mark.parametrize(
    "entry",
    [
        b"\xff\x00 no JSON",
        {"Backend": "statements"},
        {"State": "asleep"},
        {"Address": 5},
    ],
    ids=["bytes", "fields", "state", "type"],
)
def test_an_invalid_entry_removes_its_searcher(entry: object) -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        written: object = entry
        if isinstance(entry, dict) and "Backend" not in entry:
            described = scene.searchers["statements-0"].make_entry()
            written = described | entry
        scene.store.put("servers/statements-0", written)
        await deployment.wait_for_updates()
        await ask_often(scene)
        assert not scene.searchers["statements-0"].requests

    scenes.run(scenario)


@pytest.mark.parametrize("name", ["a\r\nX-Forged: 1", "a b", "\u0151", ""])
def test_a_searcher_whose_name_fits_no_header_is_not_used(name: str) -> None:
    """An entry by another writer has a line break in its key.

    The name is sent with every call. Each call would carry a forged header or
    fail to encode, and the caller's request would fail with it.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        described = scene.searchers["statements-0"].make_entry()
        for known in ("statements-0", "statements-1"):
            scene.store.remove(f"servers/{known}")
        scene.store.put(f"servers/{name}", described)
        await deployment.wait_for_updates(3.0)
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.status == 503
        assert not scene.searchers["statements-0"].requests

    scenes.run(scenario)


def test_entries_that_expired_in_a_store_outage_stay_in_use() -> None:
    """Guards against failing all lookups when a store outage ends.

    During the outage every searcher's entry expires, though the searchers are
    running. They write their entries again within two seconds of its return.
    Until then they remain in use; one whose entry is still missing afterwards
    is removed.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.busy = True
        await deployment.wait_for_updates(3.0)
        for name in list(scene.searchers):
            scene.store.remove(f"servers/{name}")
        scene.store.faults.busy = False
        await deployment.wait_for_updates(1.0)
        await ask_often(scene)
        for name, each in scene.searchers.items():
            if name != "statements-0":
                scene.store.put(f"servers/{name}", each.make_entry())
        await deployment.wait_for_updates(3.0)
        before = len(scene.searchers["statements-0"].requests)
        await ask_often(scene)
        assert len(scene.searchers["statements-0"].requests) == before

    scenes.run(scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
@pytest.mark.parametrize("outage_s", [3.0, 8.0])
@pytest.mark.parametrize("contact_s", [0.0, 0.8])
def test_expired_entries_stay_in_use_on_all_vms_after_outages(
    fault: str, outage_s: float, contact_s: float
) -> None:
    """Guards against VMs that drop all searchers when an outage ends.

    With a contact, the store is back for a moment between two outages, too
    short for the searchers to write their entries again.
    """

    async def use_all(scene: deployment.Deployment, for_s: float) -> None:
        until_s = asyncio.get_running_loop().time() + for_s
        while asyncio.get_running_loop().time() < until_s:
            for vm in scene.daemons:
                assert (await scene.send_request(vm, "/one/x")).status == 200
            await asyncio.sleep(0.1)

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(5.0)
        setattr(scene.store.faults, fault, True)
        await deployment.wait_for_updates(outage_s)
        for name in list(scene.searchers):
            scene.store.remove(f"servers/{name}")
        if contact_s:
            setattr(scene.store.faults, fault, False)
            await use_all(scene, contact_s)
            setattr(scene.store.faults, fault, True)
            await use_all(scene, outage_s)
        setattr(scene.store.faults, fault, False)
        await use_all(scene, 1.9)
        for name, each in scene.searchers.items():
            if name != "statements-0":
                scene.store.put(f"servers/{name}", each.make_entry())
        await use_all(scene, 4.0)
        before = len(scene.searchers["statements-0"].requests)
        await use_all(scene, 1.0)
        assert len(scene.searchers["statements-0"].requests) == before

    scenes.run(scenario, vms=6)


def test_a_removed_entry_takes_effect_at_once_if_the_store_is_up() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.wait_for_updates(5.0)
        scene.store.remove("servers/statements-0")
        await deployment.wait_for_updates(0.5)
        await ask_often(scene)
        assert not scene.searchers["statements-0"].requests

    scenes.run(scenario)


def test_a_crashed_searcher_is_avoided_and_used_again_later() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        crashed = scene.searchers["statements-0"]
        crashed.crash()
        await ask_often(scene)
        await crashed.start()
        await deployment.wait_for_updates(2.0)
        await ask_often(scene, 30)
        assert crashed.requests

    scenes.run(scenario)


def test_measurements_are_reset_for_a_restarted_process() -> None:
    """Guards against avoiding a restarted searcher because it used to be slow.

    It keeps its id; only its start time differs. Measurements of the old
    process don't apply to the new one.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        board = scene.daemons["vm-0"].board
        board.targets["statements-0"].stats.relative_time = 9.0
        again = scene.searchers["statements-0"].make_entry(born=2_000)
        scene.store.put("servers/statements-0", again)
        await deployment.wait_for_updates()
        assert board.targets["statements-0"].stats.relative_time == 1.0

    scenes.run(scenario)


def test_a_restarted_searcher_is_treated_as_cold_before_its_entry_says_so() -> (
    None
):
    """Guards against crashing a searcher again just after it has restarted.

    It restarts cold under its id and can take a few requests per second. The
    entry that says so arrives up to a heartbeat later. Until then, VMs that
    detected its return sent it their usual load, and calls made while it was
    down were not counted.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.configuration["Services"]:
            each["ColdPerS"] = 4.0
        scene.write_configuration()
        await deployment.wait_for_updates(15.0)
        crashed = scene.searchers["statements-0"]
        crashed.crash()
        for _ in range(10):
            await scene.send_request("vm-0", "/one/x")
            await scene.send_request("vm-1", "/one/x")
        await crashed.start()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + 1.8
        while loop.time() < until_s:
            for vm in ("vm-0", "vm-1"):
                answer = await scene.send_request(vm, "/one/x")
                assert answer.status == 200
            await asyncio.sleep(0.01)
        times = [seen.at_s for seen in crashed.requests]
        bound = 4.0 * 1.5 + 5
        assert times, "the searcher gets calls"
        for number, at_s in enumerate(times):
            recent = sum(at_s - 1.0 < each for each in times[: number + 1])
            assert recent <= bound

    scenes.run(scenario, vms=2)


def test_searchers_restarted_during_a_pause_are_treated_as_cold() -> None:
    """Guards against a VM that crashes a searcher after its own pause.

    The searcher crashed and restarted cold while the VM was paused for some
    seconds. The VM has missed both, and sends it all requests that arrived
    during the pause, since it still treats the searcher as warm.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.configuration["Services"]:
            each["ColdPerS"] = 4.0
        scene.write_configuration()
        await deployment.wait_for_updates(15.0)
        await ask_often(scene, 40)
        loop = asyncio.get_running_loop()
        target = scene.daemons["vm-0"].board.targets["statements-0"]
        scene.searchers["statements-0"].crash()
        await scene.searchers["statements-0"].start()
        scene.daemons["vm-0"].board.pause = board.Pause(
            loop.time() - 3.0, loop.time()
        )
        began_s = loop.time()
        while loop.time() < began_s + 1.0:
            await scene.send_request("vm-0", "/one/x")
            await asyncio.sleep(0.01)
        assert target.pool.connected_since_s > began_s - 3.0
        seen = scene.searchers["statements-0"].requests
        times = [each.at_s for each in seen if each.at_s >= began_s]
        assert times, "the searcher gets calls"
        assert len(times) <= 0.9 * (4.0 * 1.5 + 5), (
            "one VM's share of the limit"
        )

    scenes.run(scenario)
