"""What is known of a roll-out when its next step is decided."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from azureramp import catalog, rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import rollout_drive, rollouts
from azureramp.policy import exposure
from azureramp.policy import rollouts as policy

REPORTED_S = 0.8
"""How long a VM's word that it has moved counts, in seconds; less than a grant
lasts, since without one it goes back to the old searchers."""

START_S = 2.0
"""An order that is seen within this time of this process's start may be older
than that, in seconds."""

MOST_DOWN_S = 10.0
"""Most time that the time of day may add to a roll-out's age, in seconds. It
counts while all VMs were down, and may be wrong."""

RESERVE_SHARE = 0.2
LEAST_RESERVE = 10
"""Calls to the new version that are recorded ahead of their grants, as a share
of those allowed so far, and at least."""

Clock = Callable[[], float]
"""Returns the time of day, in seconds since 1970."""


class Situations:
    """Describes roll-outs by what this process knows."""

    __slots__ = ("_board", "_clock", "_rollouts")

    def __init__(
        self,
        board: board_module.Board,
        known: rollouts.Rollouts,
        clock: Clock,
    ) -> None:
        """Makes one.

        Args:
            board: The state.
            known: The roll-outs.
            clock: Returns the time of day.
        """
        self._board = board
        self._rollouts = known
        self._clock = clock

    def describe(
        self, drive: rollout_drive.Drive, now_s: float
    ) -> policy.Situation:
        """Describes a roll-out for the decision on its next step."""
        order = drive.record.order
        targets = self._board.by_service.get(order.service, {}).values()
        age_s = self._get_age_s(drive.record, now_s)
        usable = [
            each.searcher.version
            for each in targets
            if each.searcher.state is catalog.SearcherState.READY
            and each.searcher.zone not in self._board.zones_out
            and not each.misdirected
            and (each.record.alive or not each.record.rests(now_s))
        ]
        new_usable = usable.count(order.target)
        old = set(drive.record.old)
        return policy.Situation(
            order=order,
            phase=drive.phase,
            age_s=age_s,
            phase_s=now_s - drive.phase_s,
            withdrawn=order.service not in self._rollouts.orders,
            verdict=drive.evidence.get_verdict(),
            answers=drive.count_answers() - drive.answers_before,
            requests=drive.ledger.requests,
            used=drive.ledger.count_used(),
            allowed=policy.count_allowed(
                self._board.bounds.exposure,
                drive.ledger.requests,
                drive.ledger.get_rate(),
                order.duration_s - age_s,
            ),
            rate=drive.ledger.get_rate(),
            new_usable=new_usable,
            old_usable=sum(version in old for version in usable),
            all_moved=self._have_all_moved(drive, now_s),
        )

    def begin(
        self,
        order: rollout_types.Order,
        before: rollout_types.Record | None,
        now_s: float,
    ) -> rollout_types.Record:
        """Makes the record of a roll-out that begins."""
        present = self._rollouts.get_present(order.service)
        old, barred = policy.start(order, before, present)
        phase = rollout_drive.TRIAL
        reason = "it begins"
        if policy.is_present(order, before, present):
            phase = rollout_types.Phase.COMPLETED
            reason = "the service runs this version already"
        record = rollout_types.Record(
            order=order,
            phase=phase,
            old=old,
            barred=barred,
            driver="",
            driver_address="",
            age_s=0.0,
            written_ms=0,
            requests=0,
            reserved=0,
            usual={},
            reason=reason,
        )
        return self.stamp(record, now_s, reason)

    def stamp(
        self, record: rollout_types.Record, now_s: float, reason: str
    ) -> rollout_types.Record:
        """Returns a record with its age as of now."""
        return dataclasses.replace(
            record,
            age_s=round(self._get_age_s(record, now_s), 3),
            written_ms=round(self._clock() * 1000),
            reason=reason,
        )

    def stamp_drive(
        self, drive: rollout_drive.Drive, now_s: float
    ) -> rollout_types.Record:
        """Returns the record with what is known now."""
        record = self.stamp(drive.record, now_s, drive.record.reason)
        allowed = exposure.count_allowed(
            self._board.bounds.exposure, drive.ledger.requests
        )
        used = drive.ledger.count_used()
        reserved = record.reserved
        if drive.phase is rollout_drive.TRIAL:
            ahead = max(LEAST_RESERVE, round(RESERVE_SHARE * allowed))
            reserved = max(reserved, min(allowed, used + ahead))
        return dataclasses.replace(
            record,
            phase=drive.phase,
            requests=max(record.requests, drive.ledger.requests),
            reserved=max(reserved, used),
            usual=drive.compute_usual(),
        )

    def count_trial(self, drive: rollout_drive.Drive, now_s: float) -> int:
        """Counts the calls that the trial may have made so far."""
        situation = self.describe(drive, now_s)
        return policy.count_trial_calls(
            self._board.bounds.exposure,
            drive.ledger.requests,
            situation.age_s,
            min(policy.get_move_s(situation), drive.record.order.duration_s),
        )

    def count_left(self, drive: rollout_drive.Drive, now_s: float) -> int:
        """Counts the calls that can be granted now, all VMs together."""
        most = min(self.count_trial(drive, now_s), drive.record.reserved)
        return max(0, most - drive.ledger.count_used())

    def needs_reserve(self, drive: rollout_drive.Drive, now_s: float) -> bool:
        """Tells whether more calls must be recorded before they are granted."""
        if drive.phase is not rollout_drive.TRIAL:
            return False
        return self.count_trial(drive, now_s) > drive.record.reserved

    def _get_age_s(self, record: rollout_types.Record, now_s: float) -> float:
        """Returns how long ago a roll-out was ordered, in seconds.

        A VM that saw the order goes by its own clock. One that started since
        goes by the record, and carefully by the time of day.
        """
        service = record.order.service
        seen_s = self._rollouts.get_seen_s(service)
        age_s = now_s - seen_s
        known = self._rollouts.records.get(service)
        if known is None or known.record.order != record.order:
            return age_s
        age_s = max(age_s, known.record.age_s + now_s - known.seen_s)
        if seen_s - self._board.started_s > START_S:
            return age_s
        since_s = self._clock() - known.record.written_ms / 1000
        by_clock_s = known.record.age_s + max(0.0, since_s)
        return max(age_s, min(by_clock_s, age_s + MOST_DOWN_S))

    def _have_all_moved(self, drive: rollout_drive.Drive, now_s: float) -> bool:
        """Tells whether no VM has a call at an old searcher any more.

        Those that are not advertised and sent nothing need not confirm it.
        """
        board = self._board
        vms = {
            vm
            for vm in drive.senders | board.advertised.keys()
            if vm in board.members and not board.members[vm].leaving
        }
        vms.add(board.identity.vm)
        return all(
            now_s - drive.moved.get(vm, -math.inf) < REPORTED_S for vm in vms
        )
