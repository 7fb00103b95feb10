"""A VM's daemon as a process whose memory is watched."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import threading
import time

SETTINGS = """\
Node = "{name}"
Zone = "zone-0"
Bootstrap = true
Seeds = ["{control}"]
[ListenAddrs]
Front = "{front}"
Ready = "{ready}"
Control = "{control}"
directory = "{directory}"
[Limits]
CpuShare = 1.0
Cores = 1.0
MemoryMb = {memory_mb}
MaxFds = {max_fds}
[Bounds]
RetryBudgetRatio = 0.2
RetryBudgetSlack = 56
BudgetWindowS = 10
GraceS = 6
ttl_max_s = 2
[platform]
Address = "{store}"
"""

DAEMON = "src/azurerampd_platform.py"
SAMPLE_S = 0.01
"""Interval at which the memory is read, in seconds."""

MEBIBYTE = 2**20
STOP_S = 10.0
"""Maximum wait for the process to exit, in seconds."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Vm:
    """A daemon's process; it is killed if it exceeds the VM's memory.

    Attributes:
        addresses: The `IP:port` of each listener by name.
        memory_mb: The VM's memory, in MiB.
        peak_mb: The most memory that the process used, in MiB.
        exceeded: True if it was killed because of that.
    """

    def __init__(
        self,
        name: str,
        addresses: dict[str, str],
        store: str,
        folder: pathlib.Path,
        memory_mb: int,
        max_fds: int,
    ) -> None:
        """Writes the settings of a daemon; `start` runs it.

        Args:
            name: The VM's name.
            addresses: The `IP:port` of its listeners: front, ready, control,
                directory and metrics.
            store: The `IP:port` of the store.
            folder: Where the settings and the log are written.
            memory_mb: The VM's memory, in MiB.
            max_fds: The maximum number of its file descriptors.
        """
        self.addresses = addresses
        self.memory_mb = memory_mb
        self.peak_mb = 0.0
        self.exceeded = False
        self._log = folder / f"{name}.log"
        self._path = folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                store=store,
                memory_mb=memory_mb,
                max_fds=max_fds,
                **addresses,
            ),
            "utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        self._watcher: threading.Thread | None = None

    async def start(self) -> None:
        """Starts the process and the watch of its memory."""
        environment = os.environ | {
            "AZURERAMP_CONFIG": str(self._path),
            "AZURERAMP_METRICS_PORT": self.addresses["metrics"].split(":")[1],
            "PYTHONPATH": "src",
        }
        with self._log.open("ab") as output:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                DAEMON,
                stdout=output,
                stderr=output,
                env=environment,
            )
        self.reset_peak()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._watcher.start()

    async def stop(self) -> None:
        """Kills the process."""
        if self._process is not None and self.is_running():
            self._process.kill()
            await asyncio.wait_for(self._process.wait(), STOP_S)
        if self._watcher is not None:
            await asyncio.to_thread(self._watcher.join)

    def is_running(self) -> bool:
        """Returns True while the process runs."""
        return self._process is not None and self._process.returncode is None

    def reset_peak(self) -> None:
        """Forgets the memory that the process used before."""
        self.peak_mb = 0.0

    def _watch(self) -> None:
        """Reads the memory until the process ends; kills it at the limit."""
        process = self._process
        assert process is not None
        path = pathlib.Path(f"/proc/{process.pid}/statm")
        while process.returncode is None:
            try:
                resident = int(path.read_text("ascii").split()[1])
            except (OSError, IndexError):
                return
            used_mb = resident * PAGE_BYTES / MEBIBYTE
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self.exceeded = True
                process.kill()
                return
            time.sleep(SAMPLE_S)
