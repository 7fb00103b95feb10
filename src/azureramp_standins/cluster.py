"""Runs the daemons of several VMs in one event loop, over in-memory ports.

The daemons are those of the product; only their environment is replaced.
Networks, hosts and load are modelled only through the faults that the ports
inject.
"""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import random
from collections.abc import Callable

import msgspec

from azureramp import (
    metrics,
    resources,
    settings,
    timelines,
)
from azureramp.daemon import wiring
from azureramp.invariants import history
from azureramp.ports.peers import memory as peers_memory
from azureramp.ports.searchers import api as searchers_api
from azureramp.ports.searchers import memory as searchers_memory
from azureramp.ports.store import counting as store_counting
from azureramp.ports.store import memory as store_memory
from azureramp.ports.store import state as store_state
from azureramp.ports.vmlist import api as vmlist_api
from azureramp.ports.vmlist import memory as vmlist_memory
from azureramp.ports.web import api as web_api
from azureramp.ports.web import server as web_server
from azureramp_standins import layout as layouts

OPERATOR_TOKEN = "operator"
OPERATOR_SHA256 = (
    "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
)

KEYS_PER_ITEM = 100
"""Distance between the keys of two items of an index."""

READY_TIMEOUT_S = 60.0
"""Maximum time until all VMs are ready, in virtual seconds."""

MIN_RESTART_S = 0.002
"""Minimum time between two processes of a VM, in virtual seconds."""

MAX_CHANGE_ATTEMPTS = 20
CHANGE_RETRY_DELAY_S = 0.25
"""Maximum number of attempts at a change, and the delay between them in virtual
seconds."""

OPERATION_KEY_FIELD = "idempotency_key"
"""Field of an operation that holds its idempotency key, so that recorded calls
to searchers include it."""


@dataclasses.dataclass(slots=True)
class Vm:
    """One VM and the parts of its process.

    Attributes:
        list_entry: Its entry in the VM list.
        daemon: Its daemon; None while no process runs.
        server: Its HTTP server; None while no process runs.
        store: Its latest client of the key-value service.
        incarnation: Number of starts, which is also the incarnation.
        stopping: True during a graceful stop.
        started: Set while the daemon runs and has finished its start.
    """

    list_entry: vmlist_api.Vm
    daemon: wiring.Daemon | None = None
    server: web_server.Server | None = None
    store: store_memory.MemoryStore | None = None
    incarnation: int = 0
    stopping: bool = False
    started: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class Cluster:
    """An in-memory deployment.

    Attributes:
        layout: Size of the deployment.
        network: The network that carries the peer messages.
        state: State of the key-value service.
        vmlist: The VM list.
        searcher_fleet: The searchers.
        vms: The VMs by name.
        history: Recorded history, the input of the invariant checker.
        overrides: Settings that differ from the defaults.
        on_record: Called with each timeline record of any VM.
        vm_lists_isolated: True if the VM list that a VM reads contains only
            that VM, so that each VM is the owner of every searcher.
    """

    __slots__ = (
        "_ended_timelines",
        "_random",
        "_searcher_names",
        "history",
        "layout",
        "network",
        "on_record",
        "overrides",
        "searcher_fleet",
        "state",
        "vm_lists_isolated",
        "vmlist",
        "vms",
    )

    def __init__(
        self,
        layout: layouts.Layout,
        seed: int,
        service_ms: float,
        overrides: dict[str, int],
    ) -> None:
        """Initializes a deployment that is not started; see `make`."""
        self.layout = layout
        self.network = peers_memory.Network(seed)
        self.network.faults.delay_s = layout.one_way_delay_ms / 1000
        self.state = store_state.State()
        self.history = history.History()
        self.overrides = overrides
        self.vm_lists_isolated = False
        self.on_record: Callable[[timelines.Record], None] | None = None
        self._random = random.Random(seed)
        self._ended_timelines: list[list[timelines.Record]] = []
        self._searcher_names: dict[str, tuple[str, str, str]] = {}
        self.vms = {
            vm.name: Vm(vm)
            for vm in (_make_vm(layout, n) for n in range(layout.vms))
        }
        self.vmlist = vmlist_memory.MemoryVmList(
            *(vm.list_entry for vm in self.vms.values())
        )
        self.searcher_fleet = searchers_memory.Fleet(
            self._make_searchers(seed, service_ms)
        )

    def _make_searchers(
        self, seed: int, service_ms: float
    ) -> list[searchers_memory.Searcher]:
        """Makes the searchers of all backend servers."""
        searchers: list[searchers_memory.Searcher] = []
        for server in layouts.make_servers(self.layout):
            service = self.layout.get_service(server.service)
            siblings: list[searchers_memory.Searcher] = []
            for declared in server.searchers:
                searcher = searchers_memory.Searcher(
                    declared.address,
                    slots=declared.slots,
                    cold_limit=declared.cold_limit,
                    service_ms=service_ms,
                    connect_ms=service.connect_ms,
                    versions=(f"{service.name}.1",),
                    seed=seed,
                )
                searcher.search = make_items_at_interval
                searcher.on_arrival = functools.partial(
                    self._record_arrival, searcher
                )
                searcher.siblings = siblings
                siblings.append(searcher)
                names = (declared.name, server.name, server.zone)
                self._searcher_names[declared.address] = names
            searchers.extend(siblings)
        return searchers

    def _record_arrival(
        self, searcher: searchers_memory.Searcher, call: searchers_api.Call
    ) -> None:
        """Records the arrival of a call at a searcher."""
        name, server, zone = self._searcher_names[searcher.address]
        cold = searcher.is_cold() and searcher.cold_detectable
        key = ""
        if not call.idempotent:
            key = str(
                msgspec.json.decode(call.body).get(OPERATION_KEY_FIELD, "")
            )
        self.history.arrivals.append(
            history.Arrival(
                at_s=asyncio.get_running_loop().time(),
                request_id=call.call_id.partition("/")[0],
                searcher=name,
                server=server,
                zone=zone,
                version=call.version,
                in_use=searcher.running,
                cold_limit=searcher.cold_limit if cold else None,
                idempotency_key=key,
            )
        )

    async def start(self) -> None:
        """Declares the resources, starts all VMs and awaits readiness."""
        for resource in layouts.make_resources(self.layout):
            self.write_resource(resource)
        for name in self.vms:
            await self.start_vm(name)
        await self.wait_until_ready()

    def write_resource(self, resource: resources.AnyResource) -> int:
        """Writes a resource directly into the store, without a daemon.

        Returns:
            The store's revision after the write.
        """
        kind = str(type(resource).__struct_config__.tag)
        key = f"/azureramp/resources/{kind}/{resource.name}"
        current = self.state.read(key)
        expected = current.revision if current else 0
        self.state.write(key, msgspec.json.encode(resource), expected)
        if isinstance(resource, resources.ShardMap):
            self.history.shard_maps[resource.name] = resource
        return self.state.revision

    async def wait_until_ready(self) -> None:
        """Waits until every running VM is ready and can use all searchers.

        Raises:
            TimeoutError: A VM is not ready within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not all(map(self._is_ready, self.vms)):  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def _is_ready(self, name: str) -> bool:
        """Returns True if a VM is down, or ready with all searchers usable."""
        daemon = self.vms[name].daemon
        if daemon is None:
            return True
        states = daemon.board.get_searcher_states()
        usable = sum(state.usable for state in states.values())
        total = len(self._searcher_names)
        return daemon.board.serving.value == "ready" and usable == total

    async def start_vm(self, name: str) -> None:
        """Starts a VM's daemon."""
        vm = self.vms[name]
        vm.incarnation += 1
        # The clocks can't order events of two processes of one VM that are
        # less than a millisecond apart. Real processes take longer to start.
        await asyncio.sleep(MIN_RESTART_S)
        vm.store = store_memory.MemoryStore(self.state)
        loop = asyncio.get_running_loop()
        timeline = timelines.Timeline(name, wall_clock=loop.time)
        timeline.observer = self.on_record
        counters = metrics.Metrics()
        entry = vm.list_entry
        peers = peers_memory.MemoryPeers(
            self.network, name, entry.peer_address, vm.incarnation, timeline
        )
        ports = wiring.Ports(
            store=store_counting.CountingStore(vm.store, counters),
            vmlist=(
                vmlist_memory.MemoryVmList(entry)
                if self.vm_lists_isolated
                else self.vmlist
            ),
            peers=peers,
            searchers=searchers_memory.make(self.searcher_fleet),
        )
        vm.daemon = wiring.make(
            self._make_settings(entry),
            vm.incarnation,
            timeline,
            counters,
            ports,
        )
        vm.server = web_server.Server(entry.http_address, vm.daemon.handle)
        await vm.daemon.start(vm.server)
        vm.started.set()

    def _make_settings(self, entry: vmlist_api.Vm) -> settings.Settings:
        """Makes the settings of a VM, with the overrides."""
        base_settings = settings.Settings(
            vm=entry.name,
            zone=entry.zone,
            http_address=entry.http_address,
            peer_address=entry.peer_address,
            store_address="127.0.0.1:1",
            vmlist_address="127.0.0.1:1",
            peer_key="key",
            operator_token_sha256=OPERATOR_SHA256,
        )
        return dataclasses.replace(base_settings, **self.overrides)  # type: ignore[arg-type]

    async def stop_vm(self, name: str) -> int:
        """Stops a VM gracefully.

        Returns:
            Number of requests that were aborted.
        """
        vm = self.vms[name]
        assert vm.daemon is not None
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        vm.stopping = True
        daemon = vm.daemon
        aborted = await daemon.stop(asyncio.Event())
        vm.stopping = False
        self.history.stops.append(
            history.PlannedStop(
                name, start_s, loop.time(), aborted_requests=aborted > 0
            )
        )
        if vm.daemon is daemon:
            self._discard_daemon(vm)
        return aborted

    async def kill_vm(self, name: str) -> None:
        """Kills a VM without a graceful stop, as a failure of its host does."""
        vm = self.vms[name]
        await vm.started.wait()
        assert vm.daemon is not None
        assert vm.server is not None
        daemon, server = vm.daemon, vm.server
        self._discard_daemon(vm)
        self.network.detach(vm.list_entry.peer_address)
        await server.stop(0.0)
        await daemon.abort()

    def _discard_daemon(self, vm: Vm) -> None:
        """Saves the timeline of a VM's ended daemon and discards the daemon."""
        if vm.daemon is not None:
            self._ended_timelines.append(vm.daemon.board.timeline.get_records())
        vm.daemon = None
        vm.server = None
        vm.started.clear()

    async def close(self) -> history.History:
        """Kills the VMs that still run.

        Returns:
            The recorded history, complete for the checker.
        """
        for name, vm in self.vms.items():
            if vm.daemon is not None:
                await self.kill_vm(name)
        self.history.records = timelines.merge(self._ended_timelines)
        self.history.end_s = asyncio.get_running_loop().time()
        return self.history

    async def put_resource(
        self, vm: str, resource: resources.AnyResource
    ) -> web_api.Response:
        """Puts a resource through the operators' HTTP interface.

        Retries while every VM is down or answers 503.

        Args:
            vm: The VM to try first; the others follow if it is down or
                answers 503.
            resource: The resource.

        Returns:
            The first other response, or that of the last attempt.
        """
        if isinstance(resource, resources.ShardMap):
            self.history.shard_maps[resource.name] = resource
        candidates = [vm, *(name for name in self.vms if name != vm)]
        response = web_api.Response(status=0)
        for _ in range(MAX_CHANGE_ATTEMPTS):
            for name in candidates:
                response = await self.send_request(
                    name, self._make_change(resource)
                )
                if response.status not in (0, 503):
                    return response
            await asyncio.sleep(CHANGE_RETRY_DELAY_S)
        return response

    def _make_change(self, resource: resources.AnyResource) -> web_api.Request:
        """Makes an operator's request that expects the current revision."""
        kind = str(type(resource).__struct_config__.tag)
        name = f"{kind}/{resource.name}"
        current = self.state.read(f"/azureramp/resources/{name}")
        revision = current.revision if current else 0
        return web_api.Request(
            "PUT",
            f"/v1/resources/{name}",
            {"expected": str(revision)},
            {"authorization": f"Bearer {OPERATOR_TOKEN}"},
            msgspec.json.encode(resource),
        )

    async def send_request(
        self, vm: str, request: web_api.Request
    ) -> web_api.Response:
        """Calls a VM's request handler, without the HTTP transport.

        Returns:
            The response; its status is 0 if the VM is down or was killed.
        """
        daemon = self.vms[vm].daemon
        if daemon is None:
            return web_api.Response(status=0)
        try:
            return await daemon.handle(request)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            # The VM was killed while it handled the request: there is no
            # answer.
            return web_api.Response(status=0)


def make_items_at_interval(call: searchers_api.Call) -> bytes:
    """Returns an item for each hundredth key, tagged with query and version."""
    query = msgspec.json.decode(call.body)
    text = query.get("text", "") if isinstance(query, dict) else ""
    first = -(-call.low // KEYS_PER_ITEM) * KEYS_PER_ITEM
    return msgspec.json.encode(
        [
            {"key": key, "tag": f"{text}@{call.version}"}
            for key in range(first, call.high, KEYS_PER_ITEM)
        ]
    )


def _make_vm(layout: layouts.Layout, number: int) -> vmlist_api.Vm:
    """Makes the VM list's entry of a VM."""
    return vmlist_api.Vm(
        name=f"vm-{number}",
        zone=layout.zones[number % len(layout.zones)],
        http_address=f"127.0.0.{number + 1}:8700",
        peer_address=f"127.0.0.{number + 1}:8701",
    )


def make(
    layout: layouts.Layout | None = None,
    *,
    seed: int = 0,
    service_ms: float = 10.0,
    **overrides: int,
) -> Cluster:
    """Makes a deployment that has not started.

    Args:
        layout: Size of the deployment; None uses the default layout.
        seed: Seed of all random draws.
        service_ms: Median service time of a searcher, in milliseconds.
        **overrides: Settings that differ from the defaults.
    """
    return Cluster(layout or layouts.Layout(), seed, service_ms, overrides)
