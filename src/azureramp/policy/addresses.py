"""In which order a caller should use the entry VMs."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

import xxhash


@dataclasses.dataclass(slots=True, frozen=True)
class Entry:
    """An entry VM, as far as addresses matter.

    Attributes:
        name: The VM's name.
        zone: Its availability zone.
        ready: True if it serves callers.
        live: True if it is heard.
        leaving: True once it or the platform said that it goes.
    """

    name: str
    zone: str
    ready: bool
    live: bool
    leaving: bool


def choose_eligible(
    entries: Iterable[Entry], zones_out: Collection[str]
) -> tuple[str, ...]:
    """Chooses the VMs that may be advertised.

    Args:
        entries: The VMs.
        zones_out: The availability zones out of service.

    Returns:
        Their names, ascending.
    """
    return tuple(
        sorted(
            entry.name
            for entry in entries
            if entry.ready
            and entry.live
            and not entry.leaving
            and entry.zone not in zones_out
        )
    )


def order(
    caller: str, weights: Mapping[str, float], vms: Sequence[str]
) -> tuple[str, ...]:
    """Orders the VMs for one caller, best first.

    Args:
        caller: The caller's name.
        weights: The declared weight of each caller, by name.
        vms: The names of the eligible VMs.
    """
    return tuple(
        sorted(
            vms,
            key=lambda vm: xxhash.xxh3_64_intdigest(f"{caller}\0{vm}".encode()),
            reverse=True,
        )
    )
