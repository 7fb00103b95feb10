"""VMs that tell each other of slow backend servers."""

from __future__ import annotations

import asyncio

from azureramp.controllers.forwarding import (
    change_log,
    load_reports,
    slow_searchers,
    slowness_exchange,
)
from azureramp.ports.forwarding import api
from azureramp.ports.vms import memory, slowness
from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes

SLOW = searcher.Reaction(load="1,0,2,850").always


def make_digest(
    percent: int = 850, age_ms: int = 0, started_ms: int = 1_000
) -> slowness.Digest:
    entry = slowness.Entry("statements-0", started_ms, percent, age_ms)
    return slowness.Digest("vm-1", (entry,))


def test_a_vm_hears_of_a_slow_searcher_from_another() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        scene.searchers["statements-0"].script = SLOW
        for _ in range(6):
            await scene.send_request("vm-0", "/one/x")
            await asyncio.sleep(0.1)
        server = (
            scene.daemons["vm-1"].board.targets["statements-0"].stats.server
        )
        assert server.get_latest()[0] == 8.5
        assert server.told is not None
        assert server.told.vm == "vm-0"
        now_s = asyncio.get_running_loop().time()
        rows = {
            vm: slow_searchers.list_slow(daemon.board, now_s)[1]
            for vm, daemon in scene.daemons.items()
        }
        assert rows["vm-0"][0].startswith("statements-0 statements 8.50 ")
        assert rows["vm-0"][0].endswith(" own")
        assert rows["vm-1"][0].endswith(" vm-0")

    scenes.run(scenario, vms=2)


def test_searchers_with_three_figures_cause_no_messages() -> None:
    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.searchers.values():
            each.script = searcher.Reaction(load="2,9,2").always
        for _ in range(12):
            await scene.send_request("vm-0", "/one/x")
        await asyncio.sleep(1.0)
        counts = scene.daemons["vm-0"].board.metrics.counts
        assert not counts["digest.sent"]

    scenes.run(scenario, vms=2)


def test_lost_messages_are_not_repeated_and_do_not_pile_up() -> None:
    """Guards against work for a VM or a zone that is cut off."""

    async def scenario(scene: deployment.Deployment) -> None:
        board = scene.daemons["vm-0"].board
        links = memory.MemoryLinks()
        reports = load_reports.LoadReports(
            board.metrics, change_log.ChangeLog()
        )
        exchange = slowness_exchange.SlownessExchange(
            board, memory.MemoryVmClient(links, "a"), reports
        )
        running = asyncio.ensure_future(exchange.run())
        target = board.targets["statements-0"]
        loop = asyncio.get_running_loop()
        for number in range(40):
            figure = 8.5 if number % 2 else 1.0
            load = api.Load(1, 0, 2, figure)
            reports.record(target, load, 1, loop.time())
            await asyncio.sleep(0.1)
        running.cancel()
        counts = board.metrics.counts
        assert counts["digest.lost"] == counts["digest.sent"] > 0
        assert counts["digest.sent"] <= 4.0 / slowness_exchange.TIMEOUT_S + 1

    scenes.run(scenario, vms=2)


def test_messages_that_no_longer_apply_are_ignored() -> None:
    """Guards against late messages and those on a restarted searcher.

    Also those on a searcher that is gone since the index was repartitioned, and
    of a VM that isn't known.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        board = scene.daemons["vm-0"].board
        exchange = scene.daemons["vm-0"].slowness_exchange
        now_s = asyncio.get_running_loop().time()
        stranger = slowness.Digest("vm-9", make_digest().entries)
        gone = slowness.Entry("gone-0", 1_000, 850, 0)
        for digest in (
            make_digest(age_ms=5_000),
            make_digest(age_ms=-5_000),
            make_digest(started_ms=2_000),
            make_digest(percent=0),
            slowness.Digest("vm-1", (gone,)),
            stranger,
        ):
            exchange.apply(digest, now_s)
        server = board.targets["statements-0"].stats.server
        assert server.told is None
        exchange.apply(make_digest(), now_s)
        assert server.told is not None

    scenes.run(scenario, vms=2)


def test_a_vm_that_tells_wrong_figures_is_ignored_after_some_calls() -> None:
    """Guards against a VM that passes on old or wrong figures."""

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.searchers.values():
            each.script = searcher.Reaction(load="1,0,2,100").always
        board = scene.daemons["vm-0"].board
        exchange = scene.daemons["vm-0"].slowness_exchange
        loop = asyncio.get_running_loop()
        for _ in range(60):
            digest = make_digest()
            both = tuple(
                slowness.Entry(f"statements-{number}", 1_000, 850, 0)
                for number in range(2)
            )
            exchange.apply(slowness.Digest(digest.vm, both), loop.time())
            await scene.send_request("vm-0", "/one/x")
            await asyncio.sleep(0.05)
        assert board.metrics.counts["digest.ignored"] > 0
        server = board.targets["statements-0"].stats.server
        assert server.get_latest()[0] == 1.0

    scenes.run(scenario, vms=2)
