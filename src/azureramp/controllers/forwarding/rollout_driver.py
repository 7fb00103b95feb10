"""The driver of roll-outs, which collects reports and decides on each step.

The record of a roll-out in the store names its driver. Each step is a write on
the condition that the record still has the revision known to this process, so
of two concurrent drivers only one continues. A driver that can't write stops
granting calls, and another VM replaces it.
"""

from __future__ import annotations

import asyncio
import dataclasses

import logbook

from azureramp import rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    driven_rollout,
    rollout_grants,
    rollout_reports,
    rollout_states,
    rollout_writer,
    rollouts,
)
from azureramp.policy import rollouts as policy

CHECK_INTERVAL_S = 0.1
"""Time between two checks of a roll-out, in seconds."""

WRITE_RETRY_PAUSE_S = 0.3
"""Pause after a failed write, in seconds."""

ANSWER_AFTER_END_S = 5.0
"""Time for which the driver answers reports after a roll-out's end, in
seconds."""

_logger = logbook.Logger("azureramp.rollout_driver")


class RolloutDriver:
    """Drives the roll-outs that this process has claimed."""

    __slots__ = (
        "_board",
        "_grants",
        "_process",
        "_rollouts",
        "_situations",
        "_tasks",
        "_writer",
    )

    def __init__(
        self,
        board: board_module.Board,
        rollout_registry: rollouts.Rollouts,
        reports: rollout_reports.Reporter,
        grants: rollout_grants.GrantHandler,
        situations: rollout_states.RolloutStateBuilder,
        writer: rollout_writer.RecordWriter,
    ) -> None:
        """Creates a driver without roll-outs; see `start_driving`.

        Args:
            board: The process's state.
            rollout_registry: The roll-outs.
            reports: Sends this process's own reports.
            grants: Handles the reports on roll-outs that this process drives.
            situations: Describes the roll-outs and creates their records.
            writer: Writes the records.
        """
        self._board = board
        self._rollouts = rollout_registry
        self._grants = grants
        self._situations = situations
        self._writer = writer
        self._tasks: set[asyncio.Task[None]] = set()
        self._process = reports.process
        reports.handle_locally = grants.handle_report

    def start_driving(
        self, record: rollout_types.Record, revision: int
    ) -> None:
        """Begins to drive a roll-out whose record names this process.

        Args:
            record: The record.
            revision: Its revision.
        """
        if (
            record.has_ended()
            or record.order.service in self._grants.driven_rollouts
        ):
            return
        now_s = asyncio.get_running_loop().time()
        self._rollouts.apply_record(record, revision)
        drive = driven_rollout.DrivenRollout(
            record, revision, self._board.bounds.exposure, now_s
        )
        self._grants.driven_rollouts[record.order.service] = drive
        self._count_driven()
        task = asyncio.create_task(self._drive(record.order.service, drive))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Stops driving all roll-outs."""
        for task in self._tasks:
            task.cancel()

    async def _drive(
        self, service: str, drive: driven_rollout.DrivenRollout
    ) -> None:
        """Drives a roll-out until it has ended or another VM takes over."""
        try:
            driving = True
            while driving:
                driving = await self._advance(service, drive)
                await asyncio.sleep(CHECK_INTERVAL_S)
        except Exception:
            _logger.exception(
                "unexpected error while driving the roll-out of {}", service
            )
        finally:
            del self._grants.driven_rollouts[service]
            self._count_driven()

    def _count_driven(self) -> None:
        """Updates the gauge of the roll-outs that this process drives."""
        driven = len(self._grants.driven_rollouts)
        self._board.metrics.set_gauge("rollout.driven", driven)

    async def _advance(
        self, service: str, drive: driven_rollout.DrivenRollout
    ) -> bool:
        """Performs the next step of a roll-out if one is due.

        Returns:
            False once the roll-out needs no further steps by this process.
        """
        now_s = asyncio.get_running_loop().time()
        if drive.ended_s is not None:
            return now_s - drive.ended_s <= ANSWER_AFTER_END_S
        if not self._still_drives(service, drive):
            _logger.info("no longer driving the roll-out of {}", service)
            return False
        situation = self._situations.describe(drive, now_s)
        step = policy.decide_phase_change(situation)
        if step is not None:
            await self._perform_step(drive, step, situation)
        elif (
            self._situations.needs_larger_reservation(drive, now_s)
            or drive.phase is not drive.record.phase
        ):
            await self._write_record(
                drive, self._situations.make_current_record(drive, now_s)
            )
        return True

    def _still_drives(
        self, service: str, drive: driven_rollout.DrivenRollout
    ) -> bool:
        """Returns True if this process is still the driver of the newest order.

        The check uses the latest known record and order.
        """
        stored = self._rollouts.records[service]
        if stored.revision > drive.revision:
            if stored.record.driver != self._process:
                return False
            # This process wrote the record, and the write's answer was lost.
            self._handle_written(drive, stored.record, stored.revision)
        order = self._rollouts.orders.get(service)
        return order is None or order.revision <= drive.record.order.revision

    async def _perform_step(
        self,
        drive: driven_rollout.DrivenRollout,
        step: policy.PhaseChange,
        situation: policy.RolloutState,
    ) -> None:
        """Writes a step and applies it.

        Args:
            drive: The roll-out.
            step: The step.
            situation: The state from which the step was decided.
        """
        reducing_phases = (
            rollout_types.Phase.ROLLED_BACK,
            driven_rollout.TRIAL,
        )
        if step.phase in reducing_phases and drive.phase is not step.phase:
            # Calls to the new version are reduced at once, even if the write
            # fails.
            drive.phase = step.phase
        now_s = asyncio.get_running_loop().time()
        new_record = dataclasses.replace(
            self._situations.make_current_record(drive, now_s),
            phase=step.phase,
            reason=step.reason,
        )
        if step.phase is driven_rollout.MOVING:
            # From now on, calls are no longer granted individually.
            reserved = max(new_record.reserved, situation.allowed)
            new_record = dataclasses.replace(new_record, reserved=reserved)
        if step.phase is rollout_types.Phase.COMPLETED:
            new_record = dataclasses.replace(
                new_record, old=self._list_replaced_versions(new_record.order)
            )
        if not await self._write_record(drive, new_record):
            return
        _logger.info(
            "the roll-out of {} to {} is now {}: {}",
            situation.order.service,
            situation.order.target,
            step.phase.value,
            step.reason,
            extra={
                "service": situation.order.service,
                "target": situation.order.target,
                "order": situation.order.revision,
                "phase": step.phase.value,
                "reason": step.reason,
                "age_s": round(situation.age_s, 2),
                "calls_to_new": situation.used,
                "calls_allowed": situation.allowed,
                "calls": drive.ledger.requests,
                "calls_per_s": round(situation.rate, 1),
                "answers": drive.evidence.describe(),
                "usable_new": situation.new_usable,
                "usable_old": situation.old_usable,
                "all_moved": situation.all_moved,
            },
        )

    def _list_replaced_versions(
        self, order: rollout_types.Order
    ) -> tuple[str, ...]:
        """Returns the versions that the completed roll-out replaces."""
        versions = self._rollouts.list_versions(order.service)
        return tuple(sorted(versions - {order.target}))

    async def _write_record(
        self,
        drive: driven_rollout.DrivenRollout,
        new_record: rollout_types.Record,
    ) -> bool:
        """Replaces the record in the store if it has the known revision.

        Args:
            drive: The roll-out.
            new_record: The new record.

        Returns:
            True if the record was written.
        """
        now_s = asyncio.get_running_loop().time()
        written = await self._writer.write(new_record, drive.revision)
        if written is None:
            if drive.writes_failing_since_s is None:
                drive.writes_failing_since_s = now_s
            await asyncio.sleep(WRITE_RETRY_PAUSE_S)
            return False
        self._handle_written(drive, new_record, written)
        self._rollouts.apply_record(new_record, written)
        return True

    def _handle_written(
        self,
        drive: driven_rollout.DrivenRollout,
        record: rollout_types.Record,
        revision: int,
    ) -> None:
        """Updates the state from a written record.

        The write's answer may have been lost.
        """
        now_s = asyncio.get_running_loop().time()
        if record.phase is not drive.record.phase:
            drive.phase_began_s = now_s
            drive.answers_before_phase = drive.count_answers()
            drive.moved.clear()
        drive.record, drive.revision = record, revision
        drive.writes_failing_since_s = None
        drive.phase = record.phase
        if record.has_ended():
            drive.ended_s = now_s


def make_process_name(vm: str, start: int) -> str:
    """Makes the name of a process in reports, unique to each start.

    Args:
        vm: The VM's name.
        start: A number that differs at each start.
    """
    return f"{vm}#{start:x}"
