"""Functions that begin and end the faults of the matrix."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import resources
from azureramp.ports.searchers import memory as searchers_memory
from azureramp_standins import cluster, traffic
from azureramp_standins import layout as layouts
from azureramp_standins.matrix import steps

POISON_TEXT = "poison"
"""Text of a query that crashes its searcher while that fault is injected."""

COLD_CALLS = 20
STORE_DELAY_S = 1.2
WRITE_DELAY_S = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class FaultTarget:
    """The target of a fault.

    Attributes:
        deployment: The deployment.
        reached_step: The step at which the fault is injected.
    """

    deployment: cluster.Cluster
    reached_step: steps.ReachedStep

    def get_vm(self) -> str:
        """Returns the step's VM if it runs, otherwise the first running VM."""
        running = [
            name
            for name, vm in self.deployment.vms.items()
            if vm.daemon is not None and not vm.stopping
        ]
        return (
            self.reached_step.vm
            if self.reached_step.vm in running
            else running[0]
        )

    def get_searcher(self) -> searchers_memory.Searcher:
        """Returns the step's searcher if it has one, otherwise the first."""
        fleet = self.deployment.searcher_fleet.searchers
        for server in layouts.make_servers(self.deployment.layout):
            for declared in server.searchers:
                if declared.name == self.reached_step.searcher:
                    return fleet[declared.address]
        return next(iter(fleet.values()))


async def do_nothing(target: FaultTarget) -> None:
    """Ends a fault that ends without any action."""


async def begin_straggler(target: FaultTarget) -> None:
    """Makes a searcher ten times slower."""
    target.get_searcher().faults.straggles = 1.0


async def end_straggler(target: FaultTarget) -> None:
    """Restores the normal speed of all searchers."""
    for searcher in target.deployment.searcher_fleet.searchers.values():
        searcher.faults.straggles = 0.0


async def begin_replica_lost(target: FaultTarget) -> None:
    """Takes a backend server down and closes its connections."""
    for searcher in target.get_searcher().siblings:
        searcher.faults.down = True
        for link in list(searcher.links):
            link.break_connection()


async def end_replica_lost(target: FaultTarget) -> None:
    """Restarts every backend server that is down, in cold start."""
    for searcher in target.deployment.searcher_fleet.searchers.values():
        if searcher.faults.down:
            searcher.faults.down = False
            searcher.restart(COLD_CALLS)


async def begin_repartition(target: FaultTarget) -> None:
    """Replaces the index version with one with another number of shards."""
    deployment = target.deployment
    service = deployment.layout.services[0]
    for searcher in deployment.searcher_fleet.searchers.values():
        searcher.versions = (f"{service.name}.2",)
    shard_map = layouts.make_shard_map(service, 2, service.shards + 1)
    await deployment.put_resource(target.get_vm(), shard_map)


async def end_repartition(target: FaultTarget) -> None:
    """Declares the version again, in case the store was down at first."""
    deployment = target.deployment
    service = deployment.layout.services[0]
    shard_map = layouts.make_shard_map(service, 2, service.shards + 1)
    await deployment.put_resource(target.get_vm(), shard_map)


async def begin_cold(target: FaultTarget) -> None:
    """Puts a backend server into cold start without a restart or a notice."""
    for searcher in target.get_searcher().siblings:
        searcher.reset_to_cold(COLD_CALLS)


async def begin_store_down(target: FaultTarget) -> None:
    """Makes the key-value service unavailable to all VMs."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.down = True


async def begin_store_slow(target: FaultTarget) -> None:
    """Delays each call to the key-value service."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.delay_s = STORE_DELAY_S


async def begin_reply_lost(target: FaultTarget) -> None:
    """Drops the reply to the next write of each VM."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.lost_replies = 1


async def begin_late_write(target: FaultTarget) -> None:
    """Makes writes take effect after their callers have timed out."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.late_s = WRITE_DELAY_S


async def begin_past_reads(target: FaultTarget) -> None:
    """Makes the key-value service answer reads with older revisions."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.past = 2


async def end_store(target: FaultTarget) -> None:
    """Ends all faults of the key-value service."""
    for vm in target.deployment.vms.values():
        if vm.store is not None:
            faults = vm.store.faults
            faults.down = False
            faults.delay_s = 0.0
            faults.lost_replies = 0
            faults.late_s = 0.0
            faults.past = 0


async def begin_operators_race(target: FaultTarget) -> None:
    """Changes one resource through two VMs concurrently."""
    deployment = target.deployment
    service = deployment.layout.services[0]
    running = [n for n, vm in deployment.vms.items() if vm.daemon is not None]
    changes = (
        resources.Service(name=service.name, indexes=(service.name,)),
        resources.Service(name=service.name, indexes=(service.name, "another")),
    )
    await asyncio.gather(
        *(
            deployment.put_resource(vm, change)
            for vm, change in zip(running, changes, strict=False)
        )
    )


async def begin_poison(target: FaultTarget) -> None:
    """Sends a query that crashes each searcher that runs it."""
    deployment = target.deployment
    for searcher in deployment.searcher_fleet.searchers.values():
        searcher.faults.crashes_on = POISON_TEXT.encode()
    for _ in range(3):
        await traffic.query(deployment, target.get_vm(), POISON_TEXT)


async def begin_half_open(target: FaultTarget) -> None:
    """Makes the open connections to a searcher half-open permanently."""
    for link in list(target.get_searcher().links):
        link.half_open = True


async def begin_peer_cut(target: FaultTarget) -> None:
    """Drops all messages between a VM and the others."""
    deployment = target.deployment
    own = deployment.vms[target.get_vm()].list_entry.peer_address
    for vm in deployment.vms.values():
        other = vm.list_entry.peer_address
        deployment.network.faults.cut |= {(own, other), (other, own)}


async def begin_vm_frozen(target: FaultTarget) -> None:
    """Holds all messages to a VM and delays its calls to the store."""
    vm = target.deployment.vms[target.get_vm()]
    target.deployment.network.faults.frozen.add(vm.list_entry.peer_address)
    if vm.store is not None:
        vm.store.faults.delay_s = STORE_DELAY_S


async def end_network(target: FaultTarget) -> None:
    """Ends all faults of the network and of the store."""
    network = target.deployment.network
    network.faults.cut.clear()
    for address in list(network.faults.frozen):
        network.thaw(address)
    await end_store(target)


async def begin_lying_reports(target: FaultTarget) -> None:
    """Puts a backend server into cold start and makes it report being warm."""
    for searcher in target.get_searcher().siblings:
        searcher.faults.reports_cold = False
        searcher.reset_to_cold(COLD_CALLS)


async def end_lying_reports(target: FaultTarget) -> None:
    """Makes all searchers report their actual state."""
    for searcher in target.deployment.searcher_fleet.searchers.values():
        searcher.faults.reports_cold = None


async def begin_list_lag(target: FaultTarget) -> None:
    """Makes the VM list unavailable and kills a VM."""
    target.deployment.vmlist.down = True
    await target.deployment.kill_vm(target.get_vm())


async def end_list_lag(target: FaultTarget) -> None:
    """Makes the VM list available and starts the VM."""
    target.deployment.vmlist.down = False
    await start_all(target)


async def begin_vm_killed(target: FaultTarget) -> None:
    """Kills a VM."""
    await target.deployment.kill_vm(target.get_vm())


async def start_all(target: FaultTarget) -> None:
    """Starts every VM that is down, unless its stop is in progress."""
    for name, vm in target.deployment.vms.items():
        if vm.daemon is None and not vm.stopping:
            await target.deployment.start_vm(name)


async def begin_zone_out(target: FaultTarget) -> None:
    """Drains a zone."""
    zone = target.deployment.layout.zones[-1]
    out = resources.Zone(name=zone, state=resources.ZoneState.OUT)
    await target.deployment.put_resource(target.get_vm(), out)


async def end_zone_out(target: FaultTarget) -> None:
    """Restores the zone."""
    zone = target.deployment.layout.zones[-1]
    await target.deployment.put_resource(
        target.get_vm(), resources.Zone(name=zone)
    )


async def begin_planned_stop(target: FaultTarget) -> None:
    """Stops a VM gracefully."""
    await target.deployment.stop_vm(target.get_vm())
