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
from azureramp.controllers import idempotency, record_releases
from azureramp.policy import backoff, record_bounds
from azureramp.policy import idempotency as policy
from azureramp.ports.store import counting, memory
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

        await asyncio.sleep(record_bounds.RETENTION_S - 1.0)
        assert await second.claim_done() == b"7"
        await asyncio.sleep(2 * record_bounds.WINDOW_S)
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


@mock.patch.object(record_bounds, "MAX_STORED_BYTES", 200_000)
def test_records_past_the_size_bound_are_refused_until_there_is_room() -> None:
    """More orders come than the store may hold until their retention ends.

    The bound holds whatever comes; what is refused has not run, and is taken
    as room comes back.
    """

    async def go() -> None:
        first, _ = make_two()
        state = first.store.state
        loop = asyncio.get_running_loop()
        refused = most = number = 0
        while loop.time() < 1.1 * record_bounds.RETENTION_S:
            number += 1
            result = await first.records.claim("office", f"{number}", 1, "r")
            if result.is_error():
                assert result.error.kind is errors.Kind.OVERLOADED
                refused += 1
                await asyncio.sleep(result.error.get_retry_after_ms() / 1000)
                continue
            assert isinstance(result.ok, idempotency.Claimed)
            await first.records.finish(result.ok, b"7")
            if (number - refused) % 20:
                continue
            stored = state.list("/azureramp/idempotency/").entries
            sizes = (len(each.key) + len(each.value or b"") for each in stored)
            most = max(most, sum(sizes))
        assert refused > 0
        assert 0.8 * 200_000 < most <= 200_000

    run(go())


def test_both_claims_of_one_key_on_their_way_are_released() -> None:
    """A VM loses two claims of one key, and the first one lands late.

    The second claim's release must not take the place of the first's, or
    the key stays blocked by a request that was refused as not run.
    """

    async def go() -> None:
        first, second = make_two()
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

    run(go())


def test_outcomes_that_come_up_together_share_a_write() -> None:
    async def go() -> None:
        first, second = make_two()
        claims = [await first.claim_right(f"{n}") for n in range(40)]
        before = first.store.state.revision

        first.store.faults.lost_replies = 1
        await asyncio.gather(
            *(first.records.finish(claimed, b"7") for claimed in claims)
        )
        await asyncio.sleep(1.0)

        assert first.store.state.revision - before <= 3
        for number in range(40):
            assert await second.claim_done(f"{number}") == b"7"

    run(go())


def test_a_retry_costs_one_write_and_one_read() -> None:
    async def go() -> None:
        first, second = make_two()
        second.records = idempotency.make(
            second.board,
            counting.CountingStore(second.store, second.board.metrics),
            random.Random(2),
        )
        await second.claim_right("other")
        second.board.metrics.counts.clear()
        await first.records.finish(await first.claim_right(), b"7")

        await second.claim_done()
        counts = second.board.metrics.counts
        assert counts["store.writes"] == counts["store.reads"] == 1

    run(go())


@pytest.mark.parametrize("faults", [{"down": True}, {"past": 9}])
def test_an_outcome_that_cannot_be_read_is_not_called_unknown(
    faults: dict[str, Any],
) -> None:
    """A grant has run, and the VM that is asked can't see its outcome yet.

    Its read fails, or answers from before the outcome was saved. That must
    not be told as `unknown`, let alone recorded, while the truth is there.
    """

    async def go() -> None:
        first, second = make_two()
        await first.records.finish(await first.claim_right(), b"7")
        second.store.faults.delay_s = 0.1
        claiming = asyncio.ensure_future(second.claim())
        await asyncio.sleep(0.12)
        second.store.faults = memory.Faults(**faults)
        assert await claiming is errors.Kind.IN_PROGRESS

        second.store.faults = memory.Faults()
        await asyncio.sleep(policy.UNKNOWN_S)
        assert await second.claim_done() == b"7"

    run(go())


def test_claims_that_come_back_together_are_paced() -> None:
    async def go() -> None:
        first, _ = make_two()
        share = int(record_bounds.RECORDS_PER_S)
        kinds = [await first.claim(f"{n}") for n in range(share + 9)]

        assert kinds.count(errors.Kind.OVERLOADED) == 9
        await asyncio.sleep(0.5)
        for number in range(share // 2):
            await first.claim_right(f"later-{number}")

    run(go())


def test_a_record_takes_no_more_room_than_the_quota_counts() -> None:
    async def go() -> None:
        state = store_state.State()
        vm = Vm("v" * 40, state)
        result = b"[" + b"7" * (policy.MAX_RESULT_BYTES - 2) + b"]"
        for number in range(5):
            key = f"{number}" * 200
            answer = await vm.records.claim("o" * 40, key, 2**64 - 1, "r" * 36)
            assert isinstance(answer.ok, idempotency.Claimed)
            await vm.records.finish(answer.ok, result)
        stored = sum(
            len(entry.key) + len(entry.value or b"")
            for entry in state.list("/azureramp/idempotency/").entries
        )
        assert stored <= 5 * record_bounds.MAX_RECORD_BYTES

    run(go())


def test_two_processes_with_the_same_seed_never_share_a_nonce() -> None:
    """A VM is replaced, and the new one's clock is behind.

    It gets the old one's incarnation and draws the same random numbers. A
    claim of the old one must not be taken for its own.
    """

    async def go() -> None:
        state = store_state.State()
        first, again = Vm("one", state), Vm("one", state)

        await first.claim_right()
        assert await again.claim() is errors.Kind.IN_PROGRESS

    run(go())


@mock.patch.object(record_bounds, "MAX_STORED_BYTES", 20_000_000)
def test_an_outage_uses_up_no_room() -> None:
    """Hundreds of orders are refused in an outage; then the store returns.

    What was refused must not have used the share of those that come after.
    """

    async def go() -> None:
        first, _ = make_two()
        await first.claim_right("other")
        first.store.faults.down = True
        for number in range(1000):
            await first.claim(f"{number}")
        first.store.faults.down = False
        await asyncio.sleep(3.0)

        for number in range(int(record_bounds.RECORDS_PER_S)):
            await first.claim_right(f"after-{number}")

    run(go())


def test_releases_that_piled_up_are_written_at_a_bounded_rate() -> None:
    """A hundred claims were given back during an outage.

    When the store returns it must not meet all of them, from every VM, at
    once; a VM that leaves hurries, since nobody else can write them.
    """

    async def go() -> None:
        first, _ = make_two()
        claims = [await first.claim_right(f"{n}") for n in range(100)]
        first.store.faults.down = True
        for claimed in claims:
            first.records.release(claimed)
        await asyncio.sleep(30.0)
        first.store.faults.down = False
        before = first.store.state.revision
        await asyncio.sleep(4.0)
        written = first.store.state.revision - before

        assert 0 < written <= 4 * record_releases.OVERDUE_PER_S
        await first.records.drain(0.5)
        assert first.store.state.revision - before == 100

    run(go())
