"""The interface for calls to other VMs."""

from __future__ import annotations

from typing import Protocol

import expression

from azureramp import errors


class VmClient(Protocol):
    """Client of the other VMs.

    Errors: `NOT_OWNER` if the VM answered but can't handle the call now;
    `CONNECTION_LOST` if it did not answer, in which case it may have handled
    the call.
    """

    async def call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.Failure]:
        """Sends a message to a VM and returns its answer.

        Args:
            address: The VM's peer address, `IP:port`.
            path: The path that selects the handler.
            body: The encoded message.
            timeout_s: Maximum time for the answer, in seconds.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
