"""In which order a caller should use the entry VMs."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

from azureramp.policy import ownership

SPREAD = 0.0875
"""Most that a VM's weight may differ from the even share, as a part of it."""


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


def place(weights: Mapping[str, float], vms: Sequence[str]) -> dict[str, str]:
    """Places each caller on the VM that it should use first.

    Rendezvous hash with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
    2016): a caller gets the first VM of its own order that still has room,
    the heavy callers before the light ones. Every VM computes the same from
    the same configuration and the same eligible VMs.

    Args:
        weights: The declared weight of each caller, by name.
        vms: The names of the eligible VMs; at least one.

    Returns:
        A VM for each caller. No VM has more than `SPREAD` above or below the
        even share, unless one caller alone weighs more than that.
    """
    room = compute_room(weights, len(vms))
    loads = dict.fromkeys(vms, 0.0)
    placed: dict[str, str] = {}
    for caller in sorted(weights, key=lambda name: (-weights[name], name)):
        weight = weights[caller]
        vm = next(
            (vm for vm in rank(caller, vms) if loads[vm] + weight <= room),
            None,
        )
        if vm is None:
            vm = min(vms, key=lambda name: (loads[name], name))
        loads[vm] += weight
        placed[caller] = vm
    return placed


def compute_room(weights: Mapping[str, float], vms: int) -> float:
    """Computes the most weight that a VM may get.

    The others' surplus is what one VM can lack, so the bound above the even
    share shrinks with the number of VMs.
    """
    share = sum(weights.values()) / vms
    return share * (1.0 + SPREAD / max(1, vms - 1))


def rank(caller: str, vms: Iterable[str]) -> list[str]:
    """Ranks the VMs for a caller by rendezvous hash, best first."""
    return sorted(
        vms,
        key=lambda vm: (ownership.compute_weight(caller, vm), vm),
        reverse=True,
    )


def order(
    caller: str, weights: Mapping[str, float], vms: Sequence[str]
) -> tuple[str, ...]:
    """Orders the VMs for one caller, best first.

    Places all callers each time; where many ask, keep an `Orders`.

    Args:
        caller: The caller's name.
        weights: The declared weight of each caller, by name.
        vms: The names of the eligible VMs.
    """
    return Orders().get(caller, weights, vms)


class Orders:
    """The orders for the present callers and VMs, computed once."""

    __slots__ = ("_placed", "_vms", "_weights")

    def __init__(self) -> None:
        """Makes one that has computed nothing."""
        self._weights: Mapping[str, float] = {}
        self._vms: tuple[str, ...] = ()
        self._placed: dict[str, str] = {}

    def get(
        self, caller: str, weights: Mapping[str, float], vms: Sequence[str]
    ) -> tuple[str, ...]:
        """Returns the order for one caller; see `order`."""
        if not vms:
            return ()
        if self._vms != tuple(vms) or self._weights != weights:
            self._vms = tuple(vms)
            self._weights = dict(weights)
            self._placed = place(weights, vms)
        ranked = rank(caller, vms)
        first = self._placed.get(caller, ranked[0])
        return (first, *(vm for vm in ranked if vm != first))
