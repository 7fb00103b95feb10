"""Real daemons are replaced one after another while callers go on."""

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
READY_S = 30.0


async def wait_until_complete(address: str) -> None:
    """Waits until one VM itself answers a query in full."""
    async with asyncio.timeout(READY_S):
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


async def replace_all(
    running: deployment.Deployment,
) -> tuple[list[int], collections.Counter[str]]:
    """Replaces every daemon; returns exit codes and what callers got."""
    addresses = [vm.http_address for vm in running.vms]
    for address in addresses:
        await wait_until_complete(address)
    made = [
        callers.Caller(deployment.CALLER_TOKEN, list(addresses), QUERY)
        for _ in range(4)
    ]
    tasks = [
        asyncio.create_task(caller.run(random.Random(number)))
        for number, caller in enumerate(made)
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
    for caller in made:
        caller.close()
    return codes, sum((c.ended for c in made), collections.Counter[str]())


def test_a_rolling_restart_of_real_daemons_cuts_no_request(
    tmp_path: pathlib.Path,
) -> None:
    """Operators replace all daemons by SIGTERM, one after another.

    Their callers keep addresses and connections; none of them may see a
    connection end without an answer, or an address that nobody serves.
    """
    running = deployment.make(tmp_path)
    try:
        deployment.start(running)
        running.run_tool("apply", "--file", str(running.write_resources()))
        codes, ended = asyncio.run(replace_all(running))
    finally:
        stopped = running.stop()

    assert codes == [0, 0, 0]
    assert set(stopped.values()) == {0}
    assert ended["complete"] > 50
    assert ended["cut"] == ended["refused"] == ended["no_vm"] == 0, ended
