"""Searchers that lost power: connections to them hang instead of failing."""

from __future__ import annotations

import asyncio
from typing import Any

from azureramp_standins.fleet import deployment, searcher
from tests.forwarding import scenes

HANG_S = 3600.0

PROMPT_S = 0.015
"""Maximum duration of an answer that waited for no call to a searcher without
power; hedges are sent after 20 ms at the earliest."""


class HangingConnections:
    """Makes new connections to some addresses hang."""

    def __init__(self) -> None:
        self.ports: set[int] = set()
        loop = asyncio.get_running_loop()
        connect = loop.create_connection

        async def create_connection(
            factory: Any, host: str, port: int, **more: Any
        ) -> Any:
            if port in self.ports:
                await asyncio.sleep(HANG_S)
            return await connect(factory, host, port, **more)

        loop.create_connection = create_connection  # type: ignore[method-assign,assignment]

    def add(self, dark: searcher.Searcher) -> None:
        self.ports.add(int(dark.address.rpartition(":")[2]))

    def clear(self) -> None:
        self.ports.clear()


def test_a_grant_that_waits_for_a_connection_goes_to_another_searcher() -> None:
    """Guards against refusing a grant although a searcher is available.

    The other searcher has just lost power, which no VM has detected yet. The
    grant waits for a connection to it that never opens. It may run only once,
    but no byte of it was sent, so it may go to another searcher.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        hanging = HangingConnections()
        dark = scene.searchers["statements-0"]
        hanging.add(dark)
        dark.crash()
        loop = asyncio.get_running_loop()
        for number in range(6):
            began_s = loop.time()
            answer = await scene.send_request(
                "vm-0", "/once/x", "POST", b"%d" % number
            )
            assert answer.status == 200
            assert loop.time() - began_s < 0.1
        hanging.clear()

    scenes.run(scenario)


def test_no_request_waits_to_check_if_a_dark_searcher_is_back() -> None:
    """Guards against late lookups each second while a searcher has no power.

    The searcher was known to be down, but each VM tried it once a second with a
    caller's request, which waited until its hedge. Opening a new connection
    shows as well whether it is back, without delaying a caller.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        hanging = HangingConnections()
        dark = scene.searchers["statements-0"]
        loop = asyncio.get_running_loop()
        for _ in range(30):
            await scene.send_request("vm-0", "/one/x")
        hanging.add(dark)
        dark.script = searcher.Reaction(connection_action="hang").always
        stats = scene.daemons["vm-0"].board.targets["statements-0"].stats
        for _ in range(300):
            if stats.is_excluded(loop.time()):
                break
            await scene.send_request("vm-0", "/one/x")
            await asyncio.sleep(0.03)
        until_s = loop.time() + 4.0
        while loop.time() < until_s:
            began_s = loop.time()
            answer = await scene.send_request("vm-0", "/one/x")
            assert answer.status == 200
            assert loop.time() - began_s < PROMPT_S
            await asyncio.sleep(0.03)
        dark.script = searcher.Reaction().always
        hanging.clear()
        before = len(dark.requests)
        for _ in range(60):
            await scene.send_request("vm-0", "/one/x")
            await asyncio.sleep(0.03)
        assert len(dark.requests) > before, "the searcher is used again"

    scenes.run(scenario)


def test_a_lookup_avoids_a_searcher_that_opens_no_connection() -> None:
    """Guards against late lookups between a power loss and the entry's removal.

    Calls that wait for a first connection were dropped unsent once their hedge
    had answered, without counting as failures, so the next lookup waited there
    again.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        hanging = HangingConnections()
        dark = scene.searchers["shard-a-0"]
        hanging.add(dark)
        dark.crash()
        loop = asyncio.get_running_loop()
        prompt = 0
        for _ in range(20):
            began_s = loop.time()
            answer = await scene.send_request("vm-0", "/all/x")
            assert answer.status == 200
            prompt += loop.time() - began_s < PROMPT_S
            await asyncio.sleep(0.03)
        assert prompt >= 17
        hanging.clear()

    scenes.run(scenario)
