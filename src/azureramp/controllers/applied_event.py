"""Creates the event of an applied configuration."""

from __future__ import annotations

from collections.abc import Sequence

from azureramp import events, resources

MAX_EVENT_KEYS = 32
"""Maximum number of changed resources that one event lists."""


def make_applied_event(
    configuration: resources.Configuration,
    changed: Sequence[resources.Versioned],
    source: str,
) -> events.ConfigurationApplied:
    """Creates the event for changed entries or a new revision in force.

    Args:
        configuration: The configuration in force.
        changed: The changed entries.
        source: The origin of the change.
    """
    zones = configuration.get_zones().values()
    servers = configuration.get_backend_servers().values()
    out, leaving = resources.ZoneState.OUT, resources.ServerState.LEAVING
    return events.ConfigurationApplied(
        revision=configuration.revision,
        source=source,
        changed=tuple(
            f"{entry.kind}/{entry.name}" for entry in changed[:MAX_EVENT_KEYS]
        ),
        zones_out=tuple(zone.name for zone in zones if zone.state is out),
        leaving=tuple(
            server.name for server in servers if server.state is leaving
        ),
    )
