"""Who is there: heartbeats, the VM list, the lease, and who owns what."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import logbook

from azureramp import blackboard, events, messages, resources
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import ownership
from azureramp.ports.vmlist import api as vmlist_api

LIST_S = 1.0
"""Time between reads of the VM list, in seconds."""

_logger = logbook.Logger("azureramp.membership")


class Membership:
    """Keeps this VM's view of the others.

    Attributes:
        on_owners: Called after the owners changed.
    """

    __slots__ = (
        "_acks",
        "_board",
        "_leaving",
        "_outbox",
        "_sent_s",
        "_sequence",
        "_started_s",
        "_vmlist",
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
        # An acknowledgement of the last process's heartbeat may still be on
        # its way: with numbers that start anew it would pass for one of ours.
        self._sequence = board.incarnation << 10
        self._sent_s: dict[int, float] = {}
        self._acks: dict[str, float] = {}
        self._leaving = False
        self._started_s = math.inf
        self.on_owners: Callable[[], None] | None = None

    def announce_leaving(self) -> None:
        """Tells the other VMs that this one goes."""
        self._leaving = True
        self._beat()

    def receive_envelope(self, sender: str, incarnation: int) -> None:
        """Notes that a VM is heard; see `inbox.Receivers`."""
        member = self._board.members.get(sender)
        if member is None or incarnation < member.incarnation:
            return
        member.heard_s = asyncio.get_running_loop().time()
        if incarnation != member.incarnation:
            member.incarnation = incarnation
            self._acks.pop(sender, None)

    def receive_heartbeat(
        self, sender: str, message: messages.Heartbeat
    ) -> None:
        """Takes a heartbeat and acknowledges it."""
        member = self._board.members.get(sender)
        if member is None:
            return
        now_s = asyncio.get_running_loop().time()
        settings = self._board.settings
        member.ready = message.ready
        member.revision = message.revision
        member.confirmed_s = now_s - message.confirmed_age_ms / 1000
        member.searchers = message.searchers
        state = blackboard.MemberState.LIVE
        if message.leaving:
            state = blackboard.MemberState.LEAVING
        self._mark(member, state)
        granted = (
            message.lease_ms > 0
            and message.lease_ms <= settings.lease_ms
            and now_s >= self._started_s + settings.lease_ms / 1000
        )
        if granted:
            member.may_own_until_s = now_s + message.lease_ms / 1000
        self._outbox.send(
            sender,
            messages.HeartbeatAck(
                sequence=message.sequence,
                granted=granted,
                revision=self._board.configuration.revision,
                confirmed_age_ms=(now_s - self._board.confirmed_s) * 1000,
                incarnation=self._board.incarnation,
            ),
        )

    def receive_heartbeat_ack(
        self, sender: str, message: messages.HeartbeatAck
    ) -> None:
        """Counts an acknowledgement towards the lease."""
        sent_s = self._sent_s.get(message.sequence)
        if sent_s is None:
            return
        self._note_acknowledgement(sender, sent_s, message)
        if not message.granted:
            return
        self._acks[sender] = max(self._acks.get(sender, -math.inf), sent_s)
        self._update_lease()

    def _note_acknowledgement(
        self, sender: str, sent_s: float, message: messages.HeartbeatAck
    ) -> None:
        """Keeps what the newest acknowledgement says of the configuration.

        All of it counts from the sending of the heartbeat: however late the
        acknowledgement is, it was true then or later. Late ones of an
        earlier heartbeat, or of a process that has gone, change nothing.
        """
        member = self._board.members.get(sender)
        if member is None or sent_s < member.acknowledged_s:
            return
        if message.incarnation < member.acknowledged_incarnation:
            return
        member.acknowledged_s = sent_s
        member.acknowledged_revision = message.revision
        member.acknowledged_incarnation = message.incarnation
        member.acknowledged_confirmed_s = (
            sent_s - message.confirmed_age_ms / 1000
        )

    async def run(self) -> None:
        """Reads the list and sends heartbeats, forever."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        interval_s = self._board.settings.heartbeat_ms / 1000
        next_list_s = loop.time()
        while True:
            if loop.time() >= next_list_s:
                next_list_s = loop.time() + LIST_S
                await self._read_list()
            self._beat()
            self.update()
            await asyncio.sleep(interval_s)

    def update(self) -> None:
        """Marks silent members, and computes the owners again."""
        now_s = asyncio.get_running_loop().time()
        silence_s = self._board.settings.suspect_ms / 1000
        for name, member in self._board.members.items():
            if name == self._board.settings.vm:
                continue
            heard = member.state is blackboard.MemberState.LIVE
            if heard and now_s - member.heard_s > silence_s:
                self._mark(member, blackboard.MemberState.SUSPECT)
        self._update_owners(now_s)

    async def _read_list(self) -> None:
        """Reads the VM list into the members."""
        result = await self._vmlist.read()
        if result.is_error():
            _logger.info("the VM list can't be read: {}", result.error)
            return
        listed = {vm.name: vm for vm in result.ok}
        members = self._board.members
        for name, vm in listed.items():
            if name in members:
                members[name].vm = vm
            else:
                members[name] = blackboard.Member(vm)
        now_s = asyncio.get_running_loop().time()
        silence_s = self._board.settings.suspect_ms / 1000
        for name in list(members):
            silent = now_s - members[name].heard_s > silence_s
            if name not in listed and silent:
                del members[name]
                self._acks.pop(name, None)
        self._mark_own()

    def _mark_own(self) -> None:
        """Writes this VM's own entry."""
        own = self._board.members.get(self._board.settings.vm)
        if own is None:
            return
        own.heard_s = asyncio.get_running_loop().time()
        own.incarnation = self._board.incarnation
        own.ready = self._board.serving is blackboard.Serving.READY
        own.revision = self._board.configuration.revision
        own.confirmed_s = self._board.confirmed_s
        state = blackboard.MemberState.LIVE
        if self._leaving:
            state = blackboard.MemberState.LEAVING
        self._mark(own, state)

    def _beat(self) -> None:
        """Sends a heartbeat to every other VM."""
        now_s = asyncio.get_running_loop().time()
        board = self._board
        self._mark_own()
        self._sequence += 1
        self._sent_s[self._sequence] = now_s
        lease_s = board.settings.lease_ms / 1000
        for sequence in list(self._sent_s):
            if self._sent_s[sequence] < now_s - lease_s:
                del self._sent_s[sequence]
        heartbeat = messages.Heartbeat(
            sequence=self._sequence,
            leaving=self._leaving,
            ready=board.serving is blackboard.Serving.READY,
            revision=board.configuration.revision,
            confirmed_age_ms=(now_s - board.confirmed_s) * 1000,
            lease_ms=board.settings.lease_ms,
            searchers=tuple(board.owned.values()),
        )
        for name in board.members:
            if name != board.settings.vm:
                self._outbox.send(name, heartbeat)
        self._acks[board.settings.vm] = now_s
        self._update_lease()

    def _update_lease(self) -> None:
        """Computes the lease from the acknowledgements of a majority."""
        members = self._board.members
        majority = len(members) // 2 + 1
        times = sorted(
            (self._acks[name] for name in members if name in self._acks),
            reverse=True,
        )
        if len(times) >= majority > 0:
            lease_s = self._board.settings.lease_ms / 1000
            self._board.lease_until_s = times[majority - 1] + lease_s

    def _update_owners(self, now_s: float) -> None:
        """Computes the owners, and from when on this VM may start."""
        board = self._board
        own = board.settings.vm
        zones_out = frozenset(
            name
            for name, zone in board.configuration.get_zones().items()
            if zone.state is resources.ZoneState.OUT
        )
        searchers = {
            searcher.name: server.zone
            for server in board.configuration.get_backend_servers().values()
            for searcher in server.searchers
        }
        candidates = [
            ownership.Candidate(name, member.vm.zone)
            for name, member in board.members.items()
            if member.state is blackboard.MemberState.LIVE
            and (member.revision > 0 or name == own)
        ]
        owners = ownership.choose_owners(searchers, candidates, zones_out)
        if owners == board.owners:
            return
        may_start_s = {}
        for searcher, owner in owners.items():
            if owner != own:
                continue
            may_start_s[searcher] = board.may_start_s.get(
                searcher, self._compute_start_s(searcher, now_s)
            )
        board.may_start_s = may_start_s
        board.owners = owners
        if self.on_owners is not None:
            self.on_owners()

    def _compute_start_s(self, searcher: str, now_s: float) -> float:
        """Computes when any other VM's lease must have run out."""
        others = [
            member.may_own_until_s
            for name, member in self._board.members.items()
            if name != self._board.settings.vm
        ]
        settings = self._board.settings
        first_s = self._started_s + settings.lease_ms / 1000
        previous = self._board.owners.get(searcher)
        old = self._board.members.get(previous or "")
        if old is not None:
            return max(now_s, first_s, old.may_own_until_s)
        return max([now_s, first_s, *others])

    def _mark(
        self, member: blackboard.Member, state: blackboard.MemberState
    ) -> None:
        """Changes a member's state, and records it."""
        if member.state is state:
            return
        member.state = state
        self._board.timeline.record(
            events.MemberChanged(
                vm=member.vm.name,
                incarnation=member.incarnation,
                state=state.value,
            ),
            asyncio.get_running_loop().time(),
        )


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    vmlist: vmlist_api.VmList,
) -> Membership:
    """Makes the membership controller of one daemon."""
    return Membership(board, outbox, vmlist)
