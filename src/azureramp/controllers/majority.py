"""What this VM can prove of the others, and what follows for it.

It reads what the membership controller wrote of acknowledged heartbeats, and
writes until when this VM may begin new work; see `policy.contact`.
"""

from __future__ import annotations

import asyncio
import math

from azureramp import blackboard, events
from azureramp.policy import contact, watching

THIN_SHARE = 0.75
"""Share of the window after which contact counts as thin."""


class Majority:
    """Contact with a majority, acceptance, and the use of the store.

    Attributes:
        contact_s: When a majority last proved that it knows nothing newer.
        acceptance: Which changes a majority holds.
    """

    __slots__ = (
        "_board",
        "_contacts",
        "_unaccepted",
        "acceptance",
        "contact_s",
    )

    def __init__(self, board: blackboard.Blackboard) -> None:
        """Makes the proof of a VM that has heard nobody."""
        self._board = board
        self._contacts = contact.Contacts()
        self._unaccepted: list[events.ConfigurationAccepted] = []
        self.acceptance = contact.Acceptance()
        self.contact_s = -math.inf

    def update(self, confirmed_s: float) -> None:
        """Takes the acknowledgements in.

        Args:
            confirmed_s: When the store confirmed our revision to this VM
                itself, at the earliest.
        """
        board = self._board
        view = self.make_view()
        self.contact_s = self._contacts.update(view)
        self.acceptance.update(view)
        board.accepted_revision = self.acceptance.revision
        if view.revision > 0:
            board.confirmed_s = contact.compute_confirmed_s(
                view, max(board.confirmed_s, confirmed_s)
            )
            board.work_until_s = contact.compute_work_until_s(
                self.contact_s, board.confirmed_s, self._get_window_s()
            )
        self._record_accepted(view.now_s)
        age_ms = (view.now_s - board.confirmed_s) * 1000
        if math.isfinite(age_ms):
            board.metrics.set_gauge("configuration.age_ms", age_ms)

    def may_recover(self, revision: int) -> bool:
        """Tells whether a copy at a revision, told by peers, may be used."""
        return contact.may_recover(self.make_view(), revision)

    def has_contact(self) -> bool:
        """Tells whether this VM may take changes."""
        now_s = asyncio.get_running_loop().time()
        return now_s < self.contact_s + self._get_window_s()

    def is_accepting(self) -> bool:
        """Tells whether a majority is in contact and may soon accept more."""
        board = self._board
        return (
            board.accepted_revision < board.configuration.revision
            and self.has_contact()
        )

    def add_unaccepted(self, event: events.ConfigurationAccepted) -> None:
        """Has an event recorded once the change that it tells is accepted."""
        self._unaccepted.append(event)

    def make_view(self) -> contact.View:
        """Makes the policies' view of the board."""
        members = self._board.members
        own = self._board.settings.vm
        return contact.View(
            now_s=asyncio.get_running_loop().time(),
            own=own,
            revision=self._board.configuration.revision,
            listed=members.keys(),
            acknowledgements={
                name: contact.Acknowledgement(
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
        """Tells whether this VM should use the store now.

        While contact with a majority is thin, only VMs that acknowledged of
        late count as live: a VM that is cut off must not wait for others to
        ask for confirmation until it suspects them.
        """
        board = self._board
        own = board.settings.vm
        now_s = asyncio.get_running_loop().time()
        since_s = -math.inf
        if self._is_thin(now_s):
            since_s = now_s - THIN_SHARE * self._get_window_s()
        live = [
            name
            for name, member in board.members.items()
            if name != own
            and member.state is blackboard.MemberState.LIVE
            and member.acknowledged_s >= since_s
        ]
        return watching.is_watcher(
            watching.compute_rank(own, live),
            len(live) + 1,
            board.settings.watchers,
            now_s - board.confirmed_s,
            self._get_interval_s(now_s),
        )

    def is_confirmation_due(self) -> bool:
        """Tells whether this VM should ask for confirmation now."""
        now_s = asyncio.get_running_loop().time()
        age_s = now_s - self._board.confirmed_s
        return self.is_watcher() and age_s >= self._get_interval_s(now_s)

    def _get_interval_s(self, now_s: float) -> float:
        """Returns the time between confirmations, in seconds."""
        if not self._is_thin(now_s):
            return watching.IDLE_S
        return min(watching.NEEDED_S, self._get_window_s() / 4)

    def _is_thin(self, now_s: float) -> bool:
        """Tells whether contact with a majority may soon be too old."""
        return now_s >= self.contact_s + THIN_SHARE * self._get_window_s()

    def _get_window_s(self) -> float:
        return self._board.settings.confirm_ms / 1000

    def _record_accepted(self, now_s: float) -> None:
        """Records the changes made here that a majority holds by now."""
        accepted = self.acceptance.revision
        waiting = self._unaccepted
        self._unaccepted = [
            event for event in waiting if event.revision > accepted
        ]
        for event in waiting:
            if event.revision <= accepted:
                self._board.timeline.record(event, now_s)
