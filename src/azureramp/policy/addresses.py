"""The order in which a caller should use the entry VMs."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

from azureramp.policy import ownership

MAX_LOAD_DEVIATION = 0.0875
"""Maximum deviation of a VM's weight from the even share, as a fraction."""


@dataclasses.dataclass(slots=True, frozen=True)
class EntryVm:
    """An entry VM that may be advertised to callers.

    Attributes:
        name: The VM's name.
        zone: Its availability zone.
        ready: True if it serves callers.
        live: True if its heartbeats arrive.
        leaving: True once the VM or the platform has announced its shutdown.
    """

    name: str
    zone: str
    ready: bool
    live: bool
    leaving: bool


def choose_eligible(
    entries: Iterable[EntryVm], zones_out: Collection[str]
) -> tuple[str, ...]:
    """Selects the VMs that may be advertised.

    Args:
        entries: The VMs.
        zones_out: The availability zones out of service.

    Returns:
        The names of the eligible VMs, in ascending order.
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


def assign_callers(
    weights: Mapping[str, float], vms: Sequence[str]
) -> dict[str, str]:
    """Assigns each caller to the VM that it should use first.

    Rendezvous hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam,
    2016): a caller is assigned to the first VM of its own ranking that has
    capacity left, heavy callers before light ones. Every VM computes the same
    result from the same configuration and the same eligible VMs.

    Args:
        weights: The declared weight of each caller, by name.
        vms: The names of the eligible VMs; at least one.

    Returns:
        The VM of each caller. No VM's load differs from the even share by more
        than `MAX_LOAD_DEVIATION`, unless a single caller weighs more than that.
    """
    capacity = compute_capacity(weights, len(vms))
    loads = dict.fromkeys(vms, 0.0)
    assigned: dict[str, str] = {}
    for caller in sorted(weights, key=lambda name: (-weights[name], name)):
        weight = weights[caller]
        vm = next(
            (
                vm
                for vm in rank_vms(caller, vms)
                if loads[vm] + weight <= capacity
            ),
            None,
        )
        if vm is None:
            vm = min(vms, key=lambda name: (loads[name], name))
        loads[vm] += weight
        assigned[caller] = vm
    return assigned


def compute_capacity(weights: Mapping[str, float], vms: int) -> float:
    """Computes the maximum weight that may be assigned to a VM.

    The surplus of all other VMs together can be missing on one VM, so the
    allowed surplus of each is divided by the number of the others.
    """
    share = sum(weights.values()) / vms
    return share * (1.0 + MAX_LOAD_DEVIATION / max(1, vms - 1))


def rank_vms(caller: str, vms: Iterable[str]) -> list[str]:
    """Ranks the VMs for a caller by rendezvous weight, highest first."""
    return sorted(
        vms,
        key=lambda vm: (ownership.compute_weight(caller, vm), vm),
        reverse=True,
    )


def order_vms(
    caller: str, weights: Mapping[str, float], vms: Sequence[str]
) -> tuple[str, ...]:
    """Orders the VMs for one caller, the preferred one first.

    Assigns all callers on each call; use an `OrderCache` for repeated calls.

    Args:
        caller: The caller's name.
        weights: The declared weight of each caller, by name.
        vms: The names of the eligible VMs.
    """
    return OrderCache().get(caller, weights, vms)


class OrderCache:
    """Caches the assignment of the current callers to the current VMs."""

    __slots__ = ("_assigned", "_vms", "_weights")

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._weights: Mapping[str, float] = {}
        self._vms: tuple[str, ...] = ()
        self._assigned: dict[str, str] = {}

    def get(
        self, caller: str, weights: Mapping[str, float], vms: Sequence[str]
    ) -> tuple[str, ...]:
        """Returns the order of the VMs for one caller; see `order_vms`."""
        if not vms:
            return ()
        if self._vms != tuple(vms) or self._weights != weights:
            self._vms = tuple(vms)
            self._weights = dict(weights)
            self._assigned = assign_callers(weights, vms)
        ranked = rank_vms(caller, vms)
        first = self._assigned.get(caller, ranked[0])
        return (first, *(vm for vm in ranked if vm != first))
