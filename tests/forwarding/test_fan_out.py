"""Requests to all shards: merged, in time, and marked if shards are missing."""

from __future__ import annotations

import asyncio

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


def make_record(number: int) -> bytes:
    return number.to_bytes(16, "big")


def test_the_greatest_records_of_all_shards_come_greatest_first() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        for number, service in enumerate(scenes.SHARDS):
            body = make_record(number) + make_record(10 + number) + b"rest"
            act = searcher.Reaction(body=body)
            for index in range(2):
                scene.searchers[f"{service}-{index}"].script = act.always
        answer = await scene.send_request("vm-0", "/all/x")
        assert answer.status == 200
        assert answer.body == b"".join(map(make_record, (13, 12, 11)))
        headers = scenes.get_headers(answer)
        assert headers["azureramp-missing-parts"] == "0"
        signatures = headers["azureramp-part-stamps"].split(", ")
        assert sorted(each.split("-")[1] for each in signatures) == [
            "a",
            "b",
            "c",
            "d",
        ]

    scenes.run(scenario)


def test_a_searcher_that_pauses_is_hedged() -> None:
    """Guards against a lookup that waits although another replica is idle.

    One searcher of a shard pauses for half a second. A hedged call goes to the
    other one long before the target, and the answer is complete and in time.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for index in range(2):
            name = f"shard-a-{index}"
            scene.searchers[name].script = lambda seen: searcher.Reaction(
                delay_s=0.5
                if len(scene.searchers["shard-a-0"].requests) == 1
                and not scene.searchers["shard-a-1"].requests
                else 0.005
            )
        began_s = asyncio.get_running_loop().time()
        answer = await scene.send_request("vm-0", "/all/x")
        took_s = asyncio.get_running_loop().time() - began_s
        assert answer.status == 200
        assert scenes.get_headers(answer)["azureramp-missing-parts"] == "0"
        assert took_s < 0.06

    scenes.run(scenario)


def test_a_partial_answer_is_returned_and_marked() -> None:
    """Guards against waiting for a shard whose searchers all hang.

    Three of four shards have answered, which is enough. Shortly before the
    target a partial answer is returned, and its header states the number of
    missing parts.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for index in range(2):
            scene.searchers[f"shard-a-{index}"].script = lambda seen: (
                searcher.Reaction(connection_action="hang")
            )
        began_s = asyncio.get_running_loop().time()
        answer = await scene.send_request("vm-0", "/all/x")
        took_s = asyncio.get_running_loop().time() - began_s
        assert answer.status == 200
        assert scenes.get_headers(answer)["azureramp-missing-parts"] == "1"
        assert took_s < 0.1

    scenes.run(scenario)


def test_too_few_shards_are_refused_at_once_as_not_run() -> None:
    """Two of four shards are down permanently, so no request can be answered.

    Once that is known, a request is refused before any searcher gets it, with a
    time after which to retry, instead of waiting until its deadline.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for service in ("shard-a", "shard-b"):
            for index in range(2):
                scene.store.remove(f"servers/{service}-{index}")
        await deployment.wait_for_updates()
        before = len(scene.searchers["shard-c-0"].requests)
        answer = await scene.send_request("vm-0", "/all/x")
        assert answer.status == 503
        assert float(scenes.get_headers(answer)["retry-after"]) > 0
        assert len(scene.searchers["shard-c-0"].requests) == before

    scenes.run(scenario)


def test_a_refusal_after_a_run_does_not_say_not_run() -> None:
    """Two shards fail every call, so too few shards answer.

    Other shards have run the request by then. A 503 would promise that it has
    not run, so the status is 502.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for service in ("shard-a", "shard-b"):
            for index in range(2):
                scene.searchers[f"{service}-{index}"].script = lambda seen: (
                    searcher.Reaction(connection_action="reset")
                )
        answer = await scene.send_request("vm-0", "/all/x")
        assert answer.status == 502

    scenes.run(scenario)


def test_all_parts_come_from_one_version_of_the_shards() -> None:
    """The index is resharded while a query runs.

    The query began with the old set of shards. The new configuration is applied
    before its parts have arrived; it still completes with the old set, and the
    next query uses only the new set.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for number in range(2):
            await scene.add_searchers(f"new-{number}")
        for service in scenes.SHARDS:
            for index in range(2):
                scene.searchers[f"{service}-{index}"].script = lambda seen: (
                    searcher.Reaction(delay_s=0.6)
                )
        scene.configuration["Routes"][0]["TargetLatencyMs"] = 900
        scene.write_configuration()
        await deployment.wait_for_updates()
        running = asyncio.ensure_future(scene.send_request("vm-0", "/all/x"))
        await asyncio.sleep(0.05)
        scene.configuration["Routes"][0]["FanoutServices"] = ["new-0", "new-1"]
        scene.write_configuration()
        answer = await running
        stamps = scenes.get_headers(answer)["azureramp-part-stamps"]
        assert stamps.count("shard-") == 4
        assert "new-" not in stamps
        answer = await scene.send_request("vm-0", "/all/x")
        stamps = scenes.get_headers(answer)["azureramp-part-stamps"]
        assert stamps.count("new-") == 2
        assert "shard-" not in stamps

    scenes.run(scenario)


def test_calls_of_a_disconnected_caller_are_cut() -> None:
    """Guards against searchers that work for a caller that has disconnected.

    The calls of such a request are cut well within half a second, so that
    searchers which stop at a closed connection can reuse their slots.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.searchers.values():
            each.script = lambda seen: searcher.Reaction(delay_s=0.8)
        running = asyncio.ensure_future(scene.send_request("vm-0", "/all/x"))
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.sleep(0.4)
        cut = sum(
            sum(each.cancelled_requests.values())
            for each in scene.searchers.values()
        )
        assert cut == 4
        arrived = sum(len(each.requests) for each in scene.searchers.values())
        assert arrived == 4

    scenes.run(scenario)


def test_a_shard_of_slow_searchers_is_not_hedged() -> None:
    """All searchers of a shard become many times slower at once.

    Each lookup called both of them, which doubled the load of a shard that was
    already overloaded; its queues grew until no answer arrived in time. A hedge
    is skipped if the other searcher has overdue calls too.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        slow = [scene.searchers[f"shard-a-{index}"] for index in range(2)]
        for each in slow:
            each.script = searcher.Reaction(delay_s=0.4).always
        asking = []
        for _ in range(8):
            asking.append(
                asyncio.ensure_future(scene.send_request("vm-0", "/all/x"))
            )
            await asyncio.sleep(0.04)
        answers = await asyncio.gather(*asking)
        assert all(answer.status == 200 for answer in answers)
        assert sum(len(each.requests) for each in slow) <= 10

    scenes.run(scenario)


def test_a_hedge_that_would_be_too_late_is_skipped() -> None:
    """All searchers of a shard are slow, and each lookup calls two of them.

    Their answers are late in any case, and the hedged call takes the place of
    another lookup's first call. An overdue lookup is not hedged to a searcher
    that takes longer than the remaining time.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        slow = [scene.searchers[f"shard-a-{index}"] for index in range(2)]
        for _ in range(20):
            await scene.send_request("vm-0", "/all/x")
        for each in slow:
            each.script = searcher.Reaction(delay_s=0.12).always
        for _ in range(12):
            await scene.send_request("vm-0", "/all/x")
            await asyncio.sleep(0.15)
        before = sum(len(each.requests) for each in slow)
        for _ in range(10):
            answer = await scene.send_request("vm-0", "/all/x")
            assert answer.status == 200
            await asyncio.sleep(0.15)
        assert sum(len(each.requests) for each in slow) - before <= 11

    scenes.run(scenario)


def test_calls_no_longer_needed_are_cut_at_a_full_searcher() -> None:
    """Guards against slow searchers that work for lookups already answered.

    After a partial answer, the missing shard's call occupied a slot for another
    quarter of a second, while calls of the next lookups waited for it.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        slow = [scene.searchers[f"shard-a-{index}"] for index in range(2)]
        for each in slow:
            each.script = searcher.Reaction(delay_s=0.24).always
        await asyncio.gather(
            *(scene.send_request("vm-0", "/all/x") for _ in range(8))
        )
        await asyncio.sleep(0.05)
        assert sum(each.cancelled_requests.total() for each in slow) >= 4

    scenes.run(scenario)
