"""Proof of contact: who holds what, and whether this VM may go on.

All proof comes from acknowledgements of this VM's own heartbeats and counts
from the heartbeat's sending: what an acknowledgement says was true then or
later, so neither a delay nor a clock that is set can make it look younger.
docs/design/propagation.md derives the bound from these rules.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Collection, Mapping


@dataclasses.dataclass(slots=True, frozen=True)
class Acknowledgement:
    """The newest acknowledgement of one VM.

    Attributes:
        sent_s: When the acknowledged heartbeat was sent.
        revision: The VM's configuration revision; 0 if it has none.
        incarnation: The VM's process.
        confirmed_s: When the platform had confirmed that revision, at the
            earliest.
    """

    sent_s: float
    revision: int
    incarnation: int
    confirmed_s: float = -math.inf


Acknowledgements = Mapping[str, Acknowledgement]
"""The newest acknowledgement of each other listed VM that gave one."""


@dataclasses.dataclass(slots=True, frozen=True)
class View:
    """What one VM knows at one moment.

    Attributes:
        now_s: The moment.
        own: The VM's name.
        revision: Its configuration revision; 0 if it has none.
        listed: The names of the listed VMs.
        acknowledgements: By VM; only those of listed ones count.
    """

    now_s: float
    own: str
    revision: int
    listed: Collection[str]
    acknowledgements: Acknowledgements

    def count_needed(self) -> int:
        """Returns how many VMs are a majority."""
        return len(self.listed) // 2 + 1

    def get_others(self) -> dict[str, Acknowledgement]:
        """Returns the acknowledgements of listed VMs with a configuration.

        A VM that has just started holds nothing and remembers nothing, so it
        must not stand for what the process before it held.
        """
        return {
            vm: acknowledgement
            for vm, acknowledgement in self.acknowledgements.items()
            if vm in self.listed
            and vm != self.own
            and acknowledgement.revision > 0
        }


class Contacts:
    """When each VM last proved that it knows nothing newer than we do."""

    __slots__ = ("_credited",)

    def __init__(self) -> None:
        """Makes the record of a VM that has heard nobody."""
        self._credited: dict[str, float] = {}

    def update(self, view: View) -> float:
        """Takes the acknowledgements in.

        One that shows a higher revision than ours proves nothing until we
        have that revision: the VM's contact stays at its last agreement.

        Returns:
            When a majority of the listed VMs, this one included, last proved
            it; minus infinity if never.
        """
        for vm, acknowledgement in view.get_others().items():
            if acknowledgement.revision <= view.revision:
                self._credited[vm] = max(
                    self._credited.get(vm, -math.inf), acknowledgement.sent_s
                )
        for vm in [vm for vm in self._credited if vm not in view.listed]:
            del self._credited[vm]
        if view.own not in view.listed or view.revision == 0:
            return -math.inf
        times = sorted((*self._credited.values(), view.now_s), reverse=True)
        needed = view.count_needed()
        return times[needed - 1] if len(times) >= needed else -math.inf


class Acceptance:
    """Which changes a majority holds, all at one moment.

    A VM that acknowledged a change may restart at once and forget it. So a
    majority must say it twice: when the second round of acknowledgements was
    asked for, every VM of the first held the change, if it is still the same
    process.

    Attributes:
        revision: Every change up to here is accepted.
    """

    __slots__ = ("_asked_s", "_history", "_holders", "_revision", "revision")

    def __init__(self) -> None:
        """Makes the record of a VM that knows of no accepted change."""
        self.revision = 0
        self._revision = 0
        self._asked_s = -math.inf
        self._holders: dict[str, int] = {}
        self._history: list[tuple[int, float]] = []

    def update(self, view: View) -> None:
        """Takes the acknowledgements in; may raise `revision`."""
        if view.own not in view.listed:
            return
        others = view.get_others()
        needed = view.count_needed()
        if self._revision > self.revision:
            self._take_second(view, others, needed)
        if self._revision <= self.revision:
            self._take_first(view, others, needed)

    def get_accepted_s(self, revision: int) -> float:
        """Returns when a revision was accepted; infinity if it is not."""
        times = [at_s for held, at_s in self._history if held >= revision]
        return min(times, default=math.inf)

    def _take_first(
        self, view: View, others: dict[str, Acknowledgement], needed: int
    ) -> None:
        """Begins the second round once a majority holds something newer."""
        held = [view.revision, *(other.revision for other in others.values())]
        held.sort(reverse=True)
        if len(held) < needed:
            return
        revision = min(held[needed - 1], view.revision)
        if revision <= self.revision:
            return
        self._revision = revision
        self._asked_s = view.now_s
        self._holders = {
            vm: other.incarnation
            for vm, other in others.items()
            if other.revision >= revision
        }
        if needed == 1:
            self._accept(view.now_s)

    def _take_second(
        self, view: View, others: dict[str, Acknowledgement], needed: int
    ) -> None:
        """Accepts once a majority has said it again, or begins anew."""
        again = 1
        lost = 0
        for vm, incarnation in self._holders.items():
            other = others.get(vm)
            if other is None or other.incarnation != incarnation:
                lost += 1
            elif (
                other.sent_s > self._asked_s
                and other.revision >= self._revision
            ):
                again += 1
        if again >= needed:
            self._accept(view.now_s)
        elif len(self._holders) + 1 - lost < needed:
            self._revision = 0

    def _accept(self, now_s: float) -> None:
        self.revision = self._revision
        self._history.append((self.revision, now_s))
        del self._history[:-HISTORY]


HISTORY = 64
"""How many accepted revisions are kept with their times."""


def may_recover(view: View, revision: int) -> bool:
    """Tells whether a starting VM may take its configuration from peers.

    The process before this one may have been one of the majority that held
    an accepted change. So this one must hear a majority of others that have
    a configuration, and hold the newest that any of them has: one of them
    was in that majority too. A few peers alone may all be stale.

    Args:
        view: What the VM knows; its own revision is still 0.
        revision: The revision of what it got from peers.
    """
    others = view.get_others()
    return len(others) >= view.count_needed() and revision >= max(
        other.revision for other in others.values()
    )


def compute_confirmed_s(view: View, confirmed_s: float) -> float:
    """Computes when the platform had confirmed our revision, at the earliest.

    A peer's confirmation holds for us if we have all that the peer had.

    Args:
        view: What the VM knows.
        confirmed_s: What it knew before, or confirmed itself.
    """
    times = [
        other.confirmed_s
        for other in view.get_others().values()
        if other.revision <= view.revision
    ]
    return max([confirmed_s, *times])


def compute_work_until_s(
    contact_s: float, confirmed_s: float, window_s: float
) -> float:
    """Computes until when this VM may begin new work.

    Args:
        contact_s: The contact with a majority; see `Contacts.update`.
        confirmed_s: The platform's confirmation.
        window_s: How long either one holds, in seconds.
    """
    return max(contact_s, confirmed_s) + window_s
