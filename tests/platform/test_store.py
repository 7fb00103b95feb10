"""Tests of the store's client against a stand-in store server."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from azureramp import errors
from azureramp.platform import store
from azureramp.ports.store import api
from azureramp_standins import virtual
from azureramp_standins.fleet import deployment
from azureramp_standins.fleet import store as store_standin

Scenario = Callable[[store_standin.Store, store.PlatformStore], Awaitable[None]]


def run(scenario: Scenario) -> None:
    async def run_scenario() -> None:
        server = store_standin.Store(deployment.STORE_ADDRESS)
        await server.start()
        client = store.PlatformStore(deployment.STORE_ADDRESS)
        try:
            await scenario(server, client)
        finally:
            await client.close()
            await server.server.stop(0.0)

    virtual.run(run_scenario())


def test_listing_has_all_pages_and_the_revision_of_the_first() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        for number in range(120):
            server.put(f"k/{number:03}", {"n": number})
        listing = (await client.read_prefix("k/")).ok
        assert len(listing.entries) == 120
        assert listing.revision == 120
        assert server.call_counts["/kv-range"] == 3

    run(scenario)


def test_conflicting_write_returns_the_current_entry() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        first = (await client.write("k", b"one", api.NO_REVISION)).ok
        assert isinstance(first, api.Written)
        conflict = (await client.write("k", b"two", api.NO_REVISION)).ok
        assert isinstance(conflict, api.Conflict)
        assert conflict.current is not None
        assert conflict.current.value == b"one"
        read = (await client.read("k")).ok
        assert read is not None
        assert read.revision == first.revision
        assert isinstance(
            (await client.delete("k", first.revision)).ok, api.Written
        )
        assert (await client.read("k")).ok is None

    run(scenario)


def test_outcome_of_a_write_without_answer_is_unknown() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        server.faults.lost = 1
        result = await client.write("k", b"one", api.NO_REVISION)
        assert result.error.kind is errors.Kind.STORE_OUTCOME_UNKNOWN
        assert server.state.read("k") is not None

    run(scenario)


def test_watch_returns_on_a_change_and_reports_deletions() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        revision = server.put("k", {"n": 1})
        waiting = asyncio.ensure_future(client.watch("", revision, 5.0))
        await asyncio.sleep(0.5)
        server.remove("k")
        changes = (await waiting).ok
        assert changes.entries == (api.Entry("k", None, revision + 1),)
        quiet = (await client.watch("", changes.revision, 1.0)).ok
        assert quiet.entries == ()

    run(scenario)


def test_compacted_history_and_outage_are_different_errors() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        server.put("k", {"n": 1})
        server.compact()
        result = await client.watch("", 0, 1.0)
        assert result.error.kind is errors.Kind.STORE_HISTORY_GONE
        server.faults.busy = True
        result = await client.watch("", 1, 1.0)
        assert result.error.kind is errors.Kind.STORE_UNAVAILABLE

    run(scenario)


def test_lease_is_granted_renewed_and_expires() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        lease = (await client.grant_lease(3.0)).ok
        assert (await client.write("k", b"x", api.NO_REVISION, lease)).is_ok()
        await asyncio.sleep(2.0)
        assert (await client.renew_lease(lease)).ok
        await asyncio.sleep(4.0)
        assert not (await client.renew_lease(lease)).ok
        assert (await client.read("k")).ok is None

    run(scenario)


def test_batch_is_atomic() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        old = server.put("old", {"n": 1})
        changes = [
            api.Change("new", b"a", api.NO_REVISION),
            api.Change("old", None, old + 1),
        ]
        conflict = (await client.write_batch(changes)).ok
        assert conflict == api.BatchConflict({"new": 0, "old": old})
        assert server.state.read("new") is None
        changes[1] = api.Change("old", None, old)
        written = (await client.write_batch(changes)).ok
        assert written == api.Written(server.state.revision)
        assert server.state.read("old") is None
        assert server.call_counts["/kv-txn"] == 2

    run(scenario)


def test_batch_with_an_expired_lease_changes_nothing() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        changes = [api.Change("k", b"a", api.NO_REVISION, "77")]
        result = await client.write_batch(changes)
        assert result.error.kind is errors.Kind.NOT_FOUND
        assert server.state.read("k") is None

    run(scenario)


def test_batch_of_the_maximum_size_is_accepted() -> None:
    async def scenario(
        server: store_standin.Store, client: store.PlatformStore
    ) -> None:
        changes = [
            api.Change(f"k{number}", b"a", api.NO_REVISION)
            for number in range(api.MAX_BATCH_CHANGES)
        ]
        assert isinstance((await client.write_batch(changes)).ok, api.Written)

    run(scenario)
