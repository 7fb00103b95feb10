"""Tests of the tracking of the store's reachability."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import errors, metrics
from azureramp.controllers.forwarding import board, store_contact
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment

LOST = errors.Failure(errors.Kind.STORE_UNAVAILABLE)


@pytest.mark.parametrize("flickers", [0, 1, 3])
def test_wait_until_stable_ends_although_the_store_flaps(
    flickers: int,
) -> None:
    """Guards against a wait that misses the store's second recovery.

    After an outage, a VM reaches the store, loses it for a moment and reaches
    it again. A searcher whose entry lapsed in between stays in use until the
    store has been reachable for two seconds. The wait for that missed the
    second recovery and would have ended only after the next outage, so a
    searcher that had left received requests for minutes.
    """

    async def scenario() -> None:
        settings = deployment.make_settings("vm-0", "zone-0", 30000)
        state = board.Board(
            settings.identity, settings.bounds, metrics.Metrics(), 0.0
        )
        tracker = store_contact.StoreContactTracker(state)
        tracker.record_failure(LOST)
        stable = asyncio.ensure_future(tracker.wait_until_stable(2.2))
        await asyncio.sleep(1.0)
        tracker.record_success()
        for _ in range(flickers):
            await asyncio.sleep(0.5)
            tracker.record_failure(LOST)
            await asyncio.sleep(0.3)
            tracker.record_success()
        await asyncio.sleep(2.1)
        assert not stable.done()
        await asyncio.sleep(2.4)
        assert stable.done()

    virtual.run(scenario())
