"""Tests of the contract of the key-value store, in memory and over HTTP.

Over HTTP the platform stand-in is the server, in the same process. Most tests
run under virtual time; the last one repeats the checks over real sockets.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

import async_solipsism
import pytest

from azureramp import errors, metrics
from azureramp.ports.store import api, counting, http, memory
from azureramp.ports.store import state as store_state
from azureramp_standins import platform
from tests.ports import addresses

ADDRESS = "127.0.0.1:7001"


@dataclasses.dataclass(slots=True)
class Bench:
    """A store under test and the means to inject faults.

    Attributes:
        store: The store.
        state: The state of the service.
        set_faults: Sets the faults: down, late_s, lost_replies, lost_requests,
            past, slow_s.
    """

    store: api.Store
    state: store_state.State
    set_faults: Callable[..., None]


Check = Callable[[Bench], Awaitable[None]]


async def run_in_memory(check: Check) -> None:
    store = memory.MemoryStore(store_state.State())

    def set_faults(slow_s: float = 0.0, **faults: Any) -> None:
        store.faults = memory.Faults(delay_s=slow_s, **faults)

    await check(Bench(store, store.state, set_faults))


async def run_over_http(check: Check, address: str = ADDRESS) -> None:
    standin = platform.make(address)
    await standin.server.start()
    store = http.HttpStore(address)

    def set_faults(
        slow_s: float = 0.0, late_s: float = 0.0, **faults: Any
    ) -> None:
        standin.faults = platform.Faults(
            slow_ms=int(slow_s * 1000), late_ms=int(late_s * 1000), **faults
        )

    try:
        await check(Bench(store, standin.state, set_faults))
    finally:
        await store.close()
        await standin.server.stop(1.0)


@pytest.fixture(params=[run_in_memory, run_over_http])
def run(request: pytest.FixtureRequest) -> Callable[[Check], None]:
    """Runs a check against one implementation under virtual time."""

    def run_check(check: Check) -> None:
        loop = async_solipsism.EventLoop()
        try:
            loop.run_until_complete(request.param(check))
        finally:
            loop.close()

    return run_check


Run = Callable[[Check], None]


async def check_compare_and_swap(bench: Bench) -> None:
    store = bench.store
    created = (await store.write("/k/a", b"\x00one", api.NO_REVISION)).ok
    assert isinstance(created, api.Written)
    entry = api.Entry("/k/a", b"\x00one", created.revision)

    again = await store.write("/k/a", b"two", api.NO_REVISION)
    stale = await store.write("/k/a", b"two", created.revision + 7)
    changed = (await store.write("/k/a", b"two", created.revision)).ok

    assert again.ok == stale.ok == api.Conflict(entry)
    assert isinstance(changed, api.Written)
    assert changed.revision > created.revision


async def check_reads(bench: Bench) -> None:
    store = bench.store
    for name in ("/k/b", "/k/á é", "/other", "/k/a"):
        await store.write(name, name.encode(), api.NO_REVISION)

    listing = (await store.read_prefix("/k/")).ok
    entry = (await store.read("/k/á é")).ok

    assert (await store.read("/k/none")).ok is None
    assert [each.key for each in listing.entries] == ["/k/a", "/k/b", "/k/á é"]
    assert listing.revision == bench.state.revision
    assert entry is not None
    assert entry.value == "/k/á é".encode()


async def check_delete(bench: Bench) -> None:
    store = bench.store
    created = (await store.write("/k", b"1", api.NO_REVISION)).ok
    assert isinstance(created, api.Written)

    stale = await store.delete("/k", created.revision + 1)
    deleted = await store.delete("/k", created.revision)
    again = await store.delete("/k", created.revision)
    recreated = await store.write("/k", b"2", api.NO_REVISION)

    assert isinstance(stale.ok, api.Conflict)
    assert isinstance(deleted.ok, api.Written)
    assert again.ok == api.Conflict(None)
    assert isinstance(recreated.ok, api.Written)


async def check_large_values(bench: Bench) -> None:
    largest = bytes(api.MAX_VALUE_BYTES)

    accepted = await bench.store.write("/k", largest, api.NO_REVISION)
    refused = await bench.store.write("/l", largest + b"x", api.NO_REVISION)
    entry = (await bench.store.read("/k")).ok

    assert accepted.is_ok()
    assert refused.error.kind is errors.Kind.TOO_LARGE
    assert entry is not None
    assert entry.value == largest


async def check_watch(bench: Bench) -> None:
    store = bench.store
    first = (await store.write("/k/a", b"1", api.NO_REVISION)).ok
    assert isinstance(first, api.Written)
    waiting = asyncio.ensure_future(
        store.watch("/k/", first.revision, wait_s=30.0)
    )
    await asyncio.sleep(0.05)
    await store.write("/other", b"1", api.NO_REVISION)
    await asyncio.sleep(0.05)
    assert not waiting.done()

    await store.delete("/k/a", first.revision)
    listing = (await waiting).ok
    resumed = (await store.watch("/k/", first.revision, wait_s=30.0)).ok

    assert [entry.value for entry in listing.entries] == [None]
    assert listing.entries[0].revision == listing.revision
    assert resumed.entries == listing.entries


async def check_watch_timeout(bench: Bench) -> None:
    listing = (await bench.store.watch("/k/", 0, wait_s=0.2)).ok

    assert listing == api.Listing((), 0)


async def check_lease(bench: Bench) -> None:
    store = bench.store
    lease = (await store.grant_lease(0.2)).ok
    created = (await store.write("/k/a", b"1", api.NO_REVISION, lease)).ok
    kept = (await store.write("/k/b", b"1", api.NO_REVISION, lease)).ok
    assert isinstance(created, api.Written)
    assert isinstance(kept, api.Written)
    await store.write("/k/b", b"2", kept.revision)
    alive = (await store.renew_lease(lease)).ok
    watch = asyncio.ensure_future(
        store.watch("/k/a", created.revision, wait_s=9.0)
    )
    listing = (await watch).ok
    late = await store.write("/k/c", b"1", api.NO_REVISION, lease)

    assert alive
    assert [entry.value for entry in listing.entries] == [None]
    assert (await store.read("/k/a")).ok is None
    assert (await store.read("/k/b")).ok is not None
    assert not (await store.renew_lease(lease)).ok
    assert late.error.kind is errors.Kind.NOT_FOUND


CHECKS = [
    check_compare_and_swap,
    check_reads,
    check_delete,
    check_large_values,
    check_watch,
    check_watch_timeout,
    check_lease,
]


@pytest.mark.parametrize("check", CHECKS)
def test_store_fulfils_its_contract(run: Run, check: Check) -> None:
    run(check)


WRITE_FAULTS = [
    # (faults, kind of the failure, value immediately, value 10 s later)
    ({"down": True}, errors.Kind.STORE_UNAVAILABLE, None, None),
    ({"lost_replies": 1}, errors.Kind.STORE_OUTCOME_UNKNOWN, b"1", b"1"),
    ({"lost_requests": 1}, errors.Kind.STORE_OUTCOME_UNKNOWN, None, None),
    ({"late_s": 5.0}, errors.Kind.STORE_OUTCOME_UNKNOWN, None, b"1"),
]


@pytest.mark.parametrize(("faults", "kind", "immediate", "late"), WRITE_FAULTS)
def test_failed_write_returns_its_possible_effect(
    run: Run,
    faults: dict[str, Any],
    kind: errors.Kind,
    immediate: bytes | None,
    late: bytes | None,
) -> None:
    """The failure kind of a write tells the operator if it took effect.

    `STORE_UNAVAILABLE` guarantees that it did not and never will. After a lost
    reply the kind must be `STORE_OUTCOME_UNKNOWN`, whether or not the write
    took effect; it may even take effect later.
    """

    async def check(bench: Bench) -> None:
        bench.set_faults(**faults)
        failed = await bench.store.write("/k", b"1", api.NO_REVISION)
        bench.set_faults()

        assert failed.error.kind is kind
        for expected in (immediate, late):
            entry = bench.state.read("/k")
            assert (entry.value if entry else None) == expected
            await asyncio.sleep(10.0)
        assert (await bench.store.write("/l", b"1", api.NO_REVISION)).is_ok()

    run(check)


def test_every_read_fails_while_the_store_is_down(run: Run) -> None:
    async def check(bench: Bench) -> None:
        bench.set_faults(down=True)
        store = bench.store
        results: list[Any] = [
            await store.read("/k"),
            await store.read_prefix("/k"),
            await store.watch("/k", 0, wait_s=1.0),
            await store.grant_lease(1.0),
            await store.renew_lease("none"),
        ]
        for result in results:
            assert result.error.kind is errors.Kind.STORE_UNAVAILABLE

    run(check)


def test_read_from_a_lagging_replica_returns_earlier_values(run: Run) -> None:
    """A read is answered by a replica that lags two writes behind."""

    async def check(bench: Bench) -> None:
        store = bench.store
        first = (await store.write("/k", b"1", api.NO_REVISION)).ok
        assert isinstance(first, api.Written)
        await store.write("/k", b"2", first.revision)
        await store.write("/l", b"1", api.NO_REVISION)

        bench.set_faults(past=2)
        entry = (await store.read("/k")).ok
        listing = (await store.read_prefix("/")).ok

        assert entry == api.Entry("/k", b"1", first.revision)
        assert listing == api.Listing((entry,), first.revision)

    run(check)


def test_write_without_a_server_has_no_effect() -> None:
    async def check() -> None:
        store = http.HttpStore(ADDRESS)
        failed = await store.write("/k", b"1", api.NO_REVISION)
        assert failed.error.kind is errors.Kind.STORE_UNAVAILABLE

    loop = async_solipsism.EventLoop()
    try:
        loop.run_until_complete(check())
    finally:
        loop.close()


def test_calls_are_counted_by_kind(run: Run) -> None:
    async def check(bench: Bench) -> None:
        counters = metrics.Metrics()
        store = counting.CountingStore(bench.store, counters)
        await store.write("/k", b"1", api.NO_REVISION)
        await store.delete("/k", 1)
        await store.read("/k")
        await store.watch("/k", 0, wait_s=0.1)
        bench.set_faults(down=True)
        await store.read_prefix("/k")

        assert counters.counts == {
            "store.writes": 2,
            "store.reads": 2,
            "store.watches": 1,
            "store.failures": 1,
        }

    run(check)


@pytest.mark.parametrize("check", CHECKS)
def test_store_fulfils_its_contract_over_real_sockets(check: Check) -> None:
    with addresses.reserve() as address:
        asyncio.run(run_over_http(check, address))
