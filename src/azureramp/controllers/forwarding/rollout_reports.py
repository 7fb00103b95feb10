"""Reports on roll-outs to the VM that drives them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import expression
import logbook

from azureramp import errors, rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import rollout_view, rollouts
from azureramp.ports.rollouts import api

REPORT_S = 0.2
"""Time between two reports of a VM that sends requests, in seconds."""

IDLE_S = 1.0
"""The same of a VM that sends none, in seconds, in a small tier."""

IDLE_VM_S = 0.02
"""What each VM of the tier adds to that, in seconds: the driver hears of all of
them."""

Drive = Callable[
    [api.Report], expression.Result[api.Grant, errors.Failure] | None
]
"""Takes a report if this process drives the roll-out; None if it doesn't."""

_logger = logbook.Logger("azureramp.rollout_reports")


class Reports:
    """Reports while a roll-out runs, and takes the grants.

    Attributes:
        process: This process's name in reports.
        drive: Takes this process's own reports; set by the driver.
        on_silent: Called while a roll-out has no driver that answers.
    """

    __slots__ = (
        "_board",
        "_drivers",
        "_rollouts",
        "_tasks",
        "drive",
        "on_silent",
        "process",
    )

    def __init__(
        self,
        board: board_module.Board,
        known: rollouts.Rollouts,
        drivers: api.Drivers,
        process: str,
    ) -> None:
        """Makes one that reports nothing.

        Args:
            board: The state.
            known: The roll-outs; tells of those that begin and end.
            drivers: The VMs that drive them.
            process: This process's name in reports.
        """
        self._board = board
        self._rollouts = known
        self._drivers = drivers
        self.process = process
        self.drive: Drive | None = None
        self.on_silent: Callable[[rollout_view.Running], None] | None = None
        self._tasks: dict[str, asyncio.Task[None]] = {}
        known.on_begin = self.begin
        known.on_end = self.end

    def begin(self, running: rollout_view.Running) -> None:
        """Begins to report on a roll-out."""
        self._tasks[running.order.service] = asyncio.create_task(
            self._follow(running)
        )

    def end(self, service: str) -> None:
        """Ends reporting on a service's roll-out."""
        task = self._tasks.pop(service, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Ends all reports."""
        for service in list(self._tasks):
            self.end(service)

    async def _follow(self, running: rollout_view.Running) -> None:
        """Reports on a roll-out until it ends; after a bug, goes on."""
        while True:
            try:
                await self._report_always(running)
            except Exception:
                service = running.order.service
                _logger.exception("reporting on {} failed", service)
            await asyncio.sleep(IDLE_S)

    async def _report_always(self, running: rollout_view.Running) -> None:
        """Reports on a roll-out, forever."""
        reported = -1
        while True:
            running.wanted.clear()
            record = self._rollouts.get_record(running.order.service)
            if record is not None and record.order == running.order:
                await self._report(running, record)
            else:
                self._tell_silent(running)
            pause_s = self._get_pause_s(running, running.requests != reported)
            reported = running.requests
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await running.wanted.wait()
            # Requests that come fast must not make reports as fast.
            await asyncio.sleep(REPORT_S / 4)

    def _get_pause_s(self, running: rollout_view.Running, sends: bool) -> float:
        """Returns the time until the next report, in seconds.

        Args:
            running: The roll-out.
            sends: True if there were calls since the last report.
        """
        now_s = asyncio.get_running_loop().time()
        moving = running.get_phase(now_s) is rollout_types.Phase.MOVING
        silent = now_s - running.silent_s > REPORT_S
        if sends or silent or (moving and not running.has_moved):
            return REPORT_S
        if moving and self._board.identity.vm in self._board.advertised:
            return REPORT_S
        return IDLE_S + IDLE_VM_S * len(self._board.members)

    async def _report(
        self, running: rollout_view.Running, record: rollout_types.Record
    ) -> None:
        """Reports once."""
        loop = asyncio.get_running_loop()
        asked_s = loop.time()
        report = self._make_report(running, asked_s)
        result = self.drive(report) if self.drive is not None else None
        if result is None and record.driver != self.process:
            result = await self._drivers.report(record.driver_address, report)
        if result is None or result.is_error():
            self._tell_silent(running)
            return
        if result.ok.order == running.order.revision:
            running.silent_s = loop.time()
            running.take_grant(result.ok, asked_s)

    def _tell_silent(self, running: rollout_view.Running) -> None:
        """Tells that no driver answers."""
        if self.on_silent is not None:
            self.on_silent(running)

    def _make_report(
        self, running: rollout_view.Running, now_s: float
    ) -> api.Report:
        """Makes a report."""
        counts = tuple(
            api.Count(
                route,
                searcher,
                tally.answers,
                tally.bad,
                0.0 if searcher else 1000 * running.get_own_usual_s(route),
            )
            for (route, searcher), tally in running.tallies.items()
        )
        moving = running.get_phase(now_s) is rollout_types.Phase.MOVING
        running.has_moved = moving and not self._has_calls_at_old(running)
        return api.Report(
            self.process,
            self._board.identity.vm,
            running.order.service,
            running.order.revision,
            running.requests,
            running.spent,
            counts,
            running.has_moved,
        )

    def _has_calls_at_old(self, running: rollout_view.Running) -> bool:
        """Tells whether a call is at a searcher of an old version."""
        targets = self._board.by_service.get(running.order.service, {})
        return any(
            each.record.in_flight and not running.is_new(each.searcher)
            for each in targets.values()
        )
