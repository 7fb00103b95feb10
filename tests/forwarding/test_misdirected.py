"""Addresses that were reassigned to another searcher."""

from __future__ import annotations

import asyncio

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


def reassign_address(scene: deployment.Deployment, name: str) -> None:
    """Assigns a searcher's address to another searcher."""
    scene.searchers[name].id = "another"


def test_a_reassigned_address_fails_no_request_and_is_avoided() -> None:
    """Guards against requests that a searcher of another service runs."""

    async def scenario(scene: deployment.Deployment) -> None:
        reassign_address(scene, "statements-0")
        for number in range(12):
            answer = await scene.send_request(
                "vm-0", "/once/x", "POST", b"%d" % number
            )
            assert answer.status == 200
        refused = scene.searchers["statements-0"].requests
        assert len(refused) <= 1
        stats = scene.daemons["vm-0"].board.targets["statements-0"].stats
        assert stats.failures == 0

    scenes.run(scenario)


def test_a_rejection_there_does_not_count_against_a_new_version() -> None:
    """Guards against rolling back a version because of a reassigned address."""

    async def scenario(scene: deployment.Deployment) -> None:
        scene.order_rollout("statements", "v2", 60.0)
        for index in range(2):
            await scene.add_searcher(
                f"new-{index}", "statements", "zone-0", "v2"
            )
        reassign_address(scene, "new-0")
        for _ in range(60):
            assert (await scene.send_request("vm-0", "/one/x")).status == 200
            await asyncio.sleep(0.05)
        running = scene.daemons["vm-0"].rollouts.active["statements"]
        tallies = {
            name: tally
            for (_, name), tally in running.call_counts.items()
            if name
        }
        assert set(tallies) == {"new-1"}
        assert tallies["new-1"].bad == 0

    scenes.run(scenario)


def test_a_request_that_all_searchers_reject_is_503_and_not_run() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        for name in ("statements-0", "statements-1"):
            reassign_address(scene, name)
        answer = await scene.send_request("vm-0", "/once/x", "POST", b"1")
        assert answer.status == 503
        assert scenes.get_headers(answer)["retry-after"]
        both = [scene.searchers[f"statements-{n}"] for n in range(2)]
        assert all(_was_refused(each) for each in both)

    scenes.run(scenario)


def _was_refused(each: searcher.Searcher) -> bool:
    """Returns True if all calls that reached a searcher named another one."""
    wanted = "azureramp-target-instance"
    return all(seen.headers[wanted] != each.id for seen in each.requests)
