"""The processes and servers of a run, and the injection of its faults."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from azureramp import catalog
from azureramp.platform import decoding
from azureramp_standins import processes
from azureramp_standins.fleet import store
from azureramp_standins.soak import (
    accounts,
    daemons,
    declared,
    history,
    plan,
    proxy,
    searchers,
)

KILL_DOWNTIME_FACTOR = 2.0
"""A killed daemon stays down for this many times its fault's duration: up to
ten seconds, somewhat longer than a dead VM may be advertised to callers."""


BURST_GAP_S = 0.08
"""Time between two configurations of a burst, in seconds."""

RELAYS = 2
"""Number of relays: one in each availability zone."""


class Harness:
    """The store, searchers, links and daemons of a run.

    Attributes:
        accounts: The client accounts; None if the seed declares none.
        daemons: The daemons.
        history: The history of the run.
    """

    def __init__(
        self, seed: int, vms: int, folder: pathlib.Path, mutant: str
    ) -> None:
        """Makes the parts of a run without starting them; see `start`."""
        self.history = history.History()
        self.accounts = (
            accounts.Accounts(self.history, seed)
            if plan.has_accounts(seed)
            else None
        )
        count = len(declared.SERVICES) * declared.SEARCHERS_PER_SERVICE
        ports = iter(processes.find_ports(1 + 6 * vms + 2 * count))
        self._addresses = (f"127.0.0.1:{port}" for port in ports)
        store_address = next(self._addresses)
        self._store = store.Store(store_address)
        self._searchers = searchers.Searchers(self.history, self._store)
        self._links: dict[tuple[str, int], proxy.Proxy] = {}
        for service in declared.SERVICES:
            for index in range(declared.SEARCHERS_PER_SERVICE):
                own, advertised = next(self._addresses), next(self._addresses)
                link = proxy.Proxy(advertised, own)
                self._links["searcher", self.count_searchers()] = link
                self._searchers.add(service, index, own, advertised)
        self._version = 0
        self._target = ""
        self._moves = 0
        self._further_routes = 0
        self._evacuations = 0
        self.daemons = self._make_daemons(vms, folder, mutant)

    async def start(self) -> None:
        """Starts the store, links, searchers and daemons.

        Does not wait until the daemons serve requests.
        """
        await self._store.start()
        for link in self._links.values():
            await link.start()
        await self._searchers.start()
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
        for each in self._searchers.all:
            each.crash()
        await self._store.server.stop(0.0)

    def count_searchers(self) -> int:
        """Returns the number of searchers."""
        return len(self._searchers.all)

    def count_steady_searchers(self) -> int:
        """Returns the number of searchers that get requests all the time.

        They are the first ones.
        """
        return (len(declared.SHARDS) + 1) * declared.SEARCHERS_PER_SERVICE

    def configure(self) -> None:
        """Writes the next configuration, with a new target for `/move/`.

        Does nothing once all versions are written.
        """
        if self._moves >= declared.MAX_VERSIONS:
            return
        self._target = f"move-{self._moves}"
        self._moves += 1
        self._write_configuration()
        now_s = asyncio.get_running_loop().time()
        self.history.versions.append((self._target, now_s))

    def _write_configuration(self) -> None:
        """Writes the current configuration under a new version number."""
        self._version += 1
        bodies = None if self.accounts is None else self.accounts.make_bodies()
        self._store.put(
            "op/config",
            declared.make_configuration(
                self._version, self._target, bodies, self._further_routes
            ),
        )

    async def inject(self, planned: plan.ScheduledFault) -> None:
        """Injects a fault, clears it after its duration and records it."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        fault = planned.fault
        match fault:
            case plan.DaemonSignal(vm=vm, how=how):
                kind, name = "vm", self.daemons[vm].name
                await self._signal(self.daemons[vm], how, planned.for_s)
            case plan.RelayFault(how=how):
                kind, name = "relays", how
                await asyncio.gather(
                    *(
                        self._signal_relay(each, how, planned.for_s)
                        for each in self._find_relays()
                    )
                )
            case plan.LinkFault(link=link, number=number, how=how):
                kind, name = "link", f"{link}-{number}"
                target = self._links[link, number]
                target.inject(how)
                await asyncio.sleep(planned.for_s)
                target.clear()
            case plan.StoreFault(how="refuse" as how):
                kind, name = "call", "store"
                self._store.faults.refused += 1
            case plan.StoreFault(how=how):
                kind, name = "store", "store"
                await self._inject_store_fault(how, planned.for_s)
            case plan.SearcherFault(number=number, how=how):
                target_searcher = self._searchers.all[number]
                kind, name = "searcher", target_searcher.id
                if how in ("drain", "leave") and self._searchers.is_leaving(
                    name
                ):
                    return
                await self._searchers.inject(
                    target_searcher, how, planned.for_s
                )
            case plan.ConfigurationBurst(
                versions=versions, routes=routes, how=how
            ):
                kind, name = "operator", "configure"
                await self._write_burst(versions, routes)
            case plan.AccountAction(account=account, how=how):
                kind, name = "account", accounts.NAMES[account]
                await self._change_account(name, how, planned.for_s)
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

    async def _write_burst(self, versions: int, routes: int) -> None:
        """Writes large configurations; the last one moves a route."""
        self._further_routes = routes
        for _ in range(versions - 1):
            self._write_configuration()
            await asyncio.sleep(BURST_GAP_S)
        self.configure()

    async def _change_account(self, name: str, how: str, for_s: float) -> None:
        """Changes an account's keys, or floods the limited account."""
        if self.accounts is None:
            return
        loop = asyncio.get_running_loop()
        if how == "flood":
            await self.accounts.run_flood(for_s)
            return
        if how in ("add", "rotate"):
            self.accounts.add_key(name, loop.time())
            self._write_configuration()
        if how == "rotate":
            await asyncio.sleep(accounts.SETTLED_S + for_s)
        if how in ("rotate", "revoke"):
            self.accounts.revoke_key(name, loop.time())
            self._write_configuration()

    async def _evacuate(self, for_s: float) -> None:
        """Evacuates a zone; the last of several overlapping calls ends it."""
        self._evacuations += 1
        self._store.put("op/evacuate/zone-0", {})
        await asyncio.sleep(for_s)
        self._evacuations -= 1
        if not self._evacuations:
            self._store.remove("op/evacuate/zone-0")

    def _find_relays(self) -> list[daemons.Daemon]:
        """Returns the daemons that announce others; without any, the first."""
        keepers: set[str] = set()
        for entry in self._store.state.list(
            decoding.make_member_key("")
        ).entries:
            match decoding.decode(entry):
                case catalog.MemberAnnounced(member=member):
                    keepers.add(member.keeper)
        found = [each for each in self.daemons if each.name in keepers]
        return found or self.daemons[:RELAYS]

    async def _signal_relay(
        self, daemon: daemons.Daemon, how: str, for_s: float
    ) -> None:
        """Sends a relay a signal and records the fault of its VM."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await self._signal(daemon, how, for_s)
        span = history.FaultSpan("vm", daemon.name, how, began_s, loop.time())
        self.history.fault_spans.append(span)

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
                account_window_s=declared.ACCOUNT_WINDOW_S,
                account_overage=declared.ACCOUNT_OVERAGE,
                account_slack=declared.ACCOUNT_SLACK,
                **own,
            )
            peer_listener = ""
            if self.accounts is not None:
                peer_listener = next(self._addresses)
                self._links["peer", number] = proxy.Proxy(
                    own["control"], peer_listener
                )
            made_daemons.append(
                daemons.Daemon(
                    f"vm-{number}", own, text, folder, mutant, peer_listener
                )
            )
        return made_daemons
