"""Assigns searchers to owners by rendezvous hashing among a zone's live VMs.

All VMs compute the same owners from the same view without communication, and
the loss of a VM only moves that VM's searchers (Thaler and Ravishankar, 1996).
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping

import xxhash


@dataclasses.dataclass(slots=True, frozen=True)
class OwnerCandidate:
    """A VM that may own searchers.

    Attributes:
        name: The VM's name.
        zone: Its availability zone.
    """

    name: str
    zone: str


def compute_weight(searcher: str, vm: str) -> int:
    """Computes the rendezvous weight of a VM for a searcher."""
    return xxhash.xxh3_64_intdigest(f"{searcher}\0{vm}".encode())


def choose_owner(searcher: str, vms: Iterable[str]) -> str | None:
    """Chooses the VM with the highest weight; None if there is no VM."""
    return max(
        vms, key=lambda vm: (compute_weight(searcher, vm), vm), default=None
    )


def choose_owners(
    searchers: Mapping[str, str],
    candidates: Iterable[OwnerCandidate],
    zones_out: frozenset[str],
) -> dict[str, str]:
    """Chooses the owner of each searcher.

    Args:
        searchers: The zone of each searcher, by the searcher's name.
        candidates: The VMs that are live and not leaving.
        zones_out: The availability zones out of service; their searchers and
            VMs get no work.

    Returns:
        The owner's name for each searcher that has one.
    """
    by_zone: dict[str, list[str]] = {}
    for candidate in candidates:
        if candidate.zone not in zones_out:
            by_zone.setdefault(candidate.zone, []).append(candidate.name)
    everywhere = [name for names in by_zone.values() for name in names]
    owners: dict[str, str] = {}
    for searcher, zone in searchers.items():
        if zone in zones_out:
            continue
        owner = choose_owner(searcher, by_zone.get(zone) or everywhere)
        if owner is not None:
            owners[searcher] = owner
    return owners
