"""How often heartbeats go, and how long silence and leases last.

In a small cell the settings decide. In a large one every VM hears every
other, so the same rate would cost each VM processor time in proportion to
the cell; there the time between heartbeats grows with it instead, and the
times that count in heartbeats grow alike.
"""

from __future__ import annotations

import dataclasses
import math

BEATS_PER_S = 48.0
"""Most heartbeats that a VM sends in a second, all peers together."""

GROWTH = 1.25
"""By how much a VM list may have grown since a peer read it."""


@dataclasses.dataclass(slots=True, frozen=True)
class Pace:
    """The times of one cell.

    Attributes:
        interval_s: Between two heartbeats, in seconds.
        suspect_s: Silence after which a VM is suspect, in seconds.
        lease_s: Length of the lease asked for, in seconds.
        longest_lease_s: Longest lease that is granted, in seconds; also how
            long a restarted VM grants none.
    """

    interval_s: float
    suspect_s: float
    lease_s: float
    longest_lease_s: float


def compute_pace(
    vms: int, heartbeat_ms: int, suspect_ms: int, lease_ms: int
) -> Pace:
    """Computes the times for a cell.

    Args:
        vms: How many VMs are listed.
        heartbeat_ms: The setting.
        suspect_ms: The setting.
        lease_ms: The setting.
    """
    factor = _compute_factor(vms, heartbeat_ms)
    grown = _compute_factor(math.ceil(vms * GROWTH), heartbeat_ms)
    return Pace(
        interval_s=factor * heartbeat_ms / 1000,
        suspect_s=factor * suspect_ms / 1000,
        lease_s=factor * lease_ms / 1000,
        longest_lease_s=grown * lease_ms / 1000,
    )


def _compute_factor(vms: int, heartbeat_ms: int) -> float:
    """Computes by how much the settings' times are stretched."""
    return max(1.0, (vms - 1) / BEATS_PER_S / (heartbeat_ms / 1000))
