"""Contact with a majority of VMs, and what this VM may do as a result.

Reads the acknowledged heartbeats that the membership controller records, and
sets the time until which this VM may start new work; see
`policy.quorum_contact`.
"""

from __future__ import annotations

import asyncio
import math

from azureramp import blackboard, events
from azureramp.policy import quorum_contact, watcher_selection

EXPIRING_SHARE = 0.75
"""Share of the confirmation window after which contact is treated as about to
be lost."""


class Majority:
    """Contact with a majority, acceptance, and the use of the store.

    Attributes:
        contact_s: When a majority last proved that it has no newer revision.
        acceptance: Which revisions a majority has.
    """

    __slots__ = (
        "_board",
        "_contacts",
        "_unaccepted",
        "acceptance",
        "contact_s",
    )

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Creates the state of a VM that has no contact yet."""
        self._board = board
        self._contacts = quorum_contact.ContactTimes()
        self._unaccepted: list[events.ConfigurationAccepted] = []
        self.acceptance = quorum_contact.Acceptance()
        self.contact_s = -math.inf

    def update(self, confirmed_s: float) -> None:
        """Evaluates the acknowledgements and updates the blackboard.

        Args:
            confirmed_s: The earliest time at which the store confirmed this
                VM's revision in answer to its own call, on the loop's clock.
        """
        board = self._board
        view = self.make_view()
        self.contact_s = self._contacts.compute_contact_s(view)
        self.acceptance.update(view)
        board.accepted_revision = self.acceptance.revision
        if view.revision > 0:
            board.confirmed_s = quorum_contact.compute_confirmed_s(
                view, max(board.confirmed_s, confirmed_s)
            )
            board.may_work_until_s = quorum_contact.compute_work_until_s(
                self.contact_s, board.confirmed_s, self._get_window_s()
            )
        self._record_accepted(view.now_s)
        age_ms = (view.now_s - board.confirmed_s) * 1000
        if math.isfinite(age_ms):
            board.metrics.set_gauge("configuration.age_ms", age_ms)

    def may_recover(self, revision: int) -> bool:
        """Returns True if a copy received from peers may be used."""
        return quorum_contact.may_recover(self.make_view(), revision)

    def has_contact(self) -> bool:
        """Returns True if this VM may accept operators' changes."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self.contact_s + self._get_window_s()

    def is_accepting(self) -> bool:
        """Returns True if a change waits for acceptance by a majority."""
        board = self._board
        return (
            board.accepted_revision < board.configuration.revision
            and self.has_contact()
        )

    def add_unaccepted(self, event: events.ConfigurationAccepted) -> None:
        """Queues an event that is recorded once its change is accepted."""
        self._unaccepted.append(event)

    def make_view(self) -> quorum_contact.ClusterView:
        """Creates the input of the policies from the blackboard."""
        members = self._board.members
        own = self._board.settings.vm
        return quorum_contact.ClusterView(
            now_s=asyncio.get_running_loop().time(),
            vm=own,
            revision=self._board.configuration.revision,
            vms=members.keys(),
            acknowledgements={
                name: quorum_contact.Acknowledgement(
                    member.acknowledged_s,
                    member.acknowledged_revision,
                    member.acknowledged_incarnation,
                    member.acknowledged_confirmed_s,
                )
                for name, member in members.items()
                if name != own
            },
        )

    def is_watcher(self) -> bool:
        """Returns True if this VM should call the store now.

        While contact with a majority is about to be lost, only VMs with a
        recent acknowledgement count as live: a VM that is cut off must not
        rely on others to request confirmation until it suspects them.
        """
        board = self._board
        own = board.settings.vm
        now_s = asyncio.get_running_loop().time()
        since_s = -math.inf
        if self._is_contact_expiring(now_s):
            since_s = now_s - EXPIRING_SHARE * self._get_window_s()
        live = [
            name
            for name, member in board.members.items()
            if name != own
            and member.state is blackboard.MemberState.LIVE
            and member.acknowledged_s >= since_s
        ]
        return watcher_selection.should_watch(
            watcher_selection.compute_rank(own, live),
            len(live) + 1,
            board.settings.watchers,
            now_s - board.confirmed_s,
            self._get_interval_s(now_s),
        )

    def is_confirmation_due(self) -> bool:
        """Returns True if this VM should request confirmation now."""
        now_s = asyncio.get_running_loop().time()
        age_s = now_s - self._board.confirmed_s
        return self.is_watcher() and age_s >= self._get_interval_s(now_s)

    def _get_interval_s(self, now_s: float) -> float:
        """Returns the time between confirmations, in seconds."""
        if not self._is_contact_expiring(now_s):
            return watcher_selection.IDLE_CONFIRMATION_S
        return min(
            watcher_selection.URGENT_CONFIRMATION_S, self._get_window_s() / 4
        )

    def _is_contact_expiring(self, now_s: float) -> bool:
        """Returns True if contact with a majority is about to be too old."""
        return now_s >= self.contact_s + EXPIRING_SHARE * self._get_window_s()

    def _get_window_s(self) -> float:
        return self._board.settings.confirm_ms / 1000

    def _record_accepted(self, now_s: float) -> None:
        """Records the changes made on this VM that a majority now has."""
        accepted = self.acceptance.revision
        waiting = self._unaccepted
        self._unaccepted = [
            event for event in waiting if event.revision > accepted
        ]
        for event in waiting:
            if event.revision <= accepted:
                self._board.timeline.record(event, now_s)
