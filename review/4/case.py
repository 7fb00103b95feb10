"""Searchers close idle connections that were never used; see claim.txt."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import time

from lib import cases, clients, deployment, searchers

FOLDER = pathlib.Path(__file__).resolve().parent
TROUBLE = cases.has_trouble()
VMS = 8
QUIET, STEADY = "kafi81c", "huvo11a"
COLD_PER_S = 2.0
IDLE_S = 5.0
"""After how long the searchers close an idle connection, in seconds."""

QUIET_S = 12.0
"""How long no request comes to the quiet service, in seconds."""

JUDGED_S = 40.0
"""How long the requests are judged after that, in seconds."""

PAUSE_S = 1.0
STARVED_SHARE = 0.25
"""The rule's limit."""


async def send(
    vm: deployment.Vm, path: str, answers: list[clients.Answer]
) -> None:
    """Sends requests to a VM until cancelled."""
    connection = clients.Connection(vm.front)
    while True:
        answers.append(
            await connection.send(f"{path}{len(answers)}", host=deployment.HOST)
        )
        await asyncio.sleep(PAUSE_S)


async def run() -> int:
    """Runs the case and returns its exit code."""
    deployed = deployment.Deployment(VMS)
    found = [
        searchers.Searcher(
            service,
            deployment.find_address(),
            ("edin-a", "edin-b")[number % 2],
            deployed.store,
            idle_s=IDLE_S if TROUBLE else None,
        )
        for service in (QUIET, STEADY)
        for number in range(4)
    ]
    quiet: list[clients.Answer] = []
    steady: list[clients.Answer] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployed.start(
            deployment.make_configuration(
                [
                    {"Prefix": "/timi402/", "Backend": QUIET},
                    {"Prefix": "/lodu77/", "Backend": STEADY},
                ],
                [QUIET, STEADY],
                cold_per_s=COLD_PER_S,
            )
        )
        for each in found:
            await each.start()
        await asyncio.sleep(2.0)
        tasks += [
            asyncio.create_task(send(vm, "/lodu77/", steady))
            for vm in deployed.vms
        ]
        await asyncio.sleep(QUIET_S)
        from_s = time.monotonic()
        tasks += [
            asyncio.create_task(send(vm, "/timi402/", quiet))
            for vm in deployed.vms
        ]
        await asyncio.sleep(JUDGED_S)
        until_s = time.monotonic()
        up = sum(each.is_up() for each in found)
        running = sum(each.is_running() for each in deployed.vms)
    finally:
        for task in tasks:
            task.cancel()
        await deployed.stop()
    return judge(quiet, steady, from_s, until_s, f"{up} {running}", found)


def judge(
    quiet: list[clients.Answer],
    steady: list[clients.Answer],
    from_s: float,
    until_s: float,
    up: str,
    found: list[searchers.Searcher],
) -> int:
    """Checks the rule and writes the record."""
    counts = [
        collections.Counter(
            str(each.status or each.error)
            for each in answers
            if from_s <= each.sent_s < until_s
        )
        for answers in (quiet, steady)
    ]
    served = sum(each["200"] for each in counts)
    asked = sum(each.total() for each in counts)
    share = counts[0]["200"] / max(1, counts[0].total())
    of_all = served / max(1, asked)
    lines = [f"trouble: {TROUBLE}"]
    lines += [
        f"searchers and VMs that run: {up} (of 8 and {VMS})",
        f"requests to the service that was quiet: {counts[0]}",
        f"requests to the other service: {counts[1]}",
        f"served: {share:.3f} of the first, {of_all:.3f} of all; less than"
        f" {STARVED_SHARE:g} of the latter breaks the rule",
    ]
    broken = share < STARVED_SHARE * of_all
    return deployment.finish(
        FOLDER / "record.txt", lines, broken, quiet + steady, found
    )


if __name__ == "__main__":
    cases.main(run())
