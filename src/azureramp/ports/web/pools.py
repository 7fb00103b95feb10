"""Reused client connections to a few servers."""

from __future__ import annotations

from azureramp.ports.web import pool


class Pools:
    """Pools by address, no more than a given number."""

    __slots__ = ("_by_address", "_most")

    def __init__(self, most: int) -> None:
        """Makes it without connections.

        Args:
            most: Most servers that connections are kept to; those of the one
                first asked are closed for another.
        """
        self._by_address: dict[str, pool.Pool] = {}
        self._most = most

    def get(self, address: str) -> pool.Pool:
        """Returns the connections to the server at `IP:port`."""
        found = self._by_address.get(address)
        if found is None:
            if len(self._by_address) >= self._most:
                oldest = next(iter(self._by_address))
                self._by_address.pop(oldest).close()
            found = self._by_address[address] = pool.Pool(address)
        return found

    def close(self) -> None:
        """Closes every idle connection."""
        for each in self._by_address.values():
            each.close()
