"""Which VMs hold the configuration watch and ask for confirmation.

Each waiting watch is a call that the platform counts, so only a few VMs of
a cell hold one. They are chosen by rendezvous hash among the live VMs, so
that all agree without a word and a lost one is replaced at once.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

IDLE_S = 5.0
"""Time between confirmations while a majority is in contact, in seconds."""

NEEDED_S = 0.5
"""The same while only the platform's confirmation lets a VM go on."""


def compute_rank(own: str, live: Iterable[str]) -> int:
    """Computes a VM's place in the order by which watchers are chosen."""
    weight = _compute_weight(own)
    return sum(
        (_compute_weight(vm), vm) > (weight, own) for vm in live if vm != own
    )


def is_watcher(
    rank: int, live: int, watchers: int, age_s: float, interval_s: float
) -> bool:
    """Tells whether a VM watches the store now.

    The first ones always do. If no confirmation comes from them, the store
    may be cut off from just these, so the others take turns, never more than
    `watchers` at once: when an outage ends, no crowd comes back.

    Args:
        rank: The VM's rank.
        live: How many live VMs there are, this one included.
        watchers: How many VMs should watch.
        age_s: Age of the newest confirmation that is known, in seconds.
        interval_s: Time between confirmations, in seconds.
    """
    if rank < watchers:
        return True
    turns = -(-live // watchers)
    turn = min(age_s // (2 * interval_s), 1e9)
    return turn > 0 and int(turn) % turns == rank // watchers


def _compute_weight(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"watch\0{vm}".encode())
