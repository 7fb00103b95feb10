"""The interface to another VM that relays the store's changes."""

from __future__ import annotations

from typing import Protocol

import expression
import msgspec

from azureramp import catalog, errors
from azureramp.ports.store import api as store_api

CHANGES_PATH = "/v1/changes"
"""Path at which a VM serves the changes after a revision, or all entries."""


class ChangesRequest(msgspec.Struct, frozen=True):
    """A VM's request for changes.

    Attributes:
        vm: The requesting VM.
        after: Revision after which changes are requested; 0 for all entries.
        wait_ms: Maximum time to wait for a change, in milliseconds.
        member: The requesting VM's entry, to be announced by the other VM;
            None if it announces itself.
        is_initial: True if a VM without entries requests the next part of all
            entries, or the first one.
    """

    vm: str
    after: int
    wait_ms: int
    member: catalog.Member | None = None
    is_initial: bool = False


class Changes(msgspec.Struct, frozen=True):
    """The response: the entries that changed.

    Attributes:
        revision: The store's revision up to which the entries are complete.
        age_ms: Time since the store last answered that VM, in milliseconds.
        regained_ms: How long the store had been available to that VM by then,
            since its last outage, in milliseconds.
        entries: The entries that changed, ordered by revision; deleted ones
            have no value.
        confirmed_age_ms: Time since that VM sent the newest call that the store
            answered, in milliseconds; None from VMs that don't tell it.
        announced: True if the store has the requesting VM's entry under the
            responding VM's lease.
        has_more: True if the responding VM has read further changes.
    """

    revision: int
    age_ms: int
    regained_ms: int
    entries: tuple[store_api.Entry, ...]
    announced: bool = False
    confirmed_age_ms: int | None = None
    has_more: bool = False


class RelayClient(Protocol):
    """Client of the other VMs.

    Errors: `STORE_UNAVAILABLE` if the VM doesn't follow the store or is
    unreachable; `STORE_HISTORY_GONE` if it no longer has all changes after the
    requested revision.
    """

    async def request_changes(
        self, address: str, request: ChangesRequest
    ) -> expression.Result[Changes, errors.Failure]:
        """Requests changes from another VM.

        Args:
            address: The VM's peer address, `IP:port`.
            request: The request.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
