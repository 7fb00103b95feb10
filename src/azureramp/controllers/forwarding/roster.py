"""Announcement of the VMs that receive the store's changes from this one.

These VMs, the followers, are written to the store under this VM's lease.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import store_contact
from azureramp.policy import roster as policy
from azureramp.policy import store_copy
from azureramp.ports.store import api as store_api

WRITE_INTERVAL_S = 0.25
"""Time between two checks for pending writes, in seconds. VMs that start or
stop within it are written in one batch."""

IDLE_INTERVAL_S = 2.0
"""Time between two checks while there are no followers, in seconds."""

UNKNOWN_OUTCOME_PAUSE_S = 0.5
"""Pause after a write without an answer, in seconds. By then the copy of the
store usually shows whether the write took effect."""

PAUSE_THRESHOLD_S = 1.0
"""Delay of a check beyond its due time, in seconds, from which on the process
counts as having been paused."""

EncodeMember = Callable[[catalog.Member], bytes]
"""Returns the value of a VM's entry."""

MakeKey = Callable[[str], str]
"""Returns the key of a VM's entry."""

_logger = logbook.Logger("azureramp.roster")


class Roster:
    """Maintains the entries of this VM's followers in the store.

    Attributes:
        on_lease_needed: Called when a follower is added while this VM has no
            lease.
    """

    __slots__ = (
        "_board",
        "_contact",
        "_copy",
        "_encode",
        "_follower_added",
        "_followers",
        "_make_key",
        "_store",
        "on_lease_needed",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.BatchStore,
        copy: store_copy.StoreCopy,
        make_key: MakeKey,
        encode: EncodeMember,
        contacts: store_contact.StoreContactTracker,
    ) -> None:
        """Creates a roster without followers; see `run`.

        Args:
            board: The process's state.
            store: The store.
            copy: This VM's copy of the store's entries.
            make_key: Returns the key of a VM's entry.
            encode: Returns the value of a VM's entry.
            contacts: Records the outcome of store calls.
        """
        self._board = board
        self._store = store
        self._copy = copy
        self._make_key = make_key
        self._encode = encode
        self._contact = contacts
        self._followers: dict[str, policy.Follower] = {}
        self._follower_added = asyncio.Event()
        self.on_lease_needed: Callable[[], None] | None = None

    def has_followers(self) -> bool:
        """Returns True if this VM announces any other VM."""
        return bool(self._followers)

    def handle_request(self, vm: str, member: catalog.Member | None) -> None:
        """Handles a VM's request for changes.

        Args:
            vm: The VM.
            member: The entry to announce for it; None if it announces itself.
                An entry that this VM wrote for it stays until it is replaced.
        """
        until_s = asyncio.get_running_loop().time() + policy.FOLLOWER_TIMEOUT_S
        follower = self._followers.get(vm)
        if follower is not None:
            follower.alive_until_s = until_s
        if member is None:
            return
        announced = dataclasses.replace(member, keeper=self._board.identity.vm)
        if follower is None:
            self._followers[vm] = policy.Follower(announced, until_s)
            self._follower_added.set()
            if not self._board.lease and self.on_lease_needed is not None:
                self.on_lease_needed()
        else:
            follower.member = announced

    def handle_disconnect(self, vm: str) -> None:
        """Shortens a follower's liveness after its connection closed.

        Args:
            vm: The VM whose request was cancelled.
        """
        follower = self._followers.get(vm)
        if follower is not None:
            until_s = (
                asyncio.get_running_loop().time() + policy.DISCONNECT_TIMEOUT_S
            )
            follower.alive_until_s = min(follower.alive_until_s, until_s)

    def is_announced(self, vm: str) -> bool:
        """Returns True if this VM has written another VM's entry.

        Args:
            vm: The other VM.
        """
        follower = self._followers.get(vm)
        return follower is not None and follower.written_revision is not None

    async def run(self) -> None:
        """Writes pending changes periodically. Never returns."""
        loop = asyncio.get_running_loop()
        while True:
            if not self._followers:
                await self._wait_for_work()
            due_s = loop.time() + WRITE_INTERVAL_S
            await asyncio.sleep(WRITE_INTERVAL_S)
            if loop.time() - due_s > PAUSE_THRESHOLD_S:
                self._extend_liveness()
            await self._write()

    async def _wait_for_work(self) -> None:
        """Waits until there is a follower, at most `IDLE_INTERVAL_S`.

        The timeout lets `run` delete leftover entries of former followers.
        They are rare: the answer to their write was lost, and the write took
        effect late.
        """
        self._follower_added.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._follower_added.wait()

    def _extend_liveness(self) -> None:
        """Treats all followers as alive after a pause of this process.

        It has not yet read the requests that arrived during the pause.
        """
        until_s = asyncio.get_running_loop().time() + policy.FOLLOWER_TIMEOUT_S
        for follower in self._followers.values():
            follower.alive_until_s = until_s

    async def _write(self) -> None:
        """Writes all pending changes in as few batches as possible."""
        present = self._list_present()
        if not present and not self._followers:
            return
        revision = self._copy.revision
        now_s = asyncio.get_running_loop().time()
        policy.drop_inactive_followers(
            self._followers, present, revision, now_s
        )
        vm = self._board.identity.vm
        updates = policy.plan_updates(vm, self._followers, present, revision)
        for begin in range(0, len(updates), store_api.MAX_BATCH_CHANGES):
            lease = self._board.lease
            if not lease or not self._board.reads_from_store:
                return
            batch = updates[begin : begin + store_api.MAX_BATCH_CHANGES]
            if not await self._write_batch(batch, lease):
                return

    async def _write_batch(
        self, batch: list[policy.EntryUpdate], lease: str
    ) -> bool:
        """Writes a batch.

        Args:
            batch: The updates.
            lease: The lease of the entries.

        Returns:
            False if the remaining batches should wait for the next round.
        """
        changes = [self._encode_update(update, lease) for update in batch]
        result = await self._store.write_batch(changes)
        if result.is_error():
            return await self._handle_failure(result.error, batch)
        self._contact.record_success()
        match result.ok:
            case store_api.Written(revision=revision):
                self._record_written(batch, revision)
                return True
            case store_api.BatchConflict():
                # The copy of the store is outdated; the next round plans
                # with its update.
                return False

    async def _handle_failure(
        self, failure: errors.Failure, batch: list[policy.EntryUpdate]
    ) -> bool:
        """Handles a failed batch.

        Args:
            failure: The error.
            batch: The updates that may not be written.

        Returns:
            False: the remaining batches should wait for the next round.
        """
        if failure.kind is errors.Kind.NOT_FOUND:
            _logger.info("the lease of this VM and its followers has expired")
            self._board.lease = ""
            return False
        self._contact.record_failure(failure)
        if failure.kind is errors.Kind.STORE_OUTCOME_UNKNOWN:
            for update in batch:
                follower = self._followers.get(update.vm)
                if follower is not None:
                    follower.attempt_revision = self._copy.revision
            await asyncio.sleep(UNKNOWN_OUTCOME_PAUSE_S)
        return False

    def _encode_update(
        self, update: policy.EntryUpdate, lease: str
    ) -> store_api.Change:
        """Encodes an update as a change of the store."""
        key = self._make_key(update.vm)
        if update.member is None:
            return store_api.Change(key, None, update.expected_revision)
        value = self._encode(update.member)
        return store_api.Change(key, value, update.expected_revision, lease)

    def _record_written(
        self, batch: list[policy.EntryUpdate], revision: int
    ) -> None:
        """Records that a batch was written at a revision."""
        for update in batch:
            follower = self._followers.get(update.vm)
            if follower is not None and update.member is not None:
                follower.written_revision = revision
        removed = sum(update.member is None for update in batch)
        _logger.info(
            "wrote {} and deleted {} entries of VMs at revision {}",
            len(batch) - removed,
            removed,
            revision,
        )

    def _list_present(self) -> dict[str, policy.StoredEntry]:
        """Returns the entries of followers and those written by this VM."""
        present: dict[str, policy.StoredEntry] = {}
        keeper = self._board.identity.vm
        for vm, member in self._board.members.items():
            if vm not in self._followers and member.keeper != keeper:
                continue
            revision = self._copy.get_revision(self._make_key(vm))
            if revision != store_api.NO_REVISION:
                present[vm] = policy.StoredEntry(member, revision)
        return present
