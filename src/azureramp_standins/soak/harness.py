"""The processes and servers of a run, and the injection of its faults."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import signal
from typing import Any

from azureramp_standins import processes
from azureramp_standins.fleet import searcher, store
from azureramp_standins.soak import (
    acts,
    daemons,
    declared,
    history,
    plan,
    proxy,
)

KILL_DOWNTIME_FACTOR = 2.0
"""A killed daemon stays down for this many times its fault's duration: up to
ten seconds, somewhat longer than a dead VM may be advertised to callers."""

CRASH_DOWNTIME_S = 1.5
"""How long a crashed searcher stays down, in seconds."""


class Harness:
    """The store, searchers, links and daemons of a run.

    Attributes:
        daemons: The daemons.
        history: The history of the run.
    """

    def __init__(
        self, seed: int, vms: int, folder: pathlib.Path, mutant: str
    ) -> None:
        """Makes the parts of a run without starting them; see `start`."""
        self.history = history.History()
        count = len(declared.SERVICES) * declared.SEARCHERS_PER_SERVICE
        ports = iter(processes.find_ports(1 + 5 * vms + 2 * count))
        self._addresses = (f"127.0.0.1:{port}" for port in ports)
        store_address = next(self._addresses)
        self._store = store.Store(store_address)
        self._searchers: list[searcher.Searcher] = []
        self._reactions: dict[str, searcher.Reaction] = {}
        self._entries: dict[str, dict[str, Any]] = {}
        self._links: dict[tuple[str, int], proxy.Proxy] = {}
        for service in declared.SERVICES:
            for index in range(declared.SEARCHERS_PER_SERVICE):
                self._add_searcher(service, index)
        self._version = 0
        self._draining: set[str] = set()
        self._evacuations = 0
        self.daemons = self._make_daemons(vms, folder, mutant)

    async def start(self) -> None:
        """Starts the store, links, searchers and daemons.

        Does not wait until the daemons serve requests.
        """
        await self._store.start()
        for link in self._links.values():
            await link.start()
        for each in self._searchers:
            await each.start()
            self._store.put(f"servers/{each.id}", self._entries[each.id])
        self.configure()
        for daemon in self.daemons:
            daemon.start()
            self.history.start_times[daemon.name] = daemon.start_times
            self.history.end_times[daemon.name] = daemon.end_times

    async def stop(self) -> None:
        """Stops everything that was started."""
        for daemon in self.daemons:
            await daemon.end()
        for link in self._links.values():
            await link.stop()
        for each in self._searchers:
            each.crash()
        await self._store.server.stop(0.0)

    def count_searchers(self) -> int:
        """Returns the number of searchers."""
        return len(self._searchers)

    def configure(self) -> None:
        """Writes the next configuration, with a new target for `/move/`.

        Does nothing once all versions are written.
        """
        if self._version >= declared.MAX_VERSIONS:
            return
        service = f"move-{self._version}"
        self._version += 1
        self._store.put(
            "op/config", declared.make_configuration(self._version, service)
        )
        now_s = asyncio.get_running_loop().time()
        self.history.versions.append((service, now_s))

    async def inject(self, planned: plan.ScheduledFault) -> None:
        """Injects a fault, clears it after its duration and records it."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        fault = planned.fault
        match fault:
            case plan.DaemonSignal(vm=vm, how=how):
                kind, name = "vm", self.daemons[vm].name
                await self._signal(self.daemons[vm], how, planned.for_s)
            case plan.LinkFault(link=link, number=number, how=how):
                kind, name = "link", f"{link}-{number}"
                target = self._links[link, number]
                target.inject(how)
                await asyncio.sleep(planned.for_s)
                target.clear()
            case plan.StoreFault(how=how):
                kind, name = "store", "store"
                await self._inject_store_fault(how, planned.for_s)
            case plan.SearcherFault(number=number, how=how):
                target_searcher = self._searchers[number]
                kind, name = "searcher", target_searcher.id
                if how == "drain" and name in self._draining:
                    return
                await self._inject_searcher_fault(
                    target_searcher, how, planned.for_s
                )
            case plan.OperatorAction(how="configure" as how):
                kind, name = "operator", "configure"
                self.configure()
            case plan.OperatorAction(how=how):
                kind, name = "operator", "zone-0"
                await self._evacuate(
                    declared.EVACUATION_BOUND_S + planned.for_s
                )
        span = history.FaultSpan(kind, name, how, began_s, loop.time())
        self.history.fault_spans.append(span)

    async def _evacuate(self, for_s: float) -> None:
        """Evacuates a zone; the last of several overlapping calls ends it."""
        self._evacuations += 1
        self._store.put("op/evacuate/zone-0", {})
        await asyncio.sleep(for_s)
        self._evacuations -= 1
        if not self._evacuations:
            self._store.remove("op/evacuate/zone-0")

    async def _signal(
        self, daemon: daemons.Daemon, how: str, for_s: float
    ) -> None:
        """Sends a daemon a signal and waits for the fault's end."""
        match how:
            case "kill":
                daemon.restart_delay_s = KILL_DOWNTIME_FACTOR * for_s
                daemon.send(signal.SIGKILL)
                await asyncio.sleep(daemon.restart_delay_s)
            case "stop":
                daemon.send(signal.SIGTERM)
                await asyncio.sleep(declared.GRACE_S)
            case "reload":
                daemon.send(signal.SIGHUP)
            case _:
                daemon.send(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                daemon.send(signal.SIGCONT)

    async def _inject_store_fault(self, how: str, for_s: float) -> None:
        """Injects a store fault and clears it after its duration."""
        faults = self._store.faults
        match how:
            case "compact":
                self._store.compact()
                return
            case "lost":
                faults.lost += 3
            case "slow":
                faults.slow_s = 0.4
            case "busy":
                faults.busy = True
            case _:
                faults.silent = True
        await asyncio.sleep(for_s)
        self._store.faults = store.Faults()

    async def _inject_searcher_fault(
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
        self._announce(
            target, ColdRemainingMs=int(declared.COLD_START_S * 1000)
        )
        now_s = asyncio.get_running_loop().time()
        self.history.fault_spans.append(
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

    def _announce(self, announced: searcher.Searcher, **changes: Any) -> None:
        """Writes a searcher's entry to the store."""
        entry = self._entries[announced.id] | changes
        if announced.id in self._draining:
            entry["State"] = "draining"
        self._store.put(f"servers/{announced.id}", entry)

    def _add_searcher(self, service: str, index: int) -> None:
        """Adds a searcher behind its own link."""
        name = f"{service}:{index}"
        own, advertised = next(self._addresses), next(self._addresses)
        target = searcher.Searcher(name, service, own, f"zone-{index % 2}")
        target.script = lambda request: self._respond(target, request)
        number = len(self._searchers)
        self._links["searcher", number] = proxy.Proxy(advertised, own)
        self._searchers.append(target)
        self._entries[name] = target.make_entry(Address=advertised)

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
        self.history.arrivals.append(
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
            )
        )
        return reaction

    def _make_daemons(
        self, vms: int, folder: pathlib.Path, mutant: str
    ) -> list[daemons.Daemon]:
        """Makes the daemons, each with its own link to the store."""
        names = ("front", "ready", "control", "directory")
        addresses = [
            {name: next(self._addresses) for name in names} for _ in range(vms)
        ]
        seeds = ", ".join(f'"{each["control"]}"' for each in addresses[:3])
        made_daemons: list[daemons.Daemon] = []
        for number, own in enumerate(addresses):
            link = proxy.Proxy(
                next(self._addresses), self._store.server.address
            )
            self._links["store", number] = link
            text = daemons.SETTINGS_TEMPLATE.format(
                name=f"vm-{number}",
                zone=f"zone-{number % 2}",
                seeds=seeds,
                store=link.address,
                ratio=declared.RETRY_BUDGET_RATIO,
                slack=declared.RETRY_BUDGET_SLACK,
                window_s=declared.BUDGET_WINDOW_S,
                cold_overage=declared.COLD_OVERAGE,
                cold_slack=declared.COLD_SLACK,
                grace_s=declared.GRACE_S,
                **own,
            )
            made_daemons.append(
                daemons.Daemon(f"vm-{number}", own, text, folder, mutant)
            )
        return made_daemons
