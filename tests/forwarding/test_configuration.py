"""Configurations: in force soon, never back, through every trouble."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from azureramp_standins.fleet import deployment
from tests.forwarding import scenes


def test_a_new_route_serves_and_a_dropped_one_is_not_found() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.add_route("/one/deep/", Backend="shard-a")
        del scene.configuration["Routes"][2]
        scene.declare()
        await deployment.settle()
        assert (await scene.ask("vm-0", "/one/deep/x")).status == 200
        assert len(scene.searchers["shard-a-0"].seen) == 1
        assert (await scene.ask("vm-0", "/once/x")).status == 404

    scenes.run(scenario)


def test_an_older_version_never_comes_back() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        old = msgspec.json.decode(msgspec.json.encode(scene.configuration))
        scene.add_route("/new/", Backend=scenes.PLAIN)
        scene.declare()
        await deployment.settle()
        scene.store.put("op/config", old)
        await deployment.settle()
        assert (await scene.ask("vm-0", "/new/x")).status == 200

    scenes.run(scenario)


def test_a_forgotten_history_is_read_anew() -> None:
    """The store forgets its history while a searcher leaves.

    The watch can't tell what happened in between. Everything is read again,
    and what is no longer there is taken for gone.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await deployment.settle(5.0)
        scene.store.faults.silent = True
        scene.store.remove("servers/statements-0")
        scene.add_route("/new/", Backend=scenes.PLAIN)
        scene.declare()
        scene.store.compact()
        scene.store.faults.silent = False
        await deployment.settle(15.0)
        assert (await scene.ask("vm-0", "/new/x")).status == 200
        assert "statements-0" not in scene.programs["vm-0"].board.targets

    scenes.run(scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_a_vm_without_a_configuration_refuses_and_knows_no_404(
    fault: str,
) -> None:
    """A VM starts while the store is away, and every lookup is `not found`.

    Not knowing any route is no reason to say that there is none: the caller
    would not ask again. It is told to come back, and served once the store
    is there.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await scene.programs["vm-0"].kill()
        setattr(scene.store.faults, fault, True)
        await scene.add_vm("late")
        await deployment.settle()
        answer = await scene.ask("late", "/one/x")
        assert answer.status == 503
        assert float(scenes.get_headers(answer)["retry-after"]) > 0
        setattr(scene.store.faults, fault, False)
        await deployment.settle(4.0)
        assert (await scene.ask("late", "/one/x")).status == 200

    scenes.run(scenario)


def test_a_change_is_in_force_while_the_store_is_slow() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.store.faults.slow_s = 0.3
        scene.add_route("/new/", Backend=scenes.PLAIN)
        scene.declare()
        await deployment.settle(2.0)
        assert (await scene.ask("vm-0", "/new/x")).status == 200

    scenes.run(scenario)


def test_requests_are_split_by_the_weights() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        split = [
            {"Backend": "shard-a", "Weight": 3},
            {"Backend": "shard-b", "Weight": 1},
        ]
        scene.add_route("/split/", TrafficSplit=split)
        scene.declare()
        await deployment.settle()
        for _ in range(40):
            answer = await scene.ask("vm-0", "/split/x")
            assert answer.status == 200
        for service, wanted in (("shard-a", 30), ("shard-b", 10)):
            got = sum(
                len(scene.searchers[f"{service}-{index}"].seen)
                for index in range(2)
            )
            assert got == wanted

    scenes.run(scenario)


def test_a_storm_of_versions_costs_a_few_calls() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        before = scene.store.calls["/kv-watch"]
        for _ in range(50):
            scene.declare()
            await asyncio.sleep(0.04)
        assert scene.store.calls["/kv-watch"] - before <= 12

    scenes.run(scenario)


@pytest.mark.parametrize("fault", ["busy", "silent"])
def test_a_vm_that_starts_in_an_outage_takes_its_start_from_another(
    fault: str,
) -> None:
    """A VM is replaced while the store is away, and refuses every lookup.

    The others know the configuration and the searchers. It takes their copy,
    serves, and takes on what the store says once it is back.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        setattr(scene.store.faults, fault, True)
        await scene.add_vm("late")
        await deployment.settle(3.0)
        assert (await scene.ask("late", "/one/x")).status == 200
        setattr(scene.store.faults, fault, False)
        scene.add_route("/new/", Backend=scenes.PLAIN)
        scene.declare()
        await deployment.settle(4.0)
        assert (await scene.ask("late", "/new/x")).status == 200

    scenes.run(scenario)
