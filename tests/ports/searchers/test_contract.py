"""Tests of the contract that every searchers port implementation fulfils."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from azureramp import errors
from azureramp.ports.searchers import calls
from tests.ports.searchers import harness as harness_module

Harness = harness_module.Harness
make_call = harness_module.make_call
wait_until = harness_module.wait_until

KINDS = ("memory", "http_in_memory", "http_on_loopback")
CROSSED, LOST = errors.Kind.CROSSED_REPLY, errors.Kind.CONNECTION_LOST


def allow() -> bool:
    return True


@pytest.mark.parametrize("kind", KINDS)
def test_reply_belongs_to_its_call(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        result = await harness.port.call(make_call(harness.address), allow)

        reply = result.ok
        assert reply.call_id == "r1/1"
        assert (reply.version, reply.low, reply.high) == (1, 0, 1200)

    harness_module.run(kind, scenario)


FAULTS: list[tuple[str, Any, dict[str, Any], set[errors.Kind], bool]] = [
    ("shed", 1.0, {}, {errors.Kind.SHED}, True),
    ("fail", 1.0, {}, {errors.Kind.BACKEND_FAILED}, True),
    ("crossed", 1, {}, {CROSSED}, True),
    ("truncated", 1, {}, {CROSSED, LOST}, True),
    ("hang", 1, {"deadline_ms": 50.0}, {errors.Kind.DEADLINE_PASSED}, True),
    ("fail", 0.0, {"version": 9}, {errors.Kind.VERSION_GONE}, True),
    ("fail", 0.0, {"deadline_ms": 0.0}, {errors.Kind.DEADLINE_PASSED}, False),
]
"""Fault, its value and call fields; the expected kinds and `sent`."""


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("fault", "value", "fields", "expected", "sent"), FAULTS
)
def test_fault_returns_its_kind_and_the_next_call_works(
    kind: str,
    fault: str,
    value: Any,
    fields: dict[str, Any],
    expected: set[errors.Kind],
    sent: bool,
) -> None:
    async def scenario(harness: Harness) -> None:
        harness.fail(fault, value)
        result = await harness.port.call(
            make_call(harness.address, **fields), allow
        )
        harness.fail(fault, 0)
        again = await harness.port.call(
            make_call(harness.address, call_id="r2/1"), allow
        )

        assert result.error.failure.kind in expected
        assert result.error.sent == sent
        assert again.ok.call_id == "r2/1"

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_is_unsent_if_the_connection_is_refused(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        await harness.stop()
        asked: list[bool] = []

        def ask() -> bool:
            asked.append(True)
            return True

        result = await harness.port.call(make_call(harness.address), ask)

        assert result.error.failure.kind is LOST
        assert not result.error.sent
        assert not asked

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_without_permission_is_unsent_and_asks_once(
    kind: str,
) -> None:
    async def scenario(harness: Harness) -> None:
        asked: list[int] = []

        def forbid() -> bool:
            asked.append(harness.connects)
            return False

        call = make_call(harness.address, idempotent=False)
        result = await harness.port.call(call, forbid)
        again = await harness.port.call(call, allow)

        assert result.error.failure.kind is errors.Kind.NOT_OWNER
        assert not result.error.sent
        assert asked == [1]
        assert again.is_ok()
        assert harness.count_effects() == 1
        assert harness.connects == 1

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_cancelling_a_call_cancels_it_at_the_searcher(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        harness.fail("hang", 1)
        calling = asyncio.ensure_future(
            harness.port.call(make_call(harness.address), allow)
        )
        await wait_until(harness.count_running)
        calling.cancel()
        await asyncio.wait({calling})
        await wait_until(lambda: not harness.count_running())

        assert calling.cancelled()
        assert harness.port.count_connections(harness.address).open_count == 0

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_open_connections_do_not_exceed_the_limit(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        harness.port.set_limit(harness.address, 5)
        for fresh in (False, True):
            await harness.port.read_health(harness.address, fresh)
        results = await asyncio.gather(
            *(
                harness.port.call(
                    make_call(harness.address, call_id=f"r{number}/1"), allow
                )
                for number in range(30)
            )
        )

        assert all(result.is_ok() for result in results)
        assert harness.port.count_connections(harness.address).open_count == 4
        assert harness.connects == 5

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_idle_connections_are_reused_and_limit_zero_closes_them(
    kind: str,
) -> None:
    async def scenario(harness: Harness) -> None:
        for number in range(5):
            call = make_call(harness.address, call_id=f"r{number}/1")
            await harness.port.call(call, allow)
        used = harness.connects
        harness.port.set_limit(harness.address, 0)

        assert used == 1
        assert harness.port.count_connections(harness.address).open_count == 0
        assert harness.port.count_connections(harness.address).lost_count == 0

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_restart_breaks_connections_and_changes_the_incarnation(
    kind: str,
) -> None:
    async def scenario(harness: Harness) -> None:
        await harness.port.call(make_call(harness.address), allow)
        before = await harness.port.read_health(harness.address)
        await harness.stop()
        await wait_until(
            lambda: (
                harness.port.count_connections(harness.address).lost_count == 2
            )
        )
        down = await harness.port.read_health(harness.address)
        await harness.restart()
        after = await harness.port.read_health(harness.address)

        assert harness.port.count_connections(harness.address).lost_count == 2
        assert down.error.kind is LOST
        assert after.ok.incarnation == before.ok.incarnation + 1
        assert after.ok.versions == (harness_module.VERSION,)

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_calls_aborted_by_a_crash_are_lost_and_count_as_sent(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        harness.fail("hang", 2)
        calling = [
            asyncio.ensure_future(
                harness.port.call(
                    make_call(harness.address, call_id=f"r{number}/1"), allow
                )
            )
            for number in range(2)
        ]
        await wait_until(lambda: harness.count_running() == 2)
        await harness.stop()
        results = await asyncio.gather(*calling)

        for result in results:
            assert result.error.failure.kind is LOST
            assert result.error.sent

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_call_with_side_effects_runs_once(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        call = make_call(harness.address, idempotent=False)
        result = await harness.port.call(call, allow)

        assert result.is_ok()
        assert harness.count_effects() == 1

    harness_module.run(kind, scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_close_leaves_no_open_connection(kind: str) -> None:
    async def scenario(harness: Harness) -> None:
        await harness.port.call(make_call(harness.address), allow)
        await harness.port.read_health(harness.address)
        await harness.port.close()

        assert harness.port.count_connections(harness.address).open_count == 0

    harness_module.run(kind, scenario)


def test_process_paused_after_computing_a_deadline_does_not_write() -> None:
    """A process is paused between encoding a call and writing it.

    The searcher would receive a deadline that is too late by the length of
    the pause, and its work could outlast the lease. `may_write` must not even
    be called.
    """

    async def scenario() -> None:
        now_s = asyncio.get_running_loop().time()
        asked: list[float] = []

        def ask() -> bool:
            asked.append(now_s)
            return True

        paused = calls.WritePermission(
            ask, computed_s=now_s - 2 * calls.MAX_ENCODE_S
        )
        prompt = calls.WritePermission(ask, computed_s=now_s)

        assert not paused.check()
        assert not paused.checked
        assert prompt.check()
        assert len(asked) == 1

    harness_module.run_virtual(scenario())
