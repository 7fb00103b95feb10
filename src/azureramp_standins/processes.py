"""Starts and stops the processes of a deployment on loopback.

Used by the demo and the tests; the daemons themselves start no processes.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time

MAX_START_S = 15.0
"""Maximum wait for a process to listen, in seconds."""

MAX_STOP_S = 40.0
"""Maximum wait for a process to exit, in seconds."""

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""The range in which `find_ports` searches for free ports."""


class StartError(Exception):
    """A process exited or did not listen in time."""


@dataclasses.dataclass(slots=True)
class Process:
    """A started process.

    Attributes:
        name: The process's name in messages.
        address: The `IP:port` that it listens on.
        popen: The operating system's process.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]

    def terminate(self) -> None:
        """Sends SIGTERM, for a graceful stop, if the process is running."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Waits until the process exits; kills it after `MAX_STOP_S`.

        Returns:
            The exit code.
        """
        try:
            return self.popen.wait(MAX_STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


def find_ports(count: int) -> list[int]:
    """Finds free ports on loopback.

    The ports are below the system's ephemeral ports: otherwise an outgoing
    connection could take a daemon's port while the daemon restarts.

    Args:
        count: The number of ports.

    Returns:
        The ports; another process may have taken them in the meantime.
    """
    sockets: list[socket.socket] = []
    port = random.randrange(FIRST_PORT, LAST_PORT - 4 * count)
    try:
        while len(sockets) < count:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", port))
                sockets.append(sock)
            except OSError:
                sock.close()
            port += 1
        return [int(sock.getsockname()[1]) for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def start(
    name: str, address: str, arguments: list[str], log: pathlib.Path
) -> Process:
    """Starts a Python module or an installed program.

    Args:
        name: The process's name in messages and in its log's file name.
        address: The `IP:port` that it will listen on.
        arguments: `-m` and a module, or a program's name, then its arguments.
        log: The folder for its output.
    """
    if arguments[0] == "-m":
        command = [sys.executable, *arguments]
    else:
        program = pathlib.Path(sys.executable).parent / arguments[0]
        command = [str(program), *arguments[1:]]
    with (log / f"{name}.log").open("ab") as output:
        popen = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=output,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
    return Process(name, address, popen)


def wait_until_listening(process: Process) -> None:
    """Waits until a process accepts connections.

    Raises:
        StartError: The process exited or did not listen within `MAX_START_S`.
    """
    host, _, port = process.address.rpartition(":")
    deadline_s = time.monotonic() + MAX_START_S
    while time.monotonic() < deadline_s:
        if process.popen.poll() is not None:
            code = process.popen.returncode
            raise StartError(f"{process.name} exited with code {code}")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
            return
        except OSError:
            time.sleep(0.02)
    raise StartError(f"{process.name} does not listen on {process.address}")
