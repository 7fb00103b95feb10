"""Graceful shutdown of a process that forwards requests."""

from __future__ import annotations

import asyncio

import logbook

from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import members
from azureramp.ports.web import server as web_server

ACCEPT_SHARE = 0.4
"""Share of the grace period in which callers may still open connections.
Callers cache the directory's response for its lifetime, and some of them for
three times as long."""

CANCEL_SHARE = 0.92
"""Share of the grace period after which running requests are cancelled. The
rest is left for closing connections."""

_logger = logbook.Logger("azureramp.leaving")


async def leave(
    board: board_module.Board,
    member_registry: members.MemberTracker,
    front: web_server.Server,
) -> int:
    """Stops serving callers, and lets running requests finish.

    The directories of all VMs stop advertising this one at once. Callers that
    still have its address cached are served for a while. Then new connections
    are refused, so that callers use another VM, and running requests may
    finish until `CANCEL_SHARE` of the grace period has passed.

    Args:
        board: The state; `leaving` is set.
        member_registry: Deletes this VM's entry.
        front: The server for callers.

    Returns:
        The number of requests that were cancelled.
    """
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    grace_s = board.bounds.grace_s
    board.leaving = True
    _logger.info("shutting down with {} running requests", board.running)
    removal = asyncio.ensure_future(member_registry.delete_entry())
    await asyncio.sleep(ACCEPT_SHARE * grace_s / 2)
    front.closes_connections = True
    await asyncio.sleep(ACCEPT_SHARE * grace_s / 2)
    timeout_s = began_s + CANCEL_SHARE * grace_s - loop.time()
    cancelled = await front.stop(max(0.0, timeout_s))
    removal.cancel()
    return cancelled
