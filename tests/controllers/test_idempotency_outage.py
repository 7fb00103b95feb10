"""Tests of idempotency records in store outages, and of their cost."""

from __future__ import annotations

import asyncio
import random
from typing import Any
from unittest import mock

import pytest

from azureramp import blackboard, errors
from azureramp.controllers import idempotency, record_releases
from azureramp.policy import idempotency as policy
from azureramp.policy import record_limits
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
@pytest.mark.parametrize("ending", ["finish", "mark_unknown", "release"])
def test_final_state_reaches_store_after_outage(
    faults: dict[str, Any], ending: str
) -> None:
    """The store fails just as a request's run ends.

    The caller must get its answer in time nevertheless. Once the store works
    again, a retry through any VM must get the same answer.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        first.store.faults = memory.Faults(**faults)
        began_s = asyncio.get_running_loop().time()

        if ending == "finish":
            await first.records.finish(claimed, b"7")
        elif ending == "mark_unknown":
            await first.records.mark_unknown(claimed)
        else:
            first.records.release(claimed)
        took_s = asyncio.get_running_loop().time() - began_s
        assert took_s <= idempotency.OUTCOME_WAIT_S + 0.01

        if ending == "finish":
            assert await first.claim_finished_key() == b"7"
        await asyncio.sleep(20.0)
        first.store.faults = memory.Faults()
        await asyncio.sleep(20.0)
        match ending:
            case "finish":
                assert await second.claim_finished_key() == b"7"
            case "mark_unknown":
                kind = await second.claim()
                assert kind is errors.Kind.OUTCOME_UNKNOWN
            case _:
                await second.claim_free_key()

    records_vms.run(go())


def test_claims_are_refused_immediately_during_outage() -> None:
    """The store doesn't respond for minutes while requests arrive.

    Each must be refused immediately with a retry time, not after the store's
    timeout, and must not cause a call to the store each.
    """

    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        await first.claim_free_key("other")
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


def test_record_expires_after_retention() -> None:
    async def go() -> None:
        first, second = records_vms.make_two_vms()
        await first.records.finish(await first.claim_free_key(), b"7")

        await asyncio.sleep(record_limits.RETENTION_S - 1.0)
        assert await second.claim_finished_key() == b"7"
        await asyncio.sleep(2 * record_limits.LEASE_WINDOW_S)
        await second.claim_free_key()

    records_vms.run(go())


def test_outcome_after_retention_is_not_replayed() -> None:
    """A run ends more than a day after its claim.

    The key is free by then and may be reused, so the old outcome must not be
    returned for the new request.
    """

    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claimed = await first.claim_free_key()
        for _ in range(2):
            await asyncio.sleep(
                record_limits.RETENTION_S / 2 + record_limits.LEASE_WINDOW_S
            )
        await first.records.finish(claimed, b"7")

        await first.claim_free_key()
        assert await second.claim() is errors.Kind.IN_PROGRESS

    records_vms.run(go())


def test_lost_lease_costs_one_refusal() -> None:
    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        await first.claim_free_key("other")
        first.store.state.expire_leases(1e9)

        assert await first.claim() is errors.Kind.STORE_UNAVAILABLE
        await first.claim_free_key()

    records_vms.run(go())


@mock.patch.object(record_limits, "MAX_STORED_BYTES", 200_000)
def test_records_beyond_size_bound_are_refused_until_space_is_free() -> None:
    """More requests arrive than the store may hold within the retention time.

    The size bound must hold under any load. Refused requests have not run,
    and are accepted once expired records free space.
    """

    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        state = first.store.state
        loop = asyncio.get_running_loop()
        refused = most = number = 0
        while loop.time() < 1.1 * record_limits.RETENTION_S:
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


def test_simultaneous_outcomes_share_a_write() -> None:
    async def go() -> None:
        first, second = records_vms.make_two_vms()
        claims = [await first.claim_free_key(f"{n}") for n in range(40)]
        before = first.store.state.revision

        first.store.faults.lost_replies = 1
        await asyncio.gather(
            *(first.records.finish(claimed, b"7") for claimed in claims)
        )
        await asyncio.sleep(1.0)

        assert first.store.state.revision - before <= 3
        for number in range(40):
            assert await second.claim_finished_key(f"{number}") == b"7"

    records_vms.run(go())


def test_first_retry_costs_one_write_and_one_read_and_next_none() -> None:
    async def go() -> None:
        first, second = records_vms.make_two_vms()
        second.records = idempotency.make(
            second.board,
            counting.CountingStore(second.store, second.board.metrics),
            random.Random(2),
        )
        await second.claim_free_key("other")
        second.board.metrics.counts.clear()
        await first.records.finish(await first.claim_free_key(), b"7")

        await second.claim_finished_key()
        counts = second.board.metrics.counts
        assert counts["store.writes"] == counts["store.reads"] == 1
        await second.claim_finished_key()
        assert counts["store.writes"] == counts["store.reads"] == 1

    records_vms.run(go())


def test_simultaneous_claims_are_rate_limited() -> None:
    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        share = int(record_limits.MAX_RECORDS_PER_S)
        kinds = [await first.claim(f"{n}") for n in range(share + 9)]

        assert kinds.count(errors.Kind.OVERLOADED) == 9
        await asyncio.sleep(0.5)
        for number in range(share // 2):
            await first.claim_free_key(f"later-{number}")

    records_vms.run(go())


def test_record_size_stays_within_quota_estimate() -> None:
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
        assert stored <= 5 * record_limits.MAX_RECORD_BYTES

    records_vms.run(go())


@mock.patch.object(record_limits, "MAX_STORED_BYTES", 20_000_000)
def test_claims_refused_in_outage_use_no_quota() -> None:
    """A thousand requests are refused in an outage, then the store recovers.

    The refused requests must not have used up the quota of later ones.
    """

    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        await first.claim_free_key("other")
        first.store.faults.down = True
        for number in range(1000):
            await first.claim(f"{number}")
        first.store.faults.down = False
        await asyncio.sleep(3.0)

        for number in range(int(record_limits.MAX_RECORDS_PER_S)):
            await first.claim_free_key(f"after-{number}")

    records_vms.run(go())


def test_release_backlog_is_written_at_bounded_rate() -> None:
    """A hundred claims were released during an outage.

    When the store recovers, it must not get the whole backlog of every VM at
    once. A VM that shuts down writes its backlog without the rate limit,
    since no other VM can write it.
    """

    async def go() -> None:
        first, _ = records_vms.make_two_vms()
        claims = [await first.claim_free_key(f"{n}") for n in range(100)]
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


def test_store_recovery_causes_no_load_peak() -> None:
    """Requests accumulate while the store is down.

    Every caller retries at the time that it was given. When the store
    recovers, all are waiting: the load on the store must stay within the
    records' share, and all requests must be served soon.
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

        assert peak <= 2 * record_limits.MAX_RECORDS_PER_S
        assert served == 1500
        await asyncio.gather(*orders)

    records_vms.run(go())
