"""How far a roll-out goes, and which versions a VM may send requests to.

The pattern: a service's searchers are replaced by ones of a new version, which
may be bad from its start, later, under load, or on one route only, and the old
ones end at the moment in which the roll-out is said to be completed. The new
version gets a small part of the requests for most of the time (the trial).
Late in that time all traffic moves to it while the old searchers still wait,
so that a fault under load shows and can be undone. Only if that holds, and no
VM has a call at an old searcher any more, the roll-out is completed.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection

from azureramp import catalog, rollout_types
from azureramp.policy import exposure, version_evidence

LATEST_SHARE = 0.88
"""When a roll-out is completed, as a share of its time. The rest is for a slow
store, and for the news to get to the operators."""

FINAL_S = 1.0
"""Least time kept for the last write, in seconds, where there is as much."""

MOST_FINAL_SHARE = 0.25
"""Most of the time that is kept for that."""

LEAST_MOVED_SHARE = 0.1
MOST_MOVED_SHARE = 0.35
"""Share of the time that all traffic is on the new version before it is
completed, at least and at most."""

EXPECTED_PART = 0.5
"""Part of the requests that are to be expected until the deadline which counts
already for the exposure: callers may leave."""

MOVED_PART = 0.9
"""Part of the exposure left that the time with all traffic may use."""

MOVE_LAG_S = 0.5
"""Time until all VMs have moved, in seconds."""

LEAST_ANSWERS = 15
LEAST_ANSWER_SHARE = 0.05
"""Answers of the new version under all traffic without which it isn't proved:
so many, or that share of all requests to a service that has few."""

SETTLE_S = 0.5
SETTLE_SHARE = 0.05
"""Least time on trial before all traffic moves, in seconds and as a share of
all its time: a new driver hears first what the VMs know."""

LEAST_SEARCHERS = 0.5
"""Searchers of the new version that must be usable before all traffic moves, as
a share of the old ones: they have to bear it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Situation:
    """What is known of a roll-out when the next step is decided.

    Attributes:
        order: The order.
        phase: How far it is.
        age_s: How long ago it was ordered, in seconds.
        phase_s: How long ago this phase began, in seconds.
        withdrawn: True once the operators took the order back.
        verdict: What the answers of the new version show.
        answers: How many of these there are since the phase began.
        requests: Requests to the service since the order.
        used: Calls that may have been made to the new version.
        allowed: Calls that it may get so far.
        rate: Requests a second to the service.
        new_usable: Searchers of the new version that may get requests.
        old_usable: The same of the old versions.
        all_moved: True if every VM has confirmed that none of its calls is at
            an old searcher.
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
class Step:
    """A change of phase.

    Attributes:
        phase: The new phase.
        reason: Why.
    """

    phase: rollout_types.Phase
    reason: str


def decide(now: Situation) -> Step | None:
    """Decides on the next step; None to go on."""
    rolled_back = rollout_types.Phase.ROLLED_BACK
    if now.verdict is version_evidence.Verdict.WORSE:
        return Step(rolled_back, "the new version answers worse")
    if now.withdrawn:
        return Step(rolled_back, "the order was taken back")
    match now.phase:
        case rollout_types.Phase.TRIAL:
            return _decide_in_trial(now)
        case rollout_types.Phase.MOVING:
            return _decide_while_moving(now)
        case _:
            return None


def get_final_s(duration_s: float) -> float:
    """Returns the time that is kept for the last write, in seconds."""
    return min(FINAL_S, MOST_FINAL_SHARE * duration_s)


def get_complete_s(duration_s: float, rate: float, allowed: int) -> float:
    """Returns when to complete a roll-out, in seconds after its order.

    As late as is safe: a version may turn bad late. What it gets from then to
    the deadline still counts, so a busy service is completed later.

    Args:
        duration_s: The roll-out's time, in seconds.
        rate: Requests a second to the service.
        allowed: Calls that the new version may get.
    """
    left_s = (1.0 - LATEST_SHARE) * duration_s
    if rate > 0:
        left_s = min(left_s, allowed / 2 / rate)
    return duration_s - max(get_final_s(duration_s), left_s)


def get_move_s(now: Situation) -> float:
    """Returns when all traffic is to move, in seconds after the order.

    Returns:
        The time; infinite if the new version has had so many requests that it
        can't be proved any more.
    """
    duration_s = now.order.duration_s
    complete_s = get_complete_s(duration_s, now.rate, now.allowed)
    left = now.allowed - now.used
    if left < min(LEAST_ANSWERS, LEAST_ANSWER_SHARE * now.requests):
        return math.inf
    moved_s = MOST_MOVED_SHARE * duration_s
    if now.rate > 0:
        moved_s = min(moved_s, MOVE_LAG_S + MOVED_PART * left / now.rate)
    return complete_s - max(moved_s, LEAST_MOVED_SHARE * duration_s)


def count_allowed(
    terms: exposure.Terms, requests: float, rate: float, left_s: float
) -> int:
    """Counts the calls that the new version may get in all.

    Args:
        terms: The operators' bound.
        requests: Requests to the service since the order.
        rate: Requests a second, of late.
        left_s: Time until the deadline, in seconds.
    """
    expected = EXPECTED_PART * rate * max(0.0, left_s)
    return exposure.count_allowed(terms, requests + expected)


def count_trial_calls(
    terms: exposure.Terms, requests: int, age_s: float, move_s: float
) -> int:
    """Counts the calls that the trial may have made so far.

    They are spread over its time, since a version may turn bad late.

    Args:
        terms: The operators' bound.
        requests: Requests to the service since the order.
        age_s: How long ago it was ordered, in seconds.
        move_s: When the trial ends, in seconds after the order.
    """
    passed = min(1.0, max(0.0, age_s) / max(move_s, 1e-3))
    allowed = exposure.count_allowed(
        dataclasses.replace(terms, fixed=terms.fixed * passed), requests
    )
    by_bound = exposure.TRIAL_PART * allowed
    return max(1, round(min(by_bound, exposure.MOST_TRIAL_SHARE * requests)))


def _decide_in_trial(now: Situation) -> Step | None:
    """Decides while the new version gets few requests."""
    duration_s = now.order.duration_s
    if now.age_s >= duration_s - get_final_s(duration_s) / 2:
        reason = "its time ends, and its traffic could not be moved"
        return Step(rollout_types.Phase.ROLLED_BACK, reason)
    settled = now.phase_s >= min(SETTLE_S, SETTLE_SHARE * duration_s)
    if not settled or now.age_s < get_move_s(now) or not _can_bear_all(now):
        return None
    return Step(rollout_types.Phase.MOVING, "the trial showed nothing worse")


def _decide_while_moving(now: Situation) -> Step | None:
    """Decides while all traffic goes to the new version."""
    duration_s = now.order.duration_s
    complete_s = get_complete_s(duration_s, now.rate, now.allowed)
    completed = rollout_types.Phase.COMPLETED
    proved = _is_proved(now)
    if now.age_s >= complete_s and now.all_moved and proved:
        return Step(completed, "all traffic has moved and nothing is worse")
    if now.age_s >= duration_s - get_final_s(duration_s) / 2:
        if not proved or not _can_bear_all(now):
            reason = "its time ends, and the new version isn't proved"
            return Step(rollout_types.Phase.ROLLED_BACK, reason)
        return Step(completed, "its time ends, and nothing is worse")
    if now.age_s < complete_s and now.used >= now.allowed:
        # Going back would leave nothing to prove it with later.
        if proved:
            reason = "all traffic has moved, and more may not be tried"
            return Step(completed, reason) if now.all_moved else None
        reason = "the new version has had the requests that it may get"
        return Step(rollout_types.Phase.TRIAL, reason)
    if not now.new_usable:
        reason = "no searcher of the new version is usable"
        return Step(rollout_types.Phase.TRIAL, reason)
    return None


def _is_proved(now: Situation) -> bool:
    """Tells whether enough answers speak for the new version."""
    least = min(LEAST_ANSWERS, LEAST_ANSWER_SHARE * now.requests)
    enough = now.answers >= least
    return enough and now.verdict is version_evidence.Verdict.OPEN


def _can_bear_all(now: Situation) -> bool:
    """Tells whether the new searchers are enough for all requests."""
    least = max(1.0, LEAST_SEARCHERS * now.old_usable)
    return now.new_usable >= least


@dataclasses.dataclass(slots=True, frozen=True)
class Versions:
    """Which versions of a service's searchers a VM may use.

    Attributes:
        target: The version on trial; empty for none.
        barred: Versions that get nothing.
    """

    target: str
    barred: frozenset[str]

    def allows_old(self, version: str) -> bool:
        """Tells whether a version serves as before."""
        return version != self.target and version not in self.barred


def find_versions(
    order: rollout_types.Order | None,
    record: rollout_types.Record | None,
    present: Collection[str],
) -> Versions | None:
    """Finds which versions a VM may use.

    A VM that knows an order and nothing of its progress sends nothing to the
    new version.

    Args:
        order: The newest order for the service, if there is one.
        record: The newest record, if there is one.
        present: The versions of the service's searchers at the order.

    Returns:
        The versions; None if any may be used.
    """
    if record is not None and (
        order is None or order.revision <= record.order.revision
    ):
        return _read_record(record)
    if order is None:
        return None
    barred = get_barred(record) - {order.target}
    if is_present(order, record, present):
        return Versions("", barred) if barred else None
    return Versions(order.target, barred)


def is_present(
    order: rollout_types.Order,
    before: rollout_types.Record | None,
    present: Collection[str],
) -> bool:
    """Tells whether a service runs the version of an order already.

    Args:
        order: The order.
        before: The record of the roll-out before, if there was one.
        present: The versions of the service's searchers at the order.
    """
    serving = set(present) - get_barred(before) | set(present) & {order.target}
    return serving == {order.target}


def get_barred(record: rollout_types.Record | None) -> frozenset[str]:
    """Returns the versions that get nothing after a roll-out.

    Those of one that a later order replaces are among them: its new version
    was not proved.
    """
    if record is None:
        return frozenset()
    if record.phase is rollout_types.Phase.COMPLETED:
        return frozenset(record.barred) | frozenset(record.old)
    return frozenset(record.barred) | {record.order.target}


def _read_record(record: rollout_types.Record) -> Versions:
    """Returns which versions may be used by a record."""
    if record.has_ended():
        return Versions("", get_barred(record))
    return Versions(record.order.target, frozenset(record.barred))


def start(
    order: rollout_types.Order,
    before: rollout_types.Record | None,
    present: Collection[str],
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Returns the old and the barred versions at the start of a roll-out.

    Args:
        order: The order.
        before: The record of the roll-out before, if there was one.
        present: The versions of the service's searchers at the order.
    """
    barred = get_barred(before) - {order.target}
    old = set(present) - barred - {order.target}
    return tuple(sorted(old)), tuple(sorted(barred))


def rank_drivers(
    members: Collection[catalog.Member], without: str
) -> tuple[str, ...]:
    """Ranks the VMs that may drive a roll-out, best first.

    All VMs rank alike while they know the same members. Those with most
    processor go first, since many VMs report to the driver.

    Args:
        members: The VMs that are known.
        without: A VM that is passed over; empty for none.
    """
    fit = [
        member
        for member in members
        if member.peer_address and not member.leaving and member.vm != without
    ]
    fit.sort(key=lambda member: (-member.cores, member.vm))
    return tuple(member.vm for member in fit)
