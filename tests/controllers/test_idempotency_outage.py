"""Idempotency records: outages, their end, and what the records cost."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

import pytest

from azureramp import blackboard, errors
from azureramp.controllers import idempotency, record_releases
from azureramp.policy import idempotency as policy
from azureramp.policy import record_bounds
from azureramp.ports.store import counting, memory
from azureramp.ports.store import state as store_state
from azureramp.ports.vmlist import api as vmlist_api
from tests.controllers import records_vms

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
        first, second = records_vms.make_two()
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
        assert took_s <= idempotency.OUTCOME_WAIT_S + 0.01

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

    records_vms.run(go())


def test_claims_are_refused_at_once_during_an_outage() -> None:
    """The store is silent for minutes while orders keep coming in.

    Each must be refused at once with a time to come back, not after the
    store's timeout, and the store must not meet all of them as calls.
    """

    async def go() -> None:
        first, _ = records_vms.make_two()
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

    records_vms.run(go())


def test_a_record_ends_with_its_retention() -> None:
    async def go() -> None:
        first, second = records_vms.make_two()
        await first.records.finish(await first.claim_right(), b"7")

        await asyncio.sleep(record_bounds.RETENTION_S - 1.0)
        assert await second.claim_done() == b"7"
        await asyncio.sleep(2 * record_bounds.WINDOW_S)
        await second.claim_right()

    records_vms.run(go())


def test_a_last_word_after_the_retention_is_not_told_again() -> None:
    """A run's end is noticed more than a day after its claim.

    The key is free by then and may be used anew, so the old outcome must not
    be told as the new request's.
    """

    async def go() -> None:
        first, second = records_vms.make_two()
        claimed = await first.claim_right()
        for _ in range(2):
            await asyncio.sleep(
                record_bounds.RETENTION_S / 2 + record_bounds.WINDOW_S
            )
        await first.records.finish(claimed, b"7")

        await first.claim_right()
        assert await second.claim() is errors.Kind.IN_PROGRESS

    records_vms.run(go())


def test_a_lost_lease_costs_one_refusal() -> None:
    async def go() -> None:
        first, _ = records_vms.make_two()
        await first.claim_right("other")
        first.store.state.expire_leases(1e9)

        assert await first.claim() is errors.Kind.STORE_UNAVAILABLE
        await first.claim_right()

    records_vms.run(go())


@mock.patch.object(record_bounds, "MAX_STORED_BYTES", 200_000)
def test_records_past_the_size_bound_are_refused_until_there_is_room() -> None:
    """More orders come than the store may hold until their retention ends.

    The bound holds whatever comes; what is refused has not run, and is taken
    as room comes back.
    """

    async def go() -> None:
        first, _ = records_vms.make_two()
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

    records_vms.run(go())


def test_outcomes_that_come_up_together_share_a_write() -> None:
    async def go() -> None:
        first, second = records_vms.make_two()
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

    records_vms.run(go())


def test_the_first_retry_costs_one_write_and_one_read_and_the_next_none() -> (
    None
):
    async def go() -> None:
        first, second = records_vms.make_two()
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
        await second.claim_done()
        assert counts["store.writes"] == counts["store.reads"] == 1

    records_vms.run(go())


def test_claims_that_come_back_together_are_paced() -> None:
    async def go() -> None:
        first, _ = records_vms.make_two()
        share = int(record_bounds.RECORDS_PER_S)
        kinds = [await first.claim(f"{n}") for n in range(share + 9)]

        assert kinds.count(errors.Kind.OVERLOADED) == 9
        await asyncio.sleep(0.5)
        for number in range(share // 2):
            await first.claim_right(f"later-{number}")

    records_vms.run(go())


def test_a_record_takes_no_more_room_than_the_quota_counts() -> None:
    async def go() -> None:
        state = store_state.State()
        vm = records_vms.Vm("v" * 40, state)
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

    records_vms.run(go())


@mock.patch.object(record_bounds, "MAX_STORED_BYTES", 20_000_000)
def test_an_outage_uses_up_no_room() -> None:
    """Hundreds of orders are refused in an outage; then the store returns.

    What was refused must not have used the share of those that come after.
    """

    async def go() -> None:
        first, _ = records_vms.make_two()
        await first.claim_right("other")
        first.store.faults.down = True
        for number in range(1000):
            await first.claim(f"{number}")
        first.store.faults.down = False
        await asyncio.sleep(3.0)

        for number in range(int(record_bounds.RECORDS_PER_S)):
            await first.claim_right(f"after-{number}")

    records_vms.run(go())


def test_releases_that_piled_up_are_written_at_a_bounded_rate() -> None:
    """A hundred claims were given back during an outage.

    When the store returns it must not meet all of them, from every VM, at
    once; a VM that leaves hurries, since nobody else can write them.
    """

    async def go() -> None:
        first, _ = records_vms.make_two()
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

    records_vms.run(go())


def test_the_return_of_the_store_meets_no_stampede() -> None:
    """A hospital's orders pile up while the store is down.

    Every caller asks again as it is told. When the store returns, all are
    waiting; it must meet no more than the share of the records, and all must
    be served soon.
    """

    async def go() -> None:
        state = store_state.State()
        vms = [records_vms.Vm(f"{number}", state) for number in range(8)]
        listed = {
            vm.board.settings.vm: blackboard.Member(
                vmlist_api.Vm(vm.board.settings.vm, "a", "", "")
            )
            for vm in vms
        }
        for vm in vms:
            vm.board.members.update(listed)
            vm.store.faults = memory.Faults(down=True, delay_s=0.004)
        served = 0

        async def order(number: int) -> None:
            nonlocal served
            rng = random.Random(number)
            while True:
                vm = vms[rng.randrange(8)]
                answer = await vm.records.claim("office", f"{number}", 1, "r")
                if answer.is_ok():
                    assert isinstance(answer.ok, idempotency.Claimed)
                    served += 1
                    await vm.records.finish(answer.ok, b"7")
                    return
                wait_ms = answer.error.get_retry_after_ms()
                await asyncio.sleep(wait_ms / 1000)

        orders = [asyncio.ensure_future(order(n)) for n in range(1500)]
        await asyncio.sleep(15.0)
        for vm in vms:
            vm.store.faults.down = False
        peak = 0
        for _ in range(20):
            before = state.revision
            await asyncio.sleep(1.0)
            peak = max(peak, state.revision - before)

        assert peak <= 2 * record_bounds.RECORDS_PER_S
        assert served == 1500
        await asyncio.gather(*orders)

    records_vms.run(go())
