"""Requests that crash the searchers that run them."""

from __future__ import annotations

import asyncio

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


async def restart_later(each: searcher.Searcher) -> None:
    await asyncio.sleep(1.0)
    await each.start()


def crash_on_poison(scene: deployment.Deployment) -> list[str]:
    """Makes searchers crash on `poison`; returns the crashed ones in order."""
    crashed: list[str] = []

    def script(each: searcher.Searcher) -> searcher.Script:
        def act(seen: searcher.ReceivedRequest) -> searcher.Reaction:
            if "poison" not in seen.target:
                return searcher.Reaction()
            crashed.append(each.id)
            loop = asyncio.get_running_loop()
            loop.call_later(0.003, each.crash)
            tasks.append(asyncio.ensure_future(restart_later(each)))
            return searcher.Reaction(delay_s=0.5)

        return act

    tasks: list[asyncio.Task[None]] = []
    for each in scene.searchers.values():
        each.script = script(each)
    return crashed


def test_a_request_that_crashes_searchers_is_refused_on_every_vm() -> None:
    """Guards against one request that crashes a service's searchers repeatedly.

    Each searcher that runs it crashes, and its caller sends it again, to
    another VM each time. After a few crashes it is refused on every VM, with a
    time after which to retry; other requests are served.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        crashed = crash_on_poison(scene)
        for round_ in range(6):
            vm = f"vm-{round_ % 2}"
            await scene.send_request(vm, "/one/poison")
            await deployment.wait_for_updates(3.0)
        assert 3 <= len(crashed) <= 6
        for vm in scene.daemons:
            answer = await scene.send_request(vm, "/one/poison")
            assert answer.status == 503
            assert float(scenes.get_headers(answer)["retry-after"]) > 10
            assert (await scene.send_request(vm, "/one/fine")).status == 200

    scenes.run(scenario, vms=2)


def test_a_request_that_may_run_once_is_counted_over_all_vms() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        crashed = crash_on_poison(scene)
        for round_ in range(8):
            await scene.send_request(
                f"vm-{round_ % 4}", "/once/poison", "POST", b"x"
            )
            await deployment.wait_for_updates(3.0)
        assert 3 <= len(crashed) <= 5

    scenes.run(scenario, vms=4)


def test_lost_answers_are_not_attributed_as_crashes() -> None:
    """Guards against quarantining a request because its answers got lost.

    Each loss breaks one connection and a new one can be opened, so the request
    did not crash the searcher and may be sent again.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        for index in range(2):
            scene.searchers[f"statements-{index}"].script = lambda seen: (
                searcher.Reaction(connection_action="reset")
            )
        for _ in range(8):
            answer = await scene.send_request("vm-0", "/one/x")
            assert answer.status in (502, 503)
            await deployment.wait_for_updates(2.0)
        for index in range(2):
            name = f"statements-{index}"
            scene.searchers[name].script = searcher.Reaction().always
        await deployment.wait_for_updates(2.0)
        assert (await scene.send_request("vm-0", "/one/x")).status == 200

    scenes.run(scenario)
