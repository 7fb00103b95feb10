"""Callers that follow the addresses that they are given."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import Any

import msgspec

from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection

PAUSE_S = 0.3
"""Mean time between two requests of a caller, in seconds."""


class Caller:
    """A caller that keeps addresses and a connection, as the page tells."""

    def __init__(
        self, token: str, addresses: list[str], query: dict[str, Any]
    ) -> None:
        self.token = token
        self.addresses = addresses
        self.query = query
        self.until_s = 0.0
        self.connection: web_connection.Connection | None = None
        self.ended = collections.Counter[str]()

    async def run(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(PAUSE_S * (0.5 + rng.random()))
            body = msgspec.json.encode(self.query)
            await self.ask("POST", "/v1/query", body)

    async def ask(self, method: str, path: str, body: bytes) -> None:
        """Asks one VM after another until one takes the request."""
        if asyncio.get_running_loop().time() >= self.until_s:
            await self.refresh()
        for address in list(self.addresses):
            response = await self.exchange(address, method, path, body)
            if response is None:
                continue
            answer = msgspec.json.decode(response.body)
            if response.status == 200:
                complete = answer["complete"]
                self.ended["complete" if complete else "short"] += 1
                return
            self.ended[answer["code"]] += 1
            if answer["retry"] != "other_address":
                return
        self.ended["no_vm"] += 1

    async def refresh(self) -> None:
        """Asks for addresses, of any VM that answers."""
        for address in list(self.addresses):
            response = await self.exchange(address, "GET", "/v1/addresses", b"")
            if response is not None and response.status == 200:
                answer = msgspec.json.decode(response.body)
                self.addresses = answer["addresses"] or self.addresses
                now_s = asyncio.get_running_loop().time()
                self.until_s = now_s + answer["lifetime_ms"] / 1000
                return

    async def exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> web_api.Response | None:
        """Makes one exchange; None if the VM can't be reached at all."""
        kept = self.connection
        if kept is None or kept.address != address or not kept.is_reusable():
            self.close()
            opened = await web_connection.connect(address, 1.0)
            if opened.is_error():
                self.ended["refused"] += 1
                return None
            kept = self.connection = opened.ok
        headers = [("Authorization", f"Bearer {self.token}")]
        try:
            return await kept.exchange(method, path, headers, body)
        except web_connection.UnsentError:
            return None
        except web_connection.BrokenError:
            self.ended["cut"] += 1
            return None

    def close(self) -> None:
        """Closes the connection that is kept."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
