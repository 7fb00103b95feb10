"""Who is live: heartbeats first, agreed with those who are heard."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping


class Standing(enum.Enum):
    """What this VM thinks of another one."""

    LISTED = "listed"
    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True, frozen=True)
class Sighting:
    """What is known of another VM.

    Attributes:
        heard_s: When it was last heard; minus infinity if never.
        leaving: True if it said that it shuts down.
        suspects: The VMs that it said not to hear.
        may_own_until_s: Until when its lease may last, by what this VM has
            promised.
    """

    heard_s: float
    leaving: bool = False
    suspects: frozenset[str] = frozenset()
    may_own_until_s: float = -math.inf


def judge(
    sightings: Mapping[str, Sighting], now_s: float, suspect_s: float
) -> dict[str, Standing]:
    """Judges every other VM.

    A VM that this one does not hear may be well: the link may be half-open,
    or this VM cut off. So silence makes it suspect only; it is taken for gone
    once a majority of those that are heard, this VM included, miss it too. A
    VM that hears nobody is its own majority: it goes on alone, without a
    lease.

    Args:
        sightings: What is known of the others, by name.
        now_s: The time.
        suspect_s: Silence after which a VM is suspect, in seconds.

    Returns:
        The standing of each.
    """
    heard = {
        name
        for name, sighting in sightings.items()
        if now_s - sighting.heard_s <= suspect_s
    }
    majority = (len(heard) + 1) // 2 + 1
    standings: dict[str, Standing] = {}
    for name, sighting in sightings.items():
        if name in heard:
            leaving = sighting.leaving
            standings[name] = Standing.LEAVING if leaving else Standing.LIVE
        elif sighting.heard_s == -math.inf:
            standings[name] = Standing.LISTED
        else:
            missing = 1 + sum(
                name in sightings[other].suspects for other in heard
            )
            gone = sighting.leaving or missing >= majority
            standings[name] = Standing.GONE if gone else Standing.SUSPECT
    return standings


def may_own(standing: Standing, sighting: Sighting, now_s: float) -> bool:
    """Tells whether a VM is to be taken for an owner.

    One that is gone stays an owner until its lease must have run out: until
    then nobody else may start on its searchers.
    """
    match standing:
        case Standing.LIVE | Standing.SUSPECT:
            return True
        case Standing.GONE:
            return not sighting.leaving and now_s < sighting.may_own_until_s
        case Standing.LISTED | Standing.LEAVING:
            return False


def compute_pause(expected_s: float, now_s: float, interval_s: float) -> float:
    """Computes how long this process itself stood still, in seconds.

    A paused process wakes with everybody's last heartbeat in the distant
    past, before it has read what waits in its sockets. It sees its own pause
    by its timer, which is late too; the pause does not count as silence.

    Args:
        expected_s: When the timer should have fired.
        now_s: When it did.
        interval_s: The timer's interval; lateness below it is ordinary.
    """
    late_s = now_s - expected_s
    return late_s if late_s > interval_s else 0.0


def needs_new_link(
    acknowledged_s: float, opened_s: float, now_s: float, limit_s: float
) -> bool:
    """Tells whether a link to a VM should be given up for a new one.

    A half-open link takes everything and delivers nothing: something between
    the two ends has lost track of it, and no error ever comes. It shows by
    heartbeats that nobody acknowledges. The VM may also be gone; then a new
    link costs one attempt to connect.

    Args:
        acknowledged_s: When the newest heartbeat that the other VM
            acknowledged was sent.
        opened_s: When the link was opened.
        now_s: The time.
        limit_s: How long heartbeats may go unacknowledged, in seconds.
    """
    return now_s - max(acknowledged_s, opened_s) > limit_s
