"""The interface to another VM that tells what it heard of the store."""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import errors
from azureramp.ports.store import api as store_api

CHANGES_PATH = "/v1/changes"
"""Where a VM tells of the changes after a revision, or of everything."""


class Told(msgspec.Struct, frozen=True):
    """What a VM tells of the store's entries.

    Attributes:
        revision: The store's revision that it has followed to.
        age_ms: How long ago the store last answered it, in milliseconds.
        entries: The entries that changed, by revision; those that were
            deleted have no value.
    """

    revision: int
    age_ms: int
    entries: tuple[store_api.Entry, ...]


class Relays(Protocol):
    """The other VMs.

    Errors: `STORE_UNAVAILABLE` if the VM doesn't follow the store or can't be
    reached; `STORE_HISTORY_GONE` if it doesn't know so old changes any more.
    """

    async def ask(
        self, address: str, after: int, wait_s: float
    ) -> expression.Result[Told, errors.Failure]:
        """Asks a VM for changes.

        Args:
            address: Its `IP:port` for other VMs.
            after: Only changes after this revision; 0 for everything.
            wait_s: How long it should wait for a change, in seconds.
        """
        ...

    async def close(self) -> None:
        """Closes every connection."""
        ...
