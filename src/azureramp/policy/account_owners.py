"""Which VM decides for a client account.

The load: each VM must find the deciding VM of any account without a message,
while VMs come, go and learn of it at different times. Inputs are the lists of
advertised VMs that this VM has seen, and which of the VMs on a past list say
that they have another one by now. The outcome is the account's owner by
rendezvous hashing, and which other VMs may still take themselves for its owner.

A VM that can't reach the store goes on with its list as long as a majority of
the VMs on it have the same. So a past list is over once that can't be the case.
"""

from __future__ import annotations

import collections
import dataclasses
import hashlib
import math
from collections.abc import Iterable

from azureramp.policy import limit_shares

HISTORY_S = 60.0
"""How long past lists are kept, in seconds. An owner counts at most this time
as the bucket's refill."""


OUTAGE_S = 20.0
"""Maximum time without contact with the store for which a VM goes on with its
list, in seconds."""

MAX_RESERVED_SHARE = 0.5
"""Maximum share of the credit that is kept for VMs of past lists."""

CONFIRMED_S = 1.0
"""How long it counts that another VM had the same list, in seconds."""


@dataclasses.dataclass(slots=True)
class _PastList:
    """A list that no longer applies.

    Attributes:
        vms: The VMs on it.
        ended_s: When this VM received the next list.
        denied: The VMs on it that have another list by now.
        over_s: Since when no VM can act on it; infinite if some may.
    """

    vms: frozenset[str]
    ended_s: float
    denied: dict[str, float] = dataclasses.field(default_factory=dict)
    over_s: float = math.inf

    def check(self, now_s: float) -> None:
        """Updates `over_s`."""
        if self.over_s < math.inf:
            return
        delay_s = limit_shares.MAX_UPDATE_DELAY_S
        gone = sum(at_s <= now_s - CONFIRMED_S for at_s in self.denied.values())
        outvoted = len(self.vms) - gone < get_majority(self.vms)
        if now_s >= self.ended_s + delay_s + (0 if outvoted else OUTAGE_S):
            self.over_s = now_s


def get_majority(vms: frozenset[str]) -> int:
    """Returns how many VMs are a majority of a list."""
    return len(vms) // 2 + 1


def compute_list_id(vms: Iterable[str]) -> int:
    """Returns a number that identifies a list."""
    return _hash("\0".join(sorted(vms)))


def choose_owner(account: str, vms: Iterable[str]) -> str:
    """Returns the VM that decides for an account; empty if there is none.

    Args:
        account: The account's name.
        vms: The names of the advertised VMs.
    """
    return max(
        vms,
        key=lambda vm: (_hash(f"{account}\0{vm}"), vm),
        default="",
    )


class OwnerHistory:
    """The owners of accounts by the lists that one VM has seen.

    The first list that a process sees is taken to have applied before: a VM
    that is on it after a quick restart was on it already.

    Attributes:
        current: The current list.
    """

    __slots__ = ("_cache", "_past", "_since_s", "_vm", "current")

    def __init__(self, vm: str, started_s: float) -> None:
        """Creates a history without lists.

        Args:
            vm: This VM's name.
            started_s: When the process started, in seconds.
        """
        self._vm = vm
        self._since_s = started_s
        self.current: frozenset[str] = frozenset()
        self._past: collections.deque[_PastList] = collections.deque()
        self._cache: dict[str, str] = {}

    def update(self, vms: frozenset[str], now_s: float) -> bool:
        """Records the current list of advertised VMs.

        Returns:
            True if it differs from the last one.
        """
        while self._past and self._past[0].ended_s < now_s - HISTORY_S:
            self._since_s = self._past.popleft().ended_s + OUTAGE_S
        for past in self._past:
            past.check(now_s)
        if vms == self.current:
            return False
        if self.current:
            past = _PastList(self.current, now_s)
            if self._vm in past.vms:
                past.denied[self._vm] = now_s
            self._past.append(past)
        self.current = vms
        self._cache.clear()
        return True

    def list_vms(self) -> set[str]:
        """Returns the VMs of all lists that are kept."""
        return set(self.current).union(*(past.vms for past in self._past))

    def find_unheard(self) -> set[str]:
        """Returns the VMs that may still have a past list."""
        return {
            vm
            for past in self._past
            if math.isinf(past.over_s)
            for vm in past.vms - past.denied.keys()
        } - {self._vm}

    def record_list(self, vm: str, list_id: int, now_s: float) -> None:
        """Records which list another VM has.

        Args:
            vm: The VM.
            list_id: Identifies its list.
            now_s: The current time, in seconds.
        """
        for past in self._past:
            if compute_list_id(past.vms) == list_id:
                past.denied.pop(vm, None)
            elif vm in past.vms:
                past.denied.setdefault(vm, now_s)

    def compute_reserved_share(self) -> float:
        """Returns the share of the credit that VMs of past lists may use.

        A VM that lost contact with the store before it was replaced goes on
        with a part of its share. One that is listed now, or says that it has
        another list, doesn't.

        Returns:
            The share, 0 to `MAX_RESERVED_SHARE`.
        """
        shares: dict[str, float] = {}
        for past in self._past:
            share = limit_shares.STALE_FACTOR / len(past.vms)
            for vm in past.vms - past.denied.keys() - self.current:
                shares[vm] = max(share, shares.get(vm, 0.0))
        return min(MAX_RESERVED_SHARE, sum(shares.values()))

    def get_owner(self, account: str) -> str:
        """Returns the account's owner; empty if there is none."""
        owner = self._cache.get(account)
        if owner is None:
            owner = choose_owner(account, self.current)
            self._cache[account] = owner
        return owner

    def find_rivals(self, account: str) -> dict[str, float]:
        """Returns the other VMs that may still take themselves for the owner.

        Returns:
            By the VM's name, when the list ended by which it is the owner, in
            seconds.
        """
        return {
            owner: past.ended_s
            for past in self._past
            if math.isinf(past.over_s)
            and (owner := choose_owner(account, past.vms)) != self._vm
        }

    def get_sole_since_s(self, account: str) -> float:
        """Returns since when no other VM can have been the owner."""
        for past in reversed(self._past):
            if choose_owner(account, past.vms) != self._vm:
                return past.over_s
        return self._since_s


def _hash(text: str) -> int:
    """Returns a number of 63 bits, with a hash of the standard library."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") >> 1
