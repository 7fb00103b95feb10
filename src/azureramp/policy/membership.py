"""Failure detection by heartbeats, confirmed by a majority of reachable VMs."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping


class AssessedState(enum.Enum):
    """The state of another VM as this VM assesses it."""

    LISTED = "listed"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """The observations of another VM.

    Attributes:
        last_heartbeat_s: When its last heartbeat arrived, in seconds; minus
            infinity if none did.
        leaving: True if it announced its shutdown.
        suspects: The VMs from which it reports no heartbeats.
        may_own_until_s: Until when its lease may stay valid, according to the
            grants of this VM, in seconds.
    """

    last_heartbeat_s: float
    leaving: bool = False
    suspects: frozenset[str] = frozenset()
    may_own_until_s: float = -math.inf


def classify_members(
    observations: Mapping[str, Observation], now_s: float, suspect_s: float
) -> dict[str, AssessedState]:
    """Determines the state of every other VM.

    A VM whose heartbeats don't arrive may be healthy: the link may be
    half-open, or this VM isolated. So missing heartbeats only make it suspect;
    it is treated as gone once a majority of the reachable VMs, this VM
    included, miss its heartbeats too. A VM that receives no heartbeats at all
    is its own majority: it continues alone, without a lease.

    Args:
        observations: The observations of the other VMs, by name.
        now_s: The current time, in seconds.
        suspect_s: Time without heartbeats after which a VM is suspect, in
            seconds.

    Returns:
        The state of each VM, by name.
    """
    reachable = {
        name
        for name, observation in observations.items()
        if now_s - observation.last_heartbeat_s <= suspect_s
    }
    majority = (len(reachable) + 1) // 2 + 1
    states: dict[str, AssessedState] = {}
    for name, observation in observations.items():
        if name in reachable:
            leaving = observation.leaving
            states[name] = (
                AssessedState.LEAVING if leaving else AssessedState.LIVE
            )
        elif observation.last_heartbeat_s == -math.inf:
            states[name] = AssessedState.LISTED
        else:
            missing = 1 + sum(
                name in observations[other].suspects for other in reachable
            )
            gone = observation.leaving or missing >= majority
            states[name] = AssessedState.GONE if gone else AssessedState.SUSPECT
    return states


def is_possible_owner(
    state: AssessedState, observation: Observation, now_s: float
) -> bool:
    """Returns True if a VM must be treated as an owner.

    A VM that is gone stays an owner until its lease must have expired: until
    then no other VM may start to use its searchers.
    """
    match state:
        case AssessedState.LIVE | AssessedState.SUSPECT:
            return True
        case AssessedState.GONE:
            return (
                not observation.leaving and now_s < observation.may_own_until_s
            )
        case AssessedState.LISTED | AssessedState.LEAVING:
            return False


def compute_pause_s(
    expected_s: float, now_s: float, interval_s: float
) -> float:
    """Computes how long this process was paused, in seconds.

    When a paused process resumes, all last heartbeats are long ago, because it
    has not yet read those waiting in its sockets. It detects the pause by its
    own late timer; the pause does not count as time without heartbeats.

    Args:
        expected_s: When the timer should have fired, in seconds.
        now_s: When it fired, in seconds.
        interval_s: The timer's interval, in seconds; a delay below it is
            normal.
    """
    late_s = now_s - expected_s
    return late_s if late_s > interval_s else 0.0


def needs_new_link(
    acknowledged_s: float, opened_s: float, now_s: float, limit_s: float
) -> bool:
    """Returns True if a link to a VM should be replaced by a new one.

    A half-open link accepts all data and delivers none: a device between the
    two ends has lost its state, and no error is ever reported. It is detected
    by heartbeats that are not acknowledged. The VM may also be gone; then the
    new link costs one connection attempt.

    Args:
        acknowledged_s: When the newest heartbeat that the other VM
            acknowledged was sent, in seconds.
        opened_s: When the link was opened, in seconds.
        now_s: The current time, in seconds.
        limit_s: How long heartbeats may stay unacknowledged, in seconds.
    """
    return now_s - max(acknowledged_s, opened_s) > limit_s
