"""In-memory links between VMs, with faults, for tests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import expression

from azureramp import errors

Handler = Callable[[str, bytes], bytes | None]
"""Handles a message at a path; returns None if the VM can't handle it now."""


class MemoryLinks:
    """Links between VMs in one process.

    Attributes:
        handlers: The VMs' handlers by peer address.
        delay_s: Duration of each direction of a call, in seconds.
        cut: Pairs of addresses `(from, to)` on which messages are lost.
        lost_answers: Pairs on which the call is handled and its answer lost.
    """

    __slots__ = ("cut", "delay_s", "handlers", "lost_answers")

    def __init__(self, delay_s: float = 0.001) -> None:
        """Creates links without faults."""
        self.handlers: dict[str, Handler] = {}
        self.delay_s = delay_s
        self.cut: set[tuple[str, str]] = set()
        self.lost_answers: set[tuple[str, str]] = set()


class MemoryVmClient:
    """One VM's end of the links; see `api.VmClient`."""

    __slots__ = ("_address", "_links")

    def __init__(self, links: MemoryLinks, address: str) -> None:
        """Creates a client.

        Args:
            links: The links.
            address: The calling VM's peer address.
        """
        self._links = links
        self._address = address

    async def call(
        self, address: str, path: str, body: bytes, timeout_s: float
    ) -> expression.Result[bytes, errors.Failure]:
        """Sends a message to a VM; see `api.VmClient`."""
        links, pair = self._links, (self._address, address)
        lost = errors.Failure(errors.Kind.CONNECTION_LOST, "no answer")
        handler = links.handlers.get(address)
        if handler is None or pair in links.cut:
            await asyncio.sleep(timeout_s)
            return expression.Error(lost)
        await asyncio.sleep(links.delay_s)
        answer = handler(path, body)
        if pair in links.lost_answers or pair[::-1] in links.cut:
            await asyncio.sleep(max(0.0, timeout_s - links.delay_s))
            return expression.Error(lost)
        await asyncio.sleep(links.delay_s)
        if answer is None:
            return expression.Error(errors.Failure(errors.Kind.NOT_OWNER))
        return expression.Ok(answer)

    async def close(self) -> None:
        """Does nothing; there are no connections."""
