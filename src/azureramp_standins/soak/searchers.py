"""The searchers of a run, their entries in the store and their faults."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

from azureramp_standins.fleet import searcher, store
from azureramp_standins.soak import acts, declared, history

CRASH_DOWNTIME_S = 1.5
"""How long a crashed searcher stays down, in seconds."""


class Searchers:
    """The searchers of a run.

    Attributes:
        all: The searchers, in the order in which they were added.
    """

    __slots__ = (
        "_cold_until_s",
        "_draining",
        "_entries",
        "_history",
        "_left",
        "_reactions",
        "_store",
        "all",
    )

    def __init__(
        self, run_history: history.History, run_store: store.Store
    ) -> None:
        """Makes a run without searchers.

        Args:
            run_history: The history, in which calls and cold starts are
                recorded.
            run_store: The store for their entries.
        """
        self._history = run_history
        self._store = run_store
        self.all: list[searcher.Searcher] = []
        self._reactions: dict[str, searcher.Reaction] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._draining: set[str] = set()
        self._left: set[str] = set()
        self._cold_until_s: dict[str, float] = {}

    def add(
        self, service: str, index: int, address: str, advertised: str
    ) -> None:
        """Adds a searcher without starting it.

        Args:
            service: Its service.
            index: Its number within the service.
            address: The `IP:port` that it listens on.
            advertised: The `IP:port` in its entry.
        """
        name = f"{service}:{index}"
        target = searcher.Searcher(name, service, address, f"zone-{index % 2}")
        target.script = lambda request: self._respond(target, request)
        self.all.append(target)
        self._entries[name] = target.make_entry(Address=advertised)

    async def start(self) -> None:
        """Starts the searchers and writes their entries."""
        for each in self.all:
            await each.start()
            self._store.put(f"servers/{each.id}", self._entries[each.id])

    def is_leaving(self, name: str) -> bool:
        """Returns True if a searcher is draining or has no entry."""
        return name in self._draining or name in self._left

    async def inject(
        self, target: searcher.Searcher, how: str, for_s: float
    ) -> None:
        """Injects a searcher fault and clears it after its duration."""
        match how:
            case "crash":
                target.crash()
                await asyncio.sleep(CRASH_DOWNTIME_S)
                await self._restart(target)
            case "drain":
                self._draining.add(target.id)
                self._announce(target)
                await asyncio.sleep(for_s + declared.DRAIN_BOUND_S)
                self._draining.discard(target.id)
                self._announce(target)
            case "leave":
                self._left.add(target.id)
                self._store.remove(f"servers/{target.id}")
                await asyncio.sleep(for_s + declared.DRAIN_BOUND_S)
                self._left.discard(target.id)
                self._entries[target.id]["born"] += 1
                self._announce(target)
            case _:
                self._reactions[target.id] = acts.REACTIONS[how]
                await asyncio.sleep(for_s)
                self._reactions.pop(target.id, None)

    async def _restart(self, target: searcher.Searcher) -> None:
        """Restarts a crashed searcher under its id, as cold."""
        if target.is_listening():
            return
        self._entries[target.id]["born"] += 1
        await target.start()
        now_s = asyncio.get_running_loop().time()
        self._cold_until_s[target.id] = now_s + declared.COLD_START_S
        self._announce(target)
        self._history.fault_spans.append(
            history.FaultSpan(
                "searcher",
                target.id,
                "cold",
                now_s,
                now_s + declared.COLD_START_S,
            )
        )
        await asyncio.sleep(declared.COLD_START_S)
        self._announce(target)

    def _announce(self, announced: searcher.Searcher) -> None:
        """Writes a searcher's entry to the store, unless it has left."""
        if announced.id in self._left:
            return
        entry = dict(self._entries[announced.id])
        now_s = asyncio.get_running_loop().time()
        cold_s = self._cold_until_s.get(announced.id, 0.0) - now_s
        if cold_s > 0:
            entry["ColdRemainingMs"] = int(cold_s * 1000)
        if announced.id in self._draining:
            entry["State"] = "draining"
        self._store.put(f"servers/{announced.id}", entry)

    def _respond(
        self, target: searcher.Searcher, request: searcher.ReceivedRequest
    ) -> searcher.Reaction:
        """Chooses a searcher's response to a request and records the call."""
        reaction = self._reactions.get(
            target.id, searcher.Reaction(delay_s=0.01)
        )
        if target.service in declared.SHARDS:
            body = declared.make_records(target.service, request.id)
        else:
            body = (
                f"{target.service} {request.method} {request.target}".encode()
            )
        reaction = dataclasses.replace(
            reaction, body=body if reaction.status < 300 else b""
        )
        target_id = request.headers.get("azureramp-target-instance", target.id)
        self._history.arrivals.append(
            history.Arrival(
                request.at_s,
                request.id,
                target.id,
                target.service,
                not reaction.not_run and target_id == target.id,
                float(request.headers.get("azureramp-deadline-ms", "1e9"))
                / 1000,
                f"{target.id}.{request.id}.{len(target.requests)}",
                body,
                request.headers.get("azureramp-tenant", ""),
                self._has_key(request),
            )
        )
        return reaction

    def _has_key(self, request: searcher.ReceivedRequest) -> bool:
        """Returns True if a call contains a client account's key."""
        text = f"{request.target} {request.headers} {request.body!r}"
        return any(key in text for key in self._history.keys)
