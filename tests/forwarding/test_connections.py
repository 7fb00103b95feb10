"""Connections to searchers that accept a limited number of them."""

from __future__ import annotations

from azureramp_standins.fleet import deployment
from tests.forwarding import scenes


def test_a_full_searcher_is_not_reconnected_to_repeatedly() -> None:
    """Guards against reconnecting to a full searcher on each announcement.

    The searcher held as many connections as it accepts and reset each new one.
    Each announcement of a searcher made every VM reconnect to it, 100,000 times
    in ten seconds on 64 VMs, which kept the VMs so busy that callers got half
    of their answers.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        full = scene.searchers["shard-a-0"]
        full.crash()
        await full.start()
        full.max_connections = 0
        before = full.accepted_connections
        for number in range(40):
            entry = scene.searchers["statements-0"].make_entry(Slots=2 + number)
            scene.store.put("servers/statements-0", entry)
            await deployment.wait_for_updates(0.25)
        assert 1 <= full.accepted_connections - before <= 8

    scenes.run(scenario)


def test_calls_still_open_a_first_connection_to_a_full_searcher() -> None:
    """The only searcher of a shard was full for a while.

    A VM that waited for the end of its backoff would miss that connections are
    accepted again; a call opens a connection at any time if there is none.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        only = scene.searchers["statements-0"]
        only.max_connections = 0
        only.crash()
        await only.start()
        for _ in range(3):
            await scene.send_request("vm-0", "/one/x")
        only.max_connections = 4
        await deployment.wait_for_updates(1.0)
        answer = await scene.send_request("vm-0", "/one/x")
        assert answer.status == 200

    scenes.run(scenario, searchers=1)
