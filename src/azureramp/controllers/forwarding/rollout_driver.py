"""Driving roll-outs: one VM collects reports, grants calls, takes the steps.

The store's record of a roll-out names its driver. Each step is a write under
the condition that the record is as this process knows it, so of two drivers
only one goes on. A driver that can't write stops granting calls, and another
VM takes its place.
"""

from __future__ import annotations

import asyncio
import dataclasses

import logbook

from azureramp import rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    rollout_drive,
    rollout_grants,
    rollout_reports,
    rollout_situations,
    rollout_writer,
    rollouts,
)
from azureramp.policy import rollouts as policy

LOOK_S = 0.1
"""Time between two looks at what is to be done, in seconds."""

RETRY_S = 0.3
"""Pause after a write that failed, in seconds."""

ENDED_S = 5.0
"""How long the driver still answers once the roll-out has ended, in seconds."""

_logger = logbook.Logger("azureramp.rollout_driver")


class Driver:
    """Drives the roll-outs that fall to this process."""

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
        known: rollouts.Rollouts,
        reports: rollout_reports.Reports,
        grants: rollout_grants.Grants,
        situations: rollout_situations.Situations,
        writer: rollout_writer.Writer,
    ) -> None:
        """Makes one that drives nothing; see `adopt`.

        Args:
            board: The state.
            known: The roll-outs.
            reports: Tells of those without a driver.
            grants: Answers the reports on those that this process drives.
            situations: Describes them.
            writer: Writes how far they are.
        """
        self._board = board
        self._rollouts = known
        self._grants = grants
        self._situations = situations
        self._writer = writer
        self._tasks: set[asyncio.Task[None]] = set()
        self._process = reports.process
        reports.drive = grants.take

    def adopt(self, record: rollout_types.Record, revision: int) -> None:
        """Begins to drive a roll-out that names this process."""
        if record.has_ended() or record.order.service in self._grants.drives:
            return
        now_s = asyncio.get_running_loop().time()
        self._rollouts.take_record(record, revision)
        drive = rollout_drive.Drive(
            record, revision, self._board.bounds.exposure, now_s
        )
        self._grants.drives[record.order.service] = drive
        self._count_driven()
        task = asyncio.create_task(self._follow(record.order.service, drive))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends driving."""
        for task in self._tasks:
            task.cancel()

    async def _follow(self, service: str, drive: rollout_drive.Drive) -> None:
        """Drives a roll-out until it has ended or another VM drives it."""
        try:
            going = True
            while going:
                going = await self._advance(service, drive)
                await asyncio.sleep(LOOK_S)
        except Exception:
            _logger.exception("driving the roll-out of {} failed", service)
        finally:
            del self._grants.drives[service]
            self._count_driven()

    def _count_driven(self) -> None:
        """Sets the gauge of the roll-outs that this process drives."""
        driven = len(self._grants.drives)
        self._board.metrics.set_gauge("rollout.driven", driven)

    async def _advance(self, service: str, drive: rollout_drive.Drive) -> bool:
        """Takes the next step of a roll-out, if it is time.

        Returns:
            False once there is nothing more to be done for it.
        """
        now_s = asyncio.get_running_loop().time()
        if drive.ended_s is not None:
            return now_s - drive.ended_s <= ENDED_S
        if not self._still_drives(service, drive):
            _logger.info("no longer driving the roll-out of {}", service)
            return False
        situation = self._situations.describe(drive, now_s)
        step = policy.decide(situation)
        if step is not None:
            await self._take_step(drive, step, situation)
        elif (
            self._situations.needs_reserve(drive, now_s)
            or drive.phase is not drive.record.phase
        ):
            await self._put(drive, self._situations.stamp_drive(drive, now_s))
        return True

    def _still_drives(self, service: str, drive: rollout_drive.Drive) -> bool:
        """Tells whether the store still names this process, as far as known."""
        known = self._rollouts.records[service]
        if known.revision > drive.revision:
            if known.record.driver != self._process:
                return False
            # A write whose answer was lost.
            self._take_written(drive, known.record, known.revision)
        order = self._rollouts.orders.get(service)
        return order is None or order.revision <= drive.record.order.revision

    async def _take_step(
        self,
        drive: rollout_drive.Drive,
        step: policy.Step,
        situation: policy.Situation,
    ) -> None:
        """Writes a step and goes on from there."""
        takes_away = (
            rollout_types.Phase.ROLLED_BACK,
            rollout_drive.TRIAL,
        )
        if step.phase in takes_away and drive.phase is not step.phase:
            # Calls to the new version end at once, whatever the store does.
            drive.phase = step.phase
        now_s = asyncio.get_running_loop().time()
        wanted = dataclasses.replace(
            self._situations.stamp_drive(drive, now_s),
            phase=step.phase,
            reason=step.reason,
        )
        if step.phase is rollout_drive.MOVING:
            # What is sent from now on isn't granted call by call.
            reserved = max(wanted.reserved, situation.allowed)
            wanted = dataclasses.replace(wanted, reserved=reserved)
        if step.phase is rollout_types.Phase.COMPLETED:
            wanted = dataclasses.replace(
                wanted, old=self._list_left(wanted.order)
            )
        if not await self._put(drive, wanted):
            return
        _logger.info(
            "the roll-out of {} to {} is {} now: {}",
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

    def _list_left(self, order: rollout_types.Order) -> tuple[str, ...]:
        """Lists the versions that a service leaves behind."""
        versions = self._rollouts.list_versions(order.service)
        return tuple(sorted(versions - {order.target}))

    async def _put(
        self, drive: rollout_drive.Drive, wanted: rollout_types.Record
    ) -> bool:
        """Writes a record over the one that this process knows."""
        now_s = asyncio.get_running_loop().time()
        written = await self._writer.write(wanted, drive.revision)
        if written is None:
            if drive.failing_s is None:
                drive.failing_s = now_s
            await asyncio.sleep(RETRY_S)
            return False
        self._take_written(drive, wanted, written)
        self._rollouts.take_record(wanted, written)
        return True

    def _take_written(
        self,
        drive: rollout_drive.Drive,
        record: rollout_types.Record,
        revision: int,
    ) -> None:
        """Takes a record that was written, also one whose answer was lost."""
        now_s = asyncio.get_running_loop().time()
        if record.phase is not drive.record.phase:
            drive.phase_s = now_s
            drive.answers_before = drive.count_answers()
            drive.moved.clear()
        drive.record, drive.revision = record, revision
        drive.failing_s = None
        drive.phase = record.phase
        if record.has_ended():
            drive.ended_s = now_s


def make_process_name(vm: str, start: int) -> str:
    """Makes a process's name in reports, another one at each start."""
    return f"{vm}#{start:x}"
