"""The searchers as the blackboard has them, worked out once a change.

A query looks at every replica of every shard. Their states change a few times
a second, with the owners' heartbeats; queries come far more often.
"""

from __future__ import annotations

from collections.abc import Callable

import expression

from azureramp import blackboard, errors, messages, resources
from azureramp.policy import snapshots, topology

Pinned = expression.Result[snapshots.Snapshot, errors.Failure]


class View:
    """What is known of the searchers at one moment.

    Attributes:
        table: The configuration in force.
        states: What the owners tell of their searchers.
    """

    __slots__ = ("_is_owned", "_pins", "states", "table")

    def __init__(
        self,
        table: topology.Topology,
        states: dict[str, messages.SearcherState],
        is_owned: Callable[[str], bool],
    ) -> None:
        """Makes a view."""
        self.table = table
        self.states = states
        self._is_owned = is_owned
        self._pins: dict[tuple[str, int, int], Pinned] = {}

    def pin(self, index: str, rolled_out: int, after: int) -> Pinned:
        """Pins a version; see `snapshots.choose`."""
        key = (index, rolled_out, after)
        pinned = self._pins.get(key)
        if pinned is None:
            pinned = self._pins[key] = snapshots.choose(
                self.table.maps.get(index, ()),
                self.table.sites,
                self.states,
                self._is_owned,
                rolled_out=rolled_out,
                after=after,
            )
        return pinned

    def find_replicas(
        self, index: str, version: int, shard: resources.Shard
    ) -> tuple[str, ...]:
        """Finds the searchers that may get work of a shard now."""
        return snapshots.find_usable(
            shard,
            f"{index}.{version}",
            self.table.sites,
            self.states,
            self._is_owned,
        )


class Viewer:
    """Keeps the present view."""

    __slots__ = ("_board", "_key", "_owners", "_rolled_out", "_table", "_view")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a viewer of a blackboard."""
        self._board = board
        self._key: tuple[object, ...] = ()
        self._owners: dict[str, str] = {}
        self._rolled_out: dict[str, int] = {}
        self._table: topology.Topology | None = None
        self._view: View | None = None

    def get(self) -> View:
        """Returns the view of now, made anew only if anything changed."""
        board = self._board
        configuration = board.configuration
        key = (
            configuration,
            configuration.revision,
            tuple(board.owned.values()),
            tuple(board.members),
            tuple(member.searchers for member in board.members.values()),
        )
        unchanged = key == self._key and board.owners == self._owners
        if self._view is None or not unchanged:
            if self._table is None or key[:2] != self._key[:2]:
                self._table = topology.build(configuration)
            self._key = key
            self._owners = dict(board.owners)
            self._view = View(
                self._table, board.get_searcher_states(), self.is_owned
            )
        return self._view

    def is_owned(self, searcher: str) -> bool:
        """Tells whether a searcher has an owner VM to send to."""
        owner = self._owners.get(searcher)
        return owner is not None and owner in self._board.members

    def pin(self, index: str, after: int = 0) -> Pinned:
        """Pins the version that a request reads.

        Args:
            index: The index.
            after: Only versions newer than this one.
        """
        rolled_out = self._rolled_out.get(index, 0)
        pinned = self.get().pin(index, rolled_out, after)
        if pinned.is_ok():
            version = pinned.ok.shard_map.version
            if version != rolled_out and snapshots.has_enough(pinned.ok):
                self._rolled_out[index] = version
        return pinned
