"""The baselines: this design without one of its parts."""

from __future__ import annotations

from azureramp import resources
from azureramp_standins import cluster
from azureramp_standins.measuring import scenarios

HUGE = 1_000_000
"""A bound that is never reached."""


def prepare(deployment: cluster.Cluster, variant: scenarios.Variant) -> None:
    """Declares what a variant needs before the start."""
    match variant:
        case scenarios.Variant.DIRECT:
            deployment.isolated = True
        case scenarios.Variant.NO_HEDGE:
            deployment.declare(resources.Policy(name="default", hedge_budget=0))
        case scenarios.Variant.NO_ADMISSION:
            deployment.declare(
                resources.Policy(
                    name="default", queue_limit=HUGE, queue_ms=HUGE
                )
            )
