"""Executes operators' changes: contact check, store write, announcement."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import expression

from azureramp import blackboard, errors, events, resources
from azureramp.controllers import changes, majority, store_link
from azureramp.policy import configuration_copy
from azureramp.ports.store import api as store_api

CONTACT_WAIT_S = 1.0
"""Maximum time for which a change waits for contact with a majority, in
seconds."""

Result = expression.Result[resources.Versioned, changes.Refusal]

ApplyEntries = Callable[[Sequence[resources.Versioned], int], None]
"""Puts changed entries into force, and sends the peers all changes after the
given revision."""


class Writer:
    """Executes operators' changes on one VM.

    Attributes:
        update: Called to evaluate new acknowledgements.
        apply: Called with the entries that changed in the store.
    """

    __slots__ = (
        "_board",
        "_copy",
        "_link",
        "_majority",
        "_store",
        "_tasks",
        "apply",
        "update",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        store: store_api.Store,
        copy: configuration_copy.ConfigurationCopy,
        link: store_link.StoreLink,
        majority_contact: majority.Majority,
        apply: ApplyEntries,
        update: Callable[[], None],
    ) -> None:
        """Creates a writer for one VM's copy of the configuration."""
        self._board = board
        self._store = store
        self._copy = copy
        self._link = link
        self._majority = majority_contact
        self._tasks: set[asyncio.Task[Result]] = set()
        self.apply = apply
        self.update = update

    async def execute(self, change: changes.Change) -> Result:
        """Executes a change to its end, even if the operator disconnects.

        A write that has been sent can't be undone. If this VM stopped
        processing it, the others would get the change only when one of them
        reads the store.
        """
        task = asyncio.create_task(self._execute(change))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    def cancel(self) -> None:
        """Cancels running changes when the process ends."""
        for task in self._tasks:
            task.cancel()

    async def _execute(self, change: changes.Change) -> Result:
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
        self.apply(self._copy.apply_newer([entry]), before)
        changed = await self._link.catch_up(entry.revision)
        self._majority.add_unaccepted(
            events.ConfigurationAccepted(
                resource_kind=change.kind,
                name=change.name,
                revision=entry.revision,
            )
        )
        if changed is not None:
            self.apply(changed, before)
        return expression.Ok(entry)

    async def _find_deletion(
        self, entry: resources.Versioned, before: int
    ) -> resources.Versioned | None:
        """Returns the entry of a deletion that has taken effect.

        Returns None if the store could not be read.
        """
        changed = await self._link.confirm()
        if changed is None:
            return None
        self.apply(changed, before)
        return self._copy.configuration.entries.get((entry.kind, entry.name))

    def _is_outdated(self, entry: resources.Versioned) -> bool:
        """Returns True if a new entry would never come into force.

        If the platform restores its store from a backup, new revisions are
        lower than the ones in force. An entry written after that would be
        dropped by all VMs as outdated.
        """
        current = self._copy.configuration.entries.get((entry.kind, entry.name))
        return entry.revision <= self._copy.configuration.revision and (
            current is None or current.revision < entry.revision
        )

    async def _wait_for_contact(self) -> bool:
        """Waits for contact with a majority; returns True if there is any."""
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
