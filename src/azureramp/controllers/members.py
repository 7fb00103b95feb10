"""Maintains the blackboard's members from the VM list and from messages."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from azureramp import blackboard, events, messages
from azureramp.policy import heartbeat_times, ownership
from azureramp.policy import membership as policy
from azureramp.ports.vmlist import api as vmlist_api

IN_CONTACT = (blackboard.MemberState.LIVE, blackboard.MemberState.LEAVING)
"""The states of members from which this VM receives messages."""


class Members:
    """Maintains `Blackboard.members`.

    Attributes:
        leaving: True once this VM shuts down.
        has_received_heartbeats: True once this process has had time to
            receive heartbeats.
        pace: The intervals and timeouts for the size of the last VM list.
    """

    __slots__ = (
        "_board",
        "_leaving_vms",
        "_suspects",
        "has_received_heartbeats",
        "leaving",
        "pace",
    )

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Creates a table without members."""
        self._board = board
        self._leaving_vms: set[str] = set()
        self._suspects: dict[str, frozenset[str]] = {}
        self.leaving = False
        self.has_received_heartbeats = False
        self.pace = self._compute_pace(1)

    def _compute_pace(self, vms: int) -> heartbeat_times.HeartbeatTimes:
        """Computes the intervals and timeouts for a number of VMs."""
        settings = self._board.settings
        return heartbeat_times.compute_heartbeat_times(
            vms, settings.heartbeat_ms, settings.suspect_ms, settings.lease_ms
        )

    def record_contact(self, sender: str, incarnation: int) -> bool:
        """Records that a message of a VM was received.

        An envelope of an earlier process of the same VM may still be in
        transit when the new one runs. Its content doesn't apply to the new
        process: its heartbeat must not mark a restarted VM as ready or as an
        owner.

        Returns:
            False if the VM is not a member, or the message is from an earlier
            process than the last one seen.
        """
        member = self._board.members.get(sender)
        if member is None or incarnation < member.incarnation:
            return False
        member.last_contact_s = _now_s()
        if incarnation != member.incarnation:
            self._reset(member, incarnation)
        return True

    def apply_heartbeat(
        self, member: blackboard.Member, message: messages.Heartbeat
    ) -> None:
        """Applies the state that a VM reports in its heartbeat."""
        now_s = _now_s()
        member.ready = message.ready
        member.accepts_searchers = message.owns
        member.revision = message.revision
        member.confirmed_s = now_s - message.confirmed_age_ms / 1000
        if message.searchers is not None:
            member.searchers = message.searchers
        self._suspects[member.vm.name] = frozenset(message.suspects)
        if message.leaving:
            self._leaving_vms.add(member.vm.name)

    def apply_acknowledgement(
        self, sender: str, sent_s: float, message: messages.HeartbeatAck
    ) -> None:
        """Stores the configuration state in the newest acknowledgement.

        Its content counts from the time when the heartbeat was sent: however
        late the acknowledgement arrives, it was true then or later. An
        acknowledgement of an earlier heartbeat or of an earlier process is
        ignored.
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

    def apply_list(self, listed: Mapping[str, vmlist_api.Vm]) -> None:
        """Updates the members from a VM list.

        The list lags behind, so a VM that is no longer listed stays a member
        as long as messages of it are received.
        """
        members = self._board.members
        self.pace = self._compute_pace(len(listed))
        for name, vm in listed.items():
            if name in members:
                members[name].vm = vm
            else:
                members[name] = blackboard.Member(vm)
        silent_s = _now_s() - self.pace.suspect_s
        for name in [name for name in members if name not in listed]:
            if members[name].last_contact_s < silent_s:
                del members[name]
                self._leaving_vms.discard(name)
                self._suspects.pop(name, None)

    def update_states(self) -> None:
        """Updates the state of every member."""
        now_s = _now_s()
        self._update_own(now_s)
        states = policy.classify_members(
            self._get_observations(), now_s, self.pace.suspect_s
        )
        for name, standing in states.items():
            state = blackboard.MemberState(standing.value)
            self._set_state(self._board.members[name], state)

    def exclude_pause(self, pause_s: float) -> None:
        """Excludes a pause of this process from the time without contact.

        Args:
            pause_s: The duration of the pause, in seconds.
        """
        now_s = _now_s()
        for member in self._board.members.values():
            member.last_contact_s = min(now_s, member.last_contact_s + pause_s)

    def get_candidates(self) -> list[ownership.OwnerCandidate]:
        """Returns the VMs that may own searchers, this one included.

        A VM that has just started knows neither the searchers nor the other
        VMs. Until it announces that it takes over searchers, the current
        owners keep theirs: searchers handed to it would have no owner for a
        while.
        """
        now_s = _now_s()
        members = self._board.members
        candidates = [
            ownership.OwnerCandidate(name, members[name].vm.zone)
            for name, sighting in self._get_observations().items()
            if members[name].accepts_searchers
            and policy.is_possible_owner(
                policy.AssessedState(members[name].state.value), sighting, now_s
            )
        ]
        own = members.get(self._board.settings.vm)
        if own is not None and own.accepts_searchers:
            candidates.append(
                ownership.OwnerCandidate(own.vm.name, own.vm.zone)
            )
        return candidates

    def get_unreachable(self) -> tuple[str, ...]:
        """Returns the names of the members that are not in contact."""
        return tuple(
            name
            for name, member in self._board.members.items()
            if member.state not in IN_CONTACT
        )

    def _get_observations(self) -> dict[str, policy.Observation]:
        """Returns the observations of the other VMs, by name."""
        return {
            name: policy.Observation(
                member.last_contact_s,
                name in self._leaving_vms,
                self._suspects.get(name, frozenset()),
                member.lease_until_s,
            )
            for name, member in self._board.members.items()
            if name != self._board.settings.vm
        }

    def _reset(self, member: blackboard.Member, incarnation: int) -> None:
        """Clears the state that an earlier process of a VM reported."""
        name = member.vm.name
        member.incarnation = incarnation
        member.ready = False
        member.accepts_searchers = False
        member.revision = 0
        member.searchers = ()
        self._leaving_vms.discard(name)
        self._suspects.pop(name, None)
        member.state = blackboard.MemberState.LISTED
        self._record(member)

    def _update_own(self, now_s: float) -> None:
        """Updates this VM's own entry."""
        own = self._board.members.get(self._board.settings.vm)
        if own is None:
            return
        own.last_contact_s = now_s
        own.incarnation = self._board.incarnation
        own.accepts_searchers = (
            self.has_received_heartbeats
            and not self.leaving
            and self._board.configuration.revision > 0
        )
        own.ready = self._board.serving is blackboard.Serving.READY
        own.revision = self._board.configuration.revision
        own.confirmed_s = self._board.confirmed_s
        state = blackboard.MemberState.LIVE
        if self.leaving:
            state = blackboard.MemberState.LEAVING
        self._set_state(own, state)

    def _set_state(
        self, member: blackboard.Member, state: blackboard.MemberState
    ) -> None:
        """Sets a member's state; records a change in the timeline."""
        if member.state is not state:
            member.state = state
            self._record(member)

    def _record(self, member: blackboard.Member) -> None:
        """Records a member's state in the timeline."""
        self._board.timeline.record(
            events.MemberChanged(
                vm=member.vm.name,
                incarnation=member.incarnation,
                state=member.state.value,
            ),
            _now_s(),
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
