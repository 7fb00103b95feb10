"""An in-memory VM list, which tests change and break."""

from __future__ import annotations

import asyncio

import expression

from azureramp import errors
from azureramp.ports.vmlist import api


class MemoryVmList:
    """The list as tests set it; see `api.VmList`.

    Attributes:
        vms: The VMs by name.
        down: Reads fail.
        reads: How many reads there were.
        delay_s: Time that a read takes, in seconds.
    """

    __slots__ = ("delay_s", "down", "reads", "vms")

    def __init__(self, *vms: api.Vm) -> None:
        """Makes a list of these VMs."""
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
        """Does nothing: there are no connections."""
