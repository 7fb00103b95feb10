"""The demo: a whole deployment on this machine, shown step by step."""

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

AFTER_DRAIN_S = 4.0
"""How long queries go on after the zone was taken out, in seconds."""

ZONE_OUT = "edinburgh-b"
READY_S = 15.0


def say(words: str) -> None:
    """Prints one step."""
    click.echo(words)


def make_query(text: str) -> dict[str, Any]:
    """Makes a caller's query."""
    return {
        "service": deployment.SERVICE,
        "index": deployment.INDEX,
        "query": {"text": text},
        "deadline_ms": 1000,
    }


async def wait_until_answered(caller: client.Client) -> None:
    """Waits until a query is answered in full.

    Raises:
        TimeoutError: It isn't in time.
    """
    async with asyncio.timeout(READY_S):
        while True:
            response = await caller.ask("POST", "/v1/query", make_query("x"))
            answer = msgspec.json.decode(response.body)
            if answer.get("complete"):
                return
            await asyncio.sleep(0.1)


async def show_query(caller: client.Client) -> bool:
    """Sends one query and prints its answer."""
    began_s = time.monotonic()
    response = await caller.ask("POST", "/v1/query", make_query("MacAoidh"))
    took_ms = (time.monotonic() - began_s) * 1000
    answer = msgspec.json.decode(response.body)
    say(f"\nA clerk looks up 'MacAoidh': HTTP {response.status}")
    for item in answer.get("items", [])[:3]:
        say(
            f"  {item['member']}  {item['name']}, {item['town']}: "
            f"arrears {item['arrears_pence']} pence"
        )
    say(
        f"  items {len(answer.get('items', []))}, "
        f"coverage {answer.get('coverage')}, "
        f"index version {answer.get('version')}, "
        f"{took_ms:.1f} ms (system: {answer.get('took_ms', 0):.1f} ms)"
    )
    return bool(answer.get("complete"))


async def show_zone_out(
    caller: client.Client, running: deployment.Deployment
) -> bool:
    """Takes a zone out while queries run."""
    codes: dict[str, int] = {}
    stopping = asyncio.Event()

    async def go_on() -> None:
        while not stopping.is_set():
            try:
                response = await caller.ask(
                    "POST", "/v1/query", make_query("Müller")
                )
                answer = msgspec.json.decode(response.body)
                code = answer.get("code", "complete")
                if response.status != 200 or not answer["complete"]:
                    code = answer.get("code", "short")
            except (OSError, web_connection.BrokenError) as error:
                code = type(error).__name__
            codes[code] = codes.get(code, 0) + 1
            await asyncio.sleep(0.005)
            if sum(codes.values()) % 100 == 0:
                await caller.refresh()

    say(f"\nQueries run while {ZONE_OUT} is taken out:")
    querying = asyncio.create_task(go_on())
    await asyncio.sleep(1.0)
    printed = await asyncio.to_thread(running.run_tool, "drain-zone", ZONE_OUT)
    say("  " + printed.strip().replace("\n", "\n  "))
    await asyncio.sleep(AFTER_DRAIN_S)
    stopping.set()
    await querying
    say(f"  answers: {codes}")
    last = await asyncio.to_thread(find_last_work, running)
    say(
        f"  last new work in {ZONE_OUT}: {last:+.3f} s after the change was "
        "accepted (bound: +3 s)"
    )
    return set(codes) == {"complete"} and last < 3.0


def read_utc(text: str) -> float:
    """Reads a time of the timeline, in seconds since 1970."""
    return datetime.datetime.fromisoformat(text).timestamp()


def find_last_work(running: deployment.Deployment) -> float:
    """Returns when the last work reached the zone, after the acceptance."""
    printed = running.run_tool("timeline", "--format", "json")
    accepted_s: list[float] = []
    worked_s: list[float] = []
    for line in map(msgspec.json.decode, printed.splitlines()):
        match line:
            case {"event": "configuration.accepted", "name": name, "at": at}:
                if name == ZONE_OUT:
                    accepted_s.append(read_utc(at))
            case {"event": "part.dispatched", "zone": zone, "at": at}:
                if zone == ZONE_OUT:
                    worked_s.append(read_utc(at))
    return max(worked_s) - max(accepted_s)


async def show_grant(
    caller: client.Client, running: deployment.Deployment
) -> bool:
    """Sends one grant twice with the same idempotency key."""
    say("\nA grant is sent, and sent again with the same key:")
    body = {
        "service": deployment.SERVICE,
        "index": deployment.INDEX,
        "key": 4242,
        "operation": {"grant": "funeral", "member": "BF-10042"},
        "deadline_ms": 2000,
    }
    header = (("Idempotency-Key", "grant-2026-0001"),)
    for _ in range(2):
        response = await caller.ask("POST", "/v1/execute", body, header)
        answer = msgspec.json.decode(response.body)
        say(
            f"  HTTP {response.status}, replayed {answer.get('replayed')}, "
            f"request {answer.get('request_id')}"
        )
        caller.addresses = caller.addresses[1:] + caller.addresses[:1]
    effects = 0
    for searcher in running.searchers.values():
        asking = client.Client("", (searcher.address,))
        response = await asking.ask("GET", "/v1/effects")
        effects += len(msgspec.json.decode(response.body))
    say(f"  the backend servers ran it {effects} time(s)")
    return effects == 1


async def show_all(running: deployment.Deployment) -> bool:
    """Shows every step.

    Returns:
        True if each one went as it should.
    """
    path = running.write_resources()
    say("\nThe operator declares the resources:")
    printed = await asyncio.to_thread(
        running.run_tool, "apply", "--file", str(path)
    )
    say("  " + "\n  ".join(printed.strip().splitlines()[-4:]))
    first = running.daemons["entry-1"].address
    caller = client.Client(deployment.CALLER_TOKEN, (first,))
    await wait_until_answered(caller)
    lifetime_ms = await caller.refresh()
    say(
        f"\nThe caller asks which addresses to use: "
        f"{', '.join(caller.addresses)} for {lifetime_ms} ms"
    )
    results = [await show_query(caller)]
    results.append(await show_zone_out(caller, running))
    results.append(await show_grant(caller, running))
    return all(results)


@click.command()
def main() -> None:
    """Runs the demo; exits 0 if every step went as it should."""
    began_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        running = deployment.make(pathlib.Path(folder))
        try:
            deployment.start(running)
        except processes.StartError:
            running.stop()
            raise
        say(
            f"Started the platform, {len(running.searchers)} searchers in "
            f"{len(deployment.ZONES)} availability zones and "
            f"{len(running.daemons)} daemons."
        )
        try:
            good = asyncio.run(show_all(running))
        finally:
            codes = running.stop()
        say(f"\nStopped gracefully; exit codes of the daemons: {codes}")
    say(f"The demo took {time.monotonic() - began_s:.1f} s.")
    if not good or any(codes.values()):
        say("FAILED: see above.")
        sys.exit(1)


if __name__ == "__main__":
    main()
