"""A request that crashes each searcher that begins to run it.

The rule, from `RULES.md`: "A request that crashes the searchers that run it
reaches searchers in more than three retries, sent by machines in touch later
than `ContactMs` after it has crashed the third."
"""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import time

from lib import clients, deployment, searchers

VMS = 8
SEARCHERS = 4
SERVICE = "kafi81c"
POISON = "/timi402/7d31"
DOWN_S = 3.0
"""How long a crashed searcher is down: "some seconds"."""

PAUSE_S = 2.0
"""Time between two attempts of the client that has the request."""

SPAN_ATTEMPTS = 2
SPAN_GAP_S = 3.0
"""A client that leaves does so for this number of attempts, within the 5.5 s of
`give_up`, and again after a gap, in seconds."""

POISON_ATTEMPTS = 18
MAX_RETRIES = 3
"""The rule's limit."""


@dataclasses.dataclass(slots=True, frozen=True)
class Case:
    """What differs between the cases.

    Attributes:
        folder: Where the record is written.
        trouble: False to leave out the disruption.
        attempts: The routes' `Attempts`.
        target_ms: The `TargetLatencyMs` of the request's route.
        crash_after_s: How long a searcher runs the request before it crashes.
        leave_ms: How long its client stays; 0 to wait for the answer.
    """

    folder: pathlib.Path
    trouble: bool
    attempts: int
    crash_after_s: float
    leave_ms: int = 0
    target_ms: int = 346


def make_configuration(attempts: int, target_ms: int) -> dict[str, object]:
    """Makes the configuration: two routes to one service."""
    return deployment.make_configuration(
        [
            {
                "Prefix": "/timi402/",
                "Backend": SERVICE,
                "Attempts": attempts,
                "TargetLatencyMs": target_ms,
            },
            {
                "Prefix": "/lodu77/",
                "Backend": SERVICE,
                "Attempts": attempts,
                "RouteType": "non_idempotent",
            },
        ],
        [SERVICE],
    )


class Run:
    """One run of a case."""

    def __init__(self, case: Case) -> None:
        """Makes a run; see `run`."""
        self._case = case
        self._deployed = deployment.Deployment(VMS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._searchers = [
            self._make_searcher(each) for each in range(SEARCHERS)
        ]
        self._others: list[clients.Answer] = []
        self._poison: list[clients.Answer] = []
        self._began_s = 0.0

    async def run(self) -> int:
        """Runs the case and returns its exit code."""
        try:
            await self._deployed.start(
                make_configuration(self._case.attempts, self._case.target_ms)
            )
            for each in self._searchers:
                await each.start()
            # All VMs are in touch after `ContactMs`.
            await asyncio.sleep(deployment.CONTACT_S + 1.0)
            self._began_s = time.monotonic()
            for number in range(VMS):
                self._tasks.add(asyncio.create_task(self._send_others(number)))
            await self._send_poison()
        finally:
            for task in self._tasks:
                task.cancel()
            await self._deployed.stop()
        return self._judge()

    def _make_searcher(self, number: int) -> searchers.Searcher:
        """Makes a searcher that the request crashes."""
        made = searchers.Searcher(
            SERVICE,
            deployment.find_address(),
            ("edin-a", "edin-b")[number % 2],
            self._deployed.store,
        )

        async def restart() -> None:
            await asyncio.sleep(DOWN_S)
            made.expire()
            await made.start()

        async def work(run: searchers.Run) -> tuple[int, bytes]:
            if POISON in run.target:
                await asyncio.sleep(self._case.crash_after_s)
                if self._case.trouble:
                    made.crash()
                    self._tasks.add(asyncio.create_task(restart()))
                    await asyncio.sleep(60)
            if run.target.startswith("POST"):
                await asyncio.sleep(0.2)
            return await searchers.answer(run)

        made.work = work
        return made

    async def _send_others(self, number: int) -> None:
        """Sends work that runs once, beside the request that crashes."""
        connection = clients.Connection(self._deployed.vms[number].front)
        while True:
            answer = await connection.send(
                f"/lodu77/{number}-{len(self._others)}",
                host=deployment.HOST,
                method="POST",
                body=b"order",
            )
            self._others.append(answer)
            await asyncio.sleep(0.1)

    async def _send_poison(self) -> None:
        """Sends the request again and again, at another VM each time.

        A client leaves out the addresses that have failed it, until all have.
        """
        for number in range(POISON_ATTEMPTS):
            answer = await clients.send_once(
                self._deployed.vms[number % VMS].front,
                POISON,
                host=deployment.HOST,
                leave_ms=self._case.leave_ms if self._case.trouble else 0,
            )
            self._poison.append(answer)
            await asyncio.sleep(PAUSE_S)
            if self._case.leave_ms and number % SPAN_ATTEMPTS == 1:
                await asyncio.sleep(SPAN_GAP_S)

    def _judge(self) -> int:
        """Checks the rule and writes the record."""
        crashes = sorted(
            at_s for each in self._searchers for at_s in each.crashes_s
        )
        ran = {
            run.id: run
            for each in self._searchers
            for run in each.runs
            if POISON in run.target
        }
        counted_from_s = float("inf")
        if len(crashes) > 2:
            counted_from_s = crashes[2] + deployment.CONTACT_S
        late = [
            each
            for each in self._poison
            if each.id in ran and each.sent_s > counted_from_s
        ]
        lines = [f"trouble: {self._case.trouble}"]
        if len(crashes) > 2:
            lines.append(f"third crash at {crashes[2] - self._began_s:.2f} s")
        for each in self._poison:
            run = ran.get(each.id)
            where = f"ran at {run.searcher}, {run.end}" if run else "not run"
            end = str(each.status) if each.status else f"left ({each.error})"
            lines.append(
                f"{each.sent_s - self._began_s:6.2f} s attempt {each.id} at"
                f" {each.address}: {end}; {where}"
            )
        broken_off = sum(
            run.end == "crashed" and POISON not in run.target
            for each in self._searchers
            for run in each.runs
        )
        failed = sum(each.status != 200 for each in self._others)
        lines += [
            f"other clients' requests: {len(self._others)}, of these"
            f" {failed} without success, {broken_off} broken off by a crash",
            f"crashes: {len(crashes)}",
            "retries that reached a searcher, sent later than"
            f" {deployment.CONTACT_S:g} s after the third crash: {len(late)}"
            f" (at most {MAX_RETRIES})",
        ]
        path = self._case.folder / "record.txt"
        if not self._case.trouble and (
            failed or any(each.status != 200 for each in self._poison)
        ):
            lines.append("requests failed without trouble")
            deployment.finish(
                path, lines, False, self._poison + self._others, self._searchers
            )
            return 2
        return deployment.finish(
            path,
            lines,
            len(late) > MAX_RETRIES,
            self._poison + self._others,
            self._searchers,
        )


async def run(case: Case) -> int:
    """Runs a case and returns its exit code."""
    return await Run(case).run()
