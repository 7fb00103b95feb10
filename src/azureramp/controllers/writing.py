"""Making operators' changes, from contact with a majority to the peers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import expression

from azureramp import blackboard, errors, events, resources
from azureramp.controllers import changes, majority, store_link
from azureramp.policy import propagation
from azureramp.ports.store import api as store_api

CONTACT_WAIT_S = 1.0
"""How long a change waits for contact with a majority, in seconds."""

Result = expression.Result[resources.Versioned, changes.Refusal]

Take = Callable[[Sequence[resources.Versioned], int], None]
"""Brings changed entries into force and tells the peers, which may lack
everything after the given revision."""


class Writer:
    """Makes changes on one VM.

    Attributes:
        update: Called to take new acknowledgements in.
        take: Called with what the store told.
    """

    __slots__ = (
        "_board",
        "_copy",
        "_link",
        "_majority",
        "_store",
        "_tasks",
        "take",
        "update",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: store_api.Store,
        copy: propagation.Copy,
        link: store_link.StoreLink,
        proof: majority.Majority,
        take: Take,
        update: Callable[[], None],
    ) -> None:
        """Makes a writer for one VM's copy."""
        self._board = board
        self._store = store
        self._copy = copy
        self._link = link
        self._majority = proof
        self._tasks: set[asyncio.Task[Result]] = set()
        self.take = take
        self.update = update

    async def make(self, change: changes.Change) -> Result:
        """Makes a change to its end, even if the operator goes away.

        A write on its way can't be called back. If this VM gave up on it,
        the others would hear of it only once one of them reads the store.
        """
        task = asyncio.create_task(self._make(change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def cancel(self) -> None:
        """Gives up on changes that run, as the process ends."""
        for task in self._tasks:
            task.cancel()

    async def _make(self, change: changes.Change) -> Result:
        if not await self._wait_for_contact():
            return _refuse(
                errors.Kind.STALE_CONFIGURATION, "no majority of the VMs"
            )
        written = await changes.write(self._store, change)
        if written.is_error():
            return expression.Error(written.error)
        before = self._board.configuration.revision
        entry = resources.Versioned(
            change.resource, change.kind, change.name, written.ok
        )
        if written.ok == 0:
            found = await self._find_deletion(entry, before)
            if found is None:
                return _refuse(errors.Kind.STORE_OUTCOME_UNKNOWN)
            entry = found
        elif self._is_outdated(entry):
            return _refuse(
                errors.Kind.STORE_OUTCOME_UNKNOWN, "the store went back"
            )
        self.take(self._copy.apply_newer([entry]), before)
        changed = await self._link.catch_up(entry.revision)
        self._majority.add_unaccepted(
            events.ConfigurationAccepted(
                resource_kind=change.kind,
                name=change.name,
                revision=entry.revision,
            )
        )
        if changed is not None:
            self.take(changed, before)
        return expression.Ok(entry)

    async def _find_deletion(
        self, entry: resources.Versioned, before: int
    ) -> resources.Versioned | None:
        """Finds the revision of a deletion that is known to have happened."""
        changed = await self._link.confirm()
        if changed is None:
            return None
        self.take(changed, before)
        return self._copy.configuration.entries.get((entry.kind, entry.name))

    def _is_outdated(self, entry: resources.Versioned) -> bool:
        """Tells whether a new entry would never come into force.

        If the platform restores its service from a backup, its revisions go
        back below ours. What is written then would be dropped everywhere as
        older than what is in force.
        """
        known = self._copy.configuration.entries.get((entry.kind, entry.name))
        return entry.revision <= self._copy.configuration.revision and (
            known is None or known.revision < entry.revision
        )

    async def _wait_for_contact(self) -> bool:
        """Waits a little for contact with a majority; tells if there is."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + CONTACT_WAIT_S
        while True:
            self.update()
            if self._majority.has_contact():
                return True
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(self._board.settings.heartbeat_ms / 4000)


def _refuse(kind: errors.Kind, detail: str = "") -> Result:
    return expression.Error(changes.Refusal(errors.Failure(kind, detail)))
