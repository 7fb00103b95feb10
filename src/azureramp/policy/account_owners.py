"""Which VM decides for a client account.

The load: each VM must find the deciding VM of any account without a message,
while VMs come, go and learn of it at different times. Inputs are the lists of
advertised VMs that this VM has seen. The outcome is the account's owner by
rendezvous hashing, and which other VMs may still take themselves for its owner.
"""

from __future__ import annotations

import collections
import hashlib
from collections.abc import Iterable

from azureramp.policy import limit_shares

HISTORY_S = 60.0
"""How long past lists are kept, in seconds. An owner counts at most this time
as the bucket's refill."""


def choose_owner(account: str, vms: Iterable[str]) -> str:
    """Returns the VM that decides for an account; empty if there is none.

    Args:
        account: The account's name.
        vms: The names of the advertised VMs.
    """
    return max(
        vms,
        key=lambda vm: (
            hashlib.blake2b(
                f"{account}\0{vm}".encode(), digest_size=8
            ).digest(),
            vm,
        ),
        default="",
    )


class OwnerHistory:
    """The owners of accounts by the lists that one VM has seen.

    The first list that a process sees is taken to have applied before: a VM
    that is on it after a quick restart was on it already.
    """

    __slots__ = ("_cache", "_current", "_past", "_since_s", "_vm")

    def __init__(self, vm: str, started_s: float) -> None:
        """Creates a history without lists.

        Args:
            vm: This VM's name.
            started_s: When the process started, in seconds.
        """
        self._vm = vm
        self._since_s = started_s
        self._current: frozenset[str] = frozenset()
        self._past: collections.deque[tuple[float, frozenset[str]]] = (
            collections.deque()
        )
        self._cache: dict[str, str] = {}

    def update(self, vms: Iterable[str], now_s: float) -> bool:
        """Records the current list of advertised VMs.

        Returns:
            True if it differs from the last one.
        """
        current = frozenset(vms)
        while self._past and self._past[0][0] < now_s - HISTORY_S:
            self._since_s = self._past.popleft()[0]
        if current == self._current:
            return False
        if self._current:
            self._past.append((now_s, self._current))
        self._current = current
        self._cache.clear()
        return True

    def get_owner(self, account: str) -> str:
        """Returns the account's owner; empty if there is none."""
        owner = self._cache.get(account)
        if owner is None:
            owner = choose_owner(account, self._current)
            self._cache[account] = owner
        return owner

    def list_vms(self) -> set[str]:
        """Returns the VMs of all lists that are kept."""
        return set(self._current).union(*(vms for _, vms in self._past))

    def find_rivals(self, account: str, now_s: float) -> frozenset[str]:
        """Returns the other VMs that may still take themselves for the owner.

        A VM receives a change of the list at most
        `limit_shares.MAX_UPDATE_DELAY_S` later than this one.
        """
        oldest_s = now_s - limit_shares.MAX_UPDATE_DELAY_S
        owners = (
            choose_owner(account, vms)
            for ended_s, vms in self._past
            if ended_s >= oldest_s
        )
        return frozenset(owners) - {self._vm}

    def get_sole_since_s(self, account: str) -> float:
        """Returns since when no other VM can have been the owner."""
        for ended_s, vms in reversed(self._past):
            if choose_owner(account, vms) != self._vm:
                return ended_s + limit_shares.MAX_UPDATE_DELAY_S
        return self._since_s
