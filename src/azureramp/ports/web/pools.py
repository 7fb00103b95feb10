"""Client connection pools for a limited number of servers."""

from __future__ import annotations

from azureramp.ports.web import pool


class Pools:
    """Connection pools by address, up to a maximum number."""

    __slots__ = ("_by_address", "_max_pools")

    def __init__(self, max_pools: int) -> None:
        """Makes a set without any pool.

        Args:
            max_pools: Maximum number of pools. When it is reached, the
                pool that was created first is closed to make room.
        """
        self._by_address: dict[str, pool.Pool] = {}
        self._max_pools = max_pools

    def get(self, address: str) -> pool.Pool:
        """Returns the pool for the server at `IP:port`; makes it if needed."""
        existing = self._by_address.get(address)
        if existing is None:
            if len(self._by_address) >= self._max_pools:
                oldest = next(iter(self._by_address))
                self._by_address.pop(oldest).close()
            existing = self._by_address[address] = pool.Pool(address)
        return existing

    def close(self) -> None:
        """Closes all idle connections."""
        for existing in self._by_address.values():
            existing.close()
