"""Tests of the answers from idempotency records under faults."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import mock

import pytest

from azureramp import errors
from azureramp.controllers import idempotency
from azureramp.policy import backoff
from azureramp.policy import idempotency as policy
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state
from tests.controllers import records_vms


def test_retry_with_same_key_gets_recorded_outcome() -> None:
    """A retry through another VM, after the first reply was lost.

    The retry must get the result of the first run and must not run again.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        assert await first.claim() is errors.Kind.IN_PROGRESS
        assert await second.claim() is errors.Kind.IN_PROGRESS
        await first.records.finish(claimed, b'{"grant":7}')

        for vm in (first, second):
            assert await vm.claim_finished_key() == b'{"grant":7}'
            assert await vm.claim("k", 2) is errors.Kind.KEY_REUSED
        assert first.get_states() == ["claimed", "finished", "replayed"]
        assert second.get_states() == ["replayed"]

    records_vms.run(go())


def test_too_large_result_is_recorded_as_run() -> None:
    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        large = b'"' + b"x" * policy.MAX_RESULT_BYTES + b'"'
        await first.records.finish(claimed, large)

        recorded = await second.claim()
        assert recorded == idempotency.Recorded("r", b"null", False)

    records_vms.run(go())


# Faults between the first VM and the store during a claim, and the expected
# failure; None if the claim succeeds.
CLAIM_FAULTS = [
    ({"down": True}, errors.Kind.STORE_UNAVAILABLE),
    ({"lost_replies": 1}, None),
    ({"lost_replies": 2}, None),
    ({"lost_replies": 9}, errors.Kind.STORE_UNAVAILABLE),
    ({"lost_requests": 1}, None),
    ({"lost_requests": 9}, errors.Kind.STORE_UNAVAILABLE),
    ({"late_s": 2.0}, errors.Kind.STORE_UNAVAILABLE),
    ({"late_s": 900.0}, errors.Kind.STORE_UNAVAILABLE),
    ({"delay_s": 0.8}, None),
    ({"delay_s": 1.9}, errors.Kind.STORE_UNAVAILABLE),
    ({"past": 99}, None),
]


@pytest.mark.parametrize(("faults", "kind"), CLAIM_FAULTS)
def test_claim_is_confirmed_or_refused_without_effect(
    faults: dict[str, Any], kind: errors.Kind | None
) -> None:
    """The store fails while a key is being claimed.

    The claim's write may have taken effect, may never do so, or may do so
    minutes later. A request refused with `not_run` must not run, and a retry
    must not find the key blocked forever, nor be answered as having run.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.claim_free_key("other")
        first.store.faults = memory.Faults(**faults)

        claimed = await first.claim()
        assert (claimed if isinstance(claimed, errors.Kind) else None) is kind
        first.store.faults = memory.Faults()
        await asyncio.sleep(10.0)

        if kind is None:
            assert await second.claim() is errors.Kind.IN_PROGRESS
            return
        taken = await second.claim_free_key()
        await second.records.finish(taken, b"1")
        await asyncio.sleep(1000.0)
        assert await first.claim_finished_key() == b"1"

    records_vms.run(go())


def test_claim_of_crashed_holder_becomes_unknown_and_never_runs() -> None:
    """A VM crashes while it holds a claim, before or after dispatch.

    No other VM can know which, so none may run the request or answer
    `not_run`. A caller that gets `OUTCOME_UNKNOWN` may send a new request, so
    from then on the first one must never run: if the holder was only paused,
    its time to dispatch must be over when it resumes.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        loop = asyncio.get_running_loop()

        assert await second.claim() is errors.Kind.IN_PROGRESS
        await asyncio.sleep(policy.UNKNOWN_AFTER_S)
        assert loop.time() > claimed.may_dispatch_until_s
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        first.records.release(claimed)
        await asyncio.sleep(5.0)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

    records_vms.run(go())


def test_unknown_outcome_is_recorded_before_it_is_answered() -> None:
    """The store fails for the VM that records a claim's outcome as unknown.

    That VM must not answer `OUTCOME_UNKNOWN` without the record: the holder
    could still release the key, and a retry could run the request.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        await second.claim()
        await asyncio.sleep(policy.UNKNOWN_AFTER_S)
        second.store.faults.delay_s = 0.1
        claiming = asyncio.ensure_future(second.claim())
        await asyncio.sleep(0.12)
        second.store.faults.lost_requests = 1
        assert await claiming is errors.Kind.IN_PROGRESS

        first.records.release(claimed)
        await asyncio.sleep(1.0)
        await second.claim_free_key()

    records_vms.run(go())


def test_late_outcome_replaces_unknown_one() -> None:
    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        await first.records.mark_unknown(claimed)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        await first.records.finish(claimed, b"7")
        assert await second.claim_finished_key() == b"7"

    records_vms.run(go())


@pytest.mark.parametrize("paused_at", ["write", "reply"])
def test_holder_paused_while_claiming_may_not_dispatch(
    paused_at: str,
) -> None:
    """A VM is paused for a minute during a claim, before or after the reply.

    Other VMs may have recorded the claim as unknown in the meantime, so the
    VM must not dispatch when it resumes.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.claim_free_key("other")
        loop: Any = asyncio.get_running_loop()

        def pause(_: backoff.Backoff | None = None) -> None:
            # Advances the clock without running any callbacks.
            loop._selector.clock.advance(70.0)

        claiming = asyncio.ensure_future(first.claim())
        with mock.patch.object(backoff.Backoff, "record_success", pause):
            if paused_at == "write":
                await asyncio.sleep(0)
                pause()
            assert await claiming is errors.Kind.STORE_UNAVAILABLE
        await asyncio.sleep(1.0)
        await second.claim_free_key()

    records_vms.run(go())


def test_abandoned_claim_is_released() -> None:
    """A caller disconnects while its claim is being written."""

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.claim_free_key("other")
        first.store.faults.delay_s = 0.5
        claiming = asyncio.ensure_future(first.claim())
        await asyncio.sleep(0.3)
        claiming.cancel()
        await asyncio.sleep(5.0)

        await second.claim_free_key()

    records_vms.run(go())


def test_both_in_flight_claims_of_one_key_are_released() -> None:
    """Two claims of one key get no reply, and the first takes effect late.

    The release of the second claim must not replace that of the first.
    Otherwise a request that was refused with `not_run` blocks the key.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.claim_free_key("other")
        first.store.faults.late_s = 9.0
        assert await first.claim() is errors.Kind.STORE_UNAVAILABLE
        first.store.faults = memory.Faults(lost_requests=1000)
        for _ in range(9):
            await first.claim()
            await asyncio.sleep(1.0)
        first.store.faults = memory.Faults()
        await asyncio.sleep(20.0)

        await second.claim_free_key()

    records_vms.run(go())


@pytest.mark.parametrize("faults", [{"down": True}, {"past": 9}])
def test_unreadable_outcome_is_not_answered_as_unknown(
    faults: dict[str, Any],
) -> None:
    """A request has run, but the retry's VM can't read its outcome.

    The read fails, or returns a state from before the outcome was saved. The
    outcome must neither be answered nor recorded as unknown, since it is in
    the store.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.records.finish(await first.claim_free_key(), b"7")
        second.store.faults.delay_s = 0.1
        claiming = asyncio.ensure_future(second.claim())
        await asyncio.sleep(0.12)
        second.store.faults = memory.Faults(**faults)
        assert await claiming is errors.Kind.IN_PROGRESS

        second.store.faults = memory.Faults()
        await asyncio.sleep(policy.UNKNOWN_AFTER_S)
        assert await second.claim_finished_key() == b"7"

    records_vms.run(go())


def test_processes_with_same_seed_use_different_nonces() -> None:
    """A VM is replaced by one whose clock is behind.

    The new process gets the same incarnation and the same random numbers as
    the old one. It must not treat the old one's claim as its own.
    """

    async def go() -> None:
        state = store_state.State()
        first, again = (
            records_vms.Vm("one", state),
            records_vms.Vm("one", state),
        )

        await first.claim_free_key()
        assert await again.claim() is errors.Kind.IN_PROGRESS

    records_vms.run(go())
