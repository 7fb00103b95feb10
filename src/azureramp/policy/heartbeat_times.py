"""Computes the heartbeat interval, the suspect timeout and the lease lengths.

In a small cell the settings apply unchanged. Since every VM sends heartbeats to
every other, a fixed rate would cost each VM CPU time in proportion to the size
of the cell. In a large cell the heartbeat interval grows with that size
instead, and the timeouts and lease lengths grow by the same factor.
"""

from __future__ import annotations

import dataclasses
import math

MAX_HEARTBEATS_PER_S = 48.0
"""Maximum number of heartbeats that a VM sends to all peers per second."""

MAX_LIST_GROWTH = 1.25
"""Factor by which a VM list may have grown since a peer read it."""


@dataclasses.dataclass(slots=True, frozen=True)
class HeartbeatTimes:
    """The intervals and timeouts of one cell.

    Attributes:
        heartbeat_interval_s: Time between two heartbeats, in seconds.
        suspect_s: Time without heartbeats after which a VM is suspect, in
            seconds.
        lease_s: Length of the requested lease, in seconds.
        longest_lease_s: Longest lease that is granted, in seconds; also how
            long a restarted VM grants none.
    """

    heartbeat_interval_s: float
    suspect_s: float
    lease_s: float
    longest_lease_s: float


def compute_heartbeat_times(
    vms: int, heartbeat_ms: int, suspect_ms: int, lease_ms: int
) -> HeartbeatTimes:
    """Computes the intervals and timeouts of a cell.

    Args:
        vms: The number of listed VMs.
        heartbeat_ms: The setting `heartbeat_ms`, in milliseconds.
        suspect_ms: The setting `suspect_ms`, in milliseconds.
        lease_ms: The setting `lease_ms`, in milliseconds.
    """
    factor = _compute_factor(vms, heartbeat_ms)
    grown_factor = _compute_factor(
        math.ceil(vms * MAX_LIST_GROWTH), heartbeat_ms
    )
    return HeartbeatTimes(
        heartbeat_interval_s=factor * heartbeat_ms / 1000,
        suspect_s=factor * suspect_ms / 1000,
        lease_s=factor * lease_ms / 1000,
        longest_lease_s=grown_factor * lease_ms / 1000,
    )


def _compute_factor(vms: int, heartbeat_ms: int) -> float:
    """Computes the factor by which the settings are multiplied."""
    return max(1.0, (vms - 1) / MAX_HEARTBEATS_PER_S / (heartbeat_ms / 1000))
