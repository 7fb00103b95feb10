"""Callers that ask where to connect and keep their connections."""

from __future__ import annotations

import asyncio
import itertools
import random

import msgspec

from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import pool
from azureramp_standins.fleet import deployment
from azureramp_standins.soak import daemons, history

PATHS = ("/all/x", "/all/x", "/one/x", "/once/x", "/move/x")
DEADLINE_S = 1.0
PAUSE_S = 0.04
"""Mean pause between two requests of a caller, in seconds."""

ADDRESSES_S = 2.0
"""How long a caller keeps an answer of the directory, in seconds."""

KEEP_REQUESTS = 40
"""Requests on one connection before a caller opens another; it uses it until
then also where a newer answer doesn't name the VM."""


class Caller:
    """One caller."""

    __slots__ = (
        "_asked_s",
        "_connection",
        "_daemons",
        "_history",
        "_ids",
        "_left",
        "_name",
        "_rng",
        "_told",
        "_vm",
    )

    def __init__(
        self,
        name: str,
        fleet: list[daemons.Daemon],
        seen: history.History,
        rng: random.Random,
    ) -> None:
        """Makes a caller; see `run`."""
        self._name = name
        self._daemons = fleet
        self._history = seen
        self._rng = rng
        self._ids = itertools.count(1)
        self._told: list[str] = []
        self._asked_s = float("-inf")
        self._connection: web_connection.Connection | None = None
        self._vm = ""
        self._left = 0

    async def run(self) -> None:
        """Sends requests, forever."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
            await self._send(self._rng.choice(PATHS))

    def close(self) -> None:
        """Ends the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _send(self, path: str) -> None:
        """Sends one request and keeps what came of it."""
        if self._connection is None or self._left <= 0:
            await self._connect()
        if self._connection is None:
            return
        self._left -= 1
        loop = asyncio.get_running_loop()
        name = f"{self._name}-{next(self._ids)}"
        tried = history.Try(name, path, self._vm, loop.time(), DEADLINE_S)
        self._history.tries.append(tried)
        headers = (
            ("Azureramp-Request-Id", name),
            ("Azureramp-Deadline-Ms", str(int(DEADLINE_S * 1000))),
        )
        method = "POST" if path.startswith("/once/") else "GET"
        body = b"grant" if method == "POST" else b""
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await self._connection.exchange(
                    method, path, headers, body, host=deployment.HOST
                )
        except TimeoutError:
            tried.status = -1
            self.close()
        except (web_connection.BrokenError, web_connection.UnsentError):
            self.close()
        else:
            tried.status = answer.status
            tried.headers = {k.lower(): v for k, v in answer.headers}
            tried.body = answer.body
            if not self._connection.is_reusable():
                self.close()
        tried.ended_s = loop.time()

    async def _connect(self) -> None:
        """Opens a connection to one of the VMs that it is told of."""
        self.close()
        loop = asyncio.get_running_loop()
        if loop.time() - self._asked_s > ADDRESSES_S or not self._told:
            await self._ask_directory()
        if not self._told:
            return
        address = self._rng.choice(self._told)
        opened = await web_connection.connect(address, 1.0)
        if opened.is_error():
            self._told.remove(address)
            return
        self._connection = opened.ok
        self._left = KEEP_REQUESTS
        self._vm = next(
            each.name for each in self._daemons if each.front == address
        )

    async def _ask_directory(self) -> None:
        """Asks a VM which addresses to use."""
        asked = self._rng.choice(self._daemons)
        directory = pool.Pool(asked.directory)
        target = f"/resolve?Name={deployment.HOST}&Region=r&Zone=zone-0"
        result = await directory.exchange("GET", target, timeout_s=1.0)
        directory.close()
        if result.is_error() or result.ok.status != 200:
            return
        self._told = list(msgspec.json.decode(result.ok.body)["addrs"])
        self._asked_s = asyncio.get_running_loop().time()
        names = tuple(
            each.name for each in self._daemons if each.front in self._told
        )
        self._history.named.append((self._asked_s, asked.name, names))
