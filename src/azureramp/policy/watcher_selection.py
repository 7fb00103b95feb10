"""Choice of the VMs that watch the configuration and request confirmations.

Each open watch is a call that counts toward the platform's limits, so only a
few VMs of a cell have one. They are chosen by rendezvous hashing among the live
VMs, so that all VMs agree without messages and a lost watcher is replaced
immediately.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

IDLE_CONFIRMATION_S = 5.0
"""Interval between confirmations while a majority is in contact, in seconds."""

URGENT_CONFIRMATION_S = 0.5
"""The same while a VM can continue only with the platform's confirmation."""


def compute_rank(own: str, live: Iterable[str]) -> int:
    """Computes a VM's rank in the order in which watchers are chosen.

    Args:
        own: The VM's name.
        live: The names of the live VMs.

    Returns:
        The rank, from 0.
    """
    weight = _compute_weight(own)
    return sum(
        (_compute_weight(vm), vm) > (weight, own) for vm in live if vm != own
    )


def should_watch(
    rank: int, live: int, watchers: int, age_s: float, interval_s: float
) -> bool:
    """Returns True if a VM should watch the store now.

    The VMs with the first ranks always do. If they deliver no confirmation,
    possibly only they are unable to reach the store, so the other VMs take
    turns. No more than `watchers` of them watch at the same time, so that the
    store is not overloaded when an outage ends.

    Args:
        rank: The VM's rank.
        live: Number of live VMs, including this one.
        watchers: Number of VMs that should watch.
        age_s: Age of the latest known confirmation, in seconds.
        interval_s: Interval between confirmations, in seconds.
    """
    if rank < watchers:
        return True
    turns = -(-live // watchers)
    turn = min(age_s // (2 * interval_s), 1e9)
    return turn > 0 and int(turn) % turns == rank // watchers


def _compute_weight(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"watch\0{vm}".encode())
