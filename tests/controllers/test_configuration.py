"""The configuration controller, several VMs under faults."""

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
"""From acceptance to the last new work on the old configuration."""

Story = Callable[[configured.Deployment], Awaitable[None]]


def run(story: Story, size: int = 5) -> None:
    """Runs a story on a settled deployment, with the zone `d` declared."""

    async def whole() -> None:
        deployment = configured.Deployment(size)
        await deployment.start()
        response = await deployment.processes[0].put(configured.make_zone("d"))
        assert response.status == 200, response.body
        await asyncio.sleep(2.0)
        await story(deployment)
        await deployment.stop()

    virtual.run(whole())


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
    """Takes the zone `d` out through a VM; returns the revision."""
    present = process.board.configuration.entries[("availability_zone", "d")]
    response = await process.put(
        configured.make_zone("d", out=True), present.revision
    )
    assert response.status == 200, response.body
    return get_revision(response.body)


def test_a_change_is_in_force_on_every_vm_at_once() -> None:
    async def story(deployment: configured.Deployment) -> None:
        revision = await drain(deployment.processes[3])
        await asyncio.sleep(0.01)
        for process in deployment.processes:
            assert process.get_zones_out() == {"d"}
        await asyncio.sleep(1.0)
        for process in deployment.processes:
            assert process.board.configuration.revision >= revision
            assert process.board.accepted_revision >= revision

    run(story)


def test_only_a_few_vms_hold_the_watch() -> None:
    async def story(deployment: configured.Deployment) -> None:
        before = [count_calls(process) for process in deployment.processes]
        await asyncio.sleep(60.0)
        after = [count_calls(process) for process in deployment.processes]
        assert sum(x != y for x, y in zip(before, after, strict=True)) == 2

    run(story)


def test_a_vm_cut_off_from_its_peers_goes_on_by_the_store() -> None:
    """The peers' links of vm-4 are cut; it reaches the store.

    An operator takes a zone out through vm-0. No peer can tell vm-4, so it
    must hear it from the store within the bound, or send nothing more.
    """

    async def story(deployment: configured.Deployment) -> None:
        lonely = deployment.processes[4]
        deployment.cut(4)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert lonely.may_work()
        await drain(deployment.processes[0])
        await asyncio.sleep(BOUND_S)
        assert lonely.get_zones_out() == {"d"}
        assert get_serving(lonely) == "ready"

    run(story)


def test_a_vm_cut_off_from_peers_and_store_stops_within_the_bound() -> None:
    """vm-4 loses the store and its peers; callers still reach it.

    A zone is taken out, the change is accepted by the others. vm-4 knows
    nothing of it: unless it stops by itself, it sends work there for good.
    """

    async def story(deployment: configured.Deployment) -> None:
        lonely = deployment.processes[4]
        deployment.cut(4)
        deployment.set_down(4)
        await drain(deployment.processes[0])
        await asyncio.sleep(BOUND_S)
        assert lonely.get_zones_out() == set()
        assert not lonely.may_work()
        assert get_serving(lonely) == "stale"
        deployment.heal()
        await asyncio.sleep(1.0)
        assert lonely.get_zones_out() == {"d"}
        assert get_serving(lonely) == "ready"

    run(story)


def test_a_change_through_a_vm_without_a_majority_is_refused_and_not_run() -> (
    None
):
    """vm-3 and vm-4 are cut off from the three others, not from the store.

    An operator asks vm-4 to take a zone out. The others might not hear of it
    in time, so vm-4 must not take the change, and says that it did not.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_all_vms_go_on_through_an_outage() -> None:
    async def story(deployment: configured.Deployment) -> None:
        deployment.set_down(0, 1, 2, 3, 4)
        for _ in range(300):
            await asyncio.sleep(1.0)
            for process in deployment.processes:
                assert get_serving(process) == "ready"
        response = await deployment.processes[0].put(
            configured.make_zone("c", out=True)
        )
        assert get_code(response.body) == "store_unavailable"

    run(story)


def test_the_minority_stops_in_an_outage() -> None:
    async def story(deployment: configured.Deployment) -> None:
        deployment.set_down(0, 1, 2, 3, 4)
        deployment.cut(3, 4)
        await asyncio.sleep(BOUND_S + 0.1)
        states = [process.may_work() for process in deployment.processes]
        assert states == [True, True, True, False, False]

    run(story)


def test_a_vm_that_starts_in_an_outage_takes_its_configuration_from_peers() -> (
    None
):
    async def story(deployment: configured.Deployment) -> None:
        await drain(deployment.processes[0])
        await asyncio.sleep(1.0)
        deployment.set_down(0, 1, 2, 3, 4)
        process = await deployment.restart(4)
        await asyncio.sleep(2.0)
        assert get_serving(process) == "ready"
        assert process.get_zones_out() == {"d"}

    run(story)


def test_a_vm_that_starts_beside_stale_peers_only_does_not_serve() -> None:
    """vm-3 and vm-4 are cut off when a zone is taken out, with the store.

    Then vm-2, which had acknowledged the change, is replaced, and its new
    process reaches only the two stale ones. With the two it makes a majority
    of five: if it took their word, all three would send work to the zone.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_a_store_that_answers_from_the_past_reverts_and_confirms_nothing() -> (
    None
):
    """After a failover the store answers reads from an old replica.

    A VM that starts then would take the zone for being in service, and one
    that re-reads would put the old state back.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_a_write_whose_reply_is_lost_is_settled_by_its_id() -> None:
    """The write takes effect, but its reply does not come back.

    The operator must not read "unknown", nor a conflict with the own change.
    """

    async def story(deployment: configured.Deployment) -> None:
        deployment.stores[0].faults.lost_replies = 3
        await drain(deployment.processes[0])
        assert deployment.processes[0].get_zones_out() == {"d"}

    run(story)


def test_a_lost_write_that_lands_late_changes_nothing_twice() -> None:
    """The first try is held up on its way and the second one is taken.

    The late one lands after another operator has put the zone back: it must
    not take it out again.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_two_operators_with_equal_values_are_one_change_and_one_conflict() -> (
    None
):
    """Both take the same zone out at once; the first one's reply is lost.

    By comparing values each would take the change for its own. Then both
    would think that they may put the zone back.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_an_operator_who_goes_away_leaves_no_change_half_made() -> None:
    """The tool is interrupted while the store takes its time.

    The write still lands. The VM that made it is the only one that reaches
    the store now, so the others hear of it only if it goes on by itself.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_a_deleted_resource_stays_deleted_and_resumes_as_such() -> None:
    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_an_answer_about_a_lost_deletion_is_that_it_is_gone() -> None:
    async def story(deployment: configured.Deployment) -> None:
        process = deployment.processes[0]
        process.store.faults.lost_replies = 1
        response = await process.ask(
            "DELETE",
            "/v1/resources/availability_zone/d",
            expected=str(process.board.configuration.revision),
        )
        assert response.status == 200, response.body
        assert get_revision(response.body) > 0

    run(story)


@pytest.mark.parametrize("field", ["down", "delay_s"])
def test_changes_of_others_arrive_though_the_watchers_have_no_store(
    field: str,
) -> None:
    """The two VMs that hold the watch are the ones cut off from the store.

    Somebody changes an entry beside us. The others must take over, in turns,
    and not only watch the two fail.
    """

    async def story(deployment: configured.Deployment) -> None:
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

    run(story)


def test_a_change_id_tells_a_retry_from_another_operators_change() -> None:
    async def story(deployment: configured.Deployment) -> None:
        first, second = deployment.processes[:2]
        zone = configured.make_zone("c")
        one = await first.configuration.put(zone, 0, "change-1")
        again = await second.configuration.put(zone, 0, "change-1")
        other = await second.configuration.put(zone, 0, "change-2")
        assert one.ok == again.ok
        refusal: changes.Refusal = other.error
        assert refusal.failure.kind is errors.Kind.CONFLICT

    run(story)
