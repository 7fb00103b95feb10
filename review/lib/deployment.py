"""A small deployment on loopback: the store, searchers and the tier's VMs.

The VMs are the project's own processes, started with the command of the deploy
file. The store is the project's own stand-in; the searchers are in `searchers`.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Iterable
from typing import Any

from azureramp_standins.fleet import store
from lib import clients, searchers

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-S", "src/azurerampd_platform.py")
"""The command of both roles in `deploy/system.toml`."""

HOST = "pupu76.example"
IP = "127.{}.{}.{}".format(*(random.randrange(2, 250) for _ in range(3)))
"""The loopback address of a run, so that several runs don't share ports."""

_ports = itertools.count(10_000)
CONTACT_S = 4.0
GRACE_S = 6.0
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0

SETTINGS = """\
Node = "{name}"
Role = "{role}"
MachineClass = "frontend"
Serves = [{serves}]
Ip = "{ip}"
Zone = "{zone}"
Region = "scot-central"
InternalPorts = [7380, 7395]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = false
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = [
  "base", "drain", "config", "cost", "retry", "recover", "scatter", "places",
  "platform",
]
[Zones]
edin-a = "scot-central"
edin-b = "scot-central"
[ListenAddrs]
{listen}
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = {memory_mb}
MaxFds = {descriptors}
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxSkewMs = 12000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 56
ColdOverage = 1.5
ColdSlack = 5
EvacuationMs = 5000
RecoveryS = 12
ttl_max_s = 5
{bounds}
[platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"""


class Vm:
    """One process of the tier.

    Attributes:
        name: The VM's name.
        front: The `IP:port` for callers.
        ready: The `IP:port` for readiness checks.
        log: The file with the process's output.
        ended: True once the test has ended the process on purpose.
    """

    def __init__(
        self, name: str, settings: str, front: str, ready: str, metrics: int
    ) -> None:
        """Writes the settings of a process that is not started yet."""
        folder = pathlib.Path(tempfile.mkdtemp(prefix="azureramp-review-"))
        self.name = name
        self.front = front
        self.ready = ready
        self.log = folder / "log.txt"
        self.ended = False
        self._settings = folder / "settings.toml"
        self._settings.write_text(settings, "utf-8")
        self._metrics = metrics
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process as the platform does."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "AZURERAMP_CONFIG": str(self._settings),
            "AZURERAMP_METRICS_PORT": str(self._metrics),
        }
        with self.log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                *COMMAND,
                stdout=output,
                stderr=output,
                env=environment,
                cwd=ROOT,
            )
        self.ended = False

    def write_settings(self, old: str, new: str) -> None:
        """Replaces a part of the settings file."""
        text = self._settings.read_text("utf-8")
        self._settings.write_text(text.replace(old, new), "utf-8")

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.is_running():
            assert self._process is not None
            self._process.send_signal(number)

    def is_running(self) -> bool:
        """Returns True if the process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def wait(self) -> int:
        """Waits for the end of the process; returns its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def end(self) -> None:
        """Kills the process, if it runs, and waits for it."""
        self.ended = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Deployment:
    """The store and the VMs.

    Attributes:
        store: The platform's store.
        store_address: Its `IP:port`.
        vms: The VMs that serve callers.
        directory: The process that answers callers' address lookups.
        directory_address: Its `IP:port`.
    """

    def __init__(
        self,
        vms: int,
        *,
        bounds: str = "",
        memory_mb: int = 300,
        descriptors: int = 4100,
        vm_store_address: str = "",
    ) -> None:
        """Makes a deployment that is not started yet.

        Args:
            vms: The number of VMs that serve callers.
            bounds: Further lines of the table `Bounds`.
            memory_mb: The memory of each process.
            descriptors: The file descriptors of each process.
            vm_store_address: Where the VMs reach the store, if through a proxy.
        """
        self.store_address = find_address()
        self.store = store.Store(self.store_address)
        self.vms: list[Vm] = []
        vm_store_address = vm_store_address or self.store_address
        listen = [[find_address() for _ in range(3)] for _ in range(vms)]
        seeds = ", ".join(f'"{each[2]}"' for each in listen[:3])
        common = {
            "seeds": seeds,
            "store": vm_store_address,
            "bounds": bounds,
            "memory_mb": memory_mb,
            "descriptors": descriptors,
            "bootstrap": "true",
            "ip": IP,
        }
        for number, (front, ready, control) in enumerate(listen):
            settings = SETTINGS.format(
                name=f"frontend-{number}",
                role="azurerampd",
                serves='"frontend", "control_plane"',
                zone=("edin-a", "edin-b")[number % 2],
                listen=f'Front = "{front}"\nReady = "{ready}"\n'
                f'Control = "{control}"',
                **common,
            )
            self.vms.append(
                Vm(f"frontend-{number}", settings, front, ready, find_port())
            )
        self.directory_address = find_address()
        self.directory = Vm(
            "directory",
            SETTINGS.format(
                name="frontend-0",
                role="azurerampd-directory",
                serves='"directory"',
                zone="edin-a",
                listen=f'directory = "{self.directory_address}"',
                **common,
            ),
            "",
            "",
            find_port(),
        )

    async def start(self, configuration: dict[str, Any]) -> None:
        """Starts everything and waits until all VMs are ready."""
        await self.store.start()
        self.store.put("op/config", configuration)
        for vm in (*self.vms, self.directory):
            await vm.start()
        deadline_s = time.monotonic() + 20
        for vm in self.vms:
            while not await is_ready(vm.ready):
                if time.monotonic() > deadline_s:
                    raise RuntimeError(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Ends all processes."""
        for vm in (*self.vms, self.directory):
            await vm.end()
        await self.store.server.stop(0.0)


def find_port() -> int:
    """Returns a free port of the run's address."""
    for port in _ports:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((IP, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def find_address() -> str:
    """Returns a free `IP:port` on loopback."""
    return f"{IP}:{find_port()}"


def make_configuration(
    routes: list[dict[str, Any]],
    services: list[str],
    *,
    version: int = 1,
    max_connections: int = 110,
    cold_per_s: float = 0.0,
    **extra: Any,
) -> dict[str, Any]:
    """Makes a configuration with the defaults of a small deployment."""
    common = {
        "Hostname": HOST,
        "RouteType": "idempotent",
        "TimeoutMs": 1500,
        "TargetLatencyMs": 346,
        "Priority": 1,
        "Attempts": 2,
    }
    return {
        "Version": version,
        "Routes": [
            common | {"Name": f"r-{number}"} | route
            for number, route in enumerate(routes)
        ],
        "Services": [
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": max_connections,
                "ColdStartS": 3.0,
                "ColdPerS": cold_per_s,
            }
            for name in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    } | extra


async def is_ready(address: str) -> bool:
    """Asks a VM whether it is ready, as the platform does."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(
            b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        line = await asyncio.wait_for(reader.readline(), 1.0)
        return b" 200 " in line
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def finish(
    path: pathlib.Path,
    lines: list[str],
    broken: bool,
    answers: Iterable[clients.Answer] = (),
    found: Iterable[searchers.Searcher] = (),
) -> int:
    """Writes the record and returns the exit code.

    Args:
        path: The record's file.
        lines: What the case saw, and what it was judged by.
        broken: True if the rule was broken.
        answers: What each client attempt was sent and ended with.
        found: The searchers, with what they ran.
    """
    lines = [*lines, f"result: {'BROKEN' if broken else 'held'}"]
    sent = sorted(answers, key=lambda each: each.sent_s)
    runs = [run for each in found for run in each.runs]
    runs.sort(key=lambda each: each.began_s)
    zero_s = min((each.sent_s for each in sent), default=0.0)
    details = [
        f"{each.sent_s - zero_s:8.3f} s sent {each.id} {each.target} to"
        f" {each.address}; at {each.ended_s - zero_s:.3f} s"
        f" {each.status or each.error}"
        for each in sent
    ]
    details += [
        f"{each.began_s - zero_s:8.3f} s run of {each.id} {each.target} at"
        f" {each.searcher}; at {each.ended_s - zero_s:.3f} s {each.end}"
        for each in runs
    ]
    path.write_text("\n".join([*details, "", *lines]) + "\n", "utf-8")
    sys.stdout.write("\n".join(lines[-12:]) + "\n")
    return 1 if broken else 0
