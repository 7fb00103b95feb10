"""The current state of roll-outs, and the records to store for them."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable

from azureramp import catalog, rollout_types
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import driven_rollout, rollouts
from azureramp.policy import exposure
from azureramp.policy import rollouts as policy

MOVED_REPORT_VALID_S = 0.8
"""Time for which a VM's report that it no longer uses the old searchers is
valid, in seconds. It is shorter than a grant's validity, since a VM whose grant
expires returns to the old searchers."""

START_WINDOW_S = 2.0
"""Time after this process's start, in seconds, within which a received order
may be older than the process."""

MAX_DOWNTIME_S = 10.0
"""Maximum time that the wall clock may add to a roll-out's age, in seconds. The
wall clock accounts for a time in which all VMs were down, and may be wrong."""

RESERVE_SHARE = 0.2
MIN_RESERVED_CALLS = 10
"""Calls to the new version that the record reserves before they are granted: as
a share of the calls allowed so far, and the minimum number."""

Clock = Callable[[], float]
"""Returns the wall-clock time, in seconds since 1970."""


class RolloutStateBuilder:
    """Describes roll-outs, and creates their records."""

    __slots__ = ("_board", "_clock", "_rollouts")

    def __init__(
        self,
        board: board_module.Board,
        rollout_registry: rollouts.Rollouts,
        clock: Clock,
    ) -> None:
        """Creates a controller.

        Args:
            board: The process's state.
            rollout_registry: The roll-outs.
            clock: Returns the wall-clock time.
        """
        self._board = board
        self._rollouts = rollout_registry
        self._clock = clock

    def describe(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> policy.RolloutState:
        """Describes a roll-out for the decision on its next step.

        Args:
            drive: The roll-out.
            now_s: The current time, in seconds.
        """
        order = drive.record.order
        targets = self._board.by_service.get(order.service, {}).values()
        age_s = self._get_age_s(drive.record, now_s)
        usable = [
            each.searcher.version
            for each in targets
            if each.searcher.state is catalog.SearcherState.READY
            and each.searcher.zone not in self._board.evacuated_zones
            and not each.misdirected
            and (each.stats.responsive or not each.stats.is_excluded(now_s))
        ]
        new_usable = usable.count(order.target)
        old = set(drive.record.old)
        return policy.RolloutState(
            order=order,
            phase=drive.phase,
            age_s=age_s,
            phase_s=now_s - drive.phase_began_s,
            withdrawn=order.service not in self._rollouts.orders,
            verdict=drive.evidence.get_verdict(),
            answers=drive.count_answers() - drive.answers_before_phase,
            requests=drive.ledger.requests,
            used=drive.ledger.count_used(),
            allowed=policy.compute_allowed_calls(
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

    def make_first_record(
        self,
        order: rollout_types.Order,
        before: rollout_types.Record | None,
        now_s: float,
    ) -> rollout_types.Record:
        """Makes the first record of a roll-out, without a driver.

        Args:
            order: The order.
            before: The service's previous record; None if there is none.
            now_s: The current time, in seconds.
        """
        versions = self._rollouts.get_versions_at_order(order.service)
        old, barred = policy.list_initial_versions(order, before, versions)
        phase = driven_rollout.TRIAL
        reason = "it begins"
        if policy.is_already_running(order, before, versions):
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
        return self.with_current_age(record, now_s, reason)

    def with_current_age(
        self, record: rollout_types.Record, now_s: float, reason: str
    ) -> rollout_types.Record:
        """Returns a copy of a record with its current age.

        Args:
            record: The record.
            now_s: The current time, in seconds.
            reason: The reason to record.
        """
        return dataclasses.replace(
            record,
            age_s=round(self._get_age_s(record, now_s), 3),
            written_ms=round(self._clock() * 1000),
            reason=reason,
        )

    def make_current_record(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> rollout_types.Record:
        """Returns a driven roll-out's record with the current state.

        In the canary phase, calls are reserved before they are granted.

        Args:
            drive: The roll-out.
            now_s: The current time, in seconds.
        """
        record = self.with_current_age(drive.record, now_s, drive.record.reason)
        allowed = exposure.count_allowed_requests(
            self._board.bounds.exposure, drive.ledger.requests
        )
        used = drive.ledger.count_used()
        reserved = record.reserved
        if drive.phase is driven_rollout.TRIAL:
            ahead = max(MIN_RESERVED_CALLS, round(RESERVE_SHARE * allowed))
            reserved = max(reserved, min(allowed, used + ahead))
        return dataclasses.replace(
            record,
            phase=drive.phase,
            requests=max(record.requests, drive.ledger.requests),
            reserved=max(reserved, used),
            usual=drive.compute_usual(),
        )

    def count_canary_calls(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> int:
        """Returns how many calls the canary phase may have made by now.

        Args:
            drive: The roll-out.
            now_s: The current time, in seconds.
        """
        situation = self.describe(drive, now_s)
        return policy.compute_canary_calls(
            self._board.bounds.exposure,
            drive.ledger.requests,
            situation.age_s,
            min(policy.get_move_s(situation), drive.record.order.duration_s),
        )

    def count_grantable_calls(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> int:
        """Returns how many calls can be granted now to all VMs together.

        Args:
            drive: The roll-out.
            now_s: The current time, in seconds.
        """
        limit = min(
            self.count_canary_calls(drive, now_s), drive.record.reserved
        )
        return max(0, limit - drive.ledger.count_used())

    def needs_larger_reservation(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> bool:
        """Returns True if more calls must be reserved before they are granted.

        Args:
            drive: The roll-out.
            now_s: The current time, in seconds.
        """
        if drive.phase is not driven_rollout.TRIAL:
            return False
        return self.count_canary_calls(drive, now_s) > drive.record.reserved

    def _get_age_s(self, record: rollout_types.Record, now_s: float) -> float:
        """Returns the time since a roll-out was ordered, in seconds.

        A VM that was already running when it received the order uses its own
        clock. A VM that started later uses the age in the record and, up to
        `MAX_DOWNTIME_S`, the wall clock.
        """
        service = record.order.service
        order_seen_s = self._rollouts.get_order_seen_s(service)
        age_s = now_s - order_seen_s
        stored = self._rollouts.records.get(service)
        if stored is None or stored.record.order != record.order:
            return age_s
        age_s = max(age_s, stored.record.age_s + now_s - stored.seen_s)
        if order_seen_s - self._board.started_s > START_WINDOW_S:
            return age_s
        since_s = self._clock() - stored.record.written_ms / 1000
        wall_clock_age_s = stored.record.age_s + max(0.0, since_s)
        return max(age_s, min(wall_clock_age_s, age_s + MAX_DOWNTIME_S))

    def _have_all_moved(
        self, drive: driven_rollout.DrivenRollout, now_s: float
    ) -> bool:
        """Returns True if no VM has running calls to old searchers.

        VMs that are not advertised and have sent no requests need not confirm
        it.
        """
        board = self._board
        vms = {
            vm
            for vm in drive.senders | board.advertised.keys()
            if vm in board.members and not board.members[vm].leaving
        }
        vms.add(board.identity.vm)
        return all(
            now_s - drive.moved.get(vm, -math.inf) < MOVED_REPORT_VALID_S
            for vm in vms
        )
