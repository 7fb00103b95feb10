"""What is measured: sizes, loads, events and the variants to compare."""

from __future__ import annotations

import dataclasses
import enum

from azureramp_standins import layout as layouts


class Variant(enum.Enum):
    """This design, or a baseline that lacks one part of it."""

    DESIGN = "design"
    DIRECT = "direct"
    NO_HEDGE = "no_hedge"
    NO_ADMISSION = "no_admission"


class Incident(enum.Enum):
    """What happens in the middle of the run."""

    NONE = "none"
    ZONE_CYCLE = "zone_cycle"
    COLD_ZONE = "cold_zone"


LAYOUTS = {"scotland": layouts.SCOTLAND, "hungary": layouts.HUNGARY}

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
SERVICE_MS = 10.0
"""Median service time of a searcher, in milliseconds."""

COLD_CALLS = 50
"""Calls until a searcher in cold start is warm."""

PRIORITIES = {"desk": 0.5, "ledger": 0.3, "statements": 0.2}
"""Share of each caller among the requests."""

DEADLINES_MS = {"desk": 500, "ledger": 1000, "statements": 3000}
"""How long each caller waits, in milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """One row of the table.

    Attributes:
        layout: The deployment, a key of `LAYOUTS`.
        service: The service that gets the load; the others get a tenth of
            their capacity.
        load: Offered searcher calls as a share of what the slots can do.
        stragglers: True if 1 % of calls take ten times as long.
        incident: What happens in the middle.
        variant: This design or a baseline.
        seconds: Length of the load, in virtual seconds.
        seed: Of everything drawn.
    """

    layout: str
    service: str
    load: float
    stragglers: bool
    incident: Incident
    variant: Variant
    seconds: float
    seed: int


def make_all(seconds: float, seed: int, layout: str) -> list[Scenario]:
    """Makes the rows of the table for one deployment.

    Args:
        seconds: Length of each load, in virtual seconds.
        seed: Of everything drawn.
        layout: The deployment, a key of `LAYOUTS`.
    """
    service = LAYOUTS[layout].services[0].name

    def make(
        load: float,
        variant: Variant,
        stragglers: bool = True,
        incident: Incident = Incident.NONE,
    ) -> Scenario:
        return Scenario(
            layout, service, load, stragglers, incident, variant, seconds, seed
        )

    rows = [
        make(load, Variant.DESIGN, stragglers)
        for load in (0.3, 0.6, 0.8, 0.95, 1.2)
        for stragglers in (False, True)
    ]
    for variant in (Variant.DIRECT, Variant.NO_HEDGE, Variant.NO_ADMISSION):
        rows += [make(load, variant) for load in (0.6, 0.8, 1.2)]
    rows += [
        make(0.6, Variant.DESIGN, incident=incident)
        for incident in (Incident.ZONE_CYCLE, Incident.COLD_ZONE)
    ]
    return rows
