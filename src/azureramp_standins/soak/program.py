"""The soak test's command: runs seeds, checks and records the results."""

from __future__ import annotations

import asyncio
import functools
import json
import pathlib
import random
import sys
import tempfile

import click

from azureramp_standins.soak import (
    accounts,
    callers,
    checks,
    harness,
    history,
    indexed_history,
    mutants,
    plan,
)

START_S = 6.0
"""Time for the daemons to start and load the configuration, in seconds."""

RECOVERY_S = 9.0
"""Time without faults at the end of a run, in seconds. Recovery is guaranteed
within twelve seconds; the requests of the run's last three are checked."""

CALLERS_PER_VM = 4
FLOODING_PER_VM = 2
FLOOD_PAUSE_S = 0.02
"""Mean pause between the requests of a caller that floods, in seconds."""

REFUSED_PAUSE_S = 0.1
"""Mean pause between the requests with keys that must be refused, in seconds.
"""

RESULTS = pathlib.Path("docs/soak.jsonl")
"""The results of the seeds that were run manually with `--record`."""


async def run_seed(
    seed: int, seconds: float, vms: int, folder: pathlib.Path, mutant: str = ""
) -> history.History:
    """Runs one seed.

    Args:
        seed: The seed.
        seconds: The time in which faults may begin, in seconds.
        vms: The number of daemons.
        folder: Where the daemons' settings and logs are written.
        mutant: The name of the mutant to run; empty for the real daemon.

    Returns:
        The history of the run.

    Raises:
        RuntimeError: A caller's task failed.
    """
    run_harness = harness.Harness(seed, vms, folder, mutant)
    run_history = run_harness.history
    loop = asyncio.get_running_loop()
    clients = make_callers(run_harness, vms)
    tasks: list[asyncio.Task[None]] = []
    try:
        await run_harness.start()
        await asyncio.sleep(START_S)
        began_s = loop.time()
        tasks = [asyncio.ensure_future(each.run()) for each in clients]
        faults: tuple[plan.ScheduledFault, ...] = ()
        if plan.has_other_faults(seed):
            faults += plan.draw_faults(
                seed, seconds, vms, run_harness.count_searchers()
            )
        faults += plan.draw_departures(
            seed, seconds, run_harness.count_steady_searchers()
        )
        faults += plan.draw_bursts(seed, seconds, vms)
        faults += plan.draw_account_faults(
            seed,
            seconds,
            vms,
            len(accounts.NAMES) if run_harness.accounts else 0,
        )
        await asyncio.gather(
            *(_inject_later(run_harness, each, began_s) for each in faults)
        )
        run_history.faults_ended_s = loop.time()
        await asyncio.sleep(RECOVERY_S)
        run_history.ended_s = loop.time()
        await asyncio.sleep(callers.DEADLINE_S)
    finally:
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)
        for each in clients:
            each.close()
        await run_harness.stop()
    for task in tasks:
        if not task.cancelled() and task.exception():
            raise RuntimeError("a caller's task failed") from task.exception()
    return run_history


def make_callers(
    run_harness: harness.Harness, vms: int
) -> list[callers.Caller]:
    """Makes the callers of a run.

    With client accounts there are also callers that flood the limited account
    and callers with keys that must be refused.
    """
    make = functools.partial(
        callers.Caller,
        fleet=run_harness.daemons,
        run_history=run_harness.history,
    )
    known = run_harness.accounts
    numbers = range(CALLERS_PER_VM * vms)
    if known is None:
        return [make(f"c{each}", rng=random.Random(each)) for each in numbers]
    made = [
        make(
            f"c{each}",
            rng=random.Random(each),
            pick_key=functools.partial(
                known.pick_key, accounts.get_account_of_caller(each)
            ),
        )
        for each in numbers
    ]
    for each in range(FLOODING_PER_VM * vms):
        made.append(
            make(
                f"f{each}",
                rng=random.Random(f"flood/{each}"),
                pick_key=functools.partial(known.pick_key, accounts.LIMITED),
                mean_pause_s=FLOOD_PAUSE_S,
                while_set=known.flood,
            )
        )
    refused = make(
        "r0",
        rng=random.Random("refused"),
        pick_key=known.pick_refused_key,
        mean_pause_s=REFUSED_PAUSE_S,
    )
    return [*made, refused]


async def _inject_later(
    run_harness: harness.Harness, planned: plan.ScheduledFault, began_s: float
) -> None:
    """Injects a fault at its time."""
    now_s = asyncio.get_running_loop().time()
    await asyncio.sleep(max(0.0, began_s + planned.at_s - now_s))
    await run_harness.inject(planned)


def write_report(
    path: pathlib.Path,
    run_history: history.History,
    broken: list[indexed_history.Violation],
) -> None:
    """Writes the timeline of a run's faults and violations."""
    begin_s = min((each.sent_s for each in run_history.requests), default=0.0)
    lines = [
        (
            span.began_s,
            f"{span.kind} {span.name} {span.how}, until "
            f"{span.ended_s - begin_s:.2f}",
        )
        for span in run_history.fault_spans
    ]
    lines += [
        (each.at_s, f"BROKEN {each.guarantee}: {each.detail}")
        for each in broken
    ]
    lines.sort()
    text = "".join(f"{at_s - begin_s:8.2f} {what}\n" for at_s, what in lines)
    path.write_text(text, "utf-8")


def summarize(
    seed: int,
    seconds: float,
    vms: int,
    run_history: history.History,
    broken: list[indexed_history.Violation],
) -> dict[str, object]:
    """Returns a run's row for the file of results."""
    good = sum(each.status == 200 for each in run_history.requests)
    return {
        "seed": seed,
        "seconds": seconds,
        "vms": vms,
        "faults": len(run_history.fault_spans),
        "tries": len(run_history.requests),
        "answered": round(good / max(1, len(run_history.requests)), 3),
        "broken": sorted({each.guarantee for each in broken}),
    }


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--count", default=1, help="Number of seeds to run.")
@click.option("--seconds", default=20.0, help="Time in which faults may begin.")
@click.option("--vms", default=4, help="Number of daemons.")
@click.option("--mutant", default="", help="Mutant to run as the daemon.")
@click.option("--record", is_flag=True, help="Append to the recorded results.")
@click.option("--list", "listed", is_flag=True, help="Show recorded results.")
def main(
    seed: int,
    count: int,
    seconds: float,
    vms: int,
    mutant: str,
    record: bool,
    listed: bool,
) -> None:
    """Runs real daemons under random faults and checks their guarantees."""
    if listed:
        click.echo(RESULTS.read_text("utf-8"), nl=False)
        return
    if mutant and mutant not in mutants.MUTANTS:
        allowed = ", ".join(mutants.MUTANTS)
        raise click.BadParameter(f"{mutant!r}; allowed: {allowed}")
    failed = False
    for number in range(seed, seed + count):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        run_history = asyncio.run(
            run_seed(number, seconds, vms, folder, mutant)
        )
        broken = checks.check(run_history)
        line = json.dumps(summarize(number, seconds, vms, run_history, broken))
        click.echo(line)
        if record:
            with RESULTS.open("a", encoding="utf-8") as results:
                results.write(line + "\n")
        if broken:
            failed = True
            write_report(folder / "report.txt", run_history, broken)
            click.echo(f"kept in {folder}: report.txt and the daemons' logs")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
