"""Demo that runs a deployment on this machine and prints each step."""

from __future__ import annotations

import asyncio
import datetime
import pathlib
import sys
import tempfile
import time
from typing import Any

import click
import msgspec

from azureramp.ports.web import connection as web_connection
from azureramp_standins import client, deployment, processes

QUERIES_AFTER_DRAIN_S = 4.0
"""Time for which queries continue after the zone was drained, in seconds."""

DRAINED_ZONE = "edinburgh-b"
READY_TIMEOUT_S = 15.0


def print_lines(words: str) -> None:
    """Prints lines about a step."""
    click.echo(words)


def make_query(text: str) -> dict[str, Any]:
    """Makes the body of a query."""
    return {
        "service": deployment.SERVICE,
        "index": deployment.INDEX,
        "query": {"text": text},
        "deadline_ms": 1000,
    }


async def wait_until_answered(caller: client.Client) -> None:
    """Waits until a query is answered completely.

    Raises:
        TimeoutError: No query is answered completely within
            `READY_TIMEOUT_S`.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            response = await caller.send_request(
                "POST", "/v1/query", make_query("x")
            )
            answer = msgspec.json.decode(response.body)
            if answer.get("complete"):
                return
            await asyncio.sleep(0.1)


async def show_answer(caller: client.Client) -> bool:
    """Sends one query and prints its answer.

    Returns:
        True if the answer is complete.
    """
    start_s = time.monotonic()
    response = await caller.send_request(
        "POST", "/v1/query", make_query("MacAoidh")
    )
    took_ms = (time.monotonic() - start_s) * 1000
    answer = msgspec.json.decode(response.body)
    print_lines(f"\nA caller searches for 'MacAoidh': HTTP {response.status}")
    for item in answer.get("items", [])[:3]:
        print_lines(
            f"  {item['member']}  {item['name']}, {item['town']}: "
            f"arrears {item['arrears_pence']} pence"
        )
    print_lines(
        f"  items {len(answer.get('items', []))}, "
        f"coverage {answer.get('coverage')}, "
        f"index version {answer.get('version')}, "
        f"{took_ms:.1f} ms (system: {answer.get('took_ms', 0):.1f} ms)"
    )
    return bool(answer.get("complete"))


async def show_zone_drain(
    caller: client.Client, running: deployment.Deployment
) -> bool:
    """Drains a zone while queries run.

    Returns:
        True if all answers are complete and new work in the zone ends in time.
    """
    codes: dict[str, int] = {}
    stopping = asyncio.Event()

    async def send_queries() -> None:
        while not stopping.is_set():
            try:
                response = await caller.send_request(
                    "POST", "/v1/query", make_query("Müller")
                )
                answer = msgspec.json.decode(response.body)
                code = answer.get("code", "complete")
                if response.status != 200 or not answer["complete"]:
                    code = answer.get("code", "short")
            except (OSError, web_connection.ConnectionBrokenError) as error:
                code = type(error).__name__
            codes[code] = codes.get(code, 0) + 1
            await asyncio.sleep(0.005)
            if sum(codes.values()) % 100 == 0:
                await caller.refresh_addresses()

    print_lines(f"\nZone {DRAINED_ZONE} is drained while queries run:")
    querying = asyncio.create_task(send_queries())
    await asyncio.sleep(1.0)
    printed = await asyncio.to_thread(
        running.run_cli, "drain-zone", DRAINED_ZONE
    )
    print_lines("  " + printed.strip().replace("\n", "\n  "))
    await asyncio.sleep(QUERIES_AFTER_DRAIN_S)
    stopping.set()
    await querying
    print_lines(f"  answers: {codes}")
    last_s = await asyncio.to_thread(find_last_work, running)
    print_lines(
        f"  last new work in {DRAINED_ZONE}: {last_s:+.3f} s after the change "
        "was accepted (limit: +3 s)"
    )
    return set(codes) == {"complete"} and last_s < 3.0


def parse_utc(text: str) -> float:
    """Converts a time of the timeline to seconds since 1970."""
    return datetime.datetime.fromisoformat(text).timestamp()


def find_last_work(running: deployment.Deployment) -> float:
    """Returns when the zone received its last new work.

    The time is in seconds after the drain of the zone was accepted.
    """
    printed = running.run_cli("timeline", "--format", "json")
    accepted_s: list[float] = []
    worked_s: list[float] = []
    for line in map(msgspec.json.decode, printed.splitlines()):
        match line:
            case {"event": "configuration.accepted", "name": name, "at": at}:
                if name == DRAINED_ZONE:
                    accepted_s.append(parse_utc(at))
            case {"event": "part.dispatched", "zone": zone, "at": at}:
                if zone == DRAINED_ZONE:
                    worked_s.append(parse_utc(at))
    return max(worked_s) - max(accepted_s)


async def show_grant(
    caller: client.Client, running: deployment.Deployment
) -> bool:
    """Sends one grant twice with the same idempotency key.

    Returns:
        True if the backend servers ran it exactly once.
    """
    print_lines("\nA grant is sent twice with the same idempotency key:")
    body = {
        "service": deployment.SERVICE,
        "index": deployment.INDEX,
        "key": 4242,
        "operation": {"grant": "funeral", "member": "BF-10042"},
        "deadline_ms": 2000,
    }
    headers = (("Idempotency-Key", "grant-2026-0001"),)
    for _ in range(2):
        response = await caller.send_request(
            "POST", "/v1/execute", body, headers
        )
        answer = msgspec.json.decode(response.body)
        print_lines(
            f"  HTTP {response.status}, replayed {answer.get('replayed')}, "
            f"request {answer.get('request_id')}"
        )
        caller.addresses = caller.addresses[1:] + caller.addresses[:1]
    effects = 0
    for searcher in running.searchers.values():
        searcher_client = client.Client("", (searcher.address,))
        response = await searcher_client.send_request("GET", "/v1/effects")
        effects += len(msgspec.json.decode(response.body))
    print_lines(f"  the backend servers ran it {effects} time(s)")
    return effects == 1


async def run_steps(running: deployment.Deployment) -> bool:
    """Runs all steps against a started deployment.

    Returns:
        True if all steps succeeded.
    """
    path = running.write_resources()
    print_lines("\nThe operator applies the resources:")
    printed = await asyncio.to_thread(
        running.run_cli, "apply", "--file", str(path)
    )
    print_lines("  " + "\n  ".join(printed.strip().splitlines()[-4:]))
    first = running.daemons["entry-1"].address
    caller = client.Client(deployment.CALLER_TOKEN, (first,))
    await wait_until_answered(caller)
    lifetime_ms = await caller.refresh_addresses()
    print_lines(
        f"\nThe caller fetches the addresses to use: "
        f"{', '.join(caller.addresses)}, valid for {lifetime_ms} ms"
    )
    results = [await show_answer(caller)]
    results.append(await show_zone_drain(caller, running))
    results.append(await show_grant(caller, running))
    return all(results)


@click.command()
def main() -> None:
    """Runs the demo; the exit code is 0 if all steps succeeded."""
    start_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        running = deployment.prepare(pathlib.Path(folder))
        try:
            deployment.start(running)
        except processes.StartError:
            running.stop()
            raise
        print_lines(
            f"Started the platform, {len(running.searchers)} searchers in "
            f"{len(deployment.ZONES)} availability zones and "
            f"{len(running.daemons)} daemons."
        )
        try:
            succeeded = asyncio.run(run_steps(running))
        finally:
            codes = running.stop()
        print_lines(f"\nStopped gracefully; exit codes of the daemons: {codes}")
    print_lines(f"The demo took {time.monotonic() - start_s:.1f} s.")
    if not succeeded or any(codes.values()):
        print_lines("FAILED: a step above did not succeed.")
        sys.exit(1)


if __name__ == "__main__":
    main()
