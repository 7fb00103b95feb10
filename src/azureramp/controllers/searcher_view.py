"""A view of the blackboard's searchers that is rebuilt only after a change.

A query examines every replica of every shard. Their states change a few times
per second, with the owners' heartbeats; queries are far more frequent.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable

import expression

from azureramp import blackboard, errors, messages, resources
from azureramp.policy import snapshots, topology

STATE_MEMORY_S = 2.0
"""How long the state announced by a searcher's last owner is used until the
next owner announces one, in seconds."""

Pinned = expression.Result[snapshots.Snapshot, errors.Failure]


class View:
    """The state of the searchers at one time.

    Attributes:
        table: The configuration in force.
        states: The states that the owners announce, by searcher.
    """

    __slots__ = ("_is_owned", "_pins", "states", "table")

    def __init__(
        self,
        table: topology.Topology,
        states: dict[str, messages.SearcherState],
        is_owned: Callable[[str], bool],
    ) -> None:
        """Creates a view.

        Args:
            table: The configuration in force.
            states: The states that the owners announce, by searcher.
            is_owned: Returns True if a searcher has an owner VM.
        """
        self.table = table
        self.states = states
        self._is_owned = is_owned
        self._pins: dict[tuple[str, int, int], Pinned] = {}

    def pin(self, index: str, rolled_out: int, after: int) -> Pinned:
        """Pins a version; see `snapshots.choose_version`."""
        key = (index, rolled_out, after)
        pinned = self._pins.get(key)
        if pinned is None:
            pinned = self._pins[key] = snapshots.choose_version(
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
        return snapshots.list_usable_searchers(
            shard,
            f"{index}.{version}",
            self.table.sites,
            self.states,
            self._is_owned,
        )


class StateMemory:
    """The last announced states, from whichever owner announced them.

    While a searcher changes its owner, the old owner no longer announces its
    state and the new one does not do so yet. A query would not find this
    replica in the meantime, and if two VMs are replaced shortly after each
    other, it would find no replica of a shard at all: the answer would be
    needlessly incomplete. The remembered state is rarely wrong after such a
    short time, and the new owner refuses sub-requests that should not run.
    """

    __slots__ = ("_announced", "_current")

    def __init__(self) -> None:
        """Creates an empty memory."""
        self._current: tuple[str, ...] = ()
        self._announced: dict[str, tuple[messages.SearcherState, float]] = {}

    def fill(
        self,
        states: dict[str, messages.SearcherState],
        owned: Iterable[str],
        now_s: float,
    ) -> float:
        """Adds the remembered states of searchers that have none.

        Args:
            states: The states announced by the current owners; the remembered
                states are added in place.
            owned: The searchers that have an owner.
            now_s: The loop time, in seconds.

        Returns:
            The loop time at which the first of the added states expires, in
            seconds; infinity if none was added.
        """
        for name in self._current:
            # It was announced until now: the view is only rebuilt on a change.
            self._announced[name] = (self._announced[name][0], now_s)
        for name, state in states.items():
            self._announced[name] = (state, now_s)
        self._current = tuple(states)
        until_s = math.inf
        for name in owned:
            announced = self._announced.get(name)
            if name in states or announced is None:
                continue
            if now_s < announced[1] + STATE_MEMORY_S:
                states[name] = announced[0]
                until_s = min(until_s, announced[1] + STATE_MEMORY_S)
            else:
                del self._announced[name]
        return until_s


class Viewer:
    """Provides the current view of the searchers."""

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
        """Creates a viewer of a blackboard."""
        self._board = board
        self._key: tuple[object, ...] = ()
        self._owners: dict[str, str] = {}
        self._rolled_out: dict[str, int] = {}
        self._table: topology.Topology | None = None
        self._view: View | None = None
        self._memory = StateMemory()
        self._until_s = math.inf

    def get(self) -> View:
        """Returns the current view; rebuilds it only after a change."""
        board = self._board
        configuration = board.configuration
        key = (
            configuration,
            configuration.revision,
            tuple(board.owned_states.values()),
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
                self._table = topology.build_topology(configuration)
            self._key = key
            self._owners = dict(board.owners)
            states = board.get_searcher_states()
            self._until_s = self._memory.fill(states, board.owners, now_s)
            self._view = View(self._table, states, self.is_owned)
        return self._view

    def is_owned(self, searcher: str) -> bool:
        """Returns True if a searcher has an owner VM that is a member."""
        owner = self._owners.get(searcher)
        return owner is not None and owner in self._board.members

    def pin(self, index: str, after: int = 0) -> Pinned:
        """Pins the version that a request reads.

        Args:
            index: The index.
            after: Only newer versions than this one are considered.
        """
        rolled_out = self._rolled_out.get(index, 0)
        pinned = self.get().pin(index, rolled_out, after)
        if pinned.is_ok():
            version = pinned.ok.shard_map.version
            if version != rolled_out and snapshots.has_enough_replicas(
                pinned.ok
            ):
                self._rolled_out[index] = version
        return pinned
