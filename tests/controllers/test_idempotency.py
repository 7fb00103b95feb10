"""Idempotency records: what callers are told, whatever happens."""

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


def test_a_second_request_with_the_key_gets_the_recorded_outcome() -> None:
    """A funeral director's grant is sent again through another VM.

    The first run's reply to the caller was lost. The retry must get that
    run's answer, and must not run.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        assert await first.claim() is errors.Kind.IN_PROGRESS
        assert await second.claim() is errors.Kind.IN_PROGRESS
        await first.records.finish(claimed, b'{"grant":7}')

        for vm in (first, second):
            assert await vm.claim_done() == b'{"grant":7}'
            assert await vm.claim("k", 2) is errors.Kind.KEY_REUSED
        assert first.get_states() == ["claimed", "finished", "replayed"]
        assert second.get_states() == ["replayed"]

    records_vms.run(go())


def test_a_result_that_is_too_large_is_known_to_have_run() -> None:
    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        large = b'"' + b"x" * policy.MAX_RESULT_BYTES + b'"'
        await first.records.finish(claimed, large)

        recorded = await second.claim()
        assert recorded == idempotency.Recorded("r", b"null", False)

    records_vms.run(go())


# What goes wrong between the first VM and the store while it claims, and
# what it may answer: None stands for the right to dispatch.
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
def test_a_claim_is_held_for_sure_or_not_at_all(
    faults: dict[str, Any], kind: errors.Kind | None
) -> None:
    """The store fails while an order's key is being claimed.

    The claim's write may have landed, may never land, or may land minutes
    later. Refused with `not run`, the order must not run; and its retry must
    neither find the key blocked for good nor be told that it has run.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        await first.claim_right("other")
        first.store.faults = memory.Faults(**faults)

        claimed = await first.claim()
        assert (claimed if isinstance(claimed, errors.Kind) else None) is kind
        first.store.faults = memory.Faults()
        await asyncio.sleep(10.0)

        if kind is None:
            assert await second.claim() is errors.Kind.IN_PROGRESS
            return
        taken = await second.claim_right()
        await second.records.finish(taken, b"1")
        await asyncio.sleep(1000.0)
        assert await first.claim_done() == b"1"

    records_vms.run(go())


def test_a_claim_whose_holder_died_ends_as_unknown_and_never_runs() -> None:
    """A VM dies with an order that it may or may not have sent.

    Nobody can know, so nobody may run it again or say `not run`. A
    dispatcher who is told that the outcome is unknown looks it up and orders
    anew, so from then on the first order must never run: the holder, if it
    was only paused, finds its time to dispatch over.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        loop = asyncio.get_running_loop()

        assert await second.claim() is errors.Kind.IN_PROGRESS
        await asyncio.sleep(policy.UNKNOWN_S)
        assert loop.time() > claimed.may_dispatch_until_s
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        first.records.release(claimed)
        await asyncio.sleep(5.0)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

    records_vms.run(go())


def test_an_unknown_outcome_is_recorded_before_it_is_told() -> None:
    """The holder comes back with its result while others give it up.

    The store fails for the VM that would record the claim as unknown, so it
    must not say so: the holder could still release the key.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        await second.claim()
        await asyncio.sleep(policy.UNKNOWN_S)
        second.store.faults.delay_s = 0.1
        claiming = asyncio.ensure_future(second.claim())
        await asyncio.sleep(0.12)
        second.store.faults.lost_requests = 1
        assert await claiming is errors.Kind.IN_PROGRESS

        first.records.release(claimed)
        await asyncio.sleep(1.0)
        await second.claim_right()

    records_vms.run(go())


def test_a_late_outcome_replaces_an_unknown_one() -> None:
    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        await first.records.mark_unknown(claimed)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        await first.records.finish(claimed, b"7")
        assert await second.claim_done() == b"7"

    records_vms.run(go())


@pytest.mark.parametrize("paused_at", ["write", "reply"])
def test_a_holder_that_was_paused_while_it_claimed_may_not_dispatch(
    paused_at: str,
) -> None:
    """A VM stops for a minute while it claims, before or after the reply.

    Others may have given its claim up as unknown meanwhile, so it must not
    go on as if no time had passed.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        await first.claim_right("other")
        loop: Any = asyncio.get_running_loop()

        def pause(_: backoff.Backoff | None = None) -> None:
            # The clock jumps ahead with nothing run in between.
            loop._selector.clock.advance(70.0)

        claiming = asyncio.ensure_future(first.claim())
        with mock.patch.object(backoff.Backoff, "record_success", pause):
            if paused_at == "write":
                await asyncio.sleep(0)
                pause()
            assert await claiming is errors.Kind.STORE_UNAVAILABLE
        await asyncio.sleep(1.0)
        await second.claim_right()

    records_vms.run(go())


def test_an_abandoned_claim_is_released() -> None:
    """A hospital buyer closes the page while the claim is on its way."""

    async def go() -> None:
        first, second = records_vms.make_two()
        await first.claim_right("other")
        first.store.faults.delay_s = 0.5
        claiming = asyncio.ensure_future(first.claim())
        await asyncio.sleep(0.3)
        claiming.cancel()
        await asyncio.sleep(5.0)

        await second.claim_right()

    records_vms.run(go())


def test_both_claims_of_one_key_on_their_way_are_released() -> None:
    """A VM loses two claims of one key, and the first one lands late.

    The second claim's release must not take the place of the first's, or
    the key stays blocked by a request that was refused as not run.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        await first.claim_right("other")
        first.store.faults.late_s = 9.0
        assert await first.claim() is errors.Kind.STORE_UNAVAILABLE
        first.store.faults = memory.Faults(lost_requests=1000)
        for _ in range(9):
            await first.claim()
            await asyncio.sleep(1.0)
        first.store.faults = memory.Faults()
        await asyncio.sleep(20.0)

        await second.claim_right()

    records_vms.run(go())


@pytest.mark.parametrize("faults", [{"down": True}, {"past": 9}])
def test_an_outcome_that_cannot_be_read_is_not_called_unknown(
    faults: dict[str, Any],
) -> None:
    """A grant has run, and the VM that is asked can't see its outcome yet.

    Its read fails, or answers from before the outcome was saved. That must
    not be told as `unknown`, let alone recorded, while the truth is there.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        await first.records.finish(await first.claim_right(), b"7")
        second.store.faults.delay_s = 0.1
        claiming = asyncio.ensure_future(second.claim())
        await asyncio.sleep(0.12)
        second.store.faults = memory.Faults(**faults)
        assert await claiming is errors.Kind.IN_PROGRESS

        second.store.faults = memory.Faults()
        await asyncio.sleep(policy.UNKNOWN_S)
        assert await second.claim_done() == b"7"

    records_vms.run(go())


def test_two_processes_with_the_same_seed_never_share_a_nonce() -> None:
    """A VM is replaced, and the new one's clock is behind.

    It gets the old one's incarnation and draws the same random numbers. A
    claim of the old one must not be taken for its own.
    """

    async def go() -> None:
        state = store_state.State()
        first, again = (
            records_vms.Vm("one", state),
            records_vms.Vm("one", state),
        )

        await first.claim_right()
        assert await again.claim() is errors.Kind.IN_PROGRESS

    records_vms.run(go())
