"""Announcement of this VM in the store, and the list of the other VMs."""

from __future__ import annotations

import asyncio
import contextlib
import random

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import change_log, roster, store_contact
from azureramp.policy import overload as overload_module
from azureramp.policy import store_copy
from azureramp.ports.store import api as store_api

LEASE_S = 3.0
"""Length of the lease on this VM's entry, in seconds. A VM that crashes is
advertised to callers for at most this long plus the propagation of the
change."""

RENEW_INTERVAL_S = 1.0
"""Time between renewals, in seconds. The lease survives two lost renewals."""

LAG_CHECK_INTERVAL_S = 0.25
"""Time between two measurements of the event loop's lag, in seconds."""

WRITE_ATTEMPTS = 2
"""Attempts to write an entry before the next renewal; the first may conflict
with an older entry."""

ANNOUNCEMENT_TIMEOUT_S = 2.0
"""Time without an announcement by another VM after which a VM announces
itself, in seconds."""

START_ELAPSED_S = 1.0
"""Part of `ANNOUNCEMENT_TIMEOUT_S` that counts as elapsed when the process
starts, in seconds, since no VM can have announced it yet."""

_logger = logbook.Logger("azureramp.members")


class MemberTracker:
    """Announces this VM and maintains the list of VMs on the blackboard."""

    __slots__ = (
        "_board",
        "_contact",
        "_copy",
        "_encode",
        "_lapsed",
        "_log",
        "_make_key",
        "_revision",
        "_rng",
        "_roster",
        "_store",
        "_wake_event",
        "_written",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        copy: store_copy.StoreCopy,
        vm_roster: roster.Roster,
        make_key: roster.MakeKey,
        encode: roster.EncodeMember,
        contacts: store_contact.StoreContactTracker,
        rng: random.Random,
        log: change_log.ChangeLog,
    ) -> None:
        """Creates a controller that has announced nothing; see `run`.

        Args:
            board: The process's state.
            store: The store.
            copy: This VM's copy of the store's entries.
            vm_roster: The VMs that this one announces.
            make_key: Returns the key of a VM's entry.
            encode: Returns the value of a VM's entry.
            contacts: Records the outcome of store calls.
            rng: Source of the random renewal intervals.
            log: Counts changes of the other VMs.
        """
        self._log = log
        self._copy = copy
        self._roster = vm_roster
        self._make_key = make_key
        self._wake_event = asyncio.Event()
        self._board = board
        self._store = store
        self._encode = encode
        self._contact = contacts
        self._rng = rng
        self._revision = store_api.NO_REVISION
        self._written = False
        self._lapsed: set[str] = set()

    def update_member(self, member: catalog.Member) -> None:
        """Adds a VM to the list, or updates its entry.

        Args:
            member: The VM as it is announced in the store.
        """
        self._lapsed.discard(member.vm)
        if self._board.members.get(member.vm) != member:
            self._log.count(change_log.Change.VM_SEEN)
        self._board.members[member.vm] = member

    def remove(self, vm: str, certain: bool) -> None:
        """Handles the deletion of a VM's entry.

        Args:
            vm: The VM's name.
            certain: False if the entry may have expired in an outage of the
                store although the VM is alive. The VM is then kept until
                `remove_expired`.
        """
        if vm == self._board.identity.vm:
            self._written = False
        if not certain:
            self._lapsed.add(vm)
        elif self._board.members.pop(vm, None) is not None:
            self._log.count(change_log.Change.VM_GONE)

    def remove_expired(self) -> None:
        """Removes the VMs whose expired entries have not been written again."""
        for vm in self._lapsed:
            if self._board.members.pop(vm, None) is not None:
                self._log.count(change_log.Change.VM_GONE)
        self._lapsed.clear()

    async def run(self) -> None:
        """Announces this VM whenever it is ready. Never returns."""
        while True:
            self._wake_event.clear()
            if self._board.is_ready():
                await self._announce()
            pause_s = RENEW_INTERVAL_S * self._rng.uniform(0.9, 1.0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._wake_event.wait()

    def check_lease(self) -> None:
        """Makes `run` check immediately whether this VM needs a lease."""
        self._wake_event.set()

    async def run_load_check(self) -> None:
        """Measures this VM's load and publishes changes. Never returns."""
        overload = overload_module.OverloadDetector()
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            now_s = loop.time()
            busy = overload.record_delay(now_s - due_s, now_s)
            if busy != self._board.busy:
                self._board.busy = busy
                self._written = False
                _logger.info(
                    "this VM is now {}", "busy" if busy else "not busy"
                )

    async def delete_entry(self) -> None:
        """Deletes this VM's entry.

        Does not retry if the store is unreachable.
        """
        key = self._make_key(self._board.identity.vm)
        expected = self._get_own_revision(key)
        for _ in range(WRITE_ATTEMPTS):
            result = await self._store.delete(key, expected)
            if result.is_error():
                kind = result.error.kind.value
                _logger.warning("could not delete this VM's entry: {}", kind)
                return
            match result.ok:
                case store_api.Conflict(current=current) if current:
                    expected = current.revision
                case _:
                    _logger.info("deleted this VM's entry")
                    return

    def _announces_itself(self) -> bool:
        """Returns True if no other VM should announce this one.

        VMs that are advertised to callers or that announce others must not
        depend on another VM's lease.
        """
        board = self._board
        return (
            board.is_relay
            or board.identity.vm in board.advertised
            or self._roster.has_followers()
        )

    def _is_announcement_overdue(self) -> bool:
        """Returns True if the last announcement by another VM is too old."""
        board = self._board
        now_s = asyncio.get_running_loop().time()
        last_s = max(board.last_announced_s, board.started_s - START_ELAPSED_S)
        return now_s - last_s > ANNOUNCEMENT_TIMEOUT_S

    async def _announce(self) -> None:
        """Renews this VM's lease, and writes its entry if necessary."""
        board = self._board
        board.announces_own_entry = self._announces_itself()
        needed = board.announces_own_entry or self._is_announcement_overdue()
        if not needed and not self._has_own_entry():
            # Another VM announces this one. A lease that is still held is no
            # longer renewed and expires.
            board.lease = ""
            return
        if board.lease:
            kept = await self._store.renew_lease(board.lease)
            if kept.is_error():
                self._contact.record_failure(kept.error)
                return
            self._contact.record_success()
            if not kept.ok:
                board.lease = ""
        if not board.lease:
            granted = await self._store.grant_lease(LEASE_S)
            if granted.is_error():
                self._contact.record_failure(granted.error)
                return
            board.lease = granted.ok
            self._written = False
        if needed and not self._has_own_entry():
            await self._write_entry()

    def _has_own_entry(self) -> bool:
        """Returns True if the store has this VM's entry under its own lease.

        That is no longer so if the copy of the store shows a later write by
        another VM.
        """
        if not self._written or not self._board.lease:
            return False
        key = self._make_key(self._board.identity.vm)
        return self._copy.get_revision(key) <= self._revision

    def _get_own_revision(self, key: str) -> int:
        """Returns the latest known revision of this VM's entry.

        Args:
            key: The entry's key.
        """
        if self._copy.revision >= self._revision:
            return self._copy.get_revision(key)
        return self._revision

    async def _write_entry(self) -> None:
        """Writes this VM's entry and replaces a conflicting one.

        A conflicting entry comes from this VM's previous process, from the VM
        that announced this one, or from an earlier write by this VM whose
        answer was lost.
        """
        board = self._board
        board.begin_announcement()
        member = board.make_member()
        key = self._make_key(member.vm)
        expected = self._get_own_revision(key)
        for _ in range(WRITE_ATTEMPTS):
            if not board.lease or not board.is_ready():
                return
            result = await self._store.write(
                key, self._encode(member), expected, board.lease
            )
            if result.is_error():
                board.lease = ""
                if result.error.kind is not errors.Kind.NOT_FOUND:
                    self._contact.record_failure(result.error)
                return
            match result.ok:
                case store_api.Written(revision=revision):
                    self._revision = revision
                    self._written = True
                    return
                case store_api.Conflict(current=current):
                    expected = current.revision if current else 0
