"""Takeover of roll-outs that have no active driver."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Container

import logbook

from azureramp import rollout_types
from azureramp.controllers.forwarding import (
    active_rollout,
    rollout_reports,
    rollout_states,
    rollout_writer,
    rollouts,
)
from azureramp.controllers.forwarding import board as board_module
from azureramp.policy import rollouts as policy

CLAIM_STAGGER_S = 0.5
"""Additional time that a VM waits per rank before it claims a roll-out without
a driver, in seconds."""

DRIVER_TIMEOUT_S = 1.5
"""Time without an answer after which a driver is replaced, in seconds."""

OnClaimed = Callable[[rollout_types.Record, int], None]
"""Handles a record that names this process as the driver, with its revision."""

_logger = logbook.Logger("azureramp.rollout_driver")


class RolloutClaims:
    """Claims roll-outs for this process."""

    __slots__ = (
        "_board",
        "_claim_queued",
        "_drives",
        "_on_claimed",
        "_process",
        "_queued",
        "_rollouts",
        "_situations",
        "_writer",
    )

    def __init__(
        self,
        board: board_module.Board,
        rollout_registry: rollouts.Rollouts,
        reports: rollout_reports.Reporter,
        situations: rollout_states.RolloutStateBuilder,
        writer: rollout_writer.RecordWriter,
        drives: Container[str],
        on_claimed: OnClaimed,
    ) -> None:
        """Creates a controller that has claimed nothing; see `run`.

        Args:
            board: The process's state.
            rollout_registry: The roll-outs.
            reports: Reports roll-outs without a driver.
            situations: Creates the records to write.
            writer: Writes the records.
            drives: The services whose roll-outs this process drives.
            on_claimed: Called with each roll-out that this process has
                claimed.
        """
        self._board = board
        self._rollouts = rollout_registry
        self._situations = situations
        self._writer = writer
        self._drives = drives
        self._on_claimed = on_claimed
        self._process = reports.process
        self._queued: dict[str, active_rollout.ActiveRollout] = {}
        self._claim_queued = asyncio.Event()
        reports.on_driver_missing = self.queue_claim

    def queue_claim(self, running: active_rollout.ActiveRollout) -> None:
        """Queues a roll-out whose driver does not answer.

        Args:
            running: The roll-out.
        """
        self._queued[running.order.service] = running
        self._claim_queued.set()

    async def run(self) -> None:
        """Claims the queued roll-outs. Never returns."""
        while True:
            self._claim_queued.clear()
            if not self._queued:
                await self._claim_queued.wait()
            queued = list(self._queued.values())
            self._queued.clear()
            await asyncio.gather(*(self._claim(each) for each in queued))

    async def _claim(self, running: active_rollout.ActiveRollout) -> None:
        """Claims a roll-out if it is this VM's turn."""
        order = running.order
        if order.service in self._drives:
            return
        now_s = asyncio.get_running_loop().time()
        record = self._rollouts.get_record(order.service)
        is_new = record is None or record.order != order
        if not self._is_turn(running, None if is_new else record, now_s):
            return
        if is_new:
            new_record = self._situations.make_first_record(
                order, record, now_s
            )
        else:
            assert record is not None
            new_record = self._situations.with_current_age(
                record, now_s, reason=record.reason
            )
        new_record = dataclasses.replace(
            new_record,
            driver=self._process,
            driver_address=self._board.identity.peer_address,
        )
        written = await self._writer.write(
            new_record, self._writer.get_revision(order.service)
        )
        if written is not None:
            _logger.info(
                "this process now drives the roll-out of {} to {}",
                order.service,
                order.target,
                extra={
                    "service": order.service,
                    "target": order.target,
                    "order": order.revision,
                    "phase": new_record.phase.value,
                    "reason": new_record.reason,
                    "age_s": new_record.age_s,
                },
            )
            self._on_claimed(new_record, written)

    def _is_turn(
        self,
        running: active_rollout.ActiveRollout,
        record: rollout_types.Record | None,
        now_s: float,
    ) -> bool:
        """Returns True if this VM should claim a roll-out now.

        Args:
            running: The roll-out.
            record: Its record; None if it has none yet.
            now_s: The current time, in seconds.
        """
        board = self._board
        if board.leaving or not board.contact.reachable:
            return False
        unresponsive_vm = ""
        wait_s = 0.0
        if record is not None:
            unresponsive_vm = get_vm_of_process(record.driver)
            wait_s = DRIVER_TIMEOUT_S
            if record.driver == self._process:
                # This process claimed it earlier; the write's answer was lost.
                stored = self._rollouts.records[running.order.service]
                self._on_claimed(stored.record, stored.revision)
                return False
        vm = board.identity.vm
        ranked = policy.rank_drivers(board.members.values(), unresponsive_vm)
        rank = ranked.index(vm) if vm in ranked else len(ranked)
        wait_s += rank * CLAIM_STAGGER_S
        return now_s - running.driver_seen_s >= wait_s


def get_vm_of_process(process: str) -> str:
    """Returns the VM of a process.

    Args:
        process: The process's name in reports; see
            `rollout_driver.make_process_name`.
    """
    return process.rpartition("#")[0]
