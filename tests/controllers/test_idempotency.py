"""Idempotency records over an in-memory store, under virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any
from unittest import mock

import async_solipsism
import pytest

from azureramp import blackboard, errors, events, metrics, settings
from azureramp.controllers import idempotency
from azureramp.policy import backoff
from azureramp.policy import idempotency as policy
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state

Outcome = idempotency.Claimed | idempotency.Recorded | errors.Kind


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a test under virtual time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(coroutine)


class Vm:
    """One VM's records, with its own way to the shared store."""

    def __init__(self, name: str, state: store_state.State) -> None:
        """Starts the records' background work."""
        daemon = settings.Settings(
            vm=name,
            zone="a",
            http_address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
            store_address="127.0.0.1:3",
            vmlist_address="127.0.0.1:4",
        )
        self.store = memory.MemoryStore(state)
        self.board = blackboard.Blackboard(
            daemon, 1, events.Timeline(name), metrics.Metrics()
        )
        self.records = idempotency.make(
            self.board, self.store, random.Random(name)
        )
        self.task = asyncio.ensure_future(self.records.run())

    async def claim(self, key: str = "k", request_hash: int = 1) -> Outcome:
        """Claims a key."""
        result = await self.records.claim("office", key, request_hash, "r")
        return result.ok if result.is_ok() else result.error.kind

    async def claim_right(self, key: str = "k") -> idempotency.Claimed:
        """Claims a key that must be free."""
        claimed = await self.claim(key)
        assert isinstance(claimed, idempotency.Claimed), claimed
        return claimed

    async def claim_done(self, key: str = "k") -> bytes:
        """Claims a key that has run, and returns the recorded result."""
        recorded = await self.claim(key)
        assert isinstance(recorded, idempotency.Recorded), recorded
        return recorded.result

    def get_states(self) -> list[str]:
        """Returns the states that its timeline tells."""
        return [
            record.event.state
            for record in self.board.timeline.get_records()
            if isinstance(record.event, events.IdempotencyChanged)
        ]


def make_two() -> tuple[Vm, Vm]:
    state = store_state.State()
    return Vm("one", state), Vm("two", state)


def test_a_second_request_with_the_key_gets_the_recorded_outcome() -> None:
    """A funeral director's grant is sent again through another VM.

    The first run's reply to the caller was lost. The retry must get that
    run's answer, and must not run.
    """

    async def go() -> None:
        first, second = make_two()
        claimed = await first.claim_right()
        assert await first.claim() is errors.Kind.IN_PROGRESS
        assert await second.claim() is errors.Kind.IN_PROGRESS
        await first.records.finish(claimed, b'{"grant":7}')

        for vm in (first, second):
            assert await vm.claim_done() == b'{"grant":7}'
            assert await vm.claim("k", 2) is errors.Kind.KEY_REUSED
        assert first.get_states() == ["claimed", "finished", "replayed"]
        assert second.get_states() == ["replayed"]

    run(go())


def test_a_result_that_is_too_large_is_known_to_have_run() -> None:
    async def go() -> None:
        first, second = make_two()
        claimed = await first.claim_right()
        large = b'"' + b"x" * policy.MAX_RESULT_BYTES + b'"'
        await first.records.finish(claimed, large)

        recorded = await second.claim()
        assert recorded == idempotency.Recorded("r", b"null", False)

    run(go())


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
        first, second = make_two()
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

    run(go())


SAVE_FAULTS: list[dict[str, Any]] = [
    {},
    {"down": True},
    {"lost_replies": 1},
    {"lost_requests": 2},
    {"late_s": 30.0},
    {"delay_s": 1.9},
]


@pytest.mark.parametrize("faults", SAVE_FAULTS)
@pytest.mark.parametrize("last_word", ["finish", "mark_unknown", "release"])
def test_a_holders_last_word_reaches_the_store_after_an_outage(
    faults: dict[str, Any], last_word: str
) -> None:
    """The store fails just as a grant's run ends.

    The caller gets its answer within its time all the same. Once the store
    works again, a retry through any VM must hear the same.
    """

    async def go() -> None:
        first, second = make_two()
        claimed = await first.claim_right()
        first.store.faults = memory.Faults(**faults)
        began_s = asyncio.get_running_loop().time()

        if last_word == "finish":
            await first.records.finish(claimed, b"7")
        elif last_word == "mark_unknown":
            await first.records.mark_unknown(claimed)
        else:
            first.records.release(claimed)
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s <= idempotency.FINISH_S + 0.01

        if last_word == "finish":
            assert await first.claim_done() == b"7"
        await asyncio.sleep(20.0)
        first.store.faults = memory.Faults()
        await asyncio.sleep(20.0)
        match last_word:
            case "finish":
                assert await second.claim_done() == b"7"
            case "mark_unknown":
                kind = await second.claim()
                assert kind is errors.Kind.OUTCOME_UNKNOWN
            case _:
                await second.claim_right()

    run(go())


def test_a_claim_whose_holder_died_ends_as_unknown_and_never_runs() -> None:
    """A VM dies with an order that it may or may not have sent.

    Nobody can know, so nobody may run it again or say `not run`. A
    dispatcher who is told that the outcome is unknown looks it up and orders
    anew, so from then on the first order must never run: the holder, if it
    was only paused, finds its time to dispatch over.
    """

    async def go() -> None:
        first, second = make_two()
        claimed = await first.claim_right()
        loop = asyncio.get_running_loop()

        assert await second.claim() is errors.Kind.IN_PROGRESS
        await asyncio.sleep(policy.UNKNOWN_S)
        assert loop.time() > claimed.may_dispatch_until_s
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        first.records.release(claimed)
        await asyncio.sleep(5.0)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

    run(go())


def test_an_unknown_outcome_is_recorded_before_it_is_told() -> None:
    """The holder comes back with its result while others give it up.

    The store fails for the VM that would record the claim as unknown, so it
    must not say so: the holder could still release the key.
    """

    async def go() -> None:
        first, second = make_two()
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

    run(go())


def test_a_late_outcome_replaces_an_unknown_one() -> None:
    async def go() -> None:
        first, second = make_two()
        claimed = await first.claim_right()
        await first.records.mark_unknown(claimed)
        assert await second.claim() is errors.Kind.OUTCOME_UNKNOWN

        await first.records.finish(claimed, b"7")
        assert await second.claim_done() == b"7"

    run(go())


@pytest.mark.parametrize("paused_at", ["write", "reply"])
def test_a_holder_that_was_paused_while_it_claimed_may_not_dispatch(
    paused_at: str,
) -> None:
    """A VM stops for a minute while it claims, before or after the reply.

    Others may have given its claim up as unknown meanwhile, so it must not
    go on as if no time had passed.
    """

    async def go() -> None:
        first, second = make_two()
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

    run(go())


def test_an_abandoned_claim_is_released() -> None:
    """A hospital buyer closes the page while the claim is on its way."""

    async def go() -> None:
        first, second = make_two()
        await first.claim_right("other")
        first.store.faults.delay_s = 0.5
        claiming = asyncio.ensure_future(first.claim())
        await asyncio.sleep(0.3)
        claiming.cancel()
        await asyncio.sleep(5.0)

        await second.claim_right()

    run(go())


def test_claims_are_refused_at_once_during_an_outage() -> None:
    """The store is silent for minutes while orders keep coming in.

    Each must be refused at once with a time to come back, not after the
    store's timeout, and the store must not meet all of them as calls.
    """

    async def go() -> None:
        first, _ = make_two()
        await first.claim_right("other")
        first.store.faults.delay_s = 60.0
        loop = asyncio.get_running_loop()
        for number in range(3):
            await first.claim(f"early-{number}")
        writes = 0
        for number in range(200):
            began_s = loop.time()
            result = await first.records.claim("office", f"{number}", 1, "r")
            assert result.error.kind is errors.Kind.STORE_UNAVAILABLE
            assert result.error.get_retry_after_ms() >= 500
            writes += loop.time() > began_s
            await asyncio.sleep(0.01)
        assert writes <= 3

    run(go())


def test_a_record_ends_with_its_retention() -> None:
    async def go() -> None:
        first, second = make_two()
        await first.records.finish(await first.claim_right(), b"7")

        await asyncio.sleep(policy.RETENTION_S - 1.0)
        assert await second.claim_done() == b"7"
        await asyncio.sleep(2 * policy.WINDOW_S)
        await second.claim_right()

    run(go())


def test_a_lost_lease_costs_one_refusal() -> None:
    async def go() -> None:
        first, _ = make_two()
        await first.claim_right("other")
        first.store.state.expire_leases(1e9)

        assert await first.claim() is errors.Kind.STORE_UNAVAILABLE
        await first.claim_right()

    run(go())


@mock.patch.object(policy, "MAX_STORED_BYTES", 20_000_000)
def test_records_past_the_size_bound_are_refused_until_the_next_window() -> (
    None
):
    async def go() -> None:
        first, _ = make_two()
        share = policy.get_share_bytes(0)
        taken = 0
        while True:
            result = await first.records.claim("office", f"{taken}", 1, "r")
            if result.is_error():
                break
            assert isinstance(result.ok, idempotency.Claimed)
            await first.records.finish(result.ok, b"7")
            taken += 1
        assert result.error.kind is errors.Kind.OVERLOADED
        assert 0.9 * share < taken * (policy.OVERHEAD_BYTES + 4) < share

        await asyncio.sleep(result.error.get_retry_after_ms() / 1000 + 0.01)
        await first.claim_right("next")

    run(go())
