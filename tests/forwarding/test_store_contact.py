"""Tests of the tracking of the store's reachability."""

from __future__ import annotations

import asyncio

import pytest

from azureramp import errors, metrics
from azureramp.controllers.forwarding import board, store_contact
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment

LOST = errors.Failure(errors.Kind.STORE_UNAVAILABLE)
GRACE_S = 2.2


def receive_update(
    tracker: store_contact.StoreContactTracker, state: board.Board
) -> None:
    """Records that the store has answered with its changes."""
    tracker.record_success()
    now_s = asyncio.get_running_loop().time()
    state.updates = board.ReceivedUpdates(received_s=now_s)


async def receive_updates(
    tracker: store_contact.StoreContactTracker, state: board.Board, for_s: float
) -> None:
    """Receives an update every half second."""
    for _ in range(round(for_s / 0.5)):
        receive_update(tracker, state)
        await asyncio.sleep(0.5)


async def wait_after_outage() -> tuple[
    board.Board, store_contact.StoreContactTracker, asyncio.Future[None]
]:
    """Returns a process after an outage of 3 s, with its wait for the store."""
    settings = deployment.make_settings("vm-0", "zone-0", 30000)
    state = board.Board(
        settings.identity, settings.bounds, metrics.Metrics(), 0.0
    )
    tracker = store_contact.StoreContactTracker(state)
    receive_update(tracker, state)
    tracker.record_failure(LOST)
    await asyncio.sleep(3.0)
    waiting = asyncio.ensure_future(tracker.wait_until_available(GRACE_S))
    return state, tracker, waiting


@pytest.mark.parametrize("flaps", [0, 1, 3])
def test_a_wait_lasts_until_the_store_has_been_available_after_all_outages(
    flaps: int,
) -> None:
    """Guards against a wait that misses the end of a second outage."""

    async def scenario() -> None:
        state, tracker, waiting = await wait_after_outage()
        for _ in range(flaps):
            await receive_updates(tracker, state, 1.0)
            tracker.record_failure(LOST)
            await asyncio.sleep(3.0)
            assert not waiting.done()
        await receive_updates(tracker, state, 2.5)
        assert not waiting.done()
        receive_update(tracker, state)
        await asyncio.sleep(0.1)
        assert waiting.done()

    virtual.run(scenario())


@pytest.mark.parametrize("failures", [1, 3])
def test_a_wait_is_not_prolonged_by_failed_calls_between_answers(
    failures: int,
) -> None:
    """Guards against searchers in use as long as a VM's calls fail at times."""

    async def scenario() -> None:
        state, tracker, waiting = await wait_after_outage()
        for number in range(6):
            receive_update(tracker, state)
            if number < failures:
                tracker.record_failure(LOST)
            await asyncio.sleep(0.5)
        assert waiting.done()

    virtual.run(scenario())


def test_a_wait_needs_changes_received_after_the_outage() -> None:
    """Guards against a VM that renews its lease but receives no changes."""

    async def scenario() -> None:
        state, tracker, waiting = await wait_after_outage()
        receive_update(tracker, state)
        for _ in range(10):
            tracker.record_success()
            await asyncio.sleep(0.5)
        assert not waiting.done()
        receive_update(tracker, state)
        await asyncio.sleep(0.1)
        assert waiting.done()

    virtual.run(scenario())
