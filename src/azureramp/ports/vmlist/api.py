"""The interface to the platform's VM list.

The list lags behind: it may omit new VMs and still contain VMs that have gone.
"""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import errors


class Vm(msgspec.Struct, frozen=True):
    """One VM of the list.

    Attributes:
        name: The VM's name.
        zone: The name of its availability zone.
        http_address: `IP:port` for callers and operators.
        peer_address: `IP:port` for the other daemons.
        leaving: True if the platform is about to remove it.
    """

    name: str
    zone: str
    http_address: str
    peer_address: str
    leaving: bool = False


class VmList(Protocol):
    """The VM list; every failure is `STORE_UNAVAILABLE`."""

    async def read(
        self,
    ) -> expression.Result[tuple[Vm, ...], errors.Failure]:
        """Reads the VMs, ascending by name."""
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
