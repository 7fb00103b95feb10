"""The event that a configuration came into force."""

from __future__ import annotations

from collections.abc import Sequence

from azureramp import events, resources

MAX_EVENT_KEYS = 32
"""Most changed resources that one event names."""


def make_event(
    configuration: resources.Configuration,
    changed: Sequence[resources.Versioned],
    source: str,
) -> events.ConfigurationApplied:
    """Makes the event that entries, or a revision, came into force."""
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
