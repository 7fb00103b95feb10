"""Daemon processes, started with the same command as in the deploy file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

PROGRAM = pathlib.Path("src/azurerampd_platform.py")

PEER_LISTENER_VARIABLE = "AZURERAMP_SOAK_PEER_LISTENER"
"""The address on which a daemon behind a proxy listens for other daemons."""

RESTART_POLL_S = 0.2
"""How often a delayed restart checks if the run has ended, in seconds."""

SETTINGS_TEMPLATE = """\
Node = "{name}"
Zone = "{zone}"
Bootstrap = true
Seeds = [{seeds}]
[ListenAddrs]
Front = "{front}"
Ready = "{ready}"
Control = "{control}"
directory = "{directory}"
[Limits]
CpuShare = 1.0
Cores = 1.0
MaxFds = 1024
[Bounds]
RetryBudgetRatio = {ratio}
RetryBudgetSlack = {slack}
BudgetWindowS = {window_s}
ColdOverage = {cold_overage}
ColdSlack = {cold_slack}
GraceS = {grace_s}
QuotaWindowS = {account_window_s}
QuotaOverage = {account_overage}
QuotaSlack = {account_slack}
ttl_max_s = 2
[platform]
Address = "{store}"
"""


class Daemon:
    """A daemon whose process is restarted whenever it exits.

    Attributes:
        name: The VM's name.
        front: The `IP:port` for callers' requests.
        directory: The `IP:port` for address lookups.
        start_times: When its processes started, on the loop's clock.
        end_times: When its processes exited, on the loop's clock.
        restart_delay_s: Delay before the restart after the next exit, in
            seconds.
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        settings: str,
        folder: pathlib.Path,
        mutant: str,
        peer_listener: str = "",
    ) -> None:
        """Writes the settings of a daemon; `start` runs it.

        Args:
            name: The VM's name.
            addresses: The `IP:port` of each of the daemon's listeners.
            settings: The settings as TOML.
            folder: Where the settings and the log are written.
            mutant: The name of a mutant to run; empty for the real daemon.
            peer_listener: The `IP:port` that it listens on for other daemons;
                empty for the one that it announces to them.
        """
        self.name = name
        self.front = addresses["front"]
        self.directory = addresses["directory"]
        self.start_times: list[float] = []
        self.end_times: list[float] = []
        self.restart_delay_s = 0.0
        self._mutant = mutant
        self._peer_listener = peer_listener
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings, "utf-8")
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._ending = False
        self._supervisor: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the process and restarts it after each exit."""
        self._supervisor = asyncio.ensure_future(self._supervise())

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it is running."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kills the process and stops restarting it."""
        self._ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._supervisor is not None:
            await self._supervisor

    async def _supervise(self) -> None:
        """Runs one process after another until `end` is called."""
        loop = asyncio.get_running_loop()
        command = [str(PROGRAM)]
        if self._mutant or self._peer_listener:
            module = "azureramp_standins.soak.mutants"
            command = ["-m", module, self._mutant]
        environment = os.environ | {
            "AZURERAMP_CONFIG": str(self._path),
            PEER_LISTENER_VARIABLE: self._peer_listener,
            "PYTHONPATH": "src",
        }
        while not self._ending:
            with self._log.open("ab") as output:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    *command,
                    stdout=output,
                    stderr=output,
                    env=environment,
                )
            self.start_times.append(loop.time())
            await self._process.wait()
            self.end_times.append(loop.time())
            restart_delay_s, self.restart_delay_s = self.restart_delay_s, 0.0
            while restart_delay_s > 0 and not self._ending:
                await asyncio.sleep(min(restart_delay_s, RESTART_POLL_S))
                restart_delay_s -= RESTART_POLL_S
