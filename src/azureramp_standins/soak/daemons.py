"""Daemons as separate processes, by the deploy file's command."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

PROGRAM = pathlib.Path("src/azurerampd_platform.py")

HOLD_STEP_S = 0.2
"""How often a daemon that is held down looks whether the run has ended, in
seconds."""

SETTINGS = """\
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
ttl_max_s = 2
[platform]
Address = "{store}"
"""


class Daemon:
    """One daemon, started again whenever it ends.

    Attributes:
        name: Its name.
        front: Where callers connect.
        directory: Where callers ask for addresses.
        starts: When its processes began, on the loop's clock.
        ends: When they ended.
        hold_s: How long it stays down after its next end, in seconds.
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        settings: str,
        folder: pathlib.Path,
        mutant: str,
    ) -> None:
        """Makes a daemon that does not run; see `start`."""
        self.name = name
        self.front = addresses["front"]
        self.directory = addresses["directory"]
        self.starts: list[float] = []
        self.ends: list[float] = []
        self.hold_s = 0.0
        self._mutant = mutant
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings, "utf-8")
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._ending = False
        self._keeper: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts it, and again after each end."""
        self._keeper = asyncio.ensure_future(self._keep())

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if one runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Ends it for good."""
        self._ending = True
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._keeper is not None:
            await self._keeper

    async def _keep(self) -> None:
        """Runs processes one after another."""
        loop = asyncio.get_running_loop()
        command = [str(PROGRAM)]
        if self._mutant:
            command = ["-m", "azureramp_standins.soak.mutants", self._mutant]
        environment = os.environ | {
            "AZURERAMP_CONFIG": str(self._path),
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
            self.starts.append(loop.time())
            await self._process.wait()
            self.ends.append(loop.time())
            hold_s, self.hold_s = self.hold_s, 0.0
            while hold_s > 0 and not self._ending:
                await asyncio.sleep(min(hold_s, HOLD_STEP_S))
                hold_s -= HOLD_STEP_S
