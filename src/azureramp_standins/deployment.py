"""Runs a deployment as processes on loopback, for the demo and the tests."""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import pathlib
import subprocess
import sys

import msgspec

from azureramp import resources
from azureramp.ports.vmlist import api as vmlist_api
from azureramp_standins import client, processes

ZONES = ("edinburgh-a", "edinburgh-b", "glasgow-a")
SERVICE = "front-desk-claims"
INDEX = "arrears"
KEY_COUNT = 12_000
"""Number of keys of the demo's index."""

CALLER_TOKEN = "demo-desk-token"
OPERATOR_TOKEN = "demo-operator-token"
PEER_KEY = "demo-peer-key"

ADDRESS_LIFETIME_MS = 1000
LIST_LAG_MS = 1000


@dataclasses.dataclass(slots=True)
class Deployment:
    """The processes of a deployment.

    Attributes:
        folder: Directory of the logs and of the resource file.
        platform: The platform's test double.
        searchers: The started searchers by name.
        daemons: The started daemons by VM name.
        servers: The backend servers to declare.
        vms: The VMs' entries in the VM list.
    """

    folder: pathlib.Path
    platform: processes.Process
    searchers: dict[str, processes.Process]
    daemons: dict[str, processes.Process]
    servers: list[resources.BackendServer]
    vms: list[vmlist_api.Vm]

    def run_cli(self, *arguments: str) -> str:
        """Runs the `azureramp` command-line tool.

        Args:
            *arguments: The tool's arguments without address and token.

        Returns:
            The tool's standard output.

        Raises:
            subprocess.CalledProcessError: The exit code is not 0.
        """
        program = pathlib.Path(sys.executable).parent / "azureramp"
        command, *rest = arguments
        completed = subprocess.run(
            [str(program), command, *self._make_flags(), *rest],
            check=True,
            stdout=subprocess.PIPE,
            text=True,
        )
        return completed.stdout

    def _make_flags(self) -> list[str]:
        """Returns the token and the addresses of the running VMs as flags."""
        flags = ["--token", OPERATOR_TOKEN]
        for process in self.daemons.values():
            if process.popen.poll() is None:
                flags += ["--address", process.address]
        return flags

    def start_daemon(self, vm: vmlist_api.Vm) -> None:
        """Starts the daemon of a VM."""
        flags = {
            "vm": vm.name,
            "zone": vm.zone,
            "http-address": vm.http_address,
            "peer-address": vm.peer_address,
            "store-address": self.platform.address,
            "vmlist-address": self.platform.address,
            "peer-key": PEER_KEY,
            "operator-token-sha256": hash_token(OPERATOR_TOKEN),
            "address-lifetime-ms": str(ADDRESS_LIFETIME_MS),
            "list-lag-ms": str(LIST_LAG_MS),
        }
        arguments = ["azurerampd"]
        for flag, value in flags.items():
            arguments += [f"--{flag}", value]
        self.daemons[vm.name] = processes.start(
            vm.name, vm.http_address, arguments, self.folder
        )

    def write_resources(self) -> pathlib.Path:
        """Writes the resource file for `azureramp apply`.

        Returns:
            The file's path.
        """
        declared: list[resources.AnyResource] = [
            *(resources.Zone(name=zone) for zone in ZONES),
            resources.Service(name=SERVICE, indexes=(INDEX,)),
            resources.Caller(
                name="Lothian funeral directors",
                token_sha256=hash_token(CALLER_TOKEN),
                services=(SERVICE,),
                priority=resources.Priority.URGENT,
            ),
            *self.servers,
            make_shard_map(self.servers),
        ]
        path = self.folder / "resources.json"
        path.write_bytes(msgspec.json.encode(declared))
        return path

    def stop(self) -> dict[str, int]:
        """Stops all processes gracefully, the daemons first.

        Returns:
            The daemons' exit codes by VM name.
        """
        for daemon in self.daemons.values():
            daemon.terminate()
        codes = {name: daemon.wait() for name, daemon in self.daemons.items()}
        others = [*self.searchers.values(), self.platform]
        for process in others:
            process.terminate()
        for process in others:
            process.wait()
        return codes


def hash_token(token: str) -> str:
    """Returns the SHA-256 of a token in hexadecimal."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_shard_map(
    servers: list[resources.BackendServer], shards: int = 3
) -> resources.ShardMap:
    """Makes a shard map in which each shard has replicas in two zones."""
    names = [searcher.name for s in servers for searcher in s.searchers]
    return resources.ShardMap(
        name=f"{INDEX}.1",
        index=INDEX,
        version=1,
        shards=tuple(
            resources.Shard(
                name=f"{number:03}",
                low=KEY_COUNT * number // shards,
                high=KEY_COUNT * (number + 1) // shards,
                size=KEY_COUNT // shards,
                searchers=tuple(names[number * 2 : number * 2 + 2]),
            )
            for number in range(shards)
        ),
    )


def prepare(folder: pathlib.Path) -> Deployment:
    """Starts a platform and prepares the other parts of a deployment.

    Args:
        folder: Directory for logs and resource files.

    Returns:
        The deployment, to be started by `start`.
    """
    ports = iter(processes.find_ports(13))

    def make_address() -> str:
        return f"127.0.0.1:{next(ports)}"

    address = make_address()
    module = "azureramp_standins.platform"
    platform = processes.start(
        "platform", address, ["-m", module, "--address", address], folder
    )
    servers = [_make_server(number, make_address()) for number in range(6)]
    vms = [
        vmlist_api.Vm(f"entry-{n + 1}", zone, make_address(), make_address())
        for n, zone in enumerate(ZONES)
    ]
    return Deployment(folder, platform, {}, {}, servers, vms)


def start(deployment: Deployment) -> None:
    """Starts six searchers in three zones and three daemons.

    Raises:
        processes.StartError: A process did not begin to listen in time.
    """
    for server in deployment.servers:
        searcher = server.searchers[0]
        deployment.searchers[searcher.name] = processes.start(
            searcher.name,
            searcher.address,
            [
                *("-m", "azureramp_standins.searcher"),
                *("--address", searcher.address, "--name", searcher.name),
            ],
            deployment.folder,
        )
    processes.wait_until_listening(deployment.platform)
    for vm in deployment.vms:
        asyncio.run(register_vm(deployment.platform.address, vm))
        deployment.start_daemon(vm)
    for process in (
        *deployment.searchers.values(),
        *deployment.daemons.values(),
    ):
        processes.wait_until_listening(process)


async def register_vm(platform: str, vm: vmlist_api.Vm) -> None:
    """Adds a VM to the platform's VM list.

    Args:
        platform: `IP:port` of the platform's test double.
        vm: The VM's entry.
    """
    platform_client = client.Client("", (platform,))
    await platform_client.send_request("PUT", f"/vms/{vm.name}", vm)


def _make_server(number: int, address: str) -> resources.BackendServer:
    """Makes a backend server with one searcher."""
    name = f"claims-{number + 1:02}"
    searcher = resources.Searcher(name=f"{name}-a", address=address)
    return resources.BackendServer(
        name=name,
        service=SERVICE,
        zone=ZONES[number % len(ZONES)],
        searchers=(searcher,),
    )
