"""Heartbeats: what each VM tells of itself, and hears of the others."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import logbook

from azureramp import blackboard, messages
from azureramp.controllers import links, ownership
from azureramp.controllers import members as members_module
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import leases, telling
from azureramp.policy import membership as policy
from azureramp.ports.vmlist import api as vmlist_api

SEQUENCE_BITS = 10
"""How far an incarnation is shifted to give the first sequence number. It
counts microseconds, and a process sends far fewer than 1024 heartbeats in
each."""

_logger = logbook.Logger("azureramp.membership")


class Membership:
    """Keeps this VM's view of the others.

    Attributes:
        on_owners: Called after the owners or the times to start changed.
    """

    __slots__ = (
        "_board",
        "_due_s",
        "_links",
        "_members",
        "_outbox",
        "_ownership",
        "_revision",
        "_sequence",
        "_stale",
        "_started_s",
        "_told",
        "_vmlist",
        "_waiting",
        "on_owners",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        vmlist: vmlist_api.VmList,
    ) -> None:
        """Makes a controller that has heard of nobody."""
        self._board = board
        self._outbox = outbox
        self._vmlist = vmlist
        self._members = members_module.Members(board)
        self._ownership: ownership.Ownership | None = None
        self._started_s = math.inf
        self._due_s = math.inf
        # An acknowledgement of the last process's heartbeat may still be on
        # its way: with numbers that start anew it would pass for one of ours.
        self._sequence = board.incarnation << SEQUENCE_BITS
        self._stale = False
        self._revision = 0
        self._links = links.Links(board, outbox)
        self._waiting: dict[str, messages.HeartbeatAck] = {}
        self._told = telling.States()
        self.on_owners: Callable[[], None] | None = None

    def announce_leaving(self) -> None:
        """Tells the other VMs that this one goes."""
        self._members.leaving = True
        self.update()
        self._beat()

    def receive_envelope(self, sender: str, incarnation: int) -> None:
        """Notes that a VM is heard; see `inbox.Receivers`."""
        self._notice_pause()
        self._stale = not self._members.hear(sender, incarnation)

    def receive_heartbeat(
        self, sender: str, message: messages.Heartbeat
    ) -> None:
        """Takes a heartbeat and acknowledges it."""
        member = self._board.members.get(sender)
        if member is None or self._stale:
            return
        state = member.state
        if self._ownership is not None:
            for names in message.lists:
                self._ownership.window.inherit(names, _now_s())
        self._members.take_heartbeat(member, message)
        if state is not blackboard.MemberState.LIVE or message.leaving:
            self._members.judge()
        self._acknowledge(sender, member, message)
        if member.state is not state:
            self.update()

    def receive_heartbeat_ack(
        self, sender: str, message: messages.HeartbeatAck
    ) -> None:
        """Counts an acknowledgement towards the lease."""
        if self._stale or self._ownership is None:
            return
        sent_s = self._ownership.lease.get_sent_s(message.sequence)
        if sent_s is not None:
            self._members.take_acknowledgement(sender, sent_s, message)
            self._ownership.record_ack(sender, message, _now_s())

    async def run(self) -> None:
        """Reads the list and sends heartbeats, forever."""
        self._start(_now_s())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_lists())
            group.create_task(self._beat_on())

    def update(self) -> None:
        """Judges the members and computes the owners again."""
        if self._ownership is None:
            return
        now_s = _now_s()
        self._notice_pause()
        self._members.judge()
        if not self._knows_enough(now_s):
            return
        if not self._members.informed:
            self._members.informed = True
            self._members.judge()
        candidates = self._members.get_candidates()
        changed = self._ownership.update_owners(candidates, now_s)
        self._ownership.update_lease(now_s)
        if changed:
            self._beat()

    def _start(self, now_s: float) -> None:
        """Begins, promising nothing for one lease length.

        When `run` is called again after a bug, the promises already made
        must hold, so the state is kept.
        """
        if self._ownership is not None:
            return
        self._started_s = now_s
        self._ownership = ownership.Ownership(
            self._board, now_s, self._members.pace
        )
        self._ownership.on_owners = self._call_on_owners

    def _call_on_owners(self) -> None:
        if self.on_owners is not None:
            self.on_owners()

    def _knows_enough(self, now_s: float) -> bool:
        """Tells whether this process has had time to hear the others.

        One that has just begun has heard nobody yet, and would take itself
        for the owner of everything.
        """
        if now_s >= self._started_s + self._members.pace.suspect_s:
            return True
        return bool(self._board.members) and all(
            member.state is not blackboard.MemberState.LISTED
            for member in self._board.members.values()
        )

    async def _read_lists(self) -> None:
        """Reads the VM list, forever."""
        while True:
            result = await self._vmlist.read()
            if result.is_ok():
                self._take_list({vm.name: vm for vm in result.ok})
            else:
                _logger.info("the VM list can't be read: {}", result.error)
            await asyncio.sleep(ownership.READ_LIST_S)

    def _take_list(self, listed: dict[str, vmlist_api.Vm]) -> None:
        """Brings the members and the majorities up to a VM list."""
        if self._ownership is not None and listed:
            self._ownership.window.record(listed, _now_s())
        self._members.take_list(listed)
        if self._ownership is not None:
            self._ownership.set_pace(self._members.pace)
        self.update()

    async def _beat_on(self) -> None:
        """Sends heartbeats, forever."""
        while True:
            self.update()
            self._links.renew(self._members.pace)
            self._beat()
            interval_s = self._members.pace.interval_s
            self._due_s = _now_s() + interval_s
            await asyncio.sleep(interval_s)

    def _notice_pause(self) -> None:
        """Excuses the others' silence by an own pause, before any judging.

        Whatever the process does first when it goes on comes here: the timer
        of the heartbeat need not be the first to fire.
        """
        now_s = _now_s()
        interval_s = self._members.pace.interval_s
        pause_s = policy.compute_pause(self._due_s, now_s, interval_s)
        if pause_s > 0.0:
            self._members.excuse(pause_s)
            self._due_s = now_s

    def _beat(self) -> None:
        """Sends a heartbeat to every other VM, and grants this VM's own."""
        if self._ownership is None:
            return
        now_s = _now_s()
        self._sequence += 1
        heartbeat = self._make_heartbeat(self._ownership, now_s)
        self._ownership.lease.record_sent(self._sequence, now_s)
        own = self._board.settings.vm
        waiting, self._waiting = self._waiting, {}
        for name in self._board.members:
            if name != own:
                self._outbox.send(name, heartbeat)
                if name in waiting:
                    self._outbox.send(name, waiting[name])
        if not self._members.leaving:
            holder = leases.Holder(own, self._board.incarnation)
            ack = self._ownership.grant(holder, heartbeat, now_s)
            self._ownership.record_ack(own, ack, now_s)

    def _make_heartbeat(
        self, owning: ownership.Ownership, now_s: float
    ) -> messages.Heartbeat:
        """Makes the next heartbeat."""
        board = self._board
        own = board.members.get(board.settings.vm)
        return messages.Heartbeat(
            sequence=self._sequence,
            leaving=self._members.leaving,
            ready=board.serving is blackboard.Serving.READY,
            revision=board.configuration.revision,
            confirmed_age_ms=(now_s - board.confirmed_s) * 1000,
            lease_ms=self._members.pace.lease_s * 1000,
            searchers=self._told.choose(tuple(board.owned.values())),
            claims=tuple(owning.lease.get_claims()),
            lists=owning.get_lists_to_tell(),
            suspects=self._members.get_unheard(),
            owns=own is not None and own.owns,
            urgent=self._is_urgent(owning, now_s),
        )

    def _is_urgent(self, owning: ownership.Ownership, now_s: float) -> bool:
        """Tells whether somebody waits for the acknowledgements."""
        revision = self._board.configuration.revision
        changed = revision != self._revision
        self._revision = revision
        return changed or self._members.leaving or owning.waits(now_s)

    def _acknowledge(
        self,
        sender: str,
        member: blackboard.Member,
        message: messages.Heartbeat,
    ) -> None:
        """Answers a heartbeat; a VM that leaves promises nothing more.

        An answer that is not urgent travels with our own next heartbeat,
        since an envelope costs more than what is in it.
        """
        if self._ownership is None:
            return
        now_s = _now_s()
        holder = leases.Holder(sender, member.incarnation)
        ack = self._ownership.grant(
            holder, message, now_s, leaving=self._members.leaving
        )
        if ack.granted:
            member.may_own_until_s = now_s + message.lease_ms / 1000
        if message.urgent:
            self._outbox.send(sender, ack)
        else:
            self._waiting[sender] = ack


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    vmlist: vmlist_api.VmList,
) -> Membership:
    """Makes the membership controller of one daemon."""
    return Membership(board, outbox, vmlist)
