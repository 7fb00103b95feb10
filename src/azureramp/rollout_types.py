"""Roll-out orders, and the record that the driver keeps of a roll-out."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """An order by the operators to move a service's traffic to another version.

    The attributes are the keys of its encoding in the store.

    Attributes:
        service: The service's name.
        target: The version of the searchers' software to move to.
        duration_s: The time within which the roll-out must end, in seconds.
        revision: The store revision at which the order was written; a later
            order for the same service has a higher one.
    """

    service: str
    target: str
    duration_s: float
    revision: int


class Phase(enum.Enum):
    """The phase of a roll-out."""

    TRIAL = "trial"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(slots=True, frozen=True)
class Record:
    """The state of a roll-out that its driver keeps in the store.

    The attributes are the keys of its encoding in the store.

    Attributes:
        order: The order that the roll-out carries out.
        phase: The phase of the roll-out.
        old: The versions that serve requests until it is completed.
        barred: The versions that get no requests, regardless of the outcome.
        driver: The process that drives the roll-out.
        driver_address: The `IP:port` at which other VMs reach that process.
        age_s: Time from the order until this was written, in seconds.
        written_ms: When it was written by the writer's clock, in milliseconds
            since 1970.
        requests: Number of requests to the service counted since the order.
        reserved: Upper bound of the calls that VMs may have sent to the new
            version.
        usual: The usual duration of the old version's calls by route, in
            seconds.
        reason: Why the roll-out entered this phase.
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
        """Returns True if the roll-out is completed or rolled back."""
        return self.phase in ENDED_PHASES


ENDED_PHASES = frozenset((Phase.COMPLETED, Phase.ROLLED_BACK))
