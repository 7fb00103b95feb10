"""The VM lists that a VM has read recently, and their majorities.

Two VMs that have read different lists could each find a majority of their own
list, and the two majorities could have no VM in common. So a majority must be a
majority of every list read within the window, and a vote counts only if the
claimant knows all lists that the voter has read. See docs/design/leases.md for
the bound.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping

import xxhash

MAX_LISTS = 16
"""Maximum number of lists in the window up to which lists of peers are added.
VMs that have read a list that was not added don't count as voters."""


def compute_hash(names: Iterable[str]) -> int:
    """Computes the hash of a list, which is the same on every VM."""
    return xxhash.xxh3_64_intdigest("\0".join(sorted(names)).encode())


@dataclasses.dataclass(slots=True)
class ReadList:
    """A VM list that was read.

    Attributes:
        names: The names of its VMs.
        read_s: When it was last read, in seconds on this VM's clock.
        from_peer: True if a peer sent it and this VM has not read it.
    """

    names: frozenset[str]
    read_s: float
    from_peer: bool = False


class ListWindow:
    """The lists read within the window, always including the newest."""

    __slots__ = ("_lists", "_newest", "_window_s")

    def __init__(self, window_s: float) -> None:
        """Creates a window without lists.

        Args:
            window_s: How long an earlier list still counts, in seconds.
        """
        self._window_s = window_s
        self._lists: dict[int, ReadList] = {}
        self._newest = 0

    def record(self, names: Collection[str], now_s: float) -> None:
        """Records a list that this VM has just read."""
        self._newest = compute_hash(names)
        self._lists[self._newest] = ReadList(frozenset(names), now_s)
        self.expire(now_s)

    def record_from_peer(self, names: Collection[str], now_s: float) -> None:
        """Records a list that a peer has read recently.

        A VM that has just started has only read the newest list. Without the
        earlier ones it could find a majority that shares no VM with the
        majority of a VM that still uses one of them.
        """
        list_hash = compute_hash(names)
        existing = self._lists.get(list_hash)
        if existing is None and len(self._lists) < MAX_LISTS:
            self._lists[list_hash] = ReadList(frozenset(names), now_s, True)
        elif existing is not None and existing.from_peer:
            existing.read_s = now_s

    def get_read_lists(self) -> tuple[tuple[str, ...], ...]:
        """Returns the lists that this VM itself has read, as names."""
        return tuple(
            tuple(sorted(entry.names))
            for entry in self._lists.values()
            if not entry.from_peer
        )

    def expire(self, now_s: float) -> None:
        """Removes the lists that were last read before the window."""
        self._lists = {
            list_hash: entry
            for list_hash, entry in self._lists.items()
            if list_hash == self._newest
            or entry.read_s > now_s - self._window_s
        }

    def get_hashes(self) -> tuple[int, ...]:
        """Returns the hashes of the lists in the window, ascending."""
        return tuple(sorted(self._lists))

    def contains_all(self, hashes: Iterable[int]) -> bool:
        """Returns True if all the given lists are in the window."""
        return all(list_hash in self._lists for list_hash in hashes)

    def compute_majority_s(self, times: Mapping[str, float]) -> float | None:
        """Computes the latest time at which a majority of every list agreed.

        Args:
            times: The latest time of agreement of each VM that agreed.

        Returns:
            The latest time that a majority of each list reaches; None if any
            list has no majority or no list was read.
        """
        agreed_s: list[float] = []
        for entry in self._lists.values():
            majority = len(entry.names) // 2 + 1
            reached = [times[name] for name in entry.names if name in times]
            if len(reached) < majority:
                return None
            agreed_s.append(sorted(reached, reverse=True)[majority - 1])
        return min(agreed_s, default=None)
