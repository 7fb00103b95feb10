"""Tests of a rolling restart of daemon processes under load."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
from typing import Any

import msgspec

from azureramp.ports.web import connection as web_connection
from azureramp_standins import deployment
from tests.cluster import callers

QUERY: dict[str, Any] = {
    "service": deployment.SERVICE,
    "index": deployment.INDEX,
    "query": {"text": "MacAoidh"},
    "deadline_ms": 2000,
}
READY_TIMEOUT_S = 30.0


async def wait_until_complete(address: str) -> None:
    """Waits until the VM at an address returns a complete answer."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            opened = await web_connection.connect(address, 1.0)
            if opened.is_ok():
                token = f"Bearer {deployment.CALLER_TOKEN}"
                response = await opened.ok.exchange(
                    "POST",
                    "/v1/query",
                    [("Authorization", token)],
                    msgspec.json.encode(QUERY),
                )
                opened.ok.abort()
                if msgspec.json.decode(response.body).get("complete"):
                    return
            await asyncio.sleep(0.1)


async def restart_all(
    running: deployment.Deployment,
) -> tuple[list[int], collections.Counter[str]]:
    """Restarts every daemon under load; returns exit codes and outcomes."""
    addresses = [vm.http_address for vm in running.vms]
    for address in addresses:
        await wait_until_complete(address)
    all_callers = [
        callers.Caller(deployment.CALLER_TOKEN, list(addresses), QUERY)
        for _ in range(4)
    ]
    tasks = [
        asyncio.create_task(caller.run(random.Random(number)))
        for number, caller in enumerate(all_callers)
    ]
    codes = []
    for vm in running.vms:
        daemon = running.daemons[vm.name]
        daemon.terminate()
        codes.append(await asyncio.to_thread(daemon.wait))
        running.start_daemon(vm)
        await wait_until_complete(vm.http_address)
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    for caller in all_callers:
        caller.close()
    return codes, sum(
        (c.outcomes for c in all_callers), collections.Counter[str]()
    )


def test_rolling_restart_of_daemon_processes_aborts_no_request(
    tmp_path: pathlib.Path,
) -> None:
    """Restarts all daemons with SIGTERM, one after another.

    The callers keep their addresses and connections. No connection may end
    without an answer, and no address may refuse a connection.
    """
    running = deployment.prepare(tmp_path)
    try:
        deployment.start(running)
        running.run_cli("apply", "--file", str(running.write_resources()))
        codes, outcomes = asyncio.run(restart_all(running))
    finally:
        stopped = running.stop()

    assert codes == [0, 0, 0]
    assert set(stopped.values()) == {0}
    assert outcomes["complete"] > 50
    assert outcomes["cut"] == outcomes["refused"] == outcomes["no_vm"] == 0, (
        outcomes
    )
