"""The soak's command: runs seeds, judges them, keeps what they gave."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import sys
import tempfile

import click

from azureramp_standins.soak import (
    callers,
    checks,
    history,
    lookup,
    mutants,
    plan,
    world,
)

START_S = 6.0
"""Time for the daemons to start and know the configuration, in seconds."""

RECOVERY_S = 9.0
"""Quiet time after the last fault, in seconds; the promise is twelve, the
last three of which are judged."""

LEDGER = pathlib.Path("docs/soak.jsonl")
"""The outcome of each seed that was run by hand."""


async def run_seed(
    seed: int, seconds: float, vms: int, folder: pathlib.Path, mutant: str = ""
) -> history.History:
    """Runs one seed.

    Args:
        seed: The seed.
        seconds: How long faults begin.
        vms: How many daemons.
        folder: For the daemons' settings and logs.
        mutant: Which broken daemon to run; empty for the real one.

    Returns:
        What was seen.
    """
    deployment = world.World(seed, vms, folder, mutant)
    seen = deployment.history
    loop = asyncio.get_running_loop()
    clients = [
        callers.Caller(
            f"c{number}", deployment.daemons, seen, random.Random(number)
        )
        for number in range(4 * vms)
    ]
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        await asyncio.sleep(START_S)
        began_s = loop.time()
        tasks = [asyncio.ensure_future(each.run()) for each in clients]
        faults = plan.draw(seed, seconds, vms, deployment.count_searchers())
        await asyncio.gather(
            *(_play_later(deployment, each, began_s) for each in faults)
        )
        seen.healed_s = loop.time()
        await asyncio.sleep(RECOVERY_S)
        seen.ended_s = loop.time()
        await asyncio.sleep(callers.DEADLINE_S)
    finally:
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for each in clients:
            each.close()
        await deployment.stop()
    for task in tasks:
        if not task.cancelled() and task.exception():
            raise RuntimeError("a caller failed") from task.exception()
    return seen


async def _play_later(
    deployment: world.World, planned: plan.Planned, began_s: float
) -> None:
    """Lets a fault happen at its time."""
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, began_s + planned.at_s - now_s))
    await deployment.play(planned)


def write_report(
    path: pathlib.Path, seen: history.History, broken: list[lookup.Broken]
) -> None:
    """Writes the timeline of a run's faults and of what was broken."""
    begin_s = min((each.sent_s for each in seen.tries), default=0.0)
    lines = [
        (
            span.began_s,
            f"{span.kind} {span.name} {span.how}, until "
            f"{span.ended_s - begin_s:.2f}",
        )
        for span in seen.spans
    ]
    lines += [
        (each.at_s, f"BROKEN {each.promise}: {each.detail}") for each in broken
    ]
    lines.sort()
    text = "".join(f"{at_s - begin_s:8.2f} {what}\n" for at_s, what in lines)
    path.write_text(text, "utf-8")


def summarize(
    seed: int,
    seconds: float,
    vms: int,
    seen: history.History,
    broken: list[lookup.Broken],
) -> dict[str, object]:
    """Returns a run's line of the ledger."""
    good = sum(each.status == 200 for each in seen.tries)
    return {
        "seed": seed,
        "seconds": seconds,
        "vms": vms,
        "faults": len(seen.spans),
        "tries": len(seen.tries),
        "answered": round(good / max(1, len(seen.tries)), 3),
        "broken": sorted({each.promise for each in broken}),
    }


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="How many seeds to run.")
@click.option("--seconds", default=20.0, help="How long faults begin.")
@click.option("--vms", default=4, help="How many daemons.")
@click.option("--mutant", default="", help="A broken daemon to run instead.")
@click.option("--record", is_flag=True, help="Add the outcomes to the ledger.")
@click.option("--list", "listed", is_flag=True, help="Show the ledger.")
def main(
    seed: int,
    count: int,
    seconds: float,
    vms: int,
    mutant: str,
    record: bool,
    listed: bool,
) -> None:
    """Runs real daemons under random faults, and judges what was seen."""
    if listed:
        click.echo(LEDGER.read_text("utf-8"), nl=False)
        return
    if mutant and mutant not in mutants.MUTANTS:
        known = ", ".join(mutants.MUTANTS)
        raise click.BadParameter(f"{mutant!r}; allowed: {known}")
    failed = False
    for number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        seen = asyncio.run(run_seed(number, seconds, vms, folder, mutant))
        broken = checks.check(seen)
        line = json.dumps(summarize(number, seconds, vms, seen, broken))
        click.echo(line)
        if record:
            with LEDGER.open("a", encoding="utf-8") as ledger:
                ledger.write(line + "\n")
        if broken:
            failed = True
            write_report(folder / "report.txt", seen, broken)
            click.echo(f"kept in {folder}: report.txt and the daemons' logs")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
