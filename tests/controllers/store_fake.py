"""A store in memory, until the platform's stand-in is there."""

from __future__ import annotations

import asyncio
from typing import Any

import expression

from azureramp import errors
from azureramp.ports.store import api


class Store:
    """Keeps entries in a dict; see `api.Store`.

    Attributes:
        down: True while every call fails.
        lose_replies: True while writes take effect but their replies are
            lost.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, api.Entry] = {}
        self.down = False
        self.lose_replies = False

    async def read(self, key: str) -> expression.Result[Any, errors.Failure]:
        """Reads one key."""
        if self.down:
            return _fail(errors.Kind.STORE_UNAVAILABLE)
        entry = self.entries.get(key)
        return expression.Ok(entry if entry and entry.value else None)

    async def read_prefix(
        self, prefix: str
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Reads all keys of a prefix."""
        if self.down:
            return _fail(errors.Kind.STORE_UNAVAILABLE)
        entries = [
            entry
            for key, entry in sorted(self.entries.items())
            if key.startswith(prefix) and entry.value is not None
        ]
        return expression.Ok(api.Listing(tuple(entries), self.revision))

    async def write(
        self, key: str, value: bytes, expected: int, lease: str = ""
    ) -> expression.Result[api.Write, errors.Failure]:
        """Writes a key by compare-and-swap."""
        return self._write(key, value, expected)

    async def delete(
        self, key: str, expected: int
    ) -> expression.Result[api.Write, errors.Failure]:
        """Deletes a key by compare-and-swap."""
        return self._write(key, None, expected)

    def _write(
        self, key: str, value: bytes | None, expected: int
    ) -> expression.Result[api.Write, errors.Failure]:
        if self.down:
            return _fail(errors.Kind.STORE_UNAVAILABLE)
        present = self.entries.get(key)
        if present is not None and present.value is None:
            present = None
        if (present.revision if present else api.CREATE) != expected:
            return expression.Ok(api.Conflicted(present))
        self.revision += 1
        self.entries[key] = api.Entry(key, value, self.revision)
        if self.lose_replies:
            return _fail(errors.Kind.STORE_OUTCOME_UNKNOWN)
        return expression.Ok(api.Written(self.revision))

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> expression.Result[api.Listing, errors.Failure]:
        """Waits for changes."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + wait_s
        while True:
            if self.down:
                return _fail(errors.Kind.STORE_UNAVAILABLE)
            entries = [
                entry
                for key, entry in self.entries.items()
                if key.startswith(prefix) and entry.revision > after
            ]
            if entries or loop.time() >= until_s:
                entries.sort(key=lambda entry: entry.revision)
                return expression.Ok(api.Listing(tuple(entries), self.revision))
            await asyncio.sleep(0.01)

    async def grant_lease(
        self, ttl_s: float
    ) -> expression.Result[str, errors.Failure]:
        """Is not needed here."""
        return _fail(errors.Kind.STORE_UNAVAILABLE)

    async def keep_lease(
        self, lease: str
    ) -> expression.Result[bool, errors.Failure]:
        """Is not needed here."""
        return _fail(errors.Kind.STORE_UNAVAILABLE)

    async def close(self) -> None:
        """Closes nothing."""


def _fail(kind: errors.Kind) -> expression.Result[Any, errors.Failure]:
    return expression.Error(errors.Failure(kind))
