"""Tests of the configuration controllers of several VMs under faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from azureramp import errors, responses
from azureramp.controllers import changes
from azureramp_standins import virtual
from tests.controllers import configured

BOUND_S = 2.0
"""Maximum time from acceptance of a change to the last new work under the old
configuration, in seconds."""

Scenario = Callable[[configured.Deployment], Awaitable[None]]


def run(scenario: Scenario, size: int = 5) -> None:
    """Runs a scenario on a stable deployment with a declared zone `d`."""

    async def main() -> None:
        deployment = configured.Deployment(size)
        await deployment.start()
        response = await deployment.processes[0].put(configured.make_zone("d"))
        assert response.status == 200, response.body
        await asyncio.sleep(2.0)
        await scenario(deployment)
        await deployment.stop()

    virtual.run(main())


def get_revision(response_body: bytes) -> int:
    entry = msgspec.json.decode(response_body)["entry"]
    return int(entry["revision"])


def get_code(body: bytes) -> str:
    return msgspec.json.decode(body, type=responses.ErrorAnswer).code


def count_calls(process: configured.Process) -> int:
    counts = process.board.metrics.counts
    names = ("store.reads", "store.writes", "store.watches")
    return sum(counts[name] for name in names)


def get_serving(process: configured.Process) -> str:
    return process.board.serving.value


async def drain(process: configured.Process) -> int:
    """Takes the zone `d` out of service through a VM; returns the revision."""
    present = process.board.configuration.entries[("availability_zone", "d")]
    response = await process.put(
        configured.make_zone("d", out=True), present.revision
    )
    assert response.status == 200, response.body
    return get_revision(response.body)


def test_change_is_in_force_on_every_vm_immediately() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        revision = await drain(deployment.processes[3])
        await asyncio.sleep(0.01)
        for process in deployment.processes:
            assert process.get_zones_out() == {"d"}
        await asyncio.sleep(1.0)
        for process in deployment.processes:
            assert process.board.configuration.revision >= revision
            assert process.board.accepted_revision >= revision

    run(scenario)


def test_only_few_vms_watch_store() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        before = [count_calls(process) for process in deployment.processes]
        await asyncio.sleep(60.0)
        after = [count_calls(process) for process in deployment.processes]
        assert sum(x != y for x, y in zip(before, after, strict=True)) == 2

    run(scenario)


def test_vm_without_peers_continues_with_store() -> None:
    """vm-4 is cut off from its peers but reaches the store.

    An operator takes a zone out of service through vm-0. No peer can send the
    change to vm-4, so vm-4 must read it from the store within the bound or
    send no more work.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        isolated = deployment.processes[4]
        deployment.cut(4)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert isolated.may_work()
        await drain(deployment.processes[0])
        await asyncio.sleep(BOUND_S)
        assert isolated.get_zones_out() == {"d"}
        assert get_serving(isolated) == "ready"

    run(scenario)


def test_vm_without_peers_and_store_stops_within_bound() -> None:
    """vm-4 loses the store and its peers, but callers still reach it.

    A zone is taken out of service and the other VMs accept the change. vm-4
    doesn't get it: unless vm-4 stops on its own, it continues to send work to
    that zone.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        isolated = deployment.processes[4]
        deployment.cut(4)
        deployment.set_down(4)
        await drain(deployment.processes[0])
        await asyncio.sleep(BOUND_S)
        assert isolated.get_zones_out() == set()
        assert not isolated.may_work()
        assert get_serving(isolated) == "stale"
        deployment.heal()
        await asyncio.sleep(1.0)
        assert isolated.get_zones_out() == {"d"}
        assert get_serving(isolated) == "ready"

    run(scenario)


def test_change_without_majority_is_refused_and_not_run() -> None:
    """vm-3 and vm-4 are cut off from the other three, but not from the store.

    An operator requests a change through vm-4. The others might not get it in
    time, so vm-4 must refuse the change and answer that it was not run.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        deployment.cut(3, 4)
        await asyncio.sleep(BOUND_S)
        present = deployment.state.revision
        response = await deployment.processes[4].put(
            configured.make_zone("c", out=True)
        )
        answer = msgspec.json.decode(response.body, type=responses.ErrorAnswer)
        assert answer.code == errors.Kind.STALE_CONFIGURATION.value
        assert answer.ran == "not_run"
        changed = deployment.state.list_changes("/azureramp/res", present)
        assert changed.entries == ()

    run(scenario)


def test_all_vms_continue_during_store_outage() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        deployment.set_down(0, 1, 2, 3, 4)
        for _ in range(300):
            await asyncio.sleep(1.0)
            for process in deployment.processes:
                assert get_serving(process) == "ready"
        response = await deployment.processes[0].put(
            configured.make_zone("c", out=True)
        )
        assert get_code(response.body) == "store_unavailable"

    run(scenario)


def test_minority_stops_during_store_outage() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        deployment.set_down(0, 1, 2, 3, 4)
        deployment.cut(3, 4)
        await asyncio.sleep(BOUND_S + 0.1)
        states = [process.may_work() for process in deployment.processes]
        assert states == [True, True, True, False, False]

    run(scenario)


def test_vm_started_in_outage_gets_configuration_from_peers() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        await drain(deployment.processes[0])
        await asyncio.sleep(1.0)
        deployment.set_down(0, 1, 2, 3, 4)
        process = await deployment.restart(4)
        await asyncio.sleep(2.0)
        assert get_serving(process) == "ready"
        assert process.get_zones_out() == {"d"}

    run(scenario)


def test_vm_started_with_only_stale_peers_does_not_serve() -> None:
    """vm-3 and vm-4 are cut off, also from the store, while a zone is drained.

    Then vm-2, which had acknowledged the change, is replaced, and its new
    process reaches only the two stale VMs. The three are a majority of five:
    if vm-2 accepted their configuration, all three would send work to the
    zone.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        deployment.cut(3, 4)
        deployment.set_down(3, 4)
        await drain(deployment.processes[0])
        await asyncio.sleep(1.0)
        assert deployment.processes[0].board.accepted_revision > 0
        deployment.heal()
        deployment.cut(0, 1)
        deployment.set_down(0, 1, 2, 3, 4)
        started = await deployment.restart(2)
        for _ in range(100):
            await asyncio.sleep(0.1)
            assert get_serving(started) == "starting"
        for number in (3, 4):
            assert not deployment.processes[number].may_work()

    run(scenario)


def test_stale_store_reads_revert_and_confirm_nothing() -> None:
    """After a failover the store answers reads from an old replica.

    A VM that starts then would treat a drained zone as in service, and a VM
    that reads the store again would restore the old state.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        revision = await drain(deployment.processes[0])
        await asyncio.sleep(1.0)
        deployment.cut(4)
        started = await deployment.restart(4)
        for _ in range(200):
            for store in deployment.stores:
                since = deployment.state.revision - revision
                store.faults.past = since + 1
            await asyncio.sleep(0.05)
            assert get_serving(started) == "starting"
        for process in deployment.processes[:4]:
            assert process.get_zones_out() == {"d"}
        deployment.heal()
        await asyncio.sleep(2.0)
        assert started.get_zones_out() == {"d"}

    run(scenario)


def test_write_with_lost_reply_is_recognized_by_its_id() -> None:
    """A write takes effect, but its reply is lost.

    The operator must neither get `STORE_OUTCOME_UNKNOWN` nor a conflict with
    the operator's own change.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        deployment.stores[0].faults.lost_replies = 3
        await drain(deployment.processes[0])
        assert deployment.processes[0].get_zones_out() == {"d"}

    run(scenario)


def test_delayed_write_does_not_take_effect_twice() -> None:
    """The first attempt of a write is delayed and the second takes effect.

    The delayed one arrives after another operator has put the zone back into
    service, and must not take it out again.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        process = deployment.processes[0]
        process.store.faults.late_s = 5.0
        task = asyncio.create_task(drain(process))
        await asyncio.sleep(0.1)
        process.store.faults.late_s = 0.0
        revision = await task
        response = await process.put(configured.make_zone("d"), revision)
        assert response.status == 200
        await asyncio.sleep(10.0)
        for other in deployment.processes:
            assert other.get_zones_out() == set()

    run(scenario)


def test_equal_changes_of_two_operators_are_one_change_and_one_conflict() -> (
    None
):
    """Two operators drain the same zone, and the first one's request is lost.

    If changes were compared by value, each operator would treat the change as
    their own, and both would assume that they may revert it.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        first, second = deployment.processes[:2]
        entry = first.board.configuration.entries[("availability_zone", "d")]
        first.store.faults.lost_requests = 1
        zone = configured.make_zone("d", out=True)
        answers = await asyncio.gather(
            first.put(zone, entry.revision), second.put(zone, entry.revision)
        )
        assert answers[1].status == 200
        answer = msgspec.json.decode(
            answers[0].body, type=responses.ErrorAnswer
        )
        assert answer.code == "store_outcome_unknown"
        assert answer.present is not None

    run(scenario)


def test_change_completes_after_operator_disconnects() -> None:
    """The operator's tool is interrupted while the store is slow.

    The write still takes effect. The VM that made it is the only one that
    reaches the store, so the others get the change only if that VM continues
    without the operator.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        before = [count_calls(process) for process in deployment.processes]
        await asyncio.sleep(12.0)
        process = next(
            process
            for process, count in zip(deployment.processes, before, strict=True)
            if count_calls(process) == count
        )
        for store in deployment.stores:
            store.faults.down = store is not process.store
        process.store.faults.delay_s = 0.5
        task = asyncio.create_task(drain(process))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(2.0)
        for other in deployment.processes:
            assert other.get_zones_out() == {"d"}

    run(scenario)


def test_deleted_resource_stays_deleted_and_is_sent_as_deleted() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        process = deployment.processes[0]
        before = process.board.configuration.revision
        response = await process.ask(
            "DELETE",
            "/v1/resources/availability_zone/d",
            expected=str(before),
        )
        assert response.status == 200, response.body
        await asyncio.sleep(1.0)
        part = deployment.processes[4].configuration.select_since(before)
        assert [entry.resource for entry in part.entries] == [None]
        for other in deployment.processes:
            assert not other.board.configuration.get_zones()

    run(scenario)


def test_deletion_with_lost_reply_succeeds() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        process = deployment.processes[0]
        process.store.faults.lost_replies = 1
        response = await process.ask(
            "DELETE",
            "/v1/resources/availability_zone/d",
            expected=str(process.board.configuration.revision),
        )
        assert response.status == 200, response.body
        assert get_revision(response.body) > 0

    run(scenario)


@pytest.mark.parametrize("field", ["down", "delay_s"])
def test_external_changes_arrive_while_watchers_lack_store(
    field: str,
) -> None:
    """The two VMs that watch the store, and two more, are cut off from it.

    Another program changes an entry. A VM that reaches the store must take
    over the watch.
    """

    async def scenario(deployment: configured.Deployment) -> None:
        present = deployment.state.read(
            "/azureramp/resources/availability_zone/d"
        )
        assert present is not None
        ages = []
        for store in deployment.stores[:4]:
            if field == "down":
                store.faults.down = True
            else:
                store.faults.delay_s = 1000.0
        zone = configured.make_zone("d", out=True)
        deployment.state.write(
            present.key, msgspec.json.encode(zone), present.revision
        )
        for _ in range(600):
            await asyncio.sleep(0.1)
            ages.append(deployment.processes[0].get_zones_out())
        assert ages[-1] == {"d"}

    run(scenario)


def test_change_id_distinguishes_retry_from_other_change() -> None:
    async def scenario(deployment: configured.Deployment) -> None:
        first, second = deployment.processes[:2]
        zone = configured.make_zone("c")
        one = await first.configuration.put(zone, 0, "change-1")
        again = await second.configuration.put(zone, 0, "change-1")
        other = await second.configuration.put(zone, 0, "change-2")
        assert one.ok == again.ok
        refusal: changes.Refusal = other.error
        assert refusal.failure.kind is errors.Kind.CONFLICT

    run(scenario)
