"""A whole deployment in one event loop, on the users' platform's protocol."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections.abc import Sequence
from typing import Any

import expression
import msgspec

from azureramp import errors
from azureramp.controllers.forwarding import board
from azureramp.platform import program, settings
from azureramp.policy import (
    account_limits,
    allowances,
    competition,
    exposure,
)
from azureramp.ports.web import api as web_api
from azureramp.ports.web import connection as web_connection
from azureramp_standins.fleet import searcher, store

HOST = "search.example"
CLOSE_WAIT_S = 0.5
"""Wait for the last connections to close, in seconds."""

STORE_ADDRESS = "127.0.0.1:7000"


class Deployment:
    """A store, searchers, daemons and a caller.

    Attributes:
        store: The test double of the platform's store.
        searchers: The searchers by id.
        daemons: The daemons by the VM's name.
        configuration: The operators' configuration, as `write_configuration`
            writes it to the store.
    """

    def __init__(
        self, seed: int = 0, store_address: str = STORE_ADDRESS
    ) -> None:
        """Makes a deployment without searchers and VMs.

        Args:
            seed: The seed of the daemons' random draws.
            store_address: The address at which the daemons reach the store.
        """
        self._seed = seed
        self._store_address = store_address
        self.store = store.Store(STORE_ADDRESS)
        self.searchers: dict[str, searcher.Searcher] = {}
        self.daemons: dict[str, program.Program] = {}
        self.configuration: dict[str, Any] = {
            "Version": 1,
            "Routes": [],
            "Services": [],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self._ids = itertools.count(1)
        self._starts = itertools.count(1)

    async def start(self) -> None:
        """Starts the store."""
        await self.store.start()

    async def add_searchers(self, service: str, count: int = 2) -> None:
        """Starts searchers of a new service, alternating between two zones."""
        self.configuration["Services"].append(
            {
                "Name": service,
                "HealthPath": "/health",
                "MaxConnections": 24,
                "ColdStartS": 3.0,
                "ColdPerS": 0.0,
            }
        )
        for index in range(count):
            await self.add_searcher(
                f"{service}-{index}", service, f"zone-{index % 2}"
            )

    async def add_searcher(
        self, name: str, service: str, zone: str, version: str = "v1"
    ) -> searcher.Searcher:
        """Starts a searcher and writes its entry to the store.

        Args:
            name: The searcher's id.
            service: Its service.
            zone: Its availability zone.
            version: The version of its software.
        """
        address = f"127.0.0.1:{20000 + len(self.searchers)}"
        started = searcher.Searcher(name, service, address, zone, version)
        await started.start()
        self.searchers[name] = started
        self.store.put(f"servers/{name}", started.make_entry())
        return started

    def order_rollout(
        self, service: str, target: str, duration_s: float
    ) -> int:
        """Writes an operator's order for a roll-out to the store.

        Args:
            service: The service.
            target: The new version.
            duration_s: The roll-out's duration, in seconds.

        Returns:
            The entry's revision.
        """
        return self.store.put(
            f"op/rollout/{service}",
            {
                "Backend": service,
                "TargetVersion": target,
                "DurationS": duration_s,
            },
        )

    def read_rollout_state(self, service: str) -> str:
        """Returns a roll-out's state from the operators' status entry.

        Empty if there is no entry.
        """
        entry = self.store.state.read(f"status/rollout/{service}")
        if entry is None or entry.value is None:
            return ""
        state: str = msgspec.json.decode(entry.value)["State"]
        return state

    def add_route(self, prefix: str, **fields: Any) -> None:
        """Adds a route to the configuration, without writing it.

        Args:
            prefix: The prefix of the route's paths.
            **fields: Further fields of the route's entry in the configuration.
        """
        self.configuration["Routes"].append(
            {
                "Name": f"route{prefix}",
                "Hostname": HOST,
                "Prefix": prefix,
                "RouteType": "idempotent",
                "TimeoutMs": 1000,
                "TargetLatencyMs": 100,
                "Priority": 1,
                "Attempts": 2,
            }
            | fields
        )

    def add_account(self, name: str, *keys: str, **fields: Any) -> None:
        """Adds a client account to the configuration, without writing it.

        Args:
            name: The account's name.
            *keys: Its keys.
            **fields: Further fields of the account's entry.
        """
        self.configuration.setdefault("Tenants", []).append(
            {"Name": name, "ApiKeys": list(keys)} | fields
        )

    def write_configuration(self) -> None:
        """Writes the configuration to the store under a new version."""
        self.configuration["Version"] += 3
        self.store.put("op/config", self.configuration)

    async def add_vm(
        self,
        vm: str,
        zone: str = "zone-0",
        first_port: int = 0,
        first_start: bool = True,
    ) -> program.Program:
        """Starts a daemon.

        Args:
            vm: The VM's name.
            zone: Its availability zone.
            first_port: The first of its ports; 0 to derive it from the number
                of VMs started so far.
            first_start: True if the whole tier starts for the first time.
        """
        first_port = first_port or 30000 + 10 * len(self.daemons)
        daemon_settings = make_settings(
            vm, zone, first_port, first_start, self._store_address
        )
        # A restarted process makes other random draws than its predecessor.
        seed = (
            self._seed + next(self._starts) if not first_start else self._seed
        )
        clock = asyncio.get_running_loop().time
        started = program.Program(daemon_settings, seed=seed, clock=clock)
        await started.start()
        self.daemons[vm] = started
        return started

    async def send_request(
        self,
        vm: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1000,
        request_id: str = "",
        key: str = "",
        headers: Sequence[tuple[str, str]] = (),
    ) -> web_api.Response:
        """Sends a caller's request on a new connection.

        Args:
            vm: The VM to send it to.
            target: The path with its query.
            method: The HTTP method.
            body: The body.
            deadline_ms: The request's deadline, in milliseconds.
            request_id: The request's id; empty to generate one.
            key: The key of its client account; empty to send none.
            headers: Further headers.

        Raises:
            ConnectionBrokenError: The connection could not be opened, or ended
                without an answer.
        """
        address = self.get_address(vm)
        opened = await web_connection.connect(address, 1.0)
        connection = _get_connection(opened)
        sent = [
            ("Azureramp-Request-Id", request_id or f"r{next(self._ids)}"),
            ("Azureramp-Deadline-Ms", str(deadline_ms)),
            *headers,
        ]
        if key:
            sent.append(("Authorization", f"Token {key}"))
        try:
            return await connection.exchange(
                method, target, sent, body, host=HOST
            )
        finally:
            connection.abort()

    def get_address(self, vm: str) -> str:
        """Returns the `IP:port` where a VM accepts callers' requests."""
        return self.daemons[vm].board.identity.caller_address

    async def kill(self) -> None:
        """Stops all daemons, the searchers and the store at once."""
        for each in self.daemons.values():
            await each.abort()
        for other in self.searchers.values():
            other.crash()
        await self.store.server.stop(0.0)
        # Aborted connections are closed in later iterations of the event loop.
        await asyncio.sleep(CLOSE_WAIT_S)


def make_settings(
    vm: str,
    zone: str,
    first_port: int,
    first_start: bool = True,
    store_address: str = STORE_ADDRESS,
) -> settings.Settings:
    """Makes a daemon's settings.

    Args:
        vm: The VM's name.
        zone: Its availability zone.
        first_port: The first of its four ports.
        first_start: True if the whole tier starts for the first time.
        store_address: The address of the store.
    """
    return settings.Settings(
        identity=board.Identity(
            vm=vm,
            zone=zone,
            caller_address=f"127.0.0.1:{first_port}",
            peer_address=f"127.0.0.1:{first_port + 3}",
            cores=1.0,
            first_start=first_start,
        ),
        bounds=board.Bounds(
            extra=allowances.Limit(ratio=0.2, window_s=10.0, fixed=56.0),
            cold_overage=1.5,
            cold_slack=5.0,
            grace_s=6.0,
            address_lifetime_s=5.0,
            exposure=exposure.ExposureLimit(share=0.1, fixed=50.0, stop_s=5.0),
            account_limits=account_limits.Tolerance(5.0, 0.1, 20.0),
            heartbeat_s=1.2,
            keys_expire_s=math.inf,
        ),
        front_address=f"127.0.0.1:{first_port}",
        ready_address=f"127.0.0.1:{first_port + 1}",
        directory_address=f"127.0.0.1:{first_port + 2}",
        store_address=store_address,
        seeds=tuple(f"127.0.0.1:{30003 + 10 * index}" for index in range(3)),
        descriptors=4000,
        environment=settings.EnvironmentSettings(
            admission=competition.Scope.PRIORITIES
        ),
    )


def _get_connection(
    opened: expression.Result[web_connection.Connection, errors.Failure],
) -> web_connection.Connection:
    """Returns the opened connection.

    Raises:
        ConnectionBrokenError: The connection could not be opened.
    """
    if opened.is_error():
        raise web_connection.ConnectionBrokenError(opened.error.detail)
    return opened.ok


async def wait_for_updates(seconds: float = 1.0) -> None:
    """Waits for the daemons to receive earlier writes to the store.

    Args:
        seconds: How long to wait, in seconds.
    """
    await asyncio.sleep(seconds)
