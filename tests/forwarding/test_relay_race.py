"""Changes that reach a relay in the moment in which a wait ends."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from azureramp.controllers.forwarding import relay as relay_module
from azureramp.ports.relays import api, encoding
from azureramp.ports.store import api as store_api
from azureramp.ports.web import api as web_api
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment
from tests.forwarding import scenes

WAIT_MS = 1000


async def ask(
    relay: relay_module.Relay, after: int, vm: str = "asker"
) -> api.Changes:
    question = api.Question(vm, after, WAIT_MS)
    response = await relay.handle(
        web_api.Request(
            "POST", api.CHANGES_PATH, {}, {}, encoding.encode_question(question)
        )
    )
    assert response.status == 200
    return encoding.decode_changes(response.body)


@pytest.mark.parametrize("turns", [0, 1, 2, 3])
@pytest.mark.parametrize("ticks", [-2, -1, 0, 1])
def test_a_change_at_the_wait_s_end_is_not_skipped(
    turns: int, ticks: int
) -> None:
    """Guards against a VM that never hears of a configuration."""

    async def scenario(scene: deployment.Deployment) -> None:
        program: Any = scene.programs["vm-0"]
        relay = program._relay
        loop = asyncio.get_running_loop()
        after = relay.copy.revision
        entry = store_api.Entry("op/evacuate/zone-9", b"{}", after + 1000)

        def change(left: int) -> None:
            if left:
                loop.call_soon(change, left - 1)
            else:
                program._feed._take((entry,), entry.revision)

        at_s = loop.time() + WAIT_MS / 1000 + ticks * virtual.TICK_S
        loop.call_at(at_s, change, turns)
        first = await ask(relay, after)
        heard = {each.key for each in first.entries}
        second = await ask(relay, first.revision)
        heard |= {each.key for each in second.entries}
        assert entry.key in heard
        again = await ask(relay, after, "another")
        assert entry.key in {each.key for each in again.entries}

    scenes.run(scenario)
