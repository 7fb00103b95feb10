"""The platform's VM list over HTTP: `GET /vms`."""

from __future__ import annotations

import expression
import msgspec

from azureramp import errors
from azureramp.ports.vmlist import api
from azureramp.ports.web import pool

PATH = "/vms"

CALL_TIMEOUT_S = 2.0
"""Timeout of a read, in seconds."""


class HttpVmList:
    """An HTTP client of the VM list; see `api.VmList`."""

    __slots__ = ("_pool",)

    def __init__(self, address: str) -> None:
        """Makes a client that connects at its first use.

        Args:
            address: `IP:port` of the list.
        """
        self._pool = pool.Pool(address)

    async def read(
        self,
    ) -> expression.Result[tuple[api.Vm, ...], errors.Failure]:
        """Reads the VMs; see `api.VmList`."""
        result = await self._pool.exchange(
            "GET", PATH, timeout_s=CALL_TIMEOUT_S
        )
        if result.is_error():
            return expression.Error(_fail(result.error.detail))
        if result.ok.status != 200:
            return expression.Error(_fail(f"status {result.ok.status}"))
        try:
            vms = msgspec.json.decode(result.ok.body, type=tuple[api.Vm, ...])
        except msgspec.DecodeError as error:
            return expression.Error(_fail(str(error)))
        return expression.Ok(tuple(sorted(vms, key=lambda vm: vm.name)))

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()


def _fail(detail: str) -> errors.Failure:
    """Makes the failure of a read."""
    return errors.Failure(errors.Kind.STORE_UNAVAILABLE, detail)
