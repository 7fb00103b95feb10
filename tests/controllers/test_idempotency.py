"""Idempotency records over an in-memory store, under virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import async_solipsism

from azureramp import blackboard, errors, events, metrics, settings
from azureramp.controllers import idempotency
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a test under virtual time."""
    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(coroutine)
    finally:
        loop.close()


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

    async def claim(
        self, key: str, request_hash: int = 1
    ) -> idempotency.Claimed | idempotency.Recorded | errors.Kind:
        """Claims a key."""
        result = await self.records.claim("office", key, request_hash, "r")
        return result.ok if result.is_ok() else result.error.kind

    async def claim_right(self, key: str) -> idempotency.Claimed:
        """Claims a key that must be free."""
        claimed = await self.claim(key)
        assert isinstance(claimed, idempotency.Claimed), claimed
        return claimed


def test_a_second_request_with_the_key_gets_the_recorded_outcome() -> None:
    """A funeral director's grant is sent again through another VM.

    The first run's reply to the caller was lost. The retry must get that
    run's answer, and must not run.
    """

    async def go() -> None:
        state = store_state.State()
        first, second = Vm("one", state), Vm("two", state)

        claimed = await first.claim_right("k")
        assert await second.claim("k") is errors.Kind.IN_PROGRESS
        await first.records.finish(claimed, b'{"grant":7}')

        for vm in (first, second):
            again = await vm.claim("k")
            assert isinstance(again, idempotency.Recorded)
            assert again.result == b'{"grant":7}'
            assert await vm.claim("k", 2) is errors.Kind.KEY_REUSED

    run(go())


def test_a_released_key_may_be_claimed_through_another_vm() -> None:
    async def go() -> None:
        state = store_state.State()
        first, second = Vm("one", state), Vm("two", state)

        first.records.release(await first.claim_right("k"))
        await first.records.drain(1.0)

        await second.claim_right("k")

    run(go())


def test_a_late_claim_is_released_and_never_dispatched() -> None:
    """The claim's reply is lost and the write lands a second later.

    The caller was told `not run`. Its retry must neither wait for ever for
    a run that never was, nor find the key free while the write may land.
    """

    async def go() -> None:
        state = store_state.State()
        first, second = Vm("one", state), Vm("two", state)
        await first.claim_right("other")

        first.store.faults.late_s = 1.0
        assert await first.claim("k") is errors.Kind.STORE_UNAVAILABLE
        first.store.faults = memory.Faults()
        await asyncio.sleep(5.0)

        await second.claim_right("k")

    run(go())
