"""Starts the project's processes as the platform does, on loopback."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import tomllib
from collections.abc import Sequence

from review.common import client

REPOSITORY = pathlib.Path(__file__).parents[2]

START_S = 20.0
"""Maximum time until all machines are ready, in seconds."""

BOUNDS = """\
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
"""
"""The bounds of the small deployment cbco-search."""

SETTINGS = """\
Node = "{name}"
Role = "{role}"
MachineClass = "frontend"
Serves = [{serves}]
Ip = "{ip}"
Zone = "{zone}"
Region = "scot-central"
InternalPorts = [{first_port},{last_port}]
Seeds = [{seeds}]
Bootstrap = {bootstrap}
CountsAsLoss = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","scatter",\
"places","platform"]
[Zones]
{zones}
[ListenAddrs]
{listen}
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 8
Zones = 1
Regions = 0
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


class CaseError(Exception):
    """The case can't run here."""


def find_ports(ip: str, count: int) -> list[int]:
    """Returns free ports of a loopback address, below the ephemeral ones."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Machine:
    """A process of one role on a machine with its own loopback address.

    Attributes:
        name: The machine's name.
        ip: Its address.
        front: The `IP:port` for clients' requests; empty if not served.
        ready: The `IP:port` for readiness checks.
        control: The `IP:port` for other machines.
        directory: The `IP:port` for look-ups; empty if not served.
        exits: The exit codes of its processes, in order.
    """

    def __init__(self, name: str, zone: str, role: str, ip: str) -> None:
        """Chooses the ports of a machine; `start` runs its process."""
        self.name = name
        self.zone = zone
        self.role = role
        self.ip = ip
        serves_clients = role == "azurerampd"
        ports = [f"{ip}:{port}" for port in find_ports(ip, 5)]
        self.front = ports[0] if serves_clients else ""
        self.ready = ports[1] if serves_clients else ""
        self.control = ports[2] if serves_clients else ""
        self.directory = "" if serves_clients else ports[3]
        self._metrics_port = ports[4].rpartition(":")[2]
        self.exits: list[int] = []
        self._process: asyncio.subprocess.Process | None = None
        self._path = pathlib.Path()
        self._ending = False
        self._supervisor: asyncio.Task[None] | None = None

    def write_settings(
        self,
        folder: pathlib.Path,
        store: str,
        seeds: list[str],
        zones: list[str],
        bootstrap: bool,
    ) -> None:
        """Writes the settings file."""
        listen = {
            "Front": self.front,
            "Ready": self.ready,
            "Control": self.control,
            "directory": self.directory,
        }
        serves = '"frontend","control_plane"' if self.front else '"directory"'
        text = SETTINGS.format(
            name=self.name,
            role=self.role,
            serves=serves,
            ip=self.ip,
            zone=self.zone,
            first_port=7380,
            last_port=7395,
            seeds=",".join(f'"{seed}"' for seed in seeds),
            bootstrap="true" if bootstrap else "false",
            zones="\n".join(f'{zone} = "scot-central"' for zone in zones),
            listen="\n".join(f'{k} = "{v}"' for k, v in listen.items() if v),
            bounds=BOUNDS,
            store=store,
        )
        self._path = folder / f"{self.name}-{self.role}.toml"
        self._path.write_text(text, "utf-8")

    def start(self) -> None:
        """Starts the process, and again after each exit."""
        self._supervisor = asyncio.create_task(self._supervise())

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def count_log_lines(self, text: str) -> int:
        """Returns in how many lines of its log a text stands."""
        log = self._path.with_suffix(".log")
        lines = log.read_text("utf-8", "replace").splitlines()
        return sum(text in line for line in lines)

    async def end(self) -> None:
        """Kills the process and doesn't restart it."""
        self._ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._supervisor is not None:
            await self._supervisor

    async def _supervise(self) -> None:
        """Runs one process after another until `end` is called."""
        deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text("utf-8")
        )
        command = shlex.split(deploy["roles"][self.role]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "AZURERAMP_CONFIG": str(self._path),
            "AZURERAMP_METRICS_PORT": self._metrics_port,
        }
        while not self._ending:
            with self._path.with_suffix(".log").open("ab") as output:
                self._process = await asyncio.create_subprocess_exec(
                    *command,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=output,
                    stderr=output,
                    env=environment,
                    cwd=REPOSITORY,
                )
            self.exits.append(await self._process.wait())
            await asyncio.sleep(0.3)


class Deployment:
    """The machines of a small deployment.

    Attributes:
        frontends: The machines that serve clients.
        directories: The processes that answer look-ups.
        folder: A temporary folder with the settings and logs.
    """

    def __init__(
        self,
        stores: Sequence[str],
        frontends: list[str],
        directories: list[str],
    ) -> None:
        """Makes the machines without starting them.

        Args:
            stores: The store's `IP:port`s, which the machines use in turn.
            frontends: The zone of each machine that serves clients.
            directories: The zone of each process that answers look-ups.
        """
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        self.frontends = [
            Machine(f"frontend-{zone}-{n}", zone, "azurerampd", f"127.0.1.{n}")
            for n, zone in enumerate(frontends, 1)
        ]
        self.directories = [
            Machine(
                f"frontend-{zone}-{n}",
                zone,
                "azurerampd-directory",
                f"127.0.2.{n}",
            )
            for n, zone in enumerate(directories, 1)
        ]
        seeds = [machine.control for machine in self.frontends[:3]]
        zones = sorted({*frontends, *directories})
        machines = (*self.frontends, *self.directories)
        for number, machine in enumerate(machines):
            store = stores[number % len(stores)]
            machine.write_settings(self.folder, store, seeds, zones, True)

    async def start(self) -> None:
        """Starts all machines and waits until they are ready.

        Raises:
            CaseError: Not all are ready in time.
        """
        for machine in (*self.frontends, *self.directories):
            machine.start()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + START_S
        for machine in self.frontends:
            while not await self._is_ready(machine):
                if loop.time() > until_s:
                    raise CaseError(f"{machine.name} is not ready")
                await asyncio.sleep(0.1)

    async def resolve(self, host: str, zone: str) -> list[str]:
        """Asks a directory for the frontends, as clients do."""
        target = f"/resolve?Name={host}&Region=scot-central&Zone={zone}"
        for machine in self.directories:
            try:
                status, body = await client.get_json(machine.directory, target)
            except OSError:
                continue
            if status == 200 and isinstance(body, dict):
                return list(body["addrs"])
        return []

    async def stop(self) -> None:
        """Ends all processes."""
        machines = (*self.frontends, *self.directories)
        await asyncio.gather(*(machine.end() for machine in machines))

    def clean_up(self) -> None:
        """Removes the temporary folder."""
        self._temporary.cleanup()

    async def _is_ready(self, machine: Machine) -> bool:
        """Returns True if a machine answers the readiness check with 200."""
        try:
            status, _ = await client.get_json(machine.ready, "/readiness")
        except OSError:
            return False
        return status == 200
