"""Tests of a rolling restart with callers that refresh their addresses."""

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
    """A running deployment with its resources in force."""
    deployed = deployment.prepare(tmp_path)
    try:
        deployment.start(deployed)
        deployed.run_cli("apply", "--file", str(deployed.write_resources()))
        yield deployed
    finally:
        deployed.stop()


async def send_queries(
    caller: client.Client,
    stopping: asyncio.Event,
    codes: collections.Counter[str],
) -> None:
    """Sends queries until `stopping` is set; refreshes expired addresses."""
    loop = asyncio.get_running_loop()
    expires_s = 0.0
    while not stopping.is_set():
        if loop.time() >= expires_s:
            expires_s = loop.time() + await caller.refresh_addresses() / 1000
        response = await caller.send_request(
            "POST", "/v1/query", demo.make_query("MacAoidh")
        )
        answer = msgspec.json.decode(response.body)
        complete = response.status == 200 and answer["complete"]
        codes["complete" if complete else answer.get("code", "short")] += 1


async def restart_all(running: deployment.Deployment) -> list[int]:
    """Restarts the daemons one after another; returns the exit codes."""
    exit_codes = []
    for vm in running.vms:
        daemon = running.daemons[vm.name]
        daemon.terminate()
        exit_codes.append(await asyncio.to_thread(daemon.wait))
        running.start_daemon(vm)
        await wait_until_ready(running, vm.name)
    return exit_codes


async def wait_until_ready(running: deployment.Deployment, vm: str) -> None:
    """Waits until a started daemon returns complete answers."""
    caller = client.Client(
        deployment.CALLER_TOKEN, (running.daemons[vm].address,)
    )
    async with asyncio.timeout(demo.READY_TIMEOUT_S):
        while True:
            try:
                await demo.wait_until_answered(caller)
            except ConnectionError:
                await asyncio.sleep(0.05)
            else:
                return


def test_rolling_restart_aborts_no_request(
    running: deployment.Deployment,
) -> None:
    """Callers continue to send queries while one VM after another restarts.

    If a VM closed a connection with a running request, or exited while
    callers still held its address, a caller's connection would break.
    """

    async def run() -> tuple[list[int], collections.Counter[str]]:
        for vm in running.vms:
            await wait_until_ready(running, vm.name)
        codes: collections.Counter[str] = collections.Counter()
        stopping = asyncio.Event()
        callers = [
            asyncio.create_task(
                send_queries(
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
        exit_codes = await restart_all(running)
        stopping.set()
        await asyncio.gather(*callers)
        return exit_codes, codes

    exit_codes, codes = asyncio.run(run())

    assert exit_codes == [0, 0, 0]
    assert set(codes) == {"complete"}, codes
