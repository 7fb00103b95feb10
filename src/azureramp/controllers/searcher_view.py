"""The searchers as the blackboard has them, worked out once a change.

A query looks at every replica of every shard. Their states change a few times
a second, with the owners' heartbeats; queries come far more often.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

import expression

from azureramp import blackboard, errors, messages, resources
from azureramp.policy import snapshots, topology

REMEMBER_S = 2.0
"""How long the state told by a searcher's last owner is used while the next
one has told none yet, in seconds."""

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


class Memory:
    """The states told last, by whichever owner told them.

    While a searcher changes its owner, the old one no longer tells its state
    and the new one does not yet. A query would find no replica just then,
    and with two VMs replaced shortly after each other no replica of a shard
    at all: an answer short for nothing. The state is rarely wrong a moment
    later, and the new owner refuses what should not run.
    """

    __slots__ = ("_present", "_told")

    def __init__(self) -> None:
        """Remembers nothing."""
        self._present: tuple[str, ...] = ()
        self._told: dict[str, tuple[messages.SearcherState, float]] = {}

    def fill(
        self,
        states: dict[str, messages.SearcherState],
        owned: Iterable[str],
        now_s: float,
    ) -> float:
        """Adds the remembered states of searchers that have none.

        Args:
            states: The states told by the present owners; filled in place.
            owned: The searchers that have an owner.
            now_s: The time, in seconds.

        Returns:
            When the first of the states added is forgotten.
        """
        for name in self._present:
            # It was told until now: the view is only made anew on a change.
            self._told[name] = (self._told[name][0], now_s)
        for name, state in states.items():
            self._told[name] = (state, now_s)
        self._present = tuple(states)
        until_s = math.inf
        for name in owned:
            told = self._told.get(name)
            if name in states or told is None:
                continue
            if now_s < told[1] + REMEMBER_S:
                states[name] = told[0]
                until_s = min(until_s, told[1] + REMEMBER_S)
            else:
                del self._told[name]
        return until_s


class Viewer:
    """Keeps the present view."""

    __slots__ = (
        "_board",
        "_key",
        "_memory",
        "_owners",
        "_rolled_out",
        "_table",
        "_until_s",
        "_view",
    )

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a viewer of a blackboard."""
        self._board = board
        self._key: tuple[object, ...] = ()
        self._owners: dict[str, str] = {}
        self._rolled_out: dict[str, int] = {}
        self._table: topology.Topology | None = None
        self._view: View | None = None
        self._memory = Memory()
        self._until_s = math.inf

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
        now_s = asyncio.get_running_loop().time()
        unchanged = (
            key == self._key
            and board.owners == self._owners
            and now_s < self._until_s
        )
        if self._view is None or not unchanged:
            if self._table is None or key[:2] != self._key[:2]:
                self._table = topology.build(configuration)
            self._key = key
            self._owners = dict(board.owners)
            states = board.get_searcher_states()
            self._until_s = self._memory.fill(states, board.owners, now_s)
            self._view = View(self._table, states, self.is_owned)
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
