"""HTTP client for calls to other VMs; shares the store's client code."""

from __future__ import annotations

import expression

from azureramp import errors
from azureramp.ports.web import pools


class HttpVmClient:
    """HTTP client of the other VMs; see `api.VmClient`."""

    __slots__ = ("_pools",)

    def __init__(self, max_vms: int) -> None:
        """Makes a client without connections.

        Args:
            max_vms: Maximum number of VMs with open connections.
        """
        self._pools = pools.Pools(max_vms)

    async def call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.Failure]:
        """Sends a message to a VM; see `api.VmClient`."""
        result = await self._pools.get(address).exchange(
            "POST", path, body, timeout_s=timeout_s
        )
        if result.is_error():
            return expression.Error(
                errors.Failure(errors.Kind.CONNECTION_LOST, result.error.detail)
            )
        if result.ok.status != 200:
            return expression.Error(
                errors.Failure(
                    errors.Kind.NOT_OWNER, f"status {result.ok.status}"
                )
            )
        return expression.Ok(result.ok.body)

    async def close(self) -> None:
        """Closes all idle connections."""
        self._pools.close()
