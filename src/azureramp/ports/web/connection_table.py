"""A limit on the connections to all servers of a process together.

Each server has a share of the connections. If none is left, a new connection
takes the place of another one: of the server that exceeds its share most, first
the oldest that never completed a request, then the one that has been idle
longest. Connections whose request is being handled keep their place.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

DEFAULT_LIMIT = 2_000

REPLACEABLE_S = 0.5
"""Time after which a connection that waits for its client may be replaced, in
seconds."""

MAX_SCANNED = 256
"""Maximum number of connections that are searched for one to replace."""


class Connection(Protocol):
    """A connection in the table."""

    def waits_for_request(self) -> bool:
        """Returns True if no request is being handled or answered."""
        ...

    def close(self) -> None:
        """Closes the connection soon."""
        ...


class Group:
    """The connections to one server.

    Attributes:
        share: How many it may have when all others have their shares.
    """

    __slots__ = ("_table", "_unused", "_used", "share")

    def __init__(self, table: ConnectionTable, share: int) -> None:
        """Makes an empty group; see `ConnectionTable.add_group`."""
        self._table = table
        self._unused: dict[Connection, float] = {}
        self._used: dict[Connection, float] = {}
        self.share = share

    def count(self) -> int:
        """Returns the number of connections."""
        return len(self._unused) + len(self._used)

    def admit(self, connection: Connection) -> bool:
        """Adds a connection, in place of another one if there is no room.

        Args:
            connection: The connection.

        Returns:
            False if there is no room for it.
        """
        if not self._table.make_room():
            return False
        self._unused[connection] = asyncio.get_running_loop().time()
        return True

    def record_request(self, connection: Connection) -> None:
        """Records that a connection has completed a request."""
        self.remove(connection)
        self._used[connection] = asyncio.get_running_loop().time()

    def remove(self, connection: Connection) -> None:
        """Removes a connection."""
        self._unused.pop(connection, None)
        self._used.pop(connection, None)

    def replace_one(self) -> bool:
        """Closes a connection that waits for its client; False if none does."""
        before_s = asyncio.get_running_loop().time() - REPLACEABLE_S
        for connections in (self._unused, self._used):
            for scanned, (each, since_s) in enumerate(connections.items()):
                if scanned >= MAX_SCANNED or since_s > before_s:
                    break
                if each.waits_for_request():
                    self.remove(each)
                    each.close()
                    return True
        return False


class ConnectionTable:
    """The connections to all servers of a process.

    Attributes:
        limit: Their maximum number.
        replaced: Number of connections that were closed in favor of others.
        refused: Number of connections for which there was no room.
    """

    __slots__ = ("_groups", "limit", "refused", "replaced")

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Makes a table without servers."""
        self.limit = limit
        self.replaced = 0
        self.refused = 0
        self._groups: list[Group] = []

    def add_group(self, share: float) -> Group:
        """Adds the connections of a server.

        Args:
            share: Its share of the connections, from 0 to 1.
        """
        group = Group(self, round(share * self.limit))
        self._groups.append(group)
        return group

    def count(self) -> int:
        """Returns the number of connections."""
        return sum(group.count() for group in self._groups)

    def make_room(self) -> bool:
        """Makes room for a connection; returns False if there is none."""
        if self.count() < self.limit:
            return True
        group = max(self._groups, key=lambda each: each.count() - each.share)
        if group.replace_one():
            self.replaced += 1
            return True
        self.refused += 1
        return False
