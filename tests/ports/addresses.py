"""Loopback addresses for the servers of tests."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator


@contextlib.contextmanager
def reserve() -> Iterator[str]:
    """Reserves a loopback address for one test's server.

    The port stays bound, without a listener, so the system gives it to no other
    process before the server listens, nor while the server restarts.

    Yields:
        The address, `IP:port`.
    """
    with socket.socket() as reserved:
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{reserved.getsockname()[1]}"
