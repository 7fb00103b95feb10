"""Whether the store can be reached, and for how long it has been."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import errors, metrics
from azureramp.controllers.forwarding import board, contact
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment

LOST = errors.Failure(errors.Kind.STORE_UNAVAILABLE)


@pytest.mark.parametrize("flickers", [0, 1, 3])
def test_what_lapsed_is_dropped_also_where_the_store_flickers(
    flickers: int,
) -> None:
    """A searcher that left gets requests five seconds later, and for minutes.

    A VM reaches the store again after a cut, loses it for a moment and reaches
    it again. The searcher's entry went in between, so it was used until the
    store would have stayed for two seconds. The wait for that moment forgot
    the second return, and would have ended at the next outage only.
    """

    async def scenario() -> None:
        given = deployment.make_settings("vm-0", "zone-0", 30000)
        state = board.Board(
            given.identity, given.bounds, metrics.Metrics(), 0.0
        )
        contacts = contact.Contacts(state)
        contacts.note_failure(LOST)
        settled = asyncio.ensure_future(contacts.wait_settled(2.2))
        await asyncio.sleep(1.0)
        contacts.note_success()
        for _ in range(flickers):
            await asyncio.sleep(0.5)
            contacts.note_failure(LOST)
            await asyncio.sleep(0.3)
            contacts.note_success()
        await asyncio.sleep(2.1)
        assert not settled.done()
        await asyncio.sleep(2.4)
        assert settled.done()

    virtual.run(scenario())
