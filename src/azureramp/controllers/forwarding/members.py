"""The VMs of this tier: announcing this one, and knowing the others."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import contact
from azureramp.policy import strain as strain_module
from azureramp.ports.store import api as store_api

LEASE_S = 3.0
"""Length of the lease on this VM's entry, in seconds. A VM that dies is named
to callers at most this long, plus the way of the news."""

RENEW_S = 1.0
"""Time between renewals, in seconds: two may be lost."""

STRAIN_S = 0.25
"""Time between two looks at how late timers fire, in seconds."""

WRITES = 2
"""Writes in one turn: the first may run into an older entry."""

Encode = Callable[[catalog.Member], tuple[str, bytes]]
"""Returns the key and the value of a VM's entry."""

_logger = logbook.Logger("azureramp.members")


class Members:
    """Announces this VM and keeps the others on the blackboard."""

    __slots__ = (
        "_board",
        "_contact",
        "_encode",
        "_lapsed",
        "_lease",
        "_revision",
        "_rng",
        "_store",
        "_written",
    )

    def __init__(
        self,
        board: board_module.Board,
        store: store_api.Store,
        encode: Encode,
        contacts: contact.Contacts,
        rng: random.Random,
    ) -> None:
        """Makes a controller that has announced nothing; see `run`."""
        self._board = board
        self._store = store
        self._encode = encode
        self._contact = contacts
        self._rng = rng
        self._lease = ""
        self._revision = store_api.CREATE
        self._written = False
        self._lapsed: set[str] = set()

    def put(self, member: catalog.Member) -> None:
        """Takes a VM's announcement."""
        self._lapsed.discard(member.vm)
        if self._board.members.get(member.vm) != member:
            _logger.info("VM {} serves at {}", member.vm, member.address)
        self._board.members[member.vm] = member

    def remove(self, vm: str, settled: bool) -> None:
        """Takes that a VM's entry is gone.

        Args:
            vm: The VM's name.
            settled: False if the store was away just now: the entry may have
                lapsed though the VM lives.
        """
        if vm == self._board.identity.vm:
            self._written = False
        if not settled:
            self._lapsed.add(vm)
        elif self._board.members.pop(vm, None) is not None:
            _logger.info("VM {} is gone", vm)

    def drop_lapsed(self) -> None:
        """Forgets the VMs whose entries have not come back."""
        for vm in self._lapsed:
            if self._board.members.pop(vm, None) is not None:
                _logger.info("VM {} is gone", vm)
        self._lapsed.clear()

    async def run(self) -> None:
        """Announces this VM while it is ready, forever."""
        while True:
            if self._board.is_ready():
                await self._announce()
            await asyncio.sleep(RENEW_S * self._rng.uniform(0.9, 1.0))

    async def run_strain(self) -> None:
        """Tells the other VMs when this one is busy, forever."""
        strain = strain_module.Strain()
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + STRAIN_S
            await asyncio.sleep(STRAIN_S)
            now_s = loop.time()
            busy = strain.add(now_s - due_s, now_s)
            if busy != self._board.busy:
                self._board.busy = busy
                self._written = False
                _logger.info("this VM is {}", "busy" if busy else "not busy")

    async def leave(self) -> None:
        """Takes this VM's entry away, as far as the store can be reached."""
        key, _ = self._encode(self._describe())
        result = await self._store.delete(key, self._revision)
        match result:
            case _ if result.is_error():
                _logger.warning("could not leave: {}", result.error.kind.value)
            case _:
                _logger.info("took this VM's entry away")

    async def _announce(self) -> None:
        """Renews the lease, or writes the entry under a new one."""
        if self._lease:
            kept = await self._store.keep_lease(self._lease)
            if kept.is_error():
                self._contact.note_failure(kept.error)
                return
            self._contact.note_success()
            if not kept.ok:
                self._lease = ""
                self._written = False
        if not self._lease:
            granted = await self._store.grant_lease(LEASE_S)
            if granted.is_error():
                self._contact.note_failure(granted.error)
                return
            self._lease = granted.ok
            self._written = False
        for _ in range(WRITES):
            if self._written or not self._lease or not self._board.is_ready():
                return
            await self._write()

    async def _write(self) -> None:
        """Writes this VM's entry."""
        key, value = self._encode(self._describe())
        result = await self._store.write(
            key, value, self._revision, self._lease
        )
        if result.is_error():
            self._lease = ""
            if result.error.kind is not errors.Kind.NOT_FOUND:
                self._contact.note_failure(result.error)
            return
        match result.ok:
            case store_api.Written(revision=revision):
                self._revision = revision
                self._written = True
            case store_api.Conflicted(present=present):
                # An entry of this VM's last process, or of a write whose
                # answer was lost. It is this VM's own, so it is replaced.
                self._revision = present.revision if present else 0

    def _describe(self) -> catalog.Member:
        """Describes this VM."""
        identity = self._board.identity
        return catalog.Member(
            vm=identity.vm,
            zone=identity.zone,
            address=identity.front_address,
            peer_address=identity.peer_address,
            cores=identity.cores,
            leaving=self._board.leaving,
            busy=self._board.busy,
        )
