"""Tests of reading all entries of the store."""

from __future__ import annotations

import itertools

from azureramp.ports.web import api as web_api
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes


def test_start_continues_after_a_page_that_failed() -> None:
    """Guards against a read of all pages that begins anew at each failure."""

    async def scenario(scene: deployment.Deployment) -> None:
        for number in range(300):
            scene.store.put(f"servers/other-{number:03}", b"?")
        calls = itertools.count(1)
        serve = scene.store.server._handler

        async def handle(request: web_api.Request) -> web_api.Response:
            if request.path == "/kv-range" and next(calls) % 3 == 0:
                return web_api.Response(503)
            return await serve(request)

        scene.store.server._handler = handle
        started = await scene.add_vm("vm-1", first_start=False)
        await deployment.wait_for_updates(5.0)
        assert started.board.configuration is not None
        pages = scene.store.call_counts["/kv-range"]
        assert pages <= 20, pages

    scenes.run(scenario)
