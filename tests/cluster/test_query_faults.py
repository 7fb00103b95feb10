"""Queries and orders over whole VMs whose links and index misbehave."""

from __future__ import annotations

import asyncio

import msgspec

from azureramp import resources
from azureramp.invariants import checker, history
from azureramp_standins import cluster, traffic, virtual
from azureramp_standins import layout as layouts


def test_doubled_and_late_messages_run_no_order_twice() -> None:
    """Dispatchers order at once through two VMs over links that misbehave.

    Every envelope comes twice and out of order, some are lost. A copy of a
    dispatch that was refused must not run after another replica has.
    """

    async def run() -> history.History:
        deployment = cluster.make()
        await deployment.start()
        faults = deployment.network.faults
        faults.doubling, faults.jitter_s, faults.loss = 1.0, 0.03, 0.02
        names = list(deployment.vms)
        orders = [
            traffic.execute(deployment, vm, f"order-{n}", key=n * 97 % 6000)
            for n in range(25)
            for vm in (names[n % 3], names[(n + 1) % 3])
        ]
        queries = [
            traffic.query(deployment, names[n % 3], f"stock-{n}")
            for n in range(40)
        ]
        await asyncio.gather(*orders, *queries)
        await asyncio.sleep(5.0)
        return await deployment.close()

    past = virtual.run(run())

    assert len(past.received) == 90
    assert sum(got.code == "ok" for got in past.received) > 60
    assert checker.check(past) == []


def test_a_repartition_under_load_mixes_no_two_versions() -> None:
    """The index is cut anew while clerks ask; some searchers are late with it.

    Each answer must be of one version, and say what it lacks.
    """

    async def run() -> history.History:
        deployment = cluster.make()
        await deployment.start()
        service = deployment.layout.services[0]
        maps = [
            resource
            for resource in layouts.make_resources(deployment.layout)
            if isinstance(resource, resources.ShardMap)
            and resource.index == service.name
        ]
        old = maps[0]
        merged = tuple(
            msgspec.structs.replace(
                left, name=f"{left.name}+", high=right.high, size=left.size * 2
            )
            for left, right in zip(
                old.shards[::2], old.shards[1::2], strict=True
            )
        )
        new = resources.ShardMap(
            name=f"{old.index}.2", index=old.index, version=2, shards=merged
        )
        names = list(deployment.vms)

        async def ask() -> None:
            for number in range(300):
                vm = names[number % 3]
                asking.append(
                    asyncio.ensure_future(
                        traffic.query(deployment, vm, f"member-{number}")
                    )
                )
                await asyncio.sleep(0.01)

        asking: list[asyncio.Future[history.Received]] = []
        load = asyncio.ensure_future(ask())
        await asyncio.sleep(0.5)
        await deployment.change("vm-0", new)
        for searcher in deployment.fleet.searchers.values():
            searcher.versions = (f"{old.index}.1", f"{old.index}.2")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        for searcher in deployment.fleet.searchers.values():
            searcher.versions = (f"{old.index}.2",)
        await load
        await asyncio.gather(*asking)
        return await deployment.close()

    past = virtual.run(run())

    assert {got.code for got in past.received} == {"ok"}
    assert {got.version for got in past.received} == {1, 2}
    assert past.received[-1].version == 2
    assert all(got.complete for got in past.received)
    assert checker.check(past) == []


def find_remote_key(deployment: cluster.Cluster, vm: str) -> int:
    """Finds a key of a shard of which a VM owns no replica."""
    daemon = deployment.vms[vm].daemon
    assert daemon is not None
    (shard_map,) = daemon.board.configuration.get_shard_maps().values()
    owners = daemon.board.owners
    for shard in shard_map.shards:
        if vm not in {owners[name] for name in shard.searchers}:
            return shard.low
    raise AssertionError(vm)


def test_a_stop_waits_for_an_order_whose_caller_has_gone() -> None:
    """A VM stops while an order runs whose dispatcher hung up.

    The VM must not leave before the order's record says how it ended: a
    retry through another VM gets that outcome.
    """

    async def run() -> tuple[history.Received, history.History]:
        deployment = cluster.make(
            service_ms=600.0, address_lifetime_ms=10, list_lag_ms=10
        )
        await deployment.start()
        key = find_remote_key(deployment, "vm-0")
        order = asyncio.ensure_future(
            traffic.execute(
                deployment, "vm-0", "order-1", key=key, deadline_ms=5000
            )
        )
        await asyncio.sleep(0.2)
        order.cancel()
        await deployment.stop_vm("vm-0")
        got = await traffic.execute(
            deployment, "vm-1", "order-1", key=key, deadline_ms=5000
        )
        return got, await deployment.close()

    got, past = virtual.run(run())

    assert got.code == "ok"
    assert len([a for a in past.arrivals if a.idempotency_key]) == 1
    assert checker.check(past) == []
