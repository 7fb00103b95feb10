"""Simulated callers that use the addresses advertised by the VMs."""

from __future__ import annotations

import asyncio
import collections
import random
from typing import Any

import msgspec

from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection

PAUSE_S = 0.3
"""Mean pause between two requests of a caller, in seconds."""


class Caller:
    """A caller that caches addresses and reuses its connection.

    Attributes:
        token: The caller's token.
        addresses: The addresses of VMs, in the order in which they are tried.
        query: The body of each query.
        expires_s: The time at which the addresses expire, in seconds.
        connection: The open connection, if any.
        outcomes: Number of requests by outcome.
    """

    def __init__(
        self, token: str, addresses: list[str], query: dict[str, Any]
    ) -> None:
        self.token = token
        self.addresses = addresses
        self.query = query
        self.expires_s = 0.0
        self.connection: web_connection.Connection | None = None
        self.outcomes = collections.Counter[str]()

    async def run(self, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(PAUSE_S * (0.5 + rng.random()))
            body = msgspec.json.encode(self.query)
            await self.ask("POST", "/v1/query", body)

    async def ask(self, method: str, path: str, body: bytes) -> None:
        """Sends a request to one VM after another until one handles it."""
        if asyncio.get_running_loop().time() >= self.expires_s:
            await self.refresh()
        for address in list(self.addresses):
            response = await self.exchange(address, method, path, body)
            if response is None:
                continue
            answer = msgspec.json.decode(response.body)
            if response.status == 200:
                complete = answer["complete"]
                self.outcomes["complete" if complete else "short"] += 1
                return
            self.outcomes[answer["code"]] += 1
            if answer["retry"] != "other_address":
                return
        self.outcomes["no_vm"] += 1

    async def refresh(self) -> None:
        """Fetches the addresses from the first VM that answers."""
        for address in list(self.addresses):
            response = await self.exchange(address, "GET", "/v1/addresses", b"")
            if response is not None and response.status == 200:
                answer = msgspec.json.decode(response.body)
                self.addresses = answer["addresses"] or self.addresses
                now_s = asyncio.get_running_loop().time()
                self.expires_s = now_s + answer["lifetime_ms"] / 1000
                return

    async def exchange(
        self, address: str, method: str, path: str, body: bytes
    ) -> web_api.Response | None:
        """Sends one request; returns None if no answer was received."""
        connection = self.connection
        if (
            connection is None
            or connection.address != address
            or not connection.is_reusable()
        ):
            self.close()
            opened = await web_connection.connect(address, 1.0)
            if opened.is_error():
                self.outcomes["refused"] += 1
                return None
            connection = self.connection = opened.ok
        headers = [("Authorization", f"Bearer {self.token}")]
        try:
            return await connection.exchange(method, path, headers, body)
        except web_connection.NotSentError:
            return None
        except web_connection.ConnectionBrokenError:
            self.outcomes["cut"] += 1
            return None

    def close(self) -> None:
        """Closes the open connection."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None
