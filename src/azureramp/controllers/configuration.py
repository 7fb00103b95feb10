"""The configuration in force on this VM, and changes to it.

It lists and watches the store, exchanges entries with the peers, and writes
operators' changes by compare-and-swap.
"""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Sequence

import expression
import logbook
import msgspec

from azureramp import blackboard, errors, events, messages, resources
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import propagation
from azureramp.ports.store import api as store_api

PREFIX = "/azureramp/resources/"

WATCH_S = 1.0
"""Longest wait of one watch, in seconds."""

RETRY_S = 0.5
"""Time between attempts to reach the store, in seconds."""

MAX_EVENT_KEYS = 32
"""Most changed resources that one event names."""

_logger = logbook.Logger("azureramp.configuration")


@dataclasses.dataclass(slots=True, frozen=True)
class Refusal:
    """A change that did not take effect, or may not have.

    Attributes:
        failure: Why.
        present: The state that a stale change ran into, if any.
    """

    failure: errors.Failure
    present: resources.Versioned | None = None


def make_key(kind: str, name: str) -> str:
    """Makes the store's key of a resource."""
    return f"{PREFIX}{kind}/{name}"


def decode_entry(entry: store_api.Entry) -> resources.Versioned | None:
    """Decodes a store entry; None if it is no resource."""
    kind, _, name = entry.key.removeprefix(PREFIX).partition("/")
    if entry.value is None:
        return resources.Versioned(None, kind, name, entry.revision)
    try:
        resource = msgspec.json.decode(entry.value, type=resources.AnyResource)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        _logger.error("entry {} is no resource: {}", entry.key, error)
        return None
    return resources.Versioned(resource, kind, name, entry.revision)


class Controller:
    """Keeps the configuration in force on this VM.

    Attributes:
        on_change: Called after each change of the configuration.
    """

    __slots__ = ("_board", "_changed", "_outbox", "_store", "on_change")

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        store: store_api.Store,
    ) -> None:
        """Makes a controller that has nothing yet; see `run`."""
        self._board = board
        self._outbox = outbox
        self._store = store
        self._changed = asyncio.Event()
        self.on_change: Callable[[], None] | None = None

    async def run(self) -> None:
        """Lists and watches the store, forever."""
        while True:
            after = await self._list()
            while after is not None:
                after = await self._watch(after)
            await asyncio.sleep(RETRY_S)

    async def wait_for_change(self, wait_s: float) -> None:
        """Waits until the configuration changes, or the time is over."""
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def put(
        self, resource: resources.AnyResource, expected: int
    ) -> expression.Result[resources.Versioned, Refusal]:
        """Writes a resource if its revision is the expected one."""
        kind = str(type(resource).__struct_config__.tag)
        result = await self._store.write(
            make_key(kind, resource.name),
            msgspec.json.encode(resource),
            expected,
        )
        return self._take_written(result, resource, kind, resource.name)

    async def delete(
        self, kind: str, name: str, expected: int
    ) -> expression.Result[resources.Versioned, Refusal]:
        """Deletes a resource if its revision is the expected one."""
        result = await self._store.delete(make_key(kind, name), expected)
        return self._take_written(result, None, kind, name)

    def receive_request(
        self, sender: str, message: messages.ConfigurationRequest
    ) -> None:
        """Answers a peer that lacks entries."""
        entries = tuple(
            entry
            for entry in self._board.configuration.entries.values()
            if entry.revision > message.after
        )
        self._outbox.send(
            sender,
            messages.ConfigurationUpdate(
                revision=self._board.configuration.revision,
                after=message.after,
                confirmed_age_ms=self._get_age_ms(),
                entries=entries,
            ),
        )

    def receive_update(
        self, sender: str, message: messages.ConfigurationUpdate
    ) -> None:
        """Takes entries from a peer."""
        if message.after <= self._board.configuration.revision:
            self._apply(message.entries, message.revision, sender)

    def _take_written(
        self,
        result: expression.Result[store_api.Write, errors.Failure],
        resource: resources.AnyResource | None,
        kind: str,
        name: str,
    ) -> expression.Result[resources.Versioned, Refusal]:
        """Applies a write that took effect; explains one that did not."""
        if result.is_error():
            return expression.Error(Refusal(result.error))
        match result.ok:
            case store_api.Written(revision):
                entry = resources.Versioned(resource, kind, name, revision)
                self._apply([entry], revision, "store")
                self._board.timeline.record(
                    events.ConfigurationAccepted(
                        resource_kind=kind, name=name, revision=revision
                    ),
                    asyncio.get_running_loop().time(),
                )
                return expression.Ok(entry)
            case store_api.Conflicted(present):
                failure = errors.Failure(errors.Kind.CONFLICT)
                shown = None if present is None else decode_entry(present)
                return expression.Error(Refusal(failure, shown))

    def _get_age_ms(self) -> float:
        now_s = asyncio.get_running_loop().time()
        return (now_s - self._board.confirmed_s) * 1000

    async def _list(self) -> int | None:
        """Reads everything; the revision to watch from, None if it failed."""
        begun_s = asyncio.get_running_loop().time()
        result = await self._store.read_prefix(PREFIX)
        if result.is_error():
            return None
        listing = result.ok
        entries = [
            decoded
            for entry in listing.entries
            if (decoded := decode_entry(entry)) is not None
        ]
        listed = frozenset((entry.kind, entry.name) for entry in entries)
        entries += propagation.make_tombstones(
            self._board.configuration, listed, listing.revision
        )
        return self._take_listing(entries, listing.revision, begun_s)

    async def _watch(self, after: int) -> int | None:
        """Waits for changes once; the revision to go on from."""
        begun_s = asyncio.get_running_loop().time()
        result = await self._store.watch(PREFIX, after, WATCH_S)
        if result.is_error():
            return None
        entries = [
            decoded
            for entry in result.ok.entries
            if (decoded := decode_entry(entry)) is not None
        ]
        return self._take_listing(entries, result.ok.revision, begun_s)

    def _take_listing(
        self,
        entries: Sequence[resources.Versioned],
        revision: int,
        begun_s: float,
    ) -> int:
        """Applies what the store said; returns its revision."""
        if revision >= self._board.configuration.revision:
            self._board.confirmed_s = max(self._board.confirmed_s, begun_s)
        self._apply(entries, revision, "store")
        return revision

    def _apply(
        self,
        entries: Sequence[resources.Versioned],
        revision: int,
        source: str,
    ) -> None:
        """Brings newer entries into force and tells everybody here."""
        configuration = self._board.configuration
        first = configuration.revision == 0
        changed = propagation.apply(configuration, entries, revision)
        self._board.metrics.set_gauge(
            "configuration.revision", configuration.revision
        )
        if first and self._board.serving is blackboard.Serving.STARTING:
            self._board.serving = blackboard.Serving.READY
        if not changed:
            return
        self._record(changed, source)
        self._changed.set()
        self._changed = asyncio.Event()
        if self.on_change is not None:
            self.on_change()

    def _record(
        self, changed: Sequence[resources.Versioned], source: str
    ) -> None:
        configuration = self._board.configuration
        self._board.timeline.record(
            events.ConfigurationApplied(
                revision=configuration.revision,
                source=source,
                changed=tuple(
                    f"{entry.kind}/{entry.name}"
                    for entry in changed[:MAX_EVENT_KEYS]
                ),
                zones_out=tuple(
                    name
                    for name, zone in configuration.get_zones().items()
                    if zone.state is resources.ZoneState.OUT
                ),
                leaving=tuple(
                    name
                    for name, server in (
                        configuration.get_backend_servers().items()
                    )
                    if server.state is resources.ServerState.LEAVING
                ),
            ),
            asyncio.get_running_loop().time(),
        )


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    store: store_api.Store,
) -> Controller:
    """Makes the configuration controller of one process."""
    return Controller(board, outbox, store)
