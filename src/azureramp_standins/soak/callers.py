"""Callers that resolve the VMs' addresses and reuse their connections."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable

import msgspec

from azureramp.ports.web import connection as web_connection
from azureramp.ports.web import pool
from azureramp_standins.fleet import deployment
from azureramp_standins.soak import daemons, history

PATHS = ("/all/x", "/all/x", "/one/x", "/once/x", "/move/x")
DEADLINE_S = 1.0
MEAN_PAUSE_S = 0.04
"""Mean pause between a caller's requests, in seconds."""

PATHS_WITH_ACCOUNTS = (*PATHS, "/open/x")
FORGED_ACCOUNT = "forged"
"""The account that callers name themselves, and that searchers must not get."""

ADDRESS_LIFETIME_S = 2.0
"""How long a caller uses an answer of the directory, in seconds."""

REQUESTS_PER_CONNECTION = 40
"""Requests on one connection before a caller opens another. Until then the
caller uses it even if a newer directory answer omits its VM."""


class Caller:
    """A caller that sends requests over one connection at a time."""

    __slots__ = (
        "_addresses",
        "_connection",
        "_daemons",
        "_history",
        "_ids",
        "_mean_pause_s",
        "_name",
        "_paths",
        "_pick_key",
        "_requests_left",
        "_resolved_s",
        "_rng",
        "_vm",
        "_while_set",
    )

    def __init__(
        self,
        name: str,
        fleet: list[daemons.Daemon],
        run_history: history.History,
        rng: random.Random,
        pick_key: Callable[[], str] | None = None,
        mean_pause_s: float = MEAN_PAUSE_S,
        while_set: asyncio.Event | None = None,
    ) -> None:
        """Makes a caller that sends no requests before `run`.

        Args:
            name: The caller's name, the prefix of its requests' ids.
            fleet: The daemons.
            run_history: The history, in which its requests are recorded.
            rng: Source of the random draws.
            pick_key: Returns the key for a request; None in a run without
                client accounts.
            mean_pause_s: Mean pause between two requests, in seconds.
            while_set: It sends only while this is set; None to send always.
        """
        self._name = name
        self._daemons = fleet
        self._history = run_history
        self._rng = rng
        self._ids = itertools.count(1)
        self._addresses: list[str] = []
        self._resolved_s = float("-inf")
        self._connection: web_connection.Connection | None = None
        self._vm = ""
        self._requests_left = 0
        self._pick_key = pick_key
        self._paths = PATHS if pick_key is None else PATHS_WITH_ACCOUNTS
        self._mean_pause_s = mean_pause_s
        self._while_set = while_set

    async def run(self) -> None:
        """Sends requests at random intervals until cancelled."""
        while True:
            if self._while_set is not None:
                await self._while_set.wait()
            await asyncio.sleep(self._rng.expovariate(1 / self._mean_pause_s))
            await self._send(self._rng.choice(self._paths))

    def close(self) -> None:
        """Aborts the connection, if one is open."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _send(self, path: str) -> None:
        """Sends one request and records its outcome."""
        if self._connection is None or self._requests_left <= 0:
            await self._connect()
        if self._connection is None:
            return
        self._requests_left -= 1
        loop = asyncio.get_running_loop()
        name = f"{self._name}-{next(self._ids)}"
        request = history.CallerRequest(
            name, path, self._vm, loop.time(), DEADLINE_S
        )
        self._history.requests.append(request)
        headers = [
            ("Azureramp-Request-Id", name),
            ("Azureramp-Deadline-Ms", str(int(DEADLINE_S * 1000))),
        ]
        if self._pick_key is not None:
            headers.append(("Azureramp-Tenant", FORGED_ACCOUNT))
            if not request.is_public():
                request.key = self._pick_key()
        if request.key:
            headers.append(("Authorization", f"Token {request.key}"))
        method = "POST" if path.startswith("/once/") else "GET"
        body = b"grant" if method == "POST" else b""
        try:
            async with asyncio.timeout(DEADLINE_S):
                answer = await self._connection.exchange(
                    method, path, headers, body, host=deployment.HOST
                )
        except TimeoutError:
            request.status = -1
            self.close()
        except (
            web_connection.ConnectionBrokenError,
            web_connection.NotSentError,
        ):
            self.close()
        else:
            request.status = answer.status
            request.headers = {k.lower(): v for k, v in answer.headers}
            request.body = answer.body
            if not self._connection.is_reusable():
                self.close()
        request.ended_s = loop.time()

    async def _connect(self) -> None:
        """Opens a connection to one of the advertised VMs."""
        self.close()
        loop = asyncio.get_running_loop()
        if (
            loop.time() - self._resolved_s > ADDRESS_LIFETIME_S
            or not self._addresses
        ):
            await self._resolve()
        if not self._addresses:
            return
        address = self._rng.choice(self._addresses)
        opened = await web_connection.connect(address, 1.0)
        if opened.is_error():
            self._addresses.remove(address)
            return
        self._connection = opened.ok
        self._requests_left = REQUESTS_PER_CONNECTION
        self._vm = next(
            each.name for each in self._daemons if each.front == address
        )

    async def _resolve(self) -> None:
        """Requests the advertised addresses from a random VM's directory."""
        daemon = self._rng.choice(self._daemons)
        directory = pool.Pool(daemon.directory)
        target = f"/resolve?Name={deployment.HOST}&Region=r&Zone=zone-0"
        result = await directory.exchange("GET", target, timeout_s=1.0)
        directory.close()
        if result.is_error() or result.ok.status != 200:
            return
        self._addresses = list(msgspec.json.decode(result.ok.body)["addrs"])
        self._resolved_s = asyncio.get_running_loop().time()
        names = tuple(
            each.name for each in self._daemons if each.front in self._addresses
        )
        self._history.advertised.append((self._resolved_s, daemon.name, names))
