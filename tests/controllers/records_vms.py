"""VMs reduced to their idempotency records, in virtual time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Coroutine
from typing import Any

import async_solipsism

from azureramp import (
    blackboard,
    errors,
    events,
    metrics,
    settings,
    timelines,
)
from azureramp.controllers import idempotency
from azureramp.ports.store import memory
from azureramp.ports.store import state as store_state

Outcome = idempotency.Claimed | idempotency.Recorded | errors.Kind


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a test in virtual time."""
    with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
        runner.run(coroutine)


class Vm:
    """One VM's records, with its own connection to the shared store."""

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
            daemon, 1, timelines.Timeline(name), metrics.Metrics()
        )
        self.records = idempotency.make(
            self.board, self.store, random.Random(name)
        )
        self.task = asyncio.ensure_future(self.records.run())

    async def claim(self, key: str = "k", request_hash: int = 1) -> Outcome:
        """Claims a key."""
        result = await self.records.claim("office", key, request_hash, "r")
        return result.ok if result.is_ok() else result.error.kind

    async def claim_free_key(self, key: str = "k") -> idempotency.Claimed:
        """Claims a key that must be free."""
        claimed = await self.claim(key)
        assert isinstance(claimed, idempotency.Claimed), claimed
        return claimed

    async def claim_finished_key(self, key: str = "k") -> bytes:
        """Claims a key whose request has run; returns the recorded result."""
        recorded = await self.claim(key)
        assert isinstance(recorded, idempotency.Recorded), recorded
        return recorded.result

    def get_states(self) -> list[str]:
        """Returns the states of records in the VM's timeline."""
        return [
            record.event.state
            for record in self.board.timeline.get_records()
            if isinstance(record.event, events.IdempotencyChanged)
        ]


def make_two_vms() -> tuple[Vm, Vm]:
    state = store_state.State()
    return Vm("one", state), Vm("two", state)
