"""Load reports of searchers, as a VM uses and counts them."""

from __future__ import annotations

import logbook

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes


def test_an_unreadable_load_report_is_counted_and_logged_once() -> None:
    """Guards against reports that are dropped without a trace."""

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.searchers.values():
            each.script = searcher.Reaction(load="1;0;2").always
        handler = logbook.TestHandler()
        with handler.applicationbound():
            for _ in range(12):
                await scene.send_request("vm-0", "/one/x")
        counts = scene.daemons["vm-0"].board.metrics.counts
        assert counts["report.unreadable"] == 12
        lines = [
            record.message
            for record in handler.records
            if "can't be read: '1;0;2'" in record.message
        ]
        called = [each for each in scene.searchers.values() if each.requests]
        assert len(lines) == len(set(lines)) == len(called) > 0

    scenes.run(scenario)


def test_a_restarted_searcher_starts_without_reports() -> None:
    """Guards against old knowledge of a searcher that kept its id."""

    async def scenario(scene: deployment.Deployment) -> None:
        for each in scene.searchers.values():
            each.script = searcher.Reaction(load="1,0,2,400").always
        for _ in range(12):
            await scene.send_request("vm-0", "/one/x")
        board = scene.daemons["vm-0"].board
        assert board.targets["statements-0"].stats.server.latest == 4.0
        assert board.metrics.counts["report.slow"] == 12
        again = scene.searchers["statements-0"].make_entry(born=2_000)
        scene.store.put("servers/statements-0", again)
        await deployment.wait_for_updates()
        assert not board.targets["statements-0"].stats.server.is_known()

    scenes.run(scenario)
