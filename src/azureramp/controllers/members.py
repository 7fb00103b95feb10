"""The blackboard's members: from the VM list, and from what is heard."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from azureramp import blackboard, events, messages
from azureramp.policy import membership as policy
from azureramp.policy import ownership, pace
from azureramp.ports.vmlist import api as vmlist_api

HEARD = (blackboard.MemberState.LIVE, blackboard.MemberState.LEAVING)
"""The states of members that are heard."""


class Members:
    """Keeps `Blackboard.members`.

    Attributes:
        leaving: True once this VM itself shuts down.
        informed: True once this process has had time to hear the others.
        pace: The times that fit the size of the list read last.
    """

    __slots__ = ("_board", "_left", "_suspects", "informed", "leaving", "pace")

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes a table of nobody."""
        self._board = board
        self._left: set[str] = set()
        self._suspects: dict[str, frozenset[str]] = {}
        self.leaving = False
        self.informed = False
        self.pace = self._compute_pace(1)

    def _compute_pace(self, vms: int) -> pace.Pace:
        """Computes the times for a list of so many VMs."""
        settings = self._board.settings
        return pace.compute_pace(
            vms, settings.heartbeat_ms, settings.suspect_ms, settings.lease_ms
        )

    def hear(self, sender: str, incarnation: int) -> bool:
        """Notes that a VM is heard.

        An envelope of an earlier process of the same VM may still be on its
        way when the new one runs. It says nothing of the new process, so its
        heartbeat must not make a restarted VM look ready, or an owner.

        Returns:
            False if the VM is not known, or the process an earlier one.
        """
        member = self._board.members.get(sender)
        if member is None or incarnation < member.incarnation:
            return False
        member.heard_s = _now_s()
        if incarnation != member.incarnation:
            self._reset(member, incarnation)
        return True

    def take_heartbeat(
        self, member: blackboard.Member, message: messages.Heartbeat
    ) -> None:
        """Takes what a VM tells of itself."""
        now_s = _now_s()
        member.ready = message.ready
        member.owns = message.owns
        member.revision = message.revision
        member.confirmed_s = now_s - message.confirmed_age_ms / 1000
        if message.searchers is not None:
            member.searchers = message.searchers
        self._suspects[member.vm.name] = frozenset(message.suspects)
        if message.leaving:
            self._left.add(member.vm.name)

    def take_acknowledgement(
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

    def take_list(self, listed: Mapping[str, vmlist_api.Vm]) -> None:
        """Brings the members up to a VM list.

        The list lags: a VM that it no longer names stays a member while it
        is heard.
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
            if members[name].heard_s < silent_s:
                del members[name]
                self._left.discard(name)
                self._suspects.pop(name, None)

    def judge(self) -> None:
        """Marks every member."""
        now_s = _now_s()
        self._mark_own(now_s)
        standings = policy.judge(
            self._get_sightings(), now_s, self.pace.suspect_s
        )
        for name, standing in standings.items():
            state = blackboard.MemberState(standing.value)
            self._mark(self._board.members[name], state)

    def excuse(self, pause_s: float) -> None:
        """Takes an own pause off the silence of the others, in seconds."""
        now_s = _now_s()
        for member in self._board.members.values():
            member.heard_s = min(now_s, member.heard_s + pause_s)

    def get_candidates(self) -> list[ownership.Candidate]:
        """Returns the VMs that may own searchers, this one included.

        A VM that has just begun knows neither searchers nor the other VMs.
        Until it says that it takes searchers over, the present owners must
        keep theirs: handed to it they would have no owner for a while.
        """
        now_s = _now_s()
        members = self._board.members
        candidates = [
            ownership.Candidate(name, members[name].vm.zone)
            for name, sighting in self._get_sightings().items()
            if members[name].owns
            and policy.may_own(
                policy.Standing(members[name].state.value), sighting, now_s
            )
        ]
        own = members.get(self._board.settings.vm)
        if own is not None and own.owns:
            candidates.append(ownership.Candidate(own.vm.name, own.vm.zone))
        return candidates

    def get_unheard(self) -> tuple[str, ...]:
        """Returns the names of the members that this VM does not hear."""
        return tuple(
            name
            for name, member in self._board.members.items()
            if member.state not in HEARD
        )

    def _get_sightings(self) -> dict[str, policy.Sighting]:
        """Returns what is known of the other VMs."""
        return {
            name: policy.Sighting(
                member.heard_s,
                name in self._left,
                self._suspects.get(name, frozenset()),
                member.may_own_until_s,
            )
            for name, member in self._board.members.items()
            if name != self._board.settings.vm
        }

    def _reset(self, member: blackboard.Member, incarnation: int) -> None:
        """Forgets what an earlier process of a VM said of itself."""
        name = member.vm.name
        member.incarnation = incarnation
        member.ready = False
        member.owns = False
        member.revision = 0
        member.searchers = ()
        self._left.discard(name)
        self._suspects.pop(name, None)
        member.state = blackboard.MemberState.LISTED
        self._record(member)

    def _mark_own(self, now_s: float) -> None:
        """Writes this VM's own entry."""
        own = self._board.members.get(self._board.settings.vm)
        if own is None:
            return
        own.heard_s = now_s
        own.incarnation = self._board.incarnation
        own.owns = (
            self.informed
            and not self.leaving
            and self._board.configuration.revision > 0
        )
        own.ready = self._board.serving is blackboard.Serving.READY
        own.revision = self._board.configuration.revision
        own.confirmed_s = self._board.confirmed_s
        state = blackboard.MemberState.LIVE
        if self.leaving:
            state = blackboard.MemberState.LEAVING
        self._mark(own, state)

    def _mark(
        self, member: blackboard.Member, state: blackboard.MemberState
    ) -> None:
        """Changes a member's state, and records it."""
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
