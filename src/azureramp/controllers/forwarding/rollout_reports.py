"""Reports on roll-outs to their drivers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import expression
import logbook

from azureramp import errors, rollout_types
from azureramp.controllers.forwarding import active_rollout, rollouts
from azureramp.controllers.forwarding import board as board_module
from azureramp.ports.rollouts import api

REPORT_INTERVAL_S = 0.2
"""Time between two reports while the VM sends requests, in seconds."""

IDLE_REPORT_INTERVAL_S = 1.0
"""Time between two reports while the VM sends no requests, in seconds, before
the addition for the size of the tier."""

IDLE_INTERVAL_PER_VM_S = 0.02
"""Addition to `IDLE_REPORT_INTERVAL_S` for each VM of the tier, in seconds. It
bounds the load of the driver, which receives the reports of all VMs."""

HandleReport = Callable[
    [api.Report], expression.Result[api.Grant, errors.Failure] | None
]
"""Handles a report; returns None if this process doesn't drive the roll-out."""

_logger = logbook.Logger("azureramp.rollout_reports")


class Reporter:
    """Sends reports while a roll-out runs, and applies the grants.

    Attributes:
        process: This process's name in reports.
        handle_locally: Handles this process's own reports; set by the driver.
        on_driver_missing: Called while no driver of a roll-out answers.
    """

    __slots__ = (
        "_board",
        "_drivers",
        "_rollouts",
        "_tasks",
        "handle_locally",
        "on_driver_missing",
        "process",
    )

    def __init__(
        self,
        board: board_module.Board,
        rollout_registry: rollouts.Rollouts,
        drivers: api.DriverClient,
        process: str,
    ) -> None:
        """Creates a controller without reports.

        Args:
            board: The process's state.
            rollout_registry: The roll-outs; its callbacks are set.
            drivers: Client of the drivers.
            process: This process's name in reports.
        """
        self._board = board
        self._rollouts = rollout_registry
        self._drivers = drivers
        self.process = process
        self.handle_locally: HandleReport | None = None
        self.on_driver_missing: (
            Callable[[active_rollout.ActiveRollout], None] | None
        ) = None
        self._tasks: dict[str, asyncio.Task[None]] = {}
        rollout_registry.on_begin = self.begin
        rollout_registry.on_end = self.end

    def begin(self, running: active_rollout.ActiveRollout) -> None:
        """Begins to report on a roll-out.

        Args:
            running: The roll-out.
        """
        self._tasks[running.order.service] = asyncio.create_task(
            self._run_reports(running)
        )

    def end(self, service: str) -> None:
        """Stops reporting on a service's roll-out.

        Args:
            service: The service's name.
        """
        task = self._tasks.pop(service, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Stops all reports."""
        for service in list(self._tasks):
            self.end(service)

    async def _run_reports(self, running: active_rollout.ActiveRollout) -> None:
        """Reports on a roll-out; resumes after unexpected errors."""
        while True:
            try:
                await self._report_periodically(running)
            except Exception:
                service = running.order.service
                _logger.exception(
                    "unexpected error while reporting on the roll-out of {}",
                    service,
                )
            await asyncio.sleep(IDLE_REPORT_INTERVAL_S)

    async def _report_periodically(
        self, running: active_rollout.ActiveRollout
    ) -> None:
        """Reports on a roll-out periodically. Never returns."""
        reported = -1
        while True:
            running.report_due.clear()
            record = self._rollouts.get_record(running.order.service)
            if record is not None and record.order == running.order:
                await self._report(running, record)
            else:
                self._signal_missing_driver(running)
            pause_s = self._get_pause_s(running, running.requests != reported)
            reported = running.requests
            # Its grant may expire in a long pause, and the next call then uses
            # an old searcher.
            running.report_on_call = pause_s > REPORT_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await running.report_due.wait()
            # Limits the rate of reports at a high rate of requests.
            await asyncio.sleep(REPORT_INTERVAL_S / 4)

    def _get_pause_s(
        self, running: active_rollout.ActiveRollout, sends: bool
    ) -> float:
        """Returns the pause before the next report, in seconds.

        Args:
            running: The roll-out.
            sends: True if there were calls since the last report.
        """
        now_s = asyncio.get_running_loop().time()
        moving = running.get_phase(now_s) is rollout_types.Phase.MOVING
        driver_missing = now_s - running.driver_seen_s > REPORT_INTERVAL_S
        if sends or driver_missing or (moving and not running.traffic_moved):
            return REPORT_INTERVAL_S
        # The driver waits for a valid confirmation of each of these VMs.
        must_confirm = (
            running.requests > 0
            or self._board.identity.vm in self._board.advertised
        )
        if moving and must_confirm:
            return REPORT_INTERVAL_S
        return IDLE_REPORT_INTERVAL_S + IDLE_INTERVAL_PER_VM_S * len(
            self._board.members
        )

    async def _report(
        self,
        running: active_rollout.ActiveRollout,
        record: rollout_types.Record,
    ) -> None:
        """Sends one report, and applies the grant."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        report = self._make_report(running, sent_s)
        result = (
            self.handle_locally(report)
            if self.handle_locally is not None
            else None
        )
        if result is None and record.driver != self.process:
            result = await self._drivers.report(record.driver_address, report)
        if result is None or result.is_error():
            self._signal_missing_driver(running)
            return
        if result.ok.order == running.order.revision:
            running.driver_seen_s = loop.time()
            running.apply_grant(result.ok, sent_s)

    def _signal_missing_driver(
        self, running: active_rollout.ActiveRollout
    ) -> None:
        """Calls `on_driver_missing`."""
        if self.on_driver_missing is not None:
            self.on_driver_missing(running)

    def _make_report(
        self, running: active_rollout.ActiveRollout, now_s: float
    ) -> api.Report:
        """Makes a report of the running totals."""
        counts = tuple(
            api.Count(
                route,
                searcher,
                tally.answers,
                tally.bad,
                0.0 if searcher else 1000 * running.get_measured_usual_s(route),
            )
            for (route, searcher), tally in running.call_counts.items()
        )
        moving = running.get_phase(now_s) is rollout_types.Phase.MOVING
        running.traffic_moved = moving and not self._has_calls_at_old(running)
        return api.Report(
            self.process,
            self._board.identity.vm,
            running.order.service,
            running.order.revision,
            running.requests,
            running.calls_to_new,
            counts,
            running.traffic_moved,
        )

    def _has_calls_at_old(self, running: active_rollout.ActiveRollout) -> bool:
        """Returns True if a call to an old version's searcher is running."""
        targets = self._board.by_service.get(running.order.service, {})
        return any(
            each.stats.in_flight and not running.is_new(each.searcher)
            for each in targets.values()
        )
