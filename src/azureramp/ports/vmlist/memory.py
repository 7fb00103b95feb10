"""An in-memory VM list with fault injection."""

from __future__ import annotations

import asyncio

import expression

from azureramp import errors
from azureramp.ports.vmlist import api


class MemoryVmList:
    """A VM list that tests can modify; see `api.VmList`.

    Attributes:
        vms: The VMs by name.
        down: True if reads fail.
        reads: Number of reads.
        delay_s: Duration of a read, in seconds.
    """

    __slots__ = ("delay_s", "down", "reads", "vms")

    def __init__(self, *vms: api.Vm) -> None:
        """Makes a list of the given VMs."""
        self.vms = {vm.name: vm for vm in vms}
        self.down = False
        self.reads = 0
        self.delay_s = 0.0

    async def read(
        self,
    ) -> expression.Result[tuple[api.Vm, ...], errors.Failure]:
        """Reads the VMs; see `api.VmList`."""
        self.reads += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            kind = errors.Kind.STORE_UNAVAILABLE
            return expression.Error(errors.Failure(kind, "the list is down"))
        return expression.Ok(tuple(self.vms[name] for name in sorted(self.vms)))

    async def close(self) -> None:
        """Does nothing, since there are no connections."""
