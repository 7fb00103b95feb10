"""Phase changes of a roll-out, and the versions that a VM may send requests to.

A roll-out replaces a service's searchers by ones of a new version. The new
version may be faulty from the start, later, under load, or on one route only,
and the old searchers stop as soon as the roll-out is completed. During the
canary phase, which takes most of the time, the new version gets a small share
of the requests. Then all traffic moves to it while the old searchers are still
running, so that a fault under load is detected and can be rolled back. The
roll-out is completed only if this succeeds and no VM has a call in flight at an
old searcher.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from azureramp import catalog, rollout_types
from azureramp.policy import exposure, version_evidence

MAX_COMPLETION_SHARE = 0.88
"""Latest time of completion, as a share of the roll-out's duration. The rest is
for slow store writes and for informing the operators."""

FINAL_WRITE_S = 1.0
"""Time reserved for the final write, in seconds, if the duration allows it."""

MAX_FINAL_WRITE_SHARE = 0.25
"""Upper limit of the time for the final write, as a share of the duration."""

MIN_MOVED_SHARE = 0.1
MAX_MOVED_SHARE = 0.35
"""Bounds of the time that all traffic is on the new version before completion,
as shares of the duration."""

EXPECTED_REQUESTS_SHARE = 0.5
"""Share of the requests expected until the deadline that already counts toward
the allowed exposure. It is below 1 because callers may stop sending."""

MOVED_EXPOSURE_SHARE = 0.9
"""Share of the remaining exposure that the phase with all traffic may use."""

MOVE_LAG_S = 0.5
"""Time until all VMs have moved their traffic, in seconds."""

MIN_ANSWERS = 15
MIN_ANSWER_SHARE = 0.05
"""Answers that the new version must give under all traffic to be proved: this
number, or this share of all requests if the service has few."""

MIN_CANARY_S = 0.5
MIN_CANARY_SHARE = 0.05
"""Minimum time in the canary phase before all traffic moves, in seconds and as
a share of the duration; the lower one applies. A new driver needs it to receive
the VMs' reports."""

MIN_SEARCHER_SHARE = 0.5
"""Usable searchers of the new version that are required before all traffic
moves, as a share of the old ones, so that they can handle the load."""


@dataclasses.dataclass(slots=True, frozen=True)
class RolloutState:
    """State of a roll-out from which the next phase change is decided.

    Attributes:
        order: The order.
        phase: The current phase.
        age_s: Time since the order, in seconds.
        phase_s: Time since the phase began, in seconds.
        withdrawn: True once the operators have withdrawn the order.
        verdict: The evaluation of the new version's answers.
        answers: Number of the new version's answers since the phase began.
        requests: Number of requests to the service since the order.
        used: Upper limit of the calls made to the new version.
        allowed: Number of calls that the new version may get so far.
        rate: Requests per second to the service.
        new_usable: Number of usable searchers of the new version.
        old_usable: Number of usable searchers of the old versions.
        all_moved: True if every VM has confirmed that none of its calls is in
            flight at an old searcher.
    """

    order: rollout_types.Order
    phase: rollout_types.Phase
    age_s: float
    phase_s: float
    withdrawn: bool
    verdict: version_evidence.Verdict
    answers: float
    requests: int
    used: int
    allowed: int
    rate: float
    new_usable: int
    old_usable: int
    all_moved: bool


@dataclasses.dataclass(slots=True, frozen=True)
class PhaseChange:
    """A change of phase.

    Attributes:
        phase: The new phase.
        reason: The reason for the change.
    """

    phase: rollout_types.Phase
    reason: str


def decide_phase_change(now: RolloutState) -> PhaseChange | None:
    """Decides on the next phase change; None to stay in the current phase."""
    rolled_back = rollout_types.Phase.ROLLED_BACK
    if now.verdict is version_evidence.Verdict.WORSE:
        return PhaseChange(rolled_back, "the new version answers worse")
    if now.withdrawn:
        return PhaseChange(rolled_back, "the order was taken back")
    match now.phase:
        case rollout_types.Phase.TRIAL:
            return _decide_in_canary(now)
        case rollout_types.Phase.MOVING:
            return _decide_in_moving(now)
        case _:
            return None


def get_final_s(duration_s: float) -> float:
    """Returns the time reserved for the final write, in seconds."""
    return min(FINAL_WRITE_S, MAX_FINAL_WRITE_SHARE * duration_s)


def get_complete_s(duration_s: float, rate: float, allowed: int) -> float:
    """Returns when to complete a roll-out, in seconds after its order.

    It is as late as is safe, since a version may become faulty late. The calls
    between completion and the deadline count toward the exposure, so a service
    with a high request rate is completed later.

    Args:
        duration_s: The roll-out's duration, in seconds.
        rate: Requests per second to the service.
        allowed: Number of calls that the new version may get.
    """
    left_s = (1.0 - MAX_COMPLETION_SHARE) * duration_s
    if rate > 0:
        left_s = min(left_s, allowed / 2 / rate)
    return duration_s - max(get_final_s(duration_s), left_s)


def get_move_s(now: RolloutState) -> float:
    """Returns when all traffic should move, in seconds after the order.

    Returns:
        The time; infinite if the new version has used so much of its exposure
        that the rest is not enough to prove it.
    """
    duration_s = now.order.duration_s
    complete_s = get_complete_s(duration_s, now.rate, now.allowed)
    remaining = now.allowed - now.used
    if remaining < min(MIN_ANSWERS, MIN_ANSWER_SHARE * now.requests):
        return math.inf
    moved_s = MAX_MOVED_SHARE * duration_s
    if now.rate > 0:
        moved_s = min(
            moved_s, MOVE_LAG_S + MOVED_EXPOSURE_SHARE * remaining / now.rate
        )
    return complete_s - max(moved_s, MIN_MOVED_SHARE * duration_s)


def compute_allowed_calls(
    limit: exposure.ExposureLimit, requests: float, rate: float, left_s: float
) -> int:
    """Returns the total number of calls that the new version may get.

    Args:
        limit: The operators' limit.
        requests: Number of requests to the service since the order.
        rate: Recent requests per second.
        left_s: Time until the deadline, in seconds.
    """
    expected = EXPECTED_REQUESTS_SHARE * rate * max(0.0, left_s)
    return exposure.count_allowed_requests(limit, requests + expected)


def compute_canary_calls(
    limit: exposure.ExposureLimit, requests: int, age_s: float, move_s: float
) -> int:
    """Returns the number of calls that the canary phase may have made so far.

    They are spread over the phase, since a version may become faulty late.

    Args:
        limit: The operators' limit.
        requests: Number of requests to the service since the order.
        age_s: Time since the order, in seconds.
        move_s: When the canary phase ends, in seconds after the order.
    """
    passed = min(1.0, max(0.0, age_s) / max(move_s, 1e-3))
    allowed = exposure.count_allowed_requests(
        dataclasses.replace(limit, fixed=limit.fixed * passed), requests
    )
    by_limit = exposure.CANARY_SHARE * allowed
    return max(
        1, round(min(by_limit, exposure.MAX_CANARY_TRAFFIC_SHARE * requests))
    )


def _decide_in_canary(now: RolloutState) -> PhaseChange | None:
    """Decides during the canary phase."""
    duration_s = now.order.duration_s
    if now.age_s >= duration_s - get_final_s(duration_s) / 2:
        reason = "its time ends, and its traffic could not be moved"
        return PhaseChange(rollout_types.Phase.ROLLED_BACK, reason)
    settled = now.phase_s >= min(MIN_CANARY_S, MIN_CANARY_SHARE * duration_s)
    if (
        not settled
        or now.age_s < get_move_s(now)
        or not _has_enough_searchers(now)
    ):
        return None
    return PhaseChange(
        rollout_types.Phase.MOVING, "the trial showed nothing worse"
    )


def _decide_in_moving(now: RolloutState) -> PhaseChange | None:
    """Decides while all traffic is on the new version."""
    duration_s = now.order.duration_s
    complete_s = get_complete_s(duration_s, now.rate, now.allowed)
    completed = rollout_types.Phase.COMPLETED
    proved = _is_proved(now)
    if now.age_s >= complete_s and now.all_moved and proved:
        return PhaseChange(
            completed, "all traffic has moved and nothing is worse"
        )
    if now.age_s >= duration_s - get_final_s(duration_s) / 2:
        if not proved or not _has_enough_searchers(now):
            reason = "its time ends, and the new version isn't proved"
            return PhaseChange(rollout_types.Phase.ROLLED_BACK, reason)
        if not now.all_moved:
            reason = "its time ends, and calls to the old version may run"
            return PhaseChange(rollout_types.Phase.ROLLED_BACK, reason)
        return PhaseChange(completed, "its time ends, and nothing is worse")
    if now.age_s < complete_s and now.used >= now.allowed:
        # After a return to the canary phase no exposure would be left to prove
        # the version later.
        if proved:
            reason = "all traffic has moved, and more may not be tried"
            return PhaseChange(completed, reason) if now.all_moved else None
        reason = "the new version has had the requests that it may get"
        return PhaseChange(rollout_types.Phase.TRIAL, reason)
    if not now.new_usable:
        reason = "no searcher of the new version is usable"
        return PhaseChange(rollout_types.Phase.TRIAL, reason)
    return None


def _is_proved(now: RolloutState) -> bool:
    """Returns True if enough answers show that the new version is not worse."""
    minimum = min(MIN_ANSWERS, MIN_ANSWER_SHARE * now.requests)
    enough = now.answers >= minimum
    return enough and now.verdict is version_evidence.Verdict.UNDECIDED


def _has_enough_searchers(now: RolloutState) -> bool:
    """Returns True if the new searchers can handle all requests."""
    minimum = max(1.0, MIN_SEARCHER_SHARE * now.old_usable)
    return now.new_usable >= minimum


@dataclasses.dataclass(slots=True, frozen=True)
class AllowedVersions:
    """The versions of a service's searchers that a VM may use.

    Attributes:
        target: The version in its canary phase; empty if there is none.
        barred: Versions that get no requests.
    """

    target: str
    barred: frozenset[str]

    def allows(self, version: str) -> bool:
        """Returns True if a version is neither the target nor barred."""
        return version != self.target and version not in self.barred


def determine_allowed_versions(
    order: rollout_types.Order | None,
    record: rollout_types.Record | None,
    present: Collection[str],
) -> AllowedVersions | None:
    """Determines which versions a VM may use.

    A VM that has received an order but no record of its progress sends no
    requests to the new version.

    Args:
        order: The newest order for the service, if there is one.
        record: The newest record, if there is one.
        present: The versions of the service's searchers at the order.

    Returns:
        The versions; None if all may be used.
    """
    if record is not None and (
        order is None or order.revision <= record.order.revision
    ):
        return _read_record(record)
    if order is None:
        return None
    barred = get_barred(record) - {order.target}
    if is_already_running(order, record, present):
        return AllowedVersions("", barred) if barred else None
    return AllowedVersions(order.target, barred)


def is_already_running(
    order: rollout_types.Order,
    before: rollout_types.Record | None,
    present: Collection[str],
) -> bool:
    """Returns True if a service already runs only the ordered version.

    Args:
        order: The order.
        before: The record of the previous roll-out, if there was one.
        present: The versions of the service's searchers at the order.
    """
    serving = set(present) - get_barred(before) | set(present) & {order.target}
    return serving == {order.target}


def get_barred(record: rollout_types.Record | None) -> frozenset[str]:
    """Returns the versions that get no requests after a roll-out.

    They include the new version of a roll-out that was replaced by a later
    order before it was proved.
    """
    if record is None:
        return frozenset()
    if record.phase is rollout_types.Phase.COMPLETED:
        return frozenset(record.barred) | frozenset(record.old)
    return frozenset(record.barred) | {record.order.target}


def _read_record(record: rollout_types.Record) -> AllowedVersions:
    """Returns the versions that may be used according to a record."""
    if record.has_ended():
        return AllowedVersions("", get_barred(record))
    return AllowedVersions(record.order.target, frozenset(record.barred))


def list_initial_versions(
    order: rollout_types.Order,
    before: rollout_types.Record | None,
    present: Collection[str],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the old and the barred versions at the start of a roll-out.

    Args:
        order: The order.
        before: The record of the previous roll-out, if there was one.
        present: The versions of the service's searchers at the order.
    """
    barred = get_barred(before) - {order.target}
    old = set(present) - barred - {order.target}
    return tuple(sorted(old)), tuple(sorted(barred))


def rank_drivers(
    members: Collection[catalog.Member], without: str
) -> tuple[str, ...]:
    """Ranks the VMs that may drive a roll-out, best first.

    VMs that know the same members compute the same ranking. Those with the most
    CPU cores come first, since many VMs report to the driver.

    Args:
        members: The known VMs.
        without: A VM to leave out; empty for none.
    """
    fit = [
        member
        for member in members
        if member.peer_address and not member.leaving and member.vm != without
    ]
    fit.sort(key=lambda member: (-member.cores, member.vm))
    return tuple(member.vm for member in fit)
