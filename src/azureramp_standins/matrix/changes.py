"""How the faults of the matrix begin and end."""

from __future__ import annotations

import asyncio
import dataclasses

from azureramp import resources
from azureramp.ports.searchers import memory as searchers_memory
from azureramp_standins import cluster, traffic
from azureramp_standins import layout as layouts
from azureramp_standins.matrix import steps

POISON = "poison"
"""A query with this text crashes what runs it, once that fault is on."""

COLD_CALLS = 20
SLOW_S = 1.2
LATE_S = 0.7


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """Where a fault happens.

    Attributes:
        deployment: The deployment.
        moment: The step at which it happens.
    """

    deployment: cluster.Cluster
    moment: steps.Moment

    def get_vm(self) -> str:
        """Returns the VM of the step, or the first that runs."""
        running = [
            name
            for name, vm in self.deployment.vms.items()
            if vm.daemon is not None and not vm.stopping
        ]
        return self.moment.vm if self.moment.vm in running else running[0]

    def get_searcher(self) -> searchers_memory.Searcher:
        """Returns the searcher of the step, or the first one."""
        fleet = self.deployment.fleet.searchers
        for server in layouts.make_servers(self.deployment.layout):
            for declared in server.searchers:
                if declared.name == self.moment.searcher:
                    return fleet[declared.address]
        return next(iter(fleet.values()))


async def do_nothing(place: Place) -> None:
    """Ends a fault that ends by itself."""


async def begin_straggler(place: Place) -> None:
    """Makes a searcher ten times as slow."""
    place.get_searcher().faults.straggles = 1.0


async def end_straggler(place: Place) -> None:
    """Makes all searchers as fast as ever."""
    for searcher in place.deployment.fleet.searchers.values():
        searcher.faults.straggles = 0.0


async def begin_replica_lost(place: Place) -> None:
    """Takes a backend server away."""
    for searcher in place.get_searcher().siblings:
        searcher.faults.down = True
        for link in list(searcher.links):
            link.lose()


async def end_replica_lost(place: Place) -> None:
    """Brings every backend server back, cold."""
    for searcher in place.deployment.fleet.searchers.values():
        if searcher.faults.down:
            searcher.faults.down = False
            searcher.restart(COLD_CALLS)


async def begin_repartition(place: Place) -> None:
    """Serves and declares a version with other shards, drops the old one."""
    deployment = place.deployment
    service = deployment.layout.services[0]
    for searcher in deployment.fleet.searchers.values():
        searcher.versions = (f"{service.name}.2",)
    shard_map = layouts.make_shard_map(service, 2, service.shards + 1)
    await deployment.change(place.get_vm(), shard_map)


async def end_repartition(place: Place) -> None:
    """Declares the version again if the store was not there before."""
    deployment = place.deployment
    service = deployment.layout.services[0]
    shard_map = layouts.make_shard_map(service, 2, service.shards + 1)
    await deployment.change(place.get_vm(), shard_map)


async def begin_cold(place: Place) -> None:
    """Turns a backend server cold without a word."""
    for searcher in place.get_searcher().siblings:
        searcher.turn_cold(COLD_CALLS)


async def begin_store_down(place: Place) -> None:
    """Takes the key-value service away for all VMs."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.down = True


async def begin_store_slow(place: Place) -> None:
    """Makes each call of the key-value service slow."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.delay_s = SLOW_S


async def begin_reply_lost(place: Place) -> None:
    """Loses the replies of the next writes of all VMs."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.lost_replies = 1


async def begin_late_write(place: Place) -> None:
    """Makes writes take effect late, after their callers gave up."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.late_s = LATE_S


async def begin_past_reads(place: Place) -> None:
    """Makes the key-value service answer reads from the past."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            vm.store.faults.past = 2


async def end_store(place: Place) -> None:
    """Ends every fault of the key-value service."""
    for vm in place.deployment.vms.values():
        if vm.store is not None:
            faults = vm.store.faults
            faults.down = False
            faults.delay_s = 0.0
            faults.lost_replies = 0
            faults.late_s = 0.0
            faults.past = 0


async def begin_operators_race(place: Place) -> None:
    """Lets two operators change one resource through two VMs at once."""
    deployment = place.deployment
    service = deployment.layout.services[0]
    running = [n for n, vm in deployment.vms.items() if vm.daemon is not None]
    changes = (
        resources.Service(name=service.name, indexes=(service.name,)),
        resources.Service(name=service.name, indexes=(service.name, "another")),
    )
    await asyncio.gather(
        *(
            deployment.change(vm, change)
            for vm, change in zip(running, changes, strict=False)
        )
    )


async def begin_poison(place: Place) -> None:
    """Sends a query that crashes each backend server that runs it."""
    deployment = place.deployment
    for searcher in deployment.fleet.searchers.values():
        searcher.faults.crashes_on = POISON.encode()
    for _ in range(3):
        await traffic.query(deployment, place.get_vm(), POISON)


async def begin_half_open(place: Place) -> None:
    """Makes the open connections to a searcher silent for good."""
    for link in list(place.get_searcher().links):
        link.silent = True


async def begin_peer_cut(place: Place) -> None:
    """Cuts a VM off from all others."""
    deployment = place.deployment
    own = deployment.vms[place.get_vm()].entry.peer_address
    for vm in deployment.vms.values():
        other = vm.entry.peer_address
        deployment.network.faults.cut |= {(own, other), (other, own)}


async def begin_vm_frozen(place: Place) -> None:
    """Keeps all messages for a VM, and its calls of the store, waiting."""
    vm = place.deployment.vms[place.get_vm()]
    place.deployment.network.faults.frozen.add(vm.entry.peer_address)
    if vm.store is not None:
        vm.store.faults.delay_s = SLOW_S


async def end_network(place: Place) -> None:
    """Ends every fault of the network, and of the store that it reaches."""
    network = place.deployment.network
    network.faults.cut.clear()
    for address in list(network.faults.frozen):
        network.thaw(address)
    await end_store(place)


async def begin_lying_reports(place: Place) -> None:
    """Makes a searcher report that it is warm, whatever it is."""
    for searcher in place.get_searcher().siblings:
        searcher.faults.reports_cold = False
        searcher.turn_cold(COLD_CALLS)


async def end_lying_reports(place: Place) -> None:
    """Makes all searchers report the truth."""
    for searcher in place.deployment.fleet.searchers.values():
        searcher.faults.reports_cold = None


async def begin_list_lag(place: Place) -> None:
    """Takes the VM list away while a VM is being killed."""
    place.deployment.vmlist.down = True
    await place.deployment.kill_vm(place.get_vm())


async def end_list_lag(place: Place) -> None:
    """Brings the list and the VM back."""
    place.deployment.vmlist.down = False
    await start_all(place)


async def begin_vm_killed(place: Place) -> None:
    """Kills a VM."""
    await place.deployment.kill_vm(place.get_vm())


async def start_all(place: Place) -> None:
    """Starts every VM that does not run."""
    for name, vm in place.deployment.vms.items():
        if vm.daemon is None and not vm.stopping:
            await place.deployment.start_vm(name)


async def begin_zone_out(place: Place) -> None:
    """Takes a zone out."""
    zone = place.deployment.layout.zones[-1]
    out = resources.Zone(name=zone, state=resources.ZoneState.OUT)
    await place.deployment.change(place.get_vm(), out)


async def end_zone_out(place: Place) -> None:
    """Brings the zone back."""
    zone = place.deployment.layout.zones[-1]
    await place.deployment.change(place.get_vm(), resources.Zone(name=zone))


async def begin_planned_stop(place: Place) -> None:
    """Stops a VM gracefully."""
    await place.deployment.stop_vm(place.get_vm())
