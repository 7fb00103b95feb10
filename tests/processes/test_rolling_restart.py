"""A rolling restart of real daemons under load."""

from __future__ import annotations

import asyncio
import collections
import pathlib
from collections.abc import Iterator

import msgspec
import pytest

from azureramp_standins import client, demo, deployment


@pytest.fixture
def running(tmp_path: pathlib.Path) -> Iterator[deployment.Deployment]:
    """A deployment with its resources in force."""
    made = deployment.make(tmp_path)
    try:
        deployment.start(made)
        made.run_tool("apply", "--file", str(made.write_resources()))
        yield made
    finally:
        made.stop()


async def query_on(
    caller: client.Client,
    stopping: asyncio.Event,
    codes: collections.Counter[str],
) -> None:
    """Sends queries until told to stop, as a caller that asks for addresses."""
    loop = asyncio.get_running_loop()
    until_s = 0.0
    while not stopping.is_set():
        if loop.time() >= until_s:
            until_s = loop.time() + await caller.refresh() / 1000
        response = await caller.ask(
            "POST", "/v1/query", demo.make_query("MacAoidh")
        )
        answer = msgspec.json.decode(response.body)
        complete = response.status == 200 and answer["complete"]
        codes["complete" if complete else answer.get("code", "short")] += 1


async def replace_all(running: deployment.Deployment) -> list[int]:
    """Stops and starts one daemon after another; returns the exit codes."""
    exits = []
    for vm in running.vms:
        daemon = running.daemons[vm.name]
        daemon.terminate()
        exits.append(await asyncio.to_thread(daemon.wait))
        running.start_daemon(vm)
        await wait_until_ready(running, vm.name)
    return exits


async def wait_until_ready(running: deployment.Deployment, vm: str) -> None:
    """Waits until a started daemon answers queries in full."""
    caller = client.Client(
        deployment.CALLER_TOKEN, (running.daemons[vm].address,)
    )
    async with asyncio.timeout(demo.READY_S):
        while True:
            try:
                await demo.wait_until_answered(caller)
            except ConnectionError:
                await asyncio.sleep(0.05)
            else:
                return


def test_a_rolling_restart_cuts_no_request(
    running: deployment.Deployment,
) -> None:
    """Clerks go on querying while operators replace one VM after another.

    A VM that closed a connection with a request in it, or went while callers
    still held its address, would show here as a broken connection.
    """

    async def run() -> tuple[list[int], collections.Counter[str]]:
        for vm in running.vms:
            await wait_until_ready(running, vm.name)
        codes: collections.Counter[str] = collections.Counter()
        stopping = asyncio.Event()
        callers = [
            asyncio.create_task(
                query_on(
                    client.Client(
                        deployment.CALLER_TOKEN,
                        tuple(vm.http_address for vm in running.vms),
                    ),
                    stopping,
                    codes,
                )
            )
            for _ in range(3)
        ]
        exits = await replace_all(running)
        stopping.set()
        await asyncio.gather(*callers)
        return exits, codes

    exits, codes = asyncio.run(run())

    assert exits == [0, 0, 0]
    assert set(codes) == {"complete"}, codes
