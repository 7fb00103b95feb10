"""Starting and stopping the processes of a deployment on loopback.

The daemons themselves start no process; this is for the demo and the tests.
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

START_S = 15.0
"""Longest wait for a process to listen, in seconds."""

STOP_S = 40.0
"""Longest wait for a process to end, in seconds."""


FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Where free ports are looked for."""


class StartError(Exception):
    """A process ended, or never listened."""


@dataclasses.dataclass(slots=True)
class Process:
    """One started process.

    Attributes:
        name: What it is, for messages.
        address: `IP:port` that it listens on.
        popen: The process.
    """

    name: str
    address: str
    popen: subprocess.Popen[bytes]

    def terminate(self) -> None:
        """Asks it to stop gracefully."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Waits for its end, and kills it past the limit.

        Returns:
            Its exit code.
        """
        try:
            return self.popen.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


def find_ports(count: int) -> list[int]:
    """Finds free ports on loopback.

    They lie below those that the system gives to outgoing connections, which
    could otherwise take a daemon's port while it starts again.

    Args:
        count: How many.

    Returns:
        Ports that were free a moment ago.
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
        name: What it is, for messages and the log's name.
        address: `IP:port` that it will listen on.
        arguments: A module after `-m`, or a program's name, and arguments.
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
        StartError: It ended, or it does not listen in time.
    """
    host, _, port = process.address.rpartition(":")
    until_s = time.monotonic() + START_S
    while time.monotonic() < until_s:
        if process.popen.poll() is not None:
            code = process.popen.returncode
            raise StartError(f"{process.name} ended with code {code}")
        try:
            socket.create_connection((host, int(port)), 1.0).close()
            return
        except OSError:
            time.sleep(0.02)
    raise StartError(f"{process.name} does not listen on {process.address}")
