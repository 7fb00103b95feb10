"""Prepares the baselines, each of which lacks a part of the design."""

from __future__ import annotations

from azureramp import resources
from azureramp_standins import cluster
from azureramp_standins.measuring import scenarios

UNREACHABLE_LIMIT = 1_000_000
"""A limit that is never reached."""


def configure(deployment: cluster.Cluster, variant: scenarios.Variant) -> None:
    """Configures a deployment for a variant, before the deployment starts."""
    match variant:
        case scenarios.Variant.DIRECT:
            deployment.vm_lists_isolated = True
        case scenarios.Variant.NO_HEDGE:
            deployment.write_resource(
                resources.Policy(name="default", hedge_budget=0)
            )
        case scenarios.Variant.NO_ADMISSION:
            deployment.write_resource(
                resources.Policy(
                    name="default",
                    queue_limit=UNREACHABLE_LIMIT,
                    queue_ms=UNREACHABLE_LIMIT,
                )
            )
