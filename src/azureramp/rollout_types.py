"""Orders of roll-outs, and what the VM that drives one keeps of it."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """Operators want a service's traffic moved to searchers of a version.

    Attributes:
        service: The service's name.
        target: The version of the searchers' software to move to.
        duration_s: The time within which it must have ended, in seconds.
        revision: The store's revision that wrote the order; a later order for
            the same service has a higher one.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class Phase(enum.Enum):
    """How far a roll-out is."""

    TRIAL = "trial"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """What the VM that drives a roll-out keeps of it in the store.

    Attributes:
        order: The order that it carries out.
        phase: How far it is.
        old: The versions that serve until it is completed.
        barred: The versions that get no requests, whatever its end.
        driver: The process that drives it.
        driver_address: Where other VMs reach that process, `IP:port`.
        age_s: How long after the order this was written, in seconds.
        written_ms: When it was written by the writer's time of day, in
            milliseconds since 1970.
        requests: Requests to the service since the order, as far as counted.
        reserved: Calls to the new version that VMs may have made, at most.
        usual: How long the old version's calls usually last, by route, in
            seconds.
        reason: Why it came to this phase.
    """

    order: Order
    phase: Phase
    old: tuple[str, ...]
    barred: tuple[str, ...]
    driver: str
    driver_address: str
    age_s: float
    written_ms: int
    requests: int
    reserved: int
    usual: Mapping[str, float]
    reason: str

    def has_ended(self) -> bool:
        """Tells whether it is completed or rolled back."""
        return self.phase in ENDED_PHASES


ENDED_PHASES = frozenset((Phase.COMPLETED, Phase.ROLLED_BACK))
