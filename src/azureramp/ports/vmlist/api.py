"""The interface of the platform's list of VMs, which lags both ways."""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import errors


class Vm(msgspec.Struct, frozen=True):
    """One entry VM.

    Attributes:
        name: The VM's name.
        zone: The name of its availability zone.
        http_address: `IP:port` for callers and operators.
        peer_address: `IP:port` for the other daemons.
        leaving: True once the platform means to take it away.
    """

    name: str
    zone: str
    http_address: str
    peer_address: str
    leaving: bool = False


class VmList(Protocol):
    """The list; errors: `STORE_UNAVAILABLE`."""

    async def read(
        self,
    ) -> expression.Result[tuple[Vm, ...], errors.Failure]:
        """Reads the VMs, ascending by name."""
        ...

    async def close(self) -> None:
        """Closes every connection."""
        ...
