"""Taking over the roll-outs that nobody drives."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Container

import logbook

from azureramp import rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import (
    rollout_reports,
    rollout_situations,
    rollout_view,
    rollout_writer,
    rollouts,
)
from azureramp.policy import rollouts as policy

CLAIM_STEP_S = 0.5
"""How much longer each further VM waits to drive a roll-out that nobody drives,
in seconds."""

SILENT_S = 1.5
"""How long a driver must be silent before it is replaced, in seconds."""

Claimed = Callable[[rollout_types.Record, int], None]
"""Takes a record that names this process as the driver, and its revision."""

_logger = logbook.Logger("azureramp.rollout_driver")


class Claims:
    """Claims roll-outs for this process."""

    __slots__ = (
        "_board",
        "_claiming",
        "_drives",
        "_on_claimed",
        "_process",
        "_rollouts",
        "_situations",
        "_wanted",
        "_writer",
    )

    def __init__(
        self,
        board: board_module.Board,
        known: rollouts.Rollouts,
        reports: rollout_reports.Reports,
        situations: rollout_situations.Situations,
        writer: rollout_writer.Writer,
        drives: Container[str],
        on_claimed: Claimed,
    ) -> None:
        """Makes one that has claimed nothing; see `run`.

        Args:
            board: The state.
            known: The roll-outs.
            reports: Tells of those without a driver.
            situations: Describes them.
            writer: Writes how far they are.
            drives: The services whose roll-outs this process drives.
            on_claimed: Takes a roll-out that is this process's now.
        """
        self._board = board
        self._rollouts = known
        self._situations = situations
        self._writer = writer
        self._drives = drives
        self._on_claimed = on_claimed
        self._process = reports.process
        self._claiming: dict[str, rollout_view.Running] = {}
        self._wanted = asyncio.Event()
        reports.on_silent = self.consider

    def consider(self, running: rollout_view.Running) -> None:
        """Notes a roll-out that nobody seems to drive."""
        self._claiming[running.order.service] = running
        self._wanted.set()

    async def run(self) -> None:
        """Takes over roll-outs that nobody drives, forever."""
        while True:
            self._wanted.clear()
            if not self._claiming:
                await self._wanted.wait()
            claiming = list(self._claiming.values())
            self._claiming.clear()
            await asyncio.gather(*(self._claim(each) for each in claiming))

    async def _claim(self, running: rollout_view.Running) -> None:
        """Takes a roll-out over if it is this VM's turn."""
        order = running.order
        if order.service in self._drives:
            return
        now_s = asyncio.get_running_loop().time()
        record = self._rollouts.get_record(order.service)
        is_new = record is None or record.order != order
        if not self._is_turn(running, None if is_new else record, now_s):
            return
        if is_new:
            wanted = self._situations.begin(order, record, now_s)
        else:
            assert record is not None
            wanted = self._situations.stamp(record, now_s, reason=record.reason)
        wanted = dataclasses.replace(
            wanted,
            driver=self._process,
            driver_address=self._board.identity.peer_address,
        )
        written = await self._writer.write(
            wanted, self._writer.get_revision(order.service)
        )
        if written is not None:
            _logger.info(
                "driving the roll-out of {} to {}",
                order.service,
                order.target,
                extra={
                    "service": order.service,
                    "target": order.target,
                    "order": order.revision,
                    "phase": wanted.phase.value,
                    "reason": wanted.reason,
                    "age_s": wanted.age_s,
                },
            )
            self._on_claimed(wanted, written)

    def _is_turn(
        self,
        running: rollout_view.Running,
        record: rollout_types.Record | None,
        now_s: float,
    ) -> bool:
        """Tells whether this VM should take a roll-out over now."""
        board = self._board
        if board.leaving or not board.contact.reachable:
            return False
        silent = ""
        wait_s = 0.0
        if record is not None:
            silent = get_vm(record.driver)
            wait_s = SILENT_S
            if record.driver == self._process:
                # Its own claim, whose answer was lost.
                known = self._rollouts.records[running.order.service]
                self._on_claimed(known.record, known.revision)
                return False
        vm = board.identity.vm
        ranked = policy.rank_drivers(board.members.values(), silent)
        rank = ranked.index(vm) if vm in ranked else len(ranked)
        wait_s += rank * CLAIM_STEP_S
        return now_s - running.silent_s >= wait_s


def get_vm(process: str) -> str:
    """Returns the VM of a process by its name in reports."""
    return process.rpartition("#")[0]
