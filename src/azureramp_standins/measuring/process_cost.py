"""Measures the cost of real daemons at rest and per searcher call.

`python -m azureramp_standins.measuring.process_cost` starts the demo's
deployment and reads the daemons' processor time and memory from the kernel.
It compares the processor time per call with that of a bare h11 client loop
that calls one of the same searchers.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import tempfile
import time

import click
import msgspec

from azureramp.ports.searchers import http as searchers_http
from azureramp.ports.web import connection as web_connection
from azureramp_standins import client, demo, deployment, processes

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SHARDS = 3


class Cost(msgspec.Struct, frozen=True, kw_only=True):
    """Measured cost; processor time is the sum of user and system time.

    Attributes:
        rest_percent: Mean processor use of a daemon at rest, in percent of a
            core.
        resident_mb: Resident memory of the largest daemon, in megabytes.
        calls: Number of searcher calls through the daemons.
        path_us: Processor time of all daemons per call, in microseconds.
        bare_us: Processor time of a bare h11 client loop per call, in
            microseconds.
        ratio: `path_us` divided by `bare_us`.
    """

    rest_percent: float
    resident_mb: float
    calls: int
    path_us: float
    bare_us: float
    ratio: float


def read_cpu_s(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Returns the resident memory of a process, in megabytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6


def read_all_cpu_s(running: deployment.Deployment) -> float:
    """Returns the total processor time of all daemons, in seconds."""
    return sum(read_cpu_s(d.popen.pid) for d in running.daemons.values())


async def run_queries(
    running: deployment.Deployment, count: int, callers: int
) -> None:
    """Sends queries over persistent connections.

    Args:
        running: The deployment.
        count: Number of queries.
        callers: Number of concurrent connections.

    Raises:
        processes.StartError: A query is not answered with status 200.
    """

    async def send(address: str, share: int) -> None:
        opened = await web_connection.connect(address, 2.0)
        headers = (("Authorization", f"Bearer {deployment.CALLER_TOKEN}"),)
        body = msgspec.json.encode(demo.make_query("MacAoidh"))
        for _ in range(share):
            response = await opened.ok.exchange(
                "POST", "/v1/query", headers, body
            )
            if response.status != 200:
                raise processes.StartError(response.body.decode())
        opened.ok.abort()

    addresses = [vm.http_address for vm in running.vms]
    await asyncio.gather(
        *(
            send(addresses[n % len(addresses)], count // callers)
            for n in range(callers)
        )
    )


async def measure_bare_us(running: deployment.Deployment, count: int) -> float:
    """Measures a bare client loop, in microseconds per call."""
    address = next(iter(running.searchers.values())).address
    opened = await web_connection.connect(address, 2.0)
    body = searchers_http.SearchBody(
        call_id="bare",
        index=deployment.INDEX,
        version=1,
        shard="000",
        low=0,
        high=deployment.KEY_COUNT // SHARDS,
        repeatable=True,
        query=msgspec.Raw(b'{"text":"MacAoidh"}'),
    )
    data = msgspec.json.encode(body)
    start_s = time.process_time()
    for _ in range(count):
        await opened.ok.exchange("POST", "/v1/search", (), data)
    used_s = time.process_time() - start_s
    opened.ok.abort()
    return used_s / count * 1e6


async def measure(
    running: deployment.Deployment, count: int, callers: int, rest_s: float
) -> Cost:
    """Measures a deployment whose resources are applied.

    Args:
        running: The deployment.
        count: Number of queries.
        callers: Number of concurrent connections.
        rest_s: Duration of the measurement at rest, in seconds.

    Returns:
        The measured cost.
    """
    for vm in running.vms:
        caller = client.Client(deployment.CALLER_TOKEN, (vm.http_address,))
        await demo.wait_until_answered(caller)
    await run_queries(running, callers * 20, callers)
    cpu_before_rest_s = read_all_cpu_s(running)
    await asyncio.sleep(rest_s)
    cpu_after_rest_s = read_all_cpu_s(running)
    await run_queries(running, count, callers)
    cpu_after_load_s = read_all_cpu_s(running)
    bare_us = await measure_bare_us(running, count)
    calls = count // callers * callers * SHARDS
    path_us = (cpu_after_load_s - cpu_after_rest_s) / calls * 1e6
    daemons = running.daemons.values()
    return Cost(
        rest_percent=round(
            100
            * (cpu_after_rest_s - cpu_before_rest_s)
            / rest_s
            / len(running.daemons),
            2,
        ),
        resident_mb=round(
            max(read_resident_mb(d.popen.pid) for d in daemons), 1
        ),
        calls=calls,
        path_us=round(path_us, 1),
        bare_us=round(bare_us, 1),
        ratio=round(path_us / bare_us, 2),
    )


@click.command()
@click.option("--queries", type=int, default=2000, show_default=True)
@click.option("--callers", type=int, default=12, show_default=True)
@click.option("--rest-s", type=float, default=10.0, show_default=True)
def main(queries: int, callers: int, rest_s: float) -> None:
    """Measures real daemons at rest and under load."""
    with tempfile.TemporaryDirectory() as folder:
        running = deployment.prepare(pathlib.Path(folder))
        try:
            deployment.start(running)
            path = running.write_resources()
            running.run_cli("apply", "--file", str(path))
            cost = asyncio.run(measure(running, queries, callers, rest_s))
        finally:
            running.stop()
    click.echo(msgspec.json.encode(cost).decode())


if __name__ == "__main__":
    main()
