"""Tests of the path of a request over several VMs."""

from __future__ import annotations

import pytest

from azureramp import resources
from azureramp.invariants import checker, history
from azureramp_standins import cluster, traffic, virtual


def test_query_through_any_vm_is_complete() -> None:
    async def run() -> tuple[list[history.RequestOutcome], history.History]:
        deployment = cluster.make()
        await deployment.start()
        got = [
            await traffic.query(deployment, vm, "MacAoidh")
            for vm in deployment.vms
        ]
        return got, await deployment.close()

    got, run_history = virtual.run(run())

    assert [answer.coverage for answer in got] == [1.0, 1.0, 1.0]
    assert checker.check(run_history) == []


def test_request_sent_through_two_vms_with_one_key_runs_once() -> None:
    async def run() -> tuple[list[history.RequestOutcome], history.History]:
        deployment = cluster.make()
        await deployment.start()
        got = [
            await traffic.execute(deployment, vm, "grant-1", key=42)
            for vm in ("vm-0", "vm-1")
        ]
        return got, await deployment.close()

    got, run_history = virtual.run(run())

    assert [answer.code for answer in got] == ["ok", "ok"]
    assert len([a for a in run_history.arrivals if a.idempotency_key]) == 1
    assert checker.check(run_history) == []


@pytest.mark.parametrize("vm", ["vm-0", "vm-2"])
def test_zone_out_of_service_gets_no_work_and_queries_continue(vm: str) -> None:
    async def run() -> tuple[list[history.RequestOutcome], history.History]:
        deployment = cluster.make()
        await deployment.start()
        zone = resources.Zone(name="b", state=resources.ZoneState.OUT)
        response = await deployment.put_resource(vm, zone)
        assert response.status in (200, 202), response.body
        got = [
            await traffic.query(deployment, vm, "Dundee") for _ in range(400)
        ]
        return got, await deployment.close()

    got, run_history = virtual.run(run())

    assert {answer.code for answer in got} == {"ok"}
    assert got[-1].ended_s - got[0].sent_s > run_history.bounds.zone_out_s
    assert checker.check(run_history) == []
