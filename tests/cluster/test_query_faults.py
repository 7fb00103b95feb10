"""Tests of queries and non-idempotent requests under faults."""

from __future__ import annotations

import asyncio

import msgspec

from azureramp import resources
from azureramp.invariants import checker, history
from azureramp_standins import cluster, traffic, virtual
from azureramp_standins import layout as layouts


def test_duplicated_and_reordered_messages_run_no_request_twice() -> None:
    """Callers send each non-idempotent request through two VMs at once.

    Every envelope is delivered twice and out of order, and some are lost. A
    duplicate of a dispatch that was refused must not run after another
    replica has run the request.
    """

    async def run() -> history.History:
        deployment = cluster.make()
        await deployment.start()
        faults = deployment.network.faults
        faults.doubling, faults.jitter_s, faults.loss = 1.0, 0.03, 0.02
        names = list(deployment.vms)
        executions = [
            traffic.execute(deployment, vm, f"order-{n}", key=n * 97 % 6000)
            for n in range(25)
            for vm in (names[n % 3], names[(n + 1) % 3])
        ]
        queries = [
            traffic.query(deployment, names[n % 3], f"stock-{n}")
            for n in range(40)
        ]
        await asyncio.gather(*executions, *queries)
        await asyncio.sleep(5.0)
        return await deployment.close()

    run_history = virtual.run(run())

    assert len(run_history.outcomes) == 90
    assert sum(got.code == "ok" for got in run_history.outcomes) > 60
    assert checker.check(run_history) == []


def test_repartition_under_load_mixes_no_index_versions() -> None:
    """The index is repartitioned under load; searchers load it one by one.

    Each answer must come from one index version and state what is missing.
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

        asking: list[asyncio.Future[history.RequestOutcome]] = []
        load = asyncio.ensure_future(ask())
        await asyncio.sleep(0.5)
        await deployment.put_resource("vm-0", new)
        for searcher in deployment.searcher_fleet.searchers.values():
            searcher.versions = (f"{old.index}.1", f"{old.index}.2")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.5)
        for searcher in deployment.searcher_fleet.searchers.values():
            searcher.versions = (f"{old.index}.2",)
        await load
        await asyncio.gather(*asking)
        return await deployment.close()

    run_history = virtual.run(run())

    assert {got.code for got in run_history.outcomes} == {"ok"}
    assert {got.version for got in run_history.outcomes} == {1, 2}
    assert run_history.outcomes[-1].version == 2
    assert all(got.complete for got in run_history.outcomes)
    assert checker.check(run_history) == []


def find_remote_key(deployment: cluster.Cluster, vm: str) -> int:
    """Returns a key of a shard of which a VM owns no replica."""
    daemon = deployment.vms[vm].daemon
    assert daemon is not None
    (shard_map,) = daemon.board.configuration.get_shard_maps().values()
    owners = daemon.board.owners
    for shard in shard_map.shards:
        if vm not in {owners[name] for name in shard.searchers}:
            return shard.low
    raise AssertionError(vm)


def test_stop_waits_for_request_of_disconnected_caller() -> None:
    """A VM stops while the request of a disconnected caller is running.

    The VM must not exit before the outcome is in the idempotency record,
    since a retry through another VM must return that outcome.
    """

    async def run() -> tuple[history.RequestOutcome, history.History]:
        deployment = cluster.make(
            service_ms=600.0, address_lifetime_ms=10, list_lag_ms=10
        )
        await deployment.start()
        key = find_remote_key(deployment, "vm-0")
        execution = asyncio.ensure_future(
            traffic.execute(
                deployment, "vm-0", "order-1", key=key, deadline_ms=5000
            )
        )
        await asyncio.sleep(0.2)
        execution.cancel()
        await deployment.stop_vm("vm-0")
        got = await traffic.execute(
            deployment, "vm-1", "order-1", key=key, deadline_ms=5000
        )
        return got, await deployment.close()

    got, run_history = virtual.run(run())

    assert got.code == "ok"
    assert len([a for a in run_history.arrivals if a.idempotency_key]) == 1
    assert checker.check(run_history) == []
