"""Measures how long VMs use a searcher after it has left."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import expression

from azureramp import errors
from azureramp.platform import store as store_module
from azureramp.ports.web import connection as web_connection
from azureramp_standins.fleet import deployment

SEARCHER = "statements-0"

USE_BOUND_S = 3.0
"""Maximum time for which a searcher may get requests after it has left."""

WATCHED_S = 10.0
"""Time after the departure for which requests are sent, in seconds."""

REQUESTS_PER_ROUND = 3
ROUND_PAUSE_S = 0.05

Fault = Callable[[deployment.Deployment], Awaitable[None]]


async def measure_last_use_s(
    scene: deployment.Deployment,
    remove_after_s: float,
    fault: Fault,
    draining: bool = False,
) -> dict[str, float]:
    """Lets `SEARCHER` leave beside a fault.

    Args:
        scene: The deployment.
        remove_after_s: When the searcher leaves after the fault's beginning, in
            seconds.
        fault: Injects the fault.
        draining: True if the searcher reports that it is draining; False if its
            entry is removed.

    Returns:
        By VM, when it last sent the searcher a request, in seconds after the
        departure; VMs that sent it none afterwards are left out.
    """
    loop = asyncio.get_running_loop()
    searcher = scene.searchers[SEARCHER]
    injected = asyncio.ensure_future(fault(scene))
    await asyncio.sleep(remove_after_s)
    if draining:
        entry = searcher.make_entry(State="draining")
        scene.store.put(f"servers/{SEARCHER}", entry)
    else:
        scene.store.remove(f"servers/{SEARCHER}")
    left_s = loop.time()
    last_use_s: dict[str, float] = {}
    while loop.time() < left_s + WATCHED_S:
        for vm in list(scene.daemons):
            before = len(searcher.requests)
            for _ in range(REQUESTS_PER_ROUND):
                await _send_request(scene, vm)
            if len(searcher.requests) > before:
                last_use_s[vm] = round(loop.time() - left_s, 2)
        await asyncio.sleep(ROUND_PAUSE_S)
    await injected
    return last_use_s


async def _send_request(scene: deployment.Deployment, vm: str) -> None:
    """Sends a request, which fails if the VM is down."""
    try:
        await scene.send_request(vm, "/one/x")
    except web_connection.ConnectionBrokenError:
        return


def find_relay(scene: deployment.Deployment, zone: str) -> str:
    """Returns the VM of a zone that receives changes from the store."""
    return next(
        vm
        for vm, program in scene.daemons.items()
        if program.board.reads_from_store
        and program.board.identity.zone == zone
    )


async def restart_vm(
    scene: deployment.Deployment, vm: str, downtime_s: float
) -> None:
    """Kills a VM's process and starts it again.

    Args:
        scene: The deployment.
        vm: The VM's name.
        downtime_s: The time between both, in seconds.
    """
    program = scene.daemons.pop(vm)
    identity = program.board.identity
    first_port = int(identity.caller_address.rpartition(":")[2])
    await program.abort()
    await asyncio.sleep(downtime_s)
    await scene.add_vm(vm, identity.zone, first_port, first_start=False)


def fail_call(scene: deployment.Deployment, vm: str) -> None:
    """Lets one call of a VM to the store fail."""
    failure = errors.Failure(errors.Kind.STORE_UNAVAILABLE, "status 503")
    scene.daemons[vm]._feed._contact.record_failure(failure)


class FailingStore:
    """A store client whose calls fail, or time out.

    Attributes:
        failing: The names of the methods whose calls fail.
        silent: The names of the methods whose calls time out.
    """

    def __init__(self, store: object) -> None:
        """Wraps a store client."""
        self._store = store
        self.failing: set[str] = set()
        self.silent: set[str] = set()

    def __getattr__(self, name: str) -> object:
        """Returns a method of the client, subject to the faults."""
        method = getattr(self._store, name)

        async def call(*args: object) -> object:
            if name in self.failing:
                await asyncio.sleep(0.005)
                return expression.Error(
                    errors.Failure(errors.Kind.STORE_UNAVAILABLE, "status 503")
                )
            if name in self.silent:
                timeout_s = store_module.CALL_TIMEOUT_S
                if name == "watch":
                    assert isinstance(args[2], float)
                    timeout_s = args[2] + store_module.WATCH_ANSWER_TIMEOUT_S
                await asyncio.sleep(timeout_s)
                return expression.Error(
                    errors.Failure(errors.Kind.STORE_UNAVAILABLE, "timeout")
                )
            return await method(*args)

        return call


def wrap_store(scene: deployment.Deployment, vm: str) -> FailingStore:
    """Replaces a VM's store client with one that can fail."""
    program = scene.daemons[vm]
    failing = FailingStore(program._store)
    for user in (program._feed, program._members, program._roster):
        user._store = failing  # type: ignore[assignment]
    return failing
