"""Cached lookup of searchers' locations and the policy in force."""

from __future__ import annotations

import dataclasses

from azureramp import blackboard, errors, resources


@dataclasses.dataclass(slots=True, frozen=True)
class SearcherLocation:
    """A searcher with its backend server.

    Attributes:
        searcher: The searcher.
        server: Its backend server.
        refusal_kind: Why it accepts no new work: `ZONE_OUT` or `LEAVING`; None
            if it accepts work.
    """

    searcher: resources.Searcher
    server: resources.BackendServer
    refusal_kind: errors.Kind | None


class SearcherDirectory:
    """The parts of the configuration that an owner needs.

    They are recomputed when the configuration changes.
    """

    __slots__ = ("_board", "_places", "_policy", "_source")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Creates the directory of a process."""
        self._board = board
        self._source: tuple[int, int, int] | None = None
        self._places: dict[str, SearcherLocation] = {}
        self._policy = resources.Policy(name="default")

    def get_locations(self) -> dict[str, SearcherLocation]:
        """Returns the searchers with their servers, by searcher name."""
        self._refresh()
        return self._places

    def get_policy(self) -> resources.Policy:
        """Returns the policy in force."""
        self._refresh()
        return self._policy

    def _refresh(self) -> None:
        """Updates the cache if the configuration has changed."""
        configuration = self._board.configuration
        source = (
            id(configuration),
            configuration.revision,
            len(configuration.entries),
        )
        if source != self._source:
            self._source = source
            self._places = _make_places(configuration)
            self._policy = configuration.get_policy()


def _make_places(
    configuration: resources.Configuration,
) -> dict[str, SearcherLocation]:
    """Returns all searchers with their servers, by searcher name."""
    zones = configuration.get_zones()
    places = {}
    for server in configuration.get_backend_servers().values():
        refusal = _get_refusal(server, zones.get(server.zone))
        for searcher in server.searchers:
            places[searcher.name] = SearcherLocation(searcher, server, refusal)
    return places


def _get_refusal(
    server: resources.BackendServer, zone: resources.Zone | None
) -> errors.Kind | None:
    """Returns why a backend server accepts no new work; None if it does."""
    if zone is not None and zone.state is resources.ZoneState.OUT:
        return errors.Kind.ZONE_OUT
    if server.state is resources.ServerState.LEAVING:
        return errors.Kind.LEAVING
    return None
