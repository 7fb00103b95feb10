"""Where each searcher is, and the policy, kept until they change."""

from __future__ import annotations

import dataclasses

from azureramp import blackboard, errors, resources


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
    """What an owner needs of the configuration, made anew as it changes."""

    __slots__ = ("_board", "_made_from", "_places", "_policy")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes the directory of a process."""
        self._board = board
        self._made_from: tuple[int, int, int] | None = None
        self._places: dict[str, Place] = {}
        self._policy = resources.Policy(name="default")

    def get_places(self) -> dict[str, Place]:
        """Returns the places by the searchers' names."""
        self._refresh()
        return self._places

    def get_policy(self) -> resources.Policy:
        """Returns the policy in force."""
        self._refresh()
        return self._policy

    def _refresh(self) -> None:
        """Reads the configuration if it isn't the one read last."""
        configuration = self._board.configuration
        made_from = (
            id(configuration),
            configuration.revision,
            len(configuration.entries),
        )
        if made_from != self._made_from:
            self._made_from = made_from
            self._places = _make_places(configuration)
            self._policy = configuration.get_policy()


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
