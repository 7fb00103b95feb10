"""Telling other VMs what this one heard of the store."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import relaying
from azureramp.ports.relays import api
from azureramp.ports.web import api as web_api

MOST_WAIT_S = 5.0
"""Longest wait for a change, in seconds."""


class Relay:
    """Answers other VMs from this one's copy of the entries.

    Attributes:
        copy: The copy.
    """

    __slots__ = ("_board", "_changed", "copy")

    def __init__(self, board: board_module.Board) -> None:
        """Makes a relay that has heard nothing."""
        self._board = board
        self._changed = asyncio.Event()
        self.copy = relaying.Copy()

    def wake(self) -> None:
        """Tells those that wait that there are changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: web_api.Request) -> web_api.Response:
        """Answers a VM that asks for changes."""
        if request.path != api.CHANGES_PATH:
            return web_api.Response(404)
        try:
            after = int(request.query.get("after", "0"))
            wait_s = int(request.query.get("wait_ms", "0")) / 1000
        except ValueError:
            return web_api.Response(400)
        if not self.copy.revision or (after and not self._board.follows_store):
            # One that follows another VM can't tell how old its copy is. As a
            # start for a VM that knows nothing, it will do.
            return web_api.Response(503)
        until_s = asyncio.get_running_loop().time() + min(wait_s, MOST_WAIT_S)
        while True:
            changes = self.copy.list_changes(after)
            if changes is None:
                return web_api.Response(410)
            if changes or not await self._wait(until_s):
                break
        told = api.Told(self.copy.revision, self._get_age_ms(), changes)
        return web_api.Response(
            200, msgspec.msgpack.encode(told), "application/msgpack"
        )

    async def _wait(self, until_s: float) -> bool:
        """Waits for a change; False once the time is over.

        It is over at once when the store can't be reached: whoever waits here
        had better watch by itself.
        """
        if not self._board.contact.reachable:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                await self._changed.wait()
                return True
        return False

    def _get_age_ms(self) -> int:
        """Returns how long ago the store last answered, in milliseconds."""
        contact = self._board.contact
        now_s = asyncio.get_running_loop().time()
        age_s = min(now_s - contact.confirmed_s, 3600.0)
        return round(age_s * 1000)
