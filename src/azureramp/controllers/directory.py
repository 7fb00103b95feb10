"""Where each searcher is, kept from one configuration to the next."""

from __future__ import annotations

import dataclasses

from azureramp import errors, resources


@dataclasses.dataclass(slots=True, frozen=True)
class Place:
    """A searcher with its backend server and its availability zone.

    Attributes:
        searcher: The searcher.
        server: Its backend server.
        refusal: Why it takes no new work: `ZONE_OUT` or `LEAVING`; None if
            it takes some.
    """

    searcher: resources.Searcher
    server: resources.BackendServer
    refusal: errors.Kind | None


class Directory:
    """The places of all searchers, made anew when the revision changes."""

    __slots__ = ("_made_from", "_places")

    def __init__(self) -> None:
        """Makes an empty directory."""
        self._made_from: tuple[int, int, int] | None = None
        self._places: dict[str, Place] = {}

    def get_places(
        self, configuration: resources.Configuration
    ) -> dict[str, Place]:
        """Returns the places by the searchers' names."""
        made_from = (
            id(configuration),
            configuration.revision,
            len(configuration.entries),
        )
        if made_from != self._made_from:
            self._made_from = made_from
            self._places = _make_places(configuration)
        return self._places


def _make_places(configuration: resources.Configuration) -> dict[str, Place]:
    """Makes the places of all searchers."""
    zones = configuration.get_zones()
    places = {}
    for server in configuration.get_backend_servers().values():
        refusal = _get_refusal(server, zones.get(server.zone))
        for searcher in server.searchers:
            places[searcher.name] = Place(searcher, server, refusal)
    return places


def _get_refusal(
    server: resources.BackendServer, zone: resources.Zone | None
) -> errors.Kind | None:
    """Tells why a backend server takes no new work."""
    if zone is not None and zone.state is resources.ZoneState.OUT:
        return errors.Kind.ZONE_OUT
    if server.state is resources.ServerState.LEAVING:
        return errors.Kind.LEAVING
    return None
