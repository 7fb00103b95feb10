"""Admission with real programs: refusals at once, turns, and releases."""

from __future__ import annotations

import asyncio
import collections

import pytest

from azureramp.policy import admission_gate, congestion
from azureramp.ports.web import api as web_api
from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes

UPDATE_S = 1.5
"""Wait until a new configuration is in force, in seconds."""

FULL = congestion.Outcome(4, 3, full=4, queued=0, slow=0)


async def declare_priorities(scene: deployment.Deployment) -> None:
    """Adds urgent routes to the searchers of the others."""
    scene.add_route(
        "/urgent/",
        FanoutServices=list(scenes.SHARDS),
        TopK=3,
        MinShardShare=0.75,
        Priority=0,
    )
    scene.add_route("/quick/", Backend=scenes.SINGLE_SERVICE, Priority=0)
    scene.write_configuration()
    await deployment.wait_for_updates(UPDATE_S)


def get_counts(scene: deployment.Deployment) -> collections.Counter[str]:
    return scene.daemons["vm-0"].board.metrics.counts


def script_all(
    scene: deployment.Deployment, service: str, act: searcher.Reaction
) -> None:
    for each in scene.searchers.values():
        if each.service == service:
            each.script = act.always


def limit_to_one(scene: deployment.Deployment) -> admission_gate.Gate:
    """Makes the gate of the single service admit one request at once."""
    gate = scene.daemons["vm-0"].board.gates[scenes.SINGLE_SERVICE]
    for number in range(40):
        gate.running += 1
        now_s = asyncio.get_running_loop().time() + number * 1e-6
        gate.end(now_s, FULL, now_s)
    assert gate.limit.value == 1.0
    return gate


async def time_request(
    scene: deployment.Deployment, target: str, deadline_ms: int = 1000
) -> tuple[web_api.Response, float]:
    began_s = asyncio.get_running_loop().time()
    answer = await scene.send_request("vm-0", target, deadline_ms=deadline_ms)
    return answer, asyncio.get_running_loop().time() - began_s


def test_admission_is_off_where_nothing_competes() -> None:
    """Guards against a change for deployments that ask for none."""

    async def scenario(scene: deployment.Deployment) -> None:
        for target in ("/all/x", "/one/x"):
            assert (await scene.send_request("vm-0", target)).status == 200
        counts = get_counts(scene)
        assert not [name for name in counts if name.startswith("admission")]

    scenes.run(scenario)


@pytest.mark.parametrize("target", ["/urgent/x", "/one/x"])
def test_what_no_searcher_can_answer_is_refused_at_once(target: str) -> None:
    """Guards against requests that are held until their deadline.

    All searchers of two shards and of the single service reset connections and
    then stop; a return time says when they are tried again.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        await declare_priorities(scene)
        for service in ("shard-a", "shard-b", scenes.SINGLE_SERVICE):
            for each in scene.searchers.values():
                if each.service == service:
                    each.crash()
        for _ in range(6):
            await scene.send_request("vm-0", target)
        answer, took_s = await time_request(scene, target)
        assert answer.status == 503
        assert took_s < 0.02
        headers = scenes.get_headers(answer)
        assert 0 < float(headers["retry-after"]) <= 1.5
        counts = get_counts(scene)
        assert counts["admission.refused_forecast"] > 0

    scenes.run(scenario)


def test_a_fan_out_that_is_lost_ends_at_once() -> None:
    """Guards against slots held for an answer that can't be complete enough.

    Two of four shards fail every call and three are needed, while the others
    take half a second. Their calls are cut instead of running to the end.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for service in ("shard-a", "shard-b"):
            act = searcher.Reaction(connection_action="reset")
            script_all(scene, service, act)
        for service in ("shard-c", "shard-d"):
            script_all(scene, service, searcher.Reaction(delay_s=0.5))
        answer, took_s = await time_request(scene, "/all/x")
        assert answer.status == 502
        assert took_s < 0.2
        await asyncio.sleep(0.3)
        cut = [each.cancelled_requests for each in scene.searchers.values()]
        assert sum(each.total() for each in cut) >= 2

    scenes.run(scenario)


def test_a_hedge_does_not_take_the_last_slots() -> None:
    """Guards against extra calls where first calls have no free slot."""

    async def count_calls(scene: deployment.Deployment) -> int:
        script_all(scene, "shard-a", searcher.Reaction(delay_s=0.3))
        for target in scene.daemons["vm-0"].board.targets.values():
            if target.searcher.service == "shard-a":
                target.stats.reported_load = float(target.stats.slots)
                target.stats.reported_s = asyncio.get_running_loop().time()
        await scene.send_request("vm-0", "/all/x")
        return sum(
            len(each.requests)
            for each in scene.searchers.values()
            if each.service == "shard-a"
        )

    async def scenario(scene: deployment.Deployment) -> None:
        await declare_priorities(scene)
        assert await count_calls(scene) == 1

    async def scenario_without(scene: deployment.Deployment) -> None:
        assert await count_calls(scene) == 2

    scenes.run(scenario)
    scenes.run(scenario_without)


@pytest.mark.parametrize("target", ["/all/x", "/quick/x"])
def test_a_late_retry_does_not_take_the_last_slots(target: str) -> None:
    """Guards against extra calls past the target that hedges may not make."""

    async def scenario(scene: deployment.Deployment) -> None:
        await declare_priorities(scene)
        late = ("shard-a", "shard-b", scenes.SINGLE_SERVICE)
        for service in late:
            script_all(scene, service, searcher.Reaction(delay_s=0.2))
        for each in scene.daemons["vm-0"].board.targets.values():
            each.stats.reported_load = float(each.stats.slots)
            each.stats.reported_s = asyncio.get_running_loop().time()
        await scene.send_request("vm-0", target)
        calls = collections.Counter(
            each.service
            for each in scene.searchers.values()
            for _ in each.requests
        )
        assert max(calls.values()) == 1

    scenes.run(scenario)


def test_a_turn_is_given_back_when_its_caller_leaves() -> None:
    """Guards against turns lost with callers that leave, also while waiting."""

    async def scenario(scene: deployment.Deployment) -> None:
        await declare_priorities(scene)
        script_all(
            scene, scenes.SINGLE_SERVICE, searcher.Reaction(delay_s=0.01)
        )
        await scene.send_request("vm-0", "/quick/x")
        gate = limit_to_one(scene)
        asking = [
            asyncio.ensure_future(scene.send_request("vm-0", "/quick/x"))
            for _ in range(2)
        ]
        await asyncio.sleep(0.005)
        assert (gate.running, len(gate.queue)) == (1, 1)
        for each in asking:
            each.cancel()
        await asyncio.sleep(0.05)
        assert (gate.running, len(gate.queue)) == (0, 0)
        assert (await scene.send_request("vm-0", "/quick/x")).status == 200

    scenes.run(scenario)


def test_two_accounts_get_their_shares_of_a_narrow_searcher() -> None:
    """Guards against a flood that takes the room of a small account.

    The service can answer 800 requests in four seconds. One account sends 1,600
    and the other 80, which is less than its share.
    """

    async def ask(
        scene: deployment.Deployment, key: str, gap_s: float, count: int
    ) -> int:
        asking: list[asyncio.Task[web_api.Response]] = []
        for _ in range(count):
            sending = scene.send_request("vm-0", "/one/x", key=key)
            asking.append(asyncio.create_task(sending))
            await asyncio.sleep(gap_s)
        answers = await asyncio.gather(*asking)
        return sum(each.status == 200 for each in answers)

    async def scenario(scene: deployment.Deployment) -> None:
        scene.add_account("small", "k-0")
        scene.add_account("flood", "k-1")
        scene.write_configuration()
        await deployment.wait_for_updates(UPDATE_S)
        narrow = [
            each
            for each in scene.searchers.values()
            if each.service == scenes.SINGLE_SERVICE
        ]

        def shed(_: searcher.ReceivedRequest) -> searcher.Reaction:
            if sum(each.running_requests for each in narrow) >= 8:
                return searcher.Reaction(0.0, 503, signed=False, not_run=True)
            return searcher.Reaction(delay_s=0.04)

        for each in narrow:
            each.script = shed
        small, flood = await asyncio.gather(
            ask(scene, "k-0", 0.05, 80), ask(scene, "k-1", 0.0025, 1600)
        )
        assert small / 80 > 1.25 * flood / 1600
        assert small + flood > 0.8 * 800
        assert scene.daemons["vm-0"].board.metrics.gauges["admission.limited"]

    scenes.run(scenario)
