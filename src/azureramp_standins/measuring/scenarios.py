"""Scenarios to measure: layouts, loads, incidents and variants."""

from __future__ import annotations

import dataclasses
import enum

from azureramp_standins import layout as layouts


class Variant(enum.Enum):
    """The full design, or a baseline that lacks one part of it."""

    DESIGN = "design"
    DIRECT = "direct"
    NO_HEDGE = "no_hedge"
    NO_ADMISSION = "no_admission"


class Incident(enum.Enum):
    """Event that is injected during the run."""

    NONE = "none"
    ZONE_CYCLE = "zone_cycle"
    COLD_ZONE = "cold_zone"


LAYOUTS = {"scotland": layouts.SCOTLAND, "hungary": layouts.HUNGARY}

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 10.0
SERVICE_MS = 10.0
"""Median service time of a searcher, in milliseconds."""

COLD_CALLS = 50
"""Number of calls after which a searcher in cold start is warm."""

PRIORITIES = {"desk": 0.5, "ledger": 0.3, "statements": 0.2}
"""Share of the requests by caller."""

DEADLINES_MS = {"desk": 500, "ledger": 1000, "statements": 3000}
"""Deadline of the requests by caller, in milliseconds."""


@dataclasses.dataclass(slots=True, frozen=True)
class Scenario:
    """Parameters of one row of the table.

    Attributes:
        layout: The deployment, a key of `LAYOUTS`.
        service: The service under load; the others get a tenth of their
            capacity.
        load: Offered searcher calls as a share of the slots' capacity.
        stragglers: True if 1 % of the calls take ten times as long.
        incident: The event that is injected.
        variant: The full design or a baseline.
        seconds: Duration of the load, in virtual seconds.
        seed: Seed of all random draws.
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
        seconds: Duration of each load, in virtual seconds.
        seed: Seed of all random draws.
        layout: The deployment, a key of `LAYOUTS`.

    Returns:
        The scenarios.
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
