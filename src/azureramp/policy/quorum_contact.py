"""Proof of contact: which VM has which revision, and whether this VM may work.

All proof comes from acknowledgements of this VM's own heartbeats and is dated
to the sending of the heartbeat: the acknowledged state was true then or later,
so neither a delay nor a clock adjustment can make it appear more recent.
docs/design/propagation.md derives the bound from these rules.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class Acknowledgement:
    """The newest acknowledgement from one VM.

    Attributes:
        sent_s: When the acknowledged heartbeat was sent, in seconds.
        revision: The VM's configuration revision; 0 if it has none.
        incarnation: The incarnation of the VM's process.
        confirmed_s: A lower bound of the time at which the platform confirmed
            that revision, in seconds.
    """

    sent_s: float
    revision: int
    incarnation: int
    confirmed_s: float = -math.inf


Acknowledgements = Mapping[str, Acknowledgement]
"""The newest acknowledgement of each other listed VM that sent one, by VM."""


@dataclasses.dataclass(slots=True, frozen=True)
class ClusterView:
    """The state known to one VM at one moment.

    Attributes:
        now_s: The current time, in seconds.
        vm: The name of this VM.
        revision: Its configuration revision; 0 if it has none.
        vms: The names of the listed VMs.
        acknowledgements: The newest acknowledgements by VM; only those of
            listed VMs count.
    """

    now_s: float
    vm: str
    revision: int
    vms: Collection[str]
    acknowledgements: Acknowledgements

    def count_majority(self) -> int:
        """Returns how many VMs form a majority."""
        return len(self.vms) // 2 + 1

    def get_configured_peers(self) -> dict[str, Acknowledgement]:
        """Returns the acknowledgements of listed VMs with a configuration.

        A VM that has just started has no configuration and no memory of one,
        so it must not count for what its previous process had.
        """
        return {
            vm: acknowledgement
            for vm, acknowledgement in self.acknowledgements.items()
            if vm in self.vms and vm != self.vm and acknowledgement.revision > 0
        }


class ContactTimes:
    """When each VM last proved that it has no newer revision than this VM."""

    __slots__ = ("_contact_s",)

    def __init__(self) -> None:
        """Creates a record without any contact."""
        self._contact_s: dict[str, float] = {}

    def compute_contact_s(self, view: ClusterView) -> float:
        """Processes the acknowledgements.

        An acknowledgement with a higher revision than this VM's proves nothing
        until this VM has that revision: until then the contact keeps the time
        of the last agreement.

        Returns:
            The latest time at which a majority of the listed VMs, this one
            included, had proved it; minus infinity if never.
        """
        for vm, acknowledgement in view.get_configured_peers().items():
            if acknowledgement.revision <= view.revision:
                self._contact_s[vm] = max(
                    self._contact_s.get(vm, -math.inf), acknowledgement.sent_s
                )
        for vm in [vm for vm in self._contact_s if vm not in view.vms]:
            del self._contact_s[vm]
        if view.vm not in view.vms or view.revision == 0:
            return -math.inf
        times = sorted((*self._contact_s.values(), view.now_s), reverse=True)
        majority = view.count_majority()
        return times[majority - 1] if len(times) >= majority else -math.inf


class Acceptance:
    """Determines which changes a majority of the VMs has at the same moment.

    A VM that acknowledged a change may restart at once and lose it. So a
    majority must acknowledge it twice: when the second round was requested,
    every VM of the first round held the change, if its process is still the
    same.

    Attributes:
        revision: The highest accepted revision; all changes up to it are
            accepted.
    """

    __slots__ = (
        "_history",
        "_holders",
        "_pending_revision",
        "_second_round_s",
        "revision",
    )

    def __init__(self) -> None:
        """Creates a record without accepted changes."""
        self.revision = 0
        self._pending_revision = 0
        self._second_round_s = -math.inf
        self._holders: dict[str, int] = {}
        self._history: list[tuple[int, float]] = []

    def update(self, view: ClusterView) -> None:
        """Processes the acknowledgements; may raise `revision`."""
        if view.vm not in view.vms:
            return
        others = view.get_configured_peers()
        majority = view.count_majority()
        if self._pending_revision > self.revision:
            self._process_second_round(view, others, majority)
        if self._pending_revision <= self.revision:
            self._process_first_round(view, others, majority)

    def get_accepted_s(self, revision: int) -> float:
        """Returns when a revision was accepted; infinity if it was not."""
        times = [
            at_s for accepted, at_s in self._history if accepted >= revision
        ]
        return min(times, default=math.inf)

    def _process_first_round(
        self,
        view: ClusterView,
        others: dict[str, Acknowledgement],
        majority: int,
    ) -> None:
        """Starts the second round once a majority holds a newer revision."""
        revisions = [
            view.revision,
            *(other.revision for other in others.values()),
        ]
        revisions.sort(reverse=True)
        if len(revisions) < majority:
            return
        revision = min(revisions[majority - 1], view.revision)
        if revision <= self.revision:
            return
        self._pending_revision = revision
        self._second_round_s = view.now_s
        self._holders = {
            vm: other.incarnation
            for vm, other in others.items()
            if other.revision >= revision
        }
        if majority == 1:
            self._accept(view.now_s)

    def _process_second_round(
        self,
        view: ClusterView,
        others: dict[str, Acknowledgement],
        majority: int,
    ) -> None:
        """Accepts once a majority has acknowledged again, or starts over."""
        confirming = 1
        invalid = 0
        for vm, incarnation in self._holders.items():
            other = others.get(vm)
            if other is None or other.incarnation != incarnation:
                invalid += 1
            elif (
                other.sent_s > self._second_round_s
                and other.revision >= self._pending_revision
            ):
                confirming += 1
        if confirming >= majority:
            self._accept(view.now_s)
        elif len(self._holders) + 1 - invalid < majority:
            self._pending_revision = 0

    def _accept(self, now_s: float) -> None:
        self.revision = self._pending_revision
        self._history.append((self.revision, now_s))
        del self._history[:-MAX_HISTORY]


MAX_HISTORY = 64
"""Number of accepted revisions that are kept with their times."""


def may_recover(view: ClusterView, revision: int) -> bool:
    """Returns True if a starting VM may take its configuration from peers.

    Its previous process may have been part of the majority that held an
    accepted change. So it needs acknowledgements from a majority of other VMs
    that have a configuration, and the newest revision that any of them has:
    at least one of them was part of that majority. Fewer peers may all be
    stale.

    Args:
        view: The state that the VM knows; its own revision is still 0.
        revision: The revision that it received from peers.
    """
    others = view.get_configured_peers()
    return len(others) >= view.count_majority() and revision >= max(
        other.revision for other in others.values()
    )


def compute_confirmed_s(view: ClusterView, confirmed_s: float) -> float:
    """Computes a lower bound of when the platform confirmed this VM's revision.

    A peer's confirmation also applies to this VM if the peer's revision is not
    higher than this VM's.

    Args:
        view: The state that this VM knows.
        confirmed_s: The previous value, or the time of this VM's own
            confirmation, in seconds.
    """
    times = [
        other.confirmed_s
        for other in view.get_configured_peers().values()
        if other.revision <= view.revision
    ]
    return max([confirmed_s, *times])


def compute_work_until_s(
    contact_s: float, confirmed_s: float, window_s: float
) -> float:
    """Computes until when this VM may start new work.

    Args:
        contact_s: The time of contact with a majority; see
            `Contacts.compute_contact_s`.
        confirmed_s: The time of the platform's confirmation.
        window_s: How long either of them stays valid, in seconds.
    """
    return max(contact_s, confirmed_s) + window_s
