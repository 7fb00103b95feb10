"""Tests of changes that reach a relay at the moment when a wait times out."""

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
    request = api.ChangesRequest(vm, after, WAIT_MS)
    response = await relay.handle(
        web_api.Request(
            "POST", api.CHANGES_PATH, {}, {}, encoding.encode_request(request)
        )
    )
    assert response.status == 200
    return encoding.decode_changes(response.body)


@pytest.mark.parametrize("turns", [0, 1, 2, 3])
@pytest.mark.parametrize("ticks", [-2, -1, 0, 1])
def test_a_change_at_the_timeout_is_not_skipped(turns: int, ticks: int) -> None:
    """Guards against a response with a change's revision but not the change.

    This happened when the change arrived just as the wait timed out. The
    requesting VM then never received that change.
    """

    async def scenario(scene: deployment.Deployment) -> None:
        program: Any = scene.daemons["vm-0"]
        relay = program._relay
        loop = asyncio.get_running_loop()
        after = relay.copy.revision
        entry = store_api.Entry("op/evacuate/zone-9", b"{}", after + 1000)

        def deliver(turns_left: int) -> None:
            if turns_left:
                loop.call_soon(deliver, turns_left - 1)
            else:
                program._feed._apply_new((entry,), entry.revision)

        at_s = loop.time() + WAIT_MS / 1000 + ticks * virtual.TICK_S
        loop.call_at(at_s, deliver, turns)
        first = await ask(relay, after)
        received = {each.key for each in first.entries}
        second = await ask(relay, first.revision)
        received |= {each.key for each in second.entries}
        assert entry.key in received
        again = await ask(relay, after, "another")
        assert entry.key in {each.key for each in again.entries}

    scenes.run(scenario)
