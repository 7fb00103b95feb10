"""Tests of client accounts' limits over several VMs."""

from __future__ import annotations

import asyncio
import collections
import itertools

import pytest

from azureramp.controllers.forwarding import account_decider, account_uses
from azureramp.platform import program
from azureramp.policy import account_limits, account_owners, congestion
from azureramp.ports.vms import http as vms_http
from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes, test_dark_searchers

VMS = 4
RATE_PER_S = 20.0
BURST = 10.0
LIMITED = {
    "Name": "yard",
    "ApiKeys": ["k-yard"],
    "RatePerS": RATE_PER_S,
    "Burst": BURST,
}
BOUND = (RATE_PER_S * 5 + BURST) * 1.1 + 20
UPDATE_S = 3.0
SHARES_S = 9.0
"""Time until the shares of VMs that have just joined are in force, in
seconds."""


async def declare_accounts(scene: deployment.Deployment) -> None:
    scene.configuration["Tenants"] = [dict(LIMITED)]
    scene.add_account("dealer", "k-dealer", RatePerS=0.05, Burst=0.0)
    scene.add_account("free", "k-free")
    scene.write_configuration()
    await deployment.wait_for_updates(SHARES_S)


async def send(
    scene: deployment.Deployment,
    key: str,
    rate_per_s: float,
    seconds: float,
    vms: list[str] | None = None,
) -> collections.Counter[int]:
    """Sends requests at an even rate to VMs in turn; counts the statuses."""
    names = itertools.cycle(vms or sorted(scene.daemons))
    statuses: collections.Counter[int] = collections.Counter()
    served_s: list[float] = []

    async def send_one(vm: str) -> None:
        try:
            response = await scene.send_request(vm, "/one/a", key=key)
        except OSError:
            statuses[0] += 1
            return
        statuses[response.status] += 1
        if response.status == 200:
            served_s.append(asyncio.get_running_loop().time())

    async with asyncio.TaskGroup() as group:
        for _ in range(round(rate_per_s * seconds)):
            group.create_task(send_one(next(names)))
            await asyncio.sleep(1 / rate_per_s)
    if key == "k-yard" and LIMITED in scene.configuration["Tenants"]:
        for first, last in zip(served_s, served_s[int(BOUND) :], strict=False):
            assert last - first > 5.0
    return statuses


def get_owner(scene: deployment.Deployment, account: str) -> str:
    return describe(next(iter(scene.daemons.values())), account).owner


def describe(daemon: program.Program, account: str) -> account_uses.AccountUse:
    return next(
        each
        for each in daemon.account_limits.describe()
        if each.account == account
    )


def test_a_flood_is_cut_to_the_limit_and_others_do_not_pay() -> None:
    """Guards against an account that takes the room of the others."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        async with asyncio.TaskGroup() as group:
            flood = group.create_task(send(scene, "k-yard", 150.0, 5.0))
            small = group.create_task(send(scene, "k-dealer", 1.0, 5.0))
            free = group.create_task(send(scene, "k-free", 20.0, 5.0))
        assert 0.9 * RATE_PER_S * 5 <= flood.result()[200] <= BOUND
        assert flood.result()[429] == 750 - flood.result()[200]
        assert small.result() == {200: 5}
        assert free.result() == {200: 100}

    scenes.run(run, vms=VMS, searchers=4)


@pytest.mark.parametrize("vms", [["vm-1"], None])
def test_account_within_its_limit_is_not_refused(vms: list[str] | None) -> None:
    """Guards against a VM without room while others have some."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        statuses = await send(scene, "k-yard", 0.9 * RATE_PER_S, 10.0, vms)
        assert statuses == {200: 180}

    scenes.run(run, vms=VMS, searchers=4)


def test_refusal_names_the_account_and_when_there_is_room() -> None:
    """Guards against callers that return before there is room, together."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        await send(scene, "k-yard", 100.0, 3.0)
        refused = [
            await scene.send_request(f"vm-{number}", "/one/a", key="k-yard")
            for number in range(VMS)
            for _ in range(3)
        ]
        after = [
            float(scenes.get_headers(each)["retry-after"])
            for each in refused
            if each.status == 429
        ]
        assert len(after) >= 6
        assert all(0 < each < 10 for each in after)
        assert len(set(after)) >= len(after) - 2

    scenes.run(run, vms=VMS, searchers=4)


@pytest.mark.parametrize("restarts", [True, False])
def test_owner_is_killed(restarts: bool) -> None:
    """Guards against an account without service, or without limit."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        await send(scene, "k-yard", 0.5 * RATE_PER_S, 1.0)
        owner = get_owner(scene, "yard")
        address = scene.get_address(owner)
        await scene.daemons.pop(owner).abort()
        others = sorted(scene.daemons)
        if restarts:
            await asyncio.sleep(0.9)
            await scene.add_vm(
                owner, "zone-0", int(address.split(":")[1]), first_start=False
            )
            await deployment.wait_for_updates()
        during = await send(scene, "k-yard", 4.0, 6.0, others)
        set_aside = sum(
            int(describe(scene.daemons[vm], "yard").credit) for vm in others
        )
        assert set_aside >= len(others)
        assert during[200] >= (23 if restarts else set_aside)
        flood = await send(scene, "k-yard", 100.0, 5.0, others)
        assert flood[200] <= BOUND
        after = await send(scene, "k-yard", 0.2 * RATE_PER_S, 10.0, others)
        assert after[200] >= 36

    scenes.run(run, vms=VMS, searchers=4)


def test_all_vms_restart_together() -> None:
    """Guards against refusals, or a second burst, after all were killed."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        await send(scene, "k-yard", 100.0, 2.0)
        for vm, daemon in list(scene.daemons.items()):
            await daemon.abort()
            del scene.daemons[vm]
        await asyncio.sleep(0.9)
        for number in range(VMS):
            await scene.add_vm(
                f"vm-{number}",
                f"zone-{number % 2}",
                30000 + 10 * number,
                first_start=False,
            )
        await deployment.wait_for_updates()
        small = await send(scene, "k-dealer", 1.0, 2.0)
        assert small == {200: 2}
        usual = await send(scene, "k-yard", 0.6 * RATE_PER_S, 5.0)
        assert usual[200] >= 0.95 * usual.total()

    scenes.run(run, vms=VMS, searchers=4)


def test_links_between_vms_are_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against VMs that, cut off, send without limit, or nothing."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        for daemon in scene.daemons.values():
            for server in daemon.get_servers():
                if server.address == daemon.board.identity.peer_address:
                    await server.stop(0.0)
        await asyncio.sleep(1.0)
        flood = await send(scene, "k-yard", 100.0, 10.0)
        assert 0 < flood[200] <= 2 * BOUND
        small = await send(scene, "k-dealer", 0.5, 8.0)
        assert small == {200: 4}

    scenes.run(run, vms=VMS, searchers=4)


def test_lowered_raised_and_removed_limits() -> None:
    """Guards against a limit that lives on after its configuration."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        yard = scene.configuration["Tenants"][0]
        await send(scene, "k-yard", 0.8 * RATE_PER_S, 2.0)
        yard |= {"RatePerS": 2.0, "Burst": 0.0}
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S + 5.0)
        lowered = await send(scene, "k-yard", 50.0, 5.0)
        assert 10 <= lowered[200] <= 2.0 * 5 * 1.1 + 20
        yard |= {"RatePerS": 100.0, "Burst": 20.0}
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S)
        raised = await send(scene, "k-yard", 50.0, 5.0)
        assert raised == {200: 250}
        yard |= {"RatePerS": 0.0}
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S)
        assert (await send(scene, "k-yard", 200.0, 2.0)) == {200: 400}
        scene.configuration["Tenants"] = scene.configuration["Tenants"][1:]
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S)
        assert (await send(scene, "k-yard", 5.0, 1.0)) == {401: 5}

    scenes.run(run, vms=VMS, searchers=4)


@pytest.mark.parametrize("fault", ["silent", "busy"])
def test_the_store_is_down(fault: str) -> None:
    """Guards against refusals because the owners have lost the store."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        setattr(scene.store.faults, fault, True)
        statuses = await send(scene, "k-yard", 0.6 * RATE_PER_S, 12.0)
        setattr(scene.store.faults, fault, False)
        statuses += await send(scene, "k-yard", 0.6 * RATE_PER_S, 10.0)
        assert statuses[200] >= 0.99 * statuses.total()

    scenes.run(run, vms=VMS, searchers=4)


def test_vms_are_restarted_in_turn() -> None:
    """Guards against an account that pays for each change of its owner."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)

        async def restart(vm: str, first_port: int) -> None:
            await scene.daemons[vm].stop()
            await scene.add_vm(vm, "zone-0", first_port, first_start=False)

        async def restart_all() -> None:
            async with asyncio.TaskGroup() as group:
                for number in range(VMS):
                    group.create_task(
                        restart(f"vm-{number}", 30000 + 10 * number)
                    )
                    await asyncio.sleep(2.0)

        statuses: collections.Counter[int] = collections.Counter()
        restarting = asyncio.create_task(restart_all())
        while not restarting.done():
            ready = [
                vm
                for vm, daemon in sorted(scene.daemons.items())
                if daemon.board.is_ready()
            ]
            statuses += await send(scene, "k-yard", 12.0, 0.5, ready)
        assert statuses[429] <= 0.02 * statuses.total()

    scenes.run(run, vms=VMS + 2, searchers=4)


def test_a_raised_limit_holds_before_the_next_request() -> None:
    """Guards against a bucket that fills by the old limit until it is used."""

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        yard = scene.configuration["Tenants"][0]
        yard |= {"RatePerS": 2.0, "Burst": 4.0}
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S)
        await send(scene, "k-yard", 1.0, 4.0)
        yard |= {"RatePerS": 20.0, "Burst": 40.0}
        scene.write_configuration()
        await asyncio.sleep(UPDATE_S + 6.0)
        assert await send(scene, "k-yard", 300.0, 40 / 300) == {200: 40}

    scenes.run(run, vms=VMS, searchers=4)


def test_what_was_decided_by_an_old_limit_is_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against refusals for as long as a lower limit would have lasted.

    The VM that decides receives the raised limit later than the others.
    """

    async def run(scene: deployment.Deployment) -> None:
        await declare_accounts(scene)
        await send(scene, "k-dealer", 50.0, 2.0)
        tolerance = scene.daemons["vm-0"].board.bounds.account_limits
        old = account_limits.compute_budget(0.05, 0.0, tolerance)
        with monkeypatch.context() as patch:
            patch.setattr(
                account_decider.AccountDecider, "get_budget", lambda *_: old
            )
            scene.configuration["Tenants"][1] |= {"RatePerS": 20.0}
            scene.write_configuration()
            await asyncio.sleep(UPDATE_S)
            await send(scene, "k-dealer", 50.0, 1.0)
        await asyncio.sleep(2.0)
        assert await send(scene, "k-dealer", 10.0, 4.0) == {200: 40}

    scenes.run(run, vms=VMS, searchers=4)


def test_uses_of_requests_that_no_searcher_got_are_given_back() -> None:
    """Guards against an account that pays for what never ran.

    A caller leaves while it waits for its turn, and a route's other service
    has no searcher.
    """

    async def run(scene: deployment.Deployment) -> None:
        split = [
            {"Backend": service, "Weight": 1} for service in ("gone", "shard-a")
        ]
        scene.add_route("/split/", TrafficSplit=split)
        await declare_accounts(scene)
        for each in scene.searchers.values():
            each.script = lambda _: searcher.Reaction(delay_s=0.01)
        owner = account_owners.choose_owner("yard", scene.daemons)
        vm = next(name for name in scene.daemons if name != owner)
        await send(scene, "k-yard", 10.0, 0.2, [vm])
        await asyncio.sleep(0.1)
        gate = scene.daemons[vm].board.gates[scenes.SINGLE_SERVICE]
        now_s = asyncio.get_running_loop().time()
        gate.limit.record_end(congestion.Evidence.FULL, now_s, 1, now_s)
        asking = [
            asyncio.ensure_future(
                scene.send_request(vm, "/one/a", key="k-yard")
            )
            for _ in range(2)
        ]
        await asyncio.sleep(0.006)
        assert len(gate.queue) == 1
        for task in asking:
            task.cancel()
        await asyncio.sleep(0.002)
        assert describe(scene.daemons[vm], "yard").unsettled == 1
        await asyncio.sleep(0.1)
        statuses: list[int] = []
        for _ in range(2):
            sending = scene.send_request(vm, "/split/a", key="k-yard")
            statuses.append((await sending).status)
        assert sorted(statuses) == [200, 503]
        assert describe(scene.daemons[vm], "yard").unsettled == 1

    scenes.run(run, vms=2, searchers=1)


def test_a_vm_without_power_holds_up_no_report_beyond_its_timeout() -> None:
    """Guards against reports that don't go to the new owner meanwhile."""

    async def run(scene: deployment.Deployment) -> None:
        loop = asyncio.get_running_loop()
        owner = next(iter(scene.daemons.values())).board.identity.peer_address
        hanging = test_dark_searchers.HangingConnections()
        hanging.ports.add(int(owner.rpartition(":")[2]))
        client = vms_http.HttpVmClient(1)
        began_s = loop.time()
        timeout_s = account_limits.LEND_TIMEOUT_S
        result = await client.call(owner, "/", b"", timeout_s)
        assert result.is_error()
        assert loop.time() - began_s <= timeout_s + 0.001
        hanging.clear()

    scenes.run(run)
