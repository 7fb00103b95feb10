"""Heartbeats: announces this VM's state to the others and receives theirs."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import logbook

from azureramp import blackboard, messages
from azureramp.controllers import links, ownership
from azureramp.controllers import members as members_module
from azureramp.controllers import outbox as outbox_module
from azureramp.policy import heartbeat_states, leases
from azureramp.policy import membership as policy
from azureramp.ports.vmlist import api as vmlist_api

SEQUENCE_BITS = 10
"""Number of bits by which an incarnation is shifted to make the first sequence
number. Incarnations count microseconds, and a process sends far fewer than
1024 heartbeats per microsecond, so sequence numbers never repeat."""

_logger = logbook.Logger("azureramp.membership")


class Membership:
    """Maintains this VM's view of the other VMs.

    Attributes:
        on_owners_changed: Called after the owners, or the times from which this
            VM may use its searchers, changed.
    """

    __slots__ = (
        "_announced",
        "_announced_revision",
        "_board",
        "_from_old_process",
        "_links",
        "_members",
        "_next_heartbeat_s",
        "_outbox",
        "_ownership",
        "_pending_acks",
        "_sequence",
        "_started_s",
        "_vmlist",
        "on_owners_changed",
    )

    def __init__(
        self,
        board: blackboard.Blackboard,
        outbox: outbox_module.Outbox,
        vmlist: vmlist_api.VmList,
    ) -> None:
        """Creates a controller without members; see `make`."""
        self._board = board
        self._outbox = outbox
        self._vmlist = vmlist
        self._members = members_module.Members(board)
        self._ownership: ownership.Ownership | None = None
        self._started_s = math.inf
        self._next_heartbeat_s = math.inf
        # An acknowledgement of a heartbeat of this VM's previous process may
        # still be in transit. If sequence numbers started at zero again, it
        # would be accepted as one of this process's heartbeats.
        self._sequence = board.incarnation << SEQUENCE_BITS
        self._from_old_process = False
        self._announced_revision = 0
        self._links = links.Links(board, outbox)
        self._pending_acks: dict[str, messages.HeartbeatAck] = {}
        self._announced = heartbeat_states.StateSelector()
        self.on_owners_changed: Callable[[], None] | None = None

    def announce_leaving(self) -> None:
        """Announces to the other VMs that this one shuts down."""
        self._members.leaving = True
        self.update()
        self._send_heartbeats()

    def receive_envelope(self, sender: str, incarnation: int) -> None:
        """Records contact with a VM; see `inbox.Receivers`."""
        self._compensate_pause()
        self._from_old_process = not self._members.record_contact(
            sender, incarnation
        )

    def receive_heartbeat(
        self, sender: str, message: messages.Heartbeat
    ) -> None:
        """Applies a heartbeat and acknowledges it."""
        member = self._board.members.get(sender)
        if member is None or self._from_old_process:
            return
        state = member.state
        if self._ownership is not None:
            for names in message.lists:
                self._ownership.window.record_from_peer(names, _now_s())
        self._members.apply_heartbeat(member, message)
        if state is not blackboard.MemberState.LIVE or message.leaving:
            self._members.update_states()
        self._acknowledge(sender, member, message)
        if member.state is not state:
            self.update()

    def receive_heartbeat_ack(
        self, sender: str, message: messages.HeartbeatAck
    ) -> None:
        """Applies an acknowledgement and counts it towards the lease."""
        if self._from_old_process or self._ownership is None:
            return
        sent_s = self._ownership.lease.get_sent_s(message.sequence)
        if sent_s is not None:
            self._members.apply_acknowledgement(sender, sent_s, message)
            self._ownership.record_ack(sender, message, _now_s())

    async def run(self) -> None:
        """Reads the VM list and sends heartbeats, forever."""
        self._start(_now_s())
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read_lists())
            group.create_task(self._run_heartbeats())

    def update(self) -> None:
        """Updates the members' states and the owners."""
        if self._ownership is None:
            return
        now_s = _now_s()
        self._compensate_pause()
        self._members.update_states()
        if not self._is_informed(now_s):
            return
        if not self._members.has_received_heartbeats:
            self._members.has_received_heartbeats = True
            self._members.update_states()
        candidates = self._members.get_candidates()
        changed = self._ownership.update_owners(candidates, now_s)
        self._ownership.update_lease(now_s)
        if changed:
            self._send_heartbeats()

    def _start(self, now_s: float) -> None:
        """Creates the ownership state; it grants nothing for one lease length.

        If `run` is called again after a failure, the state is kept, since the
        leases already granted must stay valid.
        """
        if self._ownership is not None:
            return
        self._started_s = now_s
        self._ownership = ownership.Ownership(
            self._board, now_s, self._members.pace
        )
        self._ownership.on_owners_changed = self._call_on_owners

    def _call_on_owners(self) -> None:
        if self.on_owners_changed is not None:
            self.on_owners_changed()

    def _is_informed(self, now_s: float) -> bool:
        """Returns True if this process has had time to receive heartbeats.

        A process that has just started has received none yet, and would
        compute itself as the owner of all searchers.
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
                self._apply_list({vm.name: vm for vm in result.ok})
            else:
                _logger.info("cannot read the VM list: {}", result.error)
            await asyncio.sleep(ownership.READ_LIST_S)

    def _apply_list(self, listed: dict[str, vmlist_api.Vm]) -> None:
        """Updates the members and the majorities from a VM list."""
        if self._ownership is not None and listed:
            self._ownership.window.record(listed, _now_s())
        self._members.apply_list(listed)
        if self._ownership is not None:
            self._ownership.set_durations(self._members.pace)
        self.update()

    async def _run_heartbeats(self) -> None:
        """Sends heartbeats, forever."""
        while True:
            self.update()
            self._links.renew(self._members.pace)
            self._send_heartbeats()
            interval_s = self._members.pace.heartbeat_interval_s
            self._next_heartbeat_s = _now_s() + interval_s
            await asyncio.sleep(interval_s)

    def _compensate_pause(self) -> None:
        """Detects a pause of this process and compensates for it.

        Other VMs must not become suspects because this process was paused.
        Called before each evaluation and for each envelope, because after a
        pause the heartbeat timer isn't necessarily the first callback to run.
        """
        now_s = _now_s()
        interval_s = self._members.pace.heartbeat_interval_s
        pause_s = policy.compute_pause_s(
            self._next_heartbeat_s, now_s, interval_s
        )
        if pause_s > 0.0:
            self._members.exclude_pause(pause_s)
            self._next_heartbeat_s = now_s

    def _send_heartbeats(self) -> None:
        """Sends a heartbeat to every other VM and applies it to this one.

        This VM grants its own claims as it grants those of others. Pending
        acknowledgements are sent with the heartbeat.
        """
        if self._ownership is None:
            return
        now_s = _now_s()
        self._sequence += 1
        heartbeat = self._make_heartbeat(self._ownership, now_s)
        self._ownership.lease.record_sent(self._sequence, now_s)
        own = self._board.settings.vm
        pending, self._pending_acks = self._pending_acks, {}
        for name in self._board.members:
            if name != own:
                self._outbox.send(name, heartbeat)
                if name in pending:
                    self._outbox.send(name, pending[name])
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
            searchers=self._announced.select(
                tuple(board.owned_states.values())
            ),
            claims=tuple(owning.lease.get_claims()),
            lists=owning.get_differing_lists(),
            suspects=self._members.get_unreachable(),
            owns=own is not None and own.accepts_searchers,
            urgent=self._is_urgent(owning, now_s),
        )

    def _is_urgent(self, owning: ownership.Ownership, now_s: float) -> bool:
        """Returns True if a change or a lease depends on acknowledgements."""
        revision = self._board.configuration.revision
        changed = revision != self._announced_revision
        self._announced_revision = revision
        return changed or self._members.leaving or owning.needs_grants(now_s)

    def _acknowledge(
        self,
        sender: str,
        member: blackboard.Member,
        message: messages.Heartbeat,
    ) -> None:
        """Acknowledges a heartbeat; a leaving VM grants no further leases.

        An acknowledgement that is not urgent is sent with this VM's next
        heartbeat, since an envelope costs more than its content.
        """
        if self._ownership is None:
            return
        now_s = _now_s()
        holder = leases.Holder(sender, member.incarnation)
        ack = self._ownership.grant(
            holder, message, now_s, leaving=self._members.leaving
        )
        if ack.granted:
            member.lease_until_s = now_s + message.lease_ms / 1000
        if message.urgent:
            self._outbox.send(sender, ack)
        else:
            self._pending_acks[sender] = ack


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def make(
    board: blackboard.Blackboard,
    outbox: outbox_module.Outbox,
    vmlist: vmlist_api.VmList,
) -> Membership:
    """Creates the membership controller of one daemon."""
    return Membership(board, outbox, vmlist)
